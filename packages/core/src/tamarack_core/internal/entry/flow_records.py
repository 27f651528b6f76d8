"""Changes of flow records, which the chooser is notified of."""

from tamarack_core import configuration
from tamarack_core import context as context_lib
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.flows import table as table_lib

# A host other than the owner needs a confirmation by the owner at this interval
# to keep its copy on the fast path.
CONFIRMATION_S = 20.0
# A copy is used for this long after its last confirmation while the owner does
# not respond.
COPY_LIFETIME_S = 30.0
# Time between two attempts to reach an owner that does not respond.
RETRY_S = 1.0
# Time after which the owner checks the backups of a flow again.
BACKUP_CHECK_S = 3.0


class FlowRecords:
    """Flow table of this host; notifies the chooser of changes.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        table: The flow table.
        chooser: Chooses targets and counts the flows of each.
    """

    __slots__ = ("chooser", "context", "table")

    def __init__(
        self, context: context_lib.Context, chooser: target_choice.Chooser
    ) -> None:
        """Initializes an empty flow table.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            chooser: Chooses targets and counts the flows of each.
        """
        self.context = context
        self.chooser = chooser
        self.table = table_lib.FlowTable()

    def is_reliable(self, now_s: float, slot: int) -> bool:
        """Returns whether the record of a flow is reliable.

        A copy that no owner has confirmed for `COPY_LIFETIME_S` may describe an
        earlier flow with the same key.

        Args:
            now_s: Monotonic time in seconds.
            slot: Slot of the flow.
        """
        if self.table.flags[slot] & (table_lib.OWNED | table_lib.BACKUP):
            return True
        return now_s - self.table.confirmed_s[slot] < COPY_LIFETIME_S

    def find(self, now_s: float, key: bytes) -> int | None:
        """Returns the slot of a flow; None without a reliable record.

        Args:
            now_s: Monotonic time in seconds.
            key: Flow key.
        """
        slot = self.table.slots.get(key)
        if slot is None or not self.is_reliable(now_s, slot):
            return None
        return slot

    def is_recent(self, now_s: float, slot: int) -> bool:
        """Returns whether packets or copies of a flow may still exist.

        Args:
            now_s: Monotonic time in seconds.
            slot: Slot of the flow.
        """
        flags = self.table.flags[slot]
        if flags & table_lib.CLOSED or not flags & table_lib.ESTABLISHED:
            return bool(self.required_target(now_s, slot))
        return now_s - self.table.seen_s[slot] < 2 * COPY_LIFETIME_S

    def required_target(self, now_s: float, slot: int) -> bytes:
        """Returns the only target that a reused key may go to; empty for any.

        Packets of the last established flow with the key may still arrive, and
        other hosts may hold a copy of it until the copy expires. Both are
        harmless if the target stays the same.

        Args:
            now_s: Monotonic time in seconds.
            slot: Slot of a flow that is closed or has no complete handshake.
        """
        flags = self.table.flags[slot]
        if not flags & (table_lib.ESTABLISHED | table_lib.REUSED):
            return b""
        if now_s - self.table.confirmed_s[slot] > COPY_LIFETIME_S:
            return b""
        return self.table.target_of(slot)

    def observe(
        self,
        now_s: float,
        slot: int,
        port: lookup.ServicePort,
        progress: target_choice.Progress,
    ) -> None:
        """Notifies the chooser of the progress of a flow."""
        self.chooser.observe(
            now_s,
            target_choice.Observation(
                progress,
                self.table.target_of(slot),
                port,
                now_s - self.table.opened_s[slot],
            ),
        )

    def store_owned(
        self,
        now_s: float,
        key: bytes,
        target: bytes,
        sequence: int,
        is_required: bool,
    ) -> int | None:
        """Stores a new flow that this host owns and the chooser has counted.

        Args:
            now_s: Monotonic time in seconds.
            key: Flow key.
            target: Packed address of the target.
            sequence: Initial sequence number of the caller.
            is_required: Whether it is the `required_target` of the key.

        Returns:
            The slot; None if the table is full.
        """
        flags = table_lib.OWNED
        confirmed_s = now_s
        slot = self.table.slots.get(key)
        if slot is not None:
            if is_required:
                flags |= table_lib.REUSED
                confirmed_s = self.table.confirmed_s[slot]
            self.table.remove(slot)
        slot = self.table.put(key, target, now_s)
        if slot is not None:
            self.table.flags[slot] = flags
            self.table.confirmed_s[slot] = confirmed_s
            self.table.initial_sequence[slot] = sequence
        return slot

    def take_over(
        self, now_s: float, slot: int, port: lookup.ServicePort
    ) -> None:
        """Makes this host the owner of an open flow that it holds a copy of."""
        flags = self.table.flags[slot]
        if flags & (table_lib.OWNED | table_lib.CLOSED):
            return
        self.table.flags[slot] = flags | table_lib.OWNED
        self.table.confirmed_s[slot] = now_s
        self.table.fast_until_s[slot] = now_s
        self.table.placed[slot] = 0
        self.observe(now_s, slot, port, target_choice.Progress.OPENED)
        self.context.counters["flows-taken-over"] += 1

    def release(
        self, now_s: float, slot: int, port: lookup.ServicePort
    ) -> None:
        """Ends the ownership of a flow that another host now owns."""
        if not self.table.flags[slot] & table_lib.OWNED:
            return
        self.table.flags[slot] &= ~table_lib.OWNED
        self.table.confirmed_s[slot] = now_s
        self.table.fast_until_s[slot] = now_s
        self.observe(now_s, slot, port, target_choice.Progress.CLOSED)
        self.context.counters["flows-released"] += 1

    def close(
        self,
        now_s: float,
        slot: int,
        port: lookup.ServicePort,
        progress: target_choice.Progress,
    ) -> None:
        """Marks a flow as closed; its record stays for late packets."""
        flags = self.table.flags[slot]
        if flags & table_lib.OWNED:
            self.observe(now_s, slot, port, progress)
        self.table.flags[slot] = (flags | table_lib.CLOSED) & ~table_lib.OWNED
        if flags & table_lib.ESTABLISHED or not flags & table_lib.REUSED:
            self.table.confirmed_s[slot] = now_s
        self.table.fast_until_s[slot] = now_s

    def learn(self, now_s: float, key: bytes, target: bytes) -> int | None:
        """Stores a flow whose target another host has reported.

        The target of a flow that this host owns is not changed.

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
        table.confirmed_s[slot] = now_s
        table.fast_until_s[slot] = now_s + CONFIRMATION_S
        table.seen_s[slot] = int(now_s)
        return slot


def backups_at_opening(port: lookup.ServicePort) -> int:
    """Returns the number of backups that a flow has from its opening.

    A bounded flow gets the second one only if it lasts, so that short flows,
    which are the majority, cost one hop less.
    """
    if port.settings.lifetime is configuration.Lifetime.BOUNDED:
        return 1
    return 2
