"""Writes on their way to disk, and the messages that wait for them."""

import collections

import msgspec

from tamarack_core import effects


class _Write(msgspec.Struct):
    sequence: int
    last_index: int


class _Held(msgspec.Struct):
    sequence: int
    message: effects.SendMessage


class Journal:
    """Joins records into writes and knows what is synced.

    While a write runs, further records gather for the next one, so that a
    burst of proposals costs one sync.

    Attributes:
        issued: Sequence of the last write handed to the driver.
        completed: Sequence of the last write that is synced.
        durable_index: Last index of the log that is synced.
        records: Encoded records that gather for the next write.
    """

    __slots__ = (
        "_held",
        "_writes",
        "completed",
        "durable_index",
        "issued",
        "records",
    )

    def __init__(self) -> None:
        """Creates a journal with nothing to write."""
        self.issued = 0
        self.completed = 0
        self.durable_index = 0
        self.records: list[bytes] = []
        self._writes: collections.deque[_Write] = collections.deque()
        self._held: collections.deque[_Held] = collections.deque()

    @property
    def covering_sequence(self) -> int:
        """Sequence of the write after which all records so far are synced."""
        return self.issued + 1 if self.records else self.issued

    def hold(self, message: effects.SendMessage) -> None:
        """Keeps a message until all records so far are synced."""
        self._held.append(_Held(self.covering_sequence, message))

    def truncate(self, last_index: int) -> None:
        """Takes note that the log lost its entries after `last_index`."""
        self.durable_index = min(self.durable_index, last_index)
        for write in self._writes:
            write.last_index = min(write.last_index, last_index)

    def flush(self, last_index: int) -> list[effects.Effect]:
        """Returns the next write, unless one runs or there is no record.

        Args:
            last_index: Last index of the log in memory.
        """
        if not self.records or self.issued > self.completed:
            return []
        records = tuple(self.records)
        return [effects.Persist(self._issue(last_index), records)]

    def save_snapshot(
        self, data: bytes, records: tuple[bytes, ...], last_index: int
    ) -> effects.Effect:
        """Returns the write that replaces all others.

        Args:
            data: The encoded snapshot.
            records: Records that make up the state after it; they contain
                what the gathered records say.
            last_index: Last index of the log in memory.
        """
        return effects.SaveSnapshot(self._issue(last_index), data, records)

    def _issue(self, last_index: int) -> int:
        self.issued += 1
        self.records.clear()
        self._writes.append(_Write(self.issued, last_index))
        return self.issued

    def complete(self, sequence: int) -> None:
        """Takes note that the writes up to `sequence` are synced."""
        self.completed = max(self.completed, sequence)
        while self._writes and self._writes[0].sequence <= sequence:
            self.durable_index = self._writes.popleft().last_index

    def release(self) -> list[effects.SendMessage]:
        """Returns the messages that need to wait no longer."""
        released = []
        while self._held and self._held[0].sequence <= self.completed:
            released.append(self._held.popleft().message)
        return released
