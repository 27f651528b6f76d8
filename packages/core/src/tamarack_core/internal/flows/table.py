"""Flow table: what this host knows of each flow, in compact form.

The columns are arrays, since one object a flow would need several times the
memory. A slot is the index of a flow in all columns.
"""

import array
from collections.abc import Iterator
import enum

DEFAULT_CAPACITY = 340_000
EVICTION_TRIES = 64

_GROWTH = 4096


class Flag(enum.IntFlag):
    """What is known of a flow.

    OWNED: this host is its owner and has told the chooser of it.
    ESTABLISHED: the handshake is complete.
    CALLER_FIN: the caller has sent a FIN.
    TARGET_FIN: the target has sent a FIN.
    CLOSED: both have, or one has sent a reset.
    BACKUP: the owner counts on this host to keep the flow.
    REPLIED: the target has sent payload.
    """

    OWNED = 1
    ESTABLISHED = 2
    CALLER_FIN = 4
    TARGET_FIN = 8
    CLOSED = 16
    BACKUP = 32
    REPLIED = 64


OWNED = int(Flag.OWNED)
ESTABLISHED = int(Flag.ESTABLISHED)
CALLER_FIN = int(Flag.CALLER_FIN)
TARGET_FIN = int(Flag.TARGET_FIN)
CLOSED = int(Flag.CLOSED)
BACKUP = int(Flag.BACKUP)
REPLIED = int(Flag.REPLIED)


class FlowTable:
    """Flows by key, bounded.

    A full table evicts closed flows and copies that are not backups first,
    then backups; it never evicts an open flow that this host owns.

    Attributes:
        capacity: Largest number of flows.
        slots: Slot by flow key.
        keys: Flow key by slot; None for a free slot.
        target: Index of the target by slot; see `targets`.
        flags: `Flag` bits by slot.
        initial: Initial sequence number of the caller by slot, or 0.
        seen_s: Monotonic time of the last packet in whole seconds, by slot.
        opened_s: Monotonic time at which the flow was opened, by slot.
        due_s: Monotonic time up to which packets of the flow need no care.
        valid_s: Monotonic time of the last word of the owner, by slot. For a
            closed flow, when it was closed.
        handed: Packets that other hosts handed over, at most 255, by slot.
        repeated: Sequence number of the caller's last payload, by slot.
        unanswered_s: Monotonic time at which that payload was first seen, in
            whole seconds, by slot.
        replied_s: Monotonic time of the last packet of the target through
            this host, in whole seconds, by slot.
        placed: Backups that hold the flow, by slot; see `placement`.
        targets: Packed address by index.
    """

    __slots__ = (
        "_free",
        "_hand",
        "_indices",
        "capacity",
        "due_s",
        "flags",
        "handed",
        "initial",
        "keys",
        "opened_s",
        "placed",
        "repeated",
        "replied_s",
        "seen_s",
        "slots",
        "target",
        "targets",
        "unanswered_s",
        "valid_s",
    )

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        """Creates an empty table.

        Args:
            capacity: Largest number of flows, at least 1.
        """
        self.capacity = capacity
        self.slots: dict[bytes, int] = {}
        self.keys: list[bytes | None] = []
        self.target = array.array("H")
        self.flags = bytearray()
        self.initial = array.array("I")
        self.seen_s = array.array("I")
        self.opened_s = array.array("d")
        self.due_s = array.array("d")
        self.valid_s = array.array("d")
        self.handed = bytearray()
        self.repeated = array.array("I")
        self.unanswered_s = array.array("I")
        self.replied_s = array.array("I")
        self.placed = array.array("I")
        self.targets: list[bytes] = []
        self._indices: dict[bytes, int] = {}
        self._free: list[int] = []
        self._hand = 0

    def __len__(self) -> int:
        """Returns the number of flows."""
        return len(self.slots)

    def put(self, key: bytes, target: bytes, now_s: float) -> int | None:
        """Stores a flow that is not in the table.

        Args:
            key: Flow key.
            target: Packed address of the target.
            now_s: Monotonic time in seconds.

        Returns:
            The slot; None if the table is full of flows that must stay.
        """
        if len(self.slots) >= self.capacity and not self._evict():
            return None
        if not self._free:
            self._grow()
        slot = self._free.pop()
        self.slots[key] = slot
        self.keys[slot] = key
        self.set_target(slot, target)
        self.flags[slot] = 0
        self.initial[slot] = 0
        self.seen_s[slot] = int(now_s)
        self.opened_s[slot] = now_s
        self.due_s[slot] = now_s
        self.valid_s[slot] = now_s
        self.handed[slot] = 0
        self.placed[slot] = 0
        self.repeated[slot] = 0
        self.unanswered_s[slot] = int(now_s)
        self.replied_s[slot] = 0
        return slot

    def remove(self, slot: int) -> None:
        """Frees a slot."""
        key = self.keys[slot]
        if key is not None:
            del self.slots[key]
            self.keys[slot] = None
            self._free.append(slot)

    def target_of(self, slot: int) -> bytes:
        """Returns the packed address of the target of a flow."""
        return self.targets[self.target[slot]]

    def set_target(self, slot: int, target: bytes) -> None:
        """Sets the target of a flow."""
        index = self._indices.get(target)
        if index is None:
            index = len(self.targets)
            self._indices[target] = index
            self.targets.append(target)
        self.target[slot] = index

    def sweep(self, start: int, count: int) -> Iterator[int]:
        """Yields the used slots of a range.

        Args:
            start: First slot.
            count: Number of slots.
        """
        for slot in range(start, min(start + count, len(self.keys))):
            if self.keys[slot] is not None:
                yield slot

    def _grow(self) -> None:
        """Adds free slots to all columns."""
        first = len(self.keys)
        self.keys.extend([None] * _GROWTH)
        for column in (
            self.target,
            self.initial,
            self.seen_s,
            self.opened_s,
            self.due_s,
            self.valid_s,
            self.placed,
            self.repeated,
            self.unanswered_s,
            self.replied_s,
        ):
            column.frombytes(bytes(_GROWTH * column.itemsize))
        self.flags.extend(bytes(_GROWTH))
        self.handed.extend(bytes(_GROWTH))
        self._free.extend(range(first + _GROWTH - 1, first - 1, -1))

    def _evict(self) -> bool:
        """Frees a slot if one of the next slots may go."""
        spare = -1
        for _ in range(EVICTION_TRIES):
            self._hand = (self._hand + 1) % len(self.keys)
            slot = self._hand
            if self.keys[slot] is None:
                continue
            flags = self.flags[slot]
            if flags & CLOSED or not flags & (OWNED | BACKUP):
                self.remove(slot)
                return True
            if not flags & OWNED:
                spare = slot
        if spare < 0:
            return False
        self.remove(spare)
        return True
