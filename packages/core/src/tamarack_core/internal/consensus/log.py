"""Log in memory: the entries after a base index that a snapshot covers."""

from collections.abc import Iterable
import itertools

from tamarack_core.messages import consensus


class Log:
    """Log entries by index, without those up to the base.

    Attributes:
        base_index: Index of the entry before the first one in memory; 0 if
            there is none.
        base_term: Term of the entry at `base_index`.
        entries: The entries after the base.
    """

    __slots__ = ("base_index", "base_term", "entries")

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        """Initializes a log without entries after its base."""
        self.base_index = base_index
        self.base_term = base_term
        self.entries: list[consensus.Entry] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry; 0 for a log that never contained one."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term at `index`, or None if it is not kept."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def entry_at(self, index: int) -> consensus.Entry:
        """Returns the entry at `index`, which must be kept."""
        return self.entries[index - self.base_index - 1]

    def append(self, entry: consensus.Entry) -> int:
        """Appends an entry and returns its index."""
        self.entries.append(entry)
        return self.last_index

    def truncate(self, last_index: int) -> None:
        """Removes the entries after `last_index`."""
        del self.entries[last_index - self.base_index :]

    def compact(self, base_index: int) -> None:
        """Removes the entries up to `base_index`, which must be in the log."""
        base_term = self.term_at(base_index)
        if base_term is None:
            return
        del self.entries[: base_index - self.base_index]
        self.base_index = base_index
        self.base_term = base_term

    def numbered_after(
        self, index: int
    ) -> Iterable[tuple[int, consensus.Entry]]:
        """Returns the entries kept after `index`, each with its index."""
        start = max(index - self.base_index, 0)
        first = self.base_index + start + 1
        return enumerate(self.entries[start:], start=first)

    def batch(
        self, first_index: int, max_entries: int, max_bytes: int
    ) -> tuple[consensus.Entry, ...]:
        """Returns entries from `first_index` on, as many as fit.

        The first entry is returned even when it alone exceeds `max_bytes`.
        """
        start = first_index - self.base_index - 1
        candidates = self.entries[start : start + max_entries]
        sizes = itertools.accumulate(len(entry.data) for entry in candidates)
        fitting = sum(1 for size in sizes if size <= max_bytes)
        return tuple(candidates[: max(fitting, 1)])

    def size_bytes(self, first_index: int, last_index: int) -> int:
        """Returns the bytes of the entries kept from one index to another."""
        start = max(first_index - self.base_index - 1, 0)
        end = max(last_index - self.base_index, 0)
        return sum(len(entry.data) for entry in self.entries[start:end])

    def first_of_term(self, index: int) -> int:
        """Returns the first index kept of the term of the entry at `index`."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index
