"""Writes in flight to disk, and the messages held back until they sync."""

import collections

import msgspec

from tamarack_core import effects


class _Write(msgspec.Struct):
    sequence: int
    last_index: int
    size_bytes: int


class _HeldMessage(msgspec.Struct):
    sequence: int
    message: effects.SendMessage


class Journal:
    """Batches records into writes and tracks which of them are synced.

    Records that are added while a write is in flight are batched into the
    next write, so that a burst of proposals costs one sync.

    Attributes:
        issued: Sequence number of the last write passed to the driver.
        completed: Sequence number of the last write that is synced.
        durable_index: Index of the last log entry that is synced.
        records: Encoded records batched for the next write.
        unsynced_bytes: Bytes of these records and of the writes in flight.
    """

    __slots__ = (
        "_held",
        "_writes",
        "completed",
        "durable_index",
        "issued",
        "records",
        "unsynced_bytes",
    )

    def __init__(self) -> None:
        """Initializes a journal with nothing to write."""
        self.issued = 0
        self.completed = 0
        self.durable_index = 0
        self.records: list[bytes] = []
        self.unsynced_bytes = 0
        self._writes: collections.deque[_Write] = collections.deque()
        self._held: collections.deque[_HeldMessage] = collections.deque()

    @property
    def covering_sequence(self) -> int:
        """Sequence number of the write that syncs the last record so far."""
        return self.issued + 1 if self.records else self.issued

    def add(self, record: bytes) -> None:
        """Adds an encoded record to the next write."""
        self.records.append(record)
        self.unsynced_bytes += len(record)

    def hold(self, message: effects.SendMessage) -> None:
        """Holds a message back until all records so far are synced."""
        self._held.append(_HeldMessage(self.covering_sequence, message))

    def truncate(self, last_index: int) -> None:
        """Accounts for the removal of the log entries after `last_index`."""
        self.durable_index = min(self.durable_index, last_index)
        for write in self._writes:
            write.last_index = min(write.last_index, last_index)

    def flush(self, last_index: int) -> list[effects.Effect]:
        """Returns the next write; none if one is in flight or no record waits.

        Args:
            last_index: Last index of the log in memory.
        """
        if not self.records or self.issued > self.completed:
            return []
        records = tuple(self.records)
        size_bytes = sum(map(len, records))
        self.records.clear()
        return [effects.Persist(self._issue(last_index, size_bytes), records)]

    def save_snapshot(
        self, data: bytes, records: tuple[bytes, ...], last_index: int
    ) -> effects.Effect:
        """Returns the write that replaces the whole file.

        Args:
            data: The encoded snapshot.
            records: Records that restore the state after the snapshot. They
                supersede the batched records, which are dropped.
            last_index: Last index of the log in memory.
        """
        self.unsynced_bytes -= sum(map(len, self.records))
        self.records.clear()
        size_bytes = len(data) + sum(map(len, records))
        self.unsynced_bytes += size_bytes
        return effects.SaveSnapshot(
            self._issue(last_index, size_bytes), data, records
        )

    def _issue(self, last_index: int, size_bytes: int) -> int:
        self.issued += 1
        self._writes.append(_Write(self.issued, last_index, size_bytes))
        return self.issued

    def complete(self, sequence: int) -> None:
        """Marks the writes up to `sequence` as synced."""
        self.completed = max(self.completed, sequence)
        while self._writes and self._writes[0].sequence <= sequence:
            write = self._writes.popleft()
            self.durable_index = write.last_index
            self.unsynced_bytes -= write.size_bytes

    def release(self) -> list[effects.SendMessage]:
        """Returns the held messages whose records are synced."""
        released = []
        while self._held and self._held[0].sequence <= self.completed:
            released.append(self._held.popleft().message)
        return released
