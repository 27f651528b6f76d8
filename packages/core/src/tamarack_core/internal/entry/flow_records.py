"""Changes of flow records, and what the chooser is told of them."""

from tamarack_core import configuration
from tamarack_core import context as context_lib
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.flows import table as table_lib

# A copy at a host that is not the owner needs a word of the owner this often.
LEASE_S = 20.0
# While the owner does not answer, a copy is used this long.
COPY_LIFETIME_S = 30.0
# Time between two attempts to reach an owner that does not answer.
RETRY_S = 1.0
# Time after which the owner looks at the backups of a flow again.
OWNER_CARE_S = 3.0


class FlowRecords:
    """Flow table of this host, kept in step with the chooser.

    Attributes:
        context: Identity, chance, time and counters.
        table: The flow table.
        chooser: Chooses targets and counts the flows of each.
    """

    __slots__ = ("chooser", "context", "table")

    def __init__(
        self, context: context_lib.Context, chooser: target_choice.Chooser
    ) -> None:
        """Creates an empty table.

        Args:
            context: Identity, chance, time and counters.
            chooser: Chooses targets and counts the flows of each.
        """
        self.context = context
        self.chooser = chooser
        self.table = table_lib.FlowTable()

    def is_certain(self, now_s: float, slot: int) -> bool:
        """Returns whether what this host knows of a flow may be relied on.

        A copy that no owner has confirmed for long may describe an earlier
        flow with the same key.

        Args:
            now_s: Monotonic time in seconds.
            slot: Slot of the flow.
        """
        if self.table.flags[slot] & (table_lib.OWNED | table_lib.BACKUP):
            return True
        return now_s - self.table.valid_s[slot] < COPY_LIFETIME_S

    def find(self, now_s: float, key: bytes) -> int | None:
        """Returns the slot of a flow; None if nothing certain is known.

        Args:
            now_s: Monotonic time in seconds.
            key: Flow key.
        """
        slot = self.table.slots.get(key)
        if slot is None or not self.is_certain(now_s, slot):
            return None
        return slot

    def is_recent(self, now_s: float, slot: int) -> bool:
        """Returns whether packets or copies of a flow may still be about.

        Args:
            now_s: Monotonic time in seconds.
            slot: Slot of the flow.
        """
        flags = self.table.flags[slot]
        if not flags & table_lib.ESTABLISHED:
            return False
        if flags & table_lib.CLOSED:
            return now_s - self.table.valid_s[slot] < COPY_LIFETIME_S
        return now_s - self.table.seen_s[slot] < 2 * COPY_LIFETIME_S

    def observe(
        self,
        now_s: float,
        slot: int,
        port: lookup.ServicePort,
        progress: target_choice.Progress,
    ) -> None:
        """Tells the chooser of a step in the life of a flow."""
        self.chooser.observe(
            now_s,
            target_choice.Observation(
                progress,
                self.table.target_of(slot),
                port,
                now_s - self.table.opened_s[slot],
            ),
        )

    def put_owned(
        self, now_s: float, key: bytes, target: bytes, sequence: int
    ) -> int | None:
        """Stores a flow that the chooser has just counted.

        Returns:
            The slot; None if the table is full.
        """
        slot = self.table.slots.get(key)
        if slot is not None:
            self.table.remove(slot)
        slot = self.table.put(key, target, now_s)
        if slot is not None:
            self.table.flags[slot] = table_lib.OWNED
            self.table.initial[slot] = sequence
        return slot

    def take_over(
        self, now_s: float, slot: int, port: lookup.ServicePort
    ) -> None:
        """Makes this host the owner of a flow that it holds a copy of."""
        flags = self.table.flags[slot]
        if flags & (table_lib.OWNED | table_lib.CLOSED):
            return
        self.table.flags[slot] = flags | table_lib.OWNED
        self.table.valid_s[slot] = now_s
        self.table.due_s[slot] = now_s
        self.table.placed[slot] = 0
        self.observe(now_s, slot, port, target_choice.Progress.OPENED)
        self.context.counters["flows-taken-over"] += 1

    def release(
        self, now_s: float, slot: int, port: lookup.ServicePort
    ) -> None:
        """Ends the ownership of a flow that another host owns now."""
        if not self.table.flags[slot] & table_lib.OWNED:
            return
        self.table.flags[slot] &= ~table_lib.OWNED
        self.table.valid_s[slot] = now_s
        self.table.due_s[slot] = now_s
        self.observe(now_s, slot, port, target_choice.Progress.CLOSED)
        self.context.counters["flows-released"] += 1

    def close(
        self,
        now_s: float,
        slot: int,
        port: lookup.ServicePort,
        progress: target_choice.Progress,
    ) -> None:
        """Marks a flow as over; its record stays for late packets."""
        if self.table.flags[slot] & table_lib.OWNED:
            self.observe(now_s, slot, port, progress)
        self.table.flags[slot] |= table_lib.CLOSED
        self.table.flags[slot] &= ~table_lib.OWNED
        self.table.valid_s[slot] = now_s
        self.table.due_s[slot] = now_s

    def learn(self, now_s: float, key: bytes, target: bytes) -> int | None:
        """Stores the word of the owner about a flow.

        Returns:
            The slot; None if the table is full.
        """
        table = self.table
        slot = table.slots.get(key)
        if slot is None:
            slot = table.put(key, target, now_s)
            if slot is None:
                return None
            table.flags[slot] = table_lib.ESTABLISHED
        elif table.target_of(slot) != target:
            if table.flags[slot] & table_lib.OWNED:
                return slot
            table.set_target(slot, target)
            table.flags[slot] = table_lib.ESTABLISHED
        table.valid_s[slot] = now_s
        table.due_s[slot] = now_s + LEASE_S
        table.seen_s[slot] = int(now_s)
        return slot


def backups_at_opening(port: lookup.ServicePort) -> int:
    """Returns the number of backups that a flow has from its opening.

    A bounded flow gets the second one if it lasts, so that short flows,
    which are the most, cost one hop less.
    """
    if port.settings.lifetime is configuration.Lifetime.BOUNDED:
        return 1
    return 2
