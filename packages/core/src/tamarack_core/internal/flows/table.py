"""Flow table of a host, in compact form.

The columns are arrays, since one object per flow would need several times the
memory. A slot is the index of a flow in all columns.
"""

import array
from collections.abc import Iterator
import enum

DEFAULT_CAPACITY = 340_000
EVICTION_TRIES = 64

_GROWTH = 4096


class Flag(enum.IntFlag):
    """State of a flow.

    OWNED: this host is its owner and has notified the chooser of it.
    ESTABLISHED: the handshake is complete.
    CALLER_FIN: the caller has sent a FIN.
    TARGET_FIN: the target has sent a FIN.
    CLOSED: the flow is over: both have sent a FIN, it was reset, or the owner
        has reported its end.
    BACKUP: this host is a backup that the owner relies on to keep the flow.
    REPLIED: the target has sent payload.
    REUSED: when the flow was opened, an established flow with the same key had
        ended shortly before.
    """

    OWNED = 1
    ESTABLISHED = 2
    CALLER_FIN = 4
    TARGET_FIN = 8
    CLOSED = 16
    BACKUP = 32
    REPLIED = 64
    REUSED = 128


OWNED = int(Flag.OWNED)
ESTABLISHED = int(Flag.ESTABLISHED)
CALLER_FIN = int(Flag.CALLER_FIN)
TARGET_FIN = int(Flag.TARGET_FIN)
CLOSED = int(Flag.CLOSED)
BACKUP = int(Flag.BACKUP)
REPLIED = int(Flag.REPLIED)
REUSED = int(Flag.REUSED)


class FlowTable:
    """Flows by key, bounded.

    A full table first evicts closed flows and copies that are not backups, then
    backups. It never evicts an open flow that this host owns.

    Attributes:
        capacity: Largest number of flows.
        slots: Slot by flow key.
        keys: Flow key by slot; None for a free slot.
        target: Index of the target by slot; see `targets`.
        flags: `Flag` bits by slot.
        initial_sequence: Initial sequence number of the caller by slot, or 0.
        seen_s: Monotonic time of the last packet in whole seconds, by slot.
        opened_s: Monotonic time at which the flow was opened, by slot.
        fast_until_s: Monotonic time up to which the fast path serves packets of
            the flow, by slot.
        confirmed_s: Monotonic time of the last confirmation by the owner, by
            slot. For a closed flow, when it was closed. For a reused key
            without a complete handshake, when the flow before was closed.
        forwarded: Packets that other hosts have forwarded, at most 255, by
            slot.
        payload_sequence: Sequence number of the caller's last payload, by
            slot.
        unanswered_since_s: Monotonic time since which that payload has had no
            known reply, in whole seconds, by slot. It starts when the payload
            is first seen; evidence of a reply moves it forward, and a query of
            another host sets it to the time given there.
        replied_s: Monotonic time of the last packet of the target through
            this host, in whole seconds, by slot.
        placed: Backups that hold the flow, by slot; see `placement`.
        targets: Packed address by index.
    """

    __slots__ = (
        "_clock_hand",
        "_free",
        "_indices",
        "capacity",
        "confirmed_s",
        "fast_until_s",
        "flags",
        "forwarded",
        "initial_sequence",
        "keys",
        "opened_s",
        "payload_sequence",
        "placed",
        "replied_s",
        "seen_s",
        "slots",
        "target",
        "targets",
        "unanswered_since_s",
    )

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        """Initializes an empty flow table.

        Args:
            capacity: Largest number of flows, at least 1.
        """
        self.capacity = capacity
        self.slots: dict[bytes, int] = {}
        self.keys: list[bytes | None] = []
        self.target = array.array("H")
        self.flags = bytearray()
        self.initial_sequence = array.array("I")
        self.seen_s = array.array("I")
        self.opened_s = array.array("d")
        self.fast_until_s = array.array("d")
        self.confirmed_s = array.array("d")
        self.forwarded = bytearray()
        self.payload_sequence = array.array("I")
        self.unanswered_since_s = array.array("I")
        self.replied_s = array.array("I")
        self.placed = array.array("I")
        self.targets: list[bytes] = []
        self._indices: dict[bytes, int] = {}
        self._free: list[int] = []
        self._clock_hand = 0

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
            The slot; None if the table is full and no flow can be evicted.
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
        self.initial_sequence[slot] = 0
        self.seen_s[slot] = int(now_s)
        self.opened_s[slot] = now_s
        self.fast_until_s[slot] = now_s
        self.confirmed_s[slot] = now_s
        self.forwarded[slot] = 0
        self.placed[slot] = 0
        self.payload_sequence[slot] = 0
        self.unanswered_since_s[slot] = int(now_s)
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
            self.initial_sequence,
            self.seen_s,
            self.opened_s,
            self.fast_until_s,
            self.confirmed_s,
            self.placed,
            self.payload_sequence,
            self.unanswered_since_s,
            self.replied_s,
        ):
            column.frombytes(bytes(_GROWTH * column.itemsize))
        self.flags.extend(bytes(_GROWTH))
        self.forwarded.extend(bytes(_GROWTH))
        self._free.extend(range(first + _GROWTH - 1, first - 1, -1))

    def _evict(self) -> bool:
        """Evicts a flow from one of the next slots; returns whether it did."""
        spare = -1
        for _ in range(EVICTION_TRIES):
            self._clock_hand = (self._clock_hand + 1) % len(self.keys)
            slot = self._clock_hand
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
