"""What the state machine remembers of past patches."""

from collections.abc import Iterator
import itertools

import msgspec

from tamarack_core import requests

MAX_ENTRIES = 1_000
MAX_ENTRY_BYTES = 4 * 1024 * 1024
MAX_POINTERS = 64
ID_RETENTION_MS = 24 * 3_600 * 1_000
MAX_IDS = 100_000


class Entry(msgspec.Struct, frozen=True):
    """One accepted patch.

    Attributes:
        version: Version that the patch made.
        patch_id: Identifier of the patch.
        author: Who submitted it.
        note: Why.
        time_ms: Time of the log at which it was accepted, in milliseconds.
        changed: JSON pointers that it changed, at most `MAX_POINTERS`.
        operations: The patch as encoded JSON.
    """

    version: int
    patch_id: str
    author: str
    note: str
    time_ms: int
    changed: tuple[str, ...]
    operations: msgspec.Raw


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """First answer to a patch id.

    Attributes:
        digest: Digest of the patch.
        time_ms: Time of the log in milliseconds.
        verdict: The answer.
    """

    digest: bytes
    time_ms: int
    verdict: requests.PatchVerdict


class History:
    """The newest accepted patches, without a gap.

    Attributes:
        entries: Entries in order of version.
        size_bytes: Size of the operations of all entries.
    """

    __slots__ = ("entries", "size_bytes")

    def __init__(self) -> None:
        """Starts with no entry."""
        self.entries: list[Entry] = []
        self.size_bytes = 0

    def append(self, entry: Entry) -> None:
        """Adds the newest entry and forgets the oldest beyond the limits."""
        self.entries.append(entry)
        self.size_bytes += len(bytes(entry.operations))
        forgotten = 0
        while self._is_over(forgotten):
            oldest = self.entries[forgotten]
            self.size_bytes -= len(bytes(oldest.operations))
            forgotten += 1
        del self.entries[:forgotten]

    def after(self, version: int) -> list[Entry] | None:
        """Returns the entries later than `version`.

        Returns:
            The entries in order, or None if some are forgotten.
        """
        if not self.entries or self.entries[0].version > version + 1:
            return None
        start = version + 1 - self.entries[0].version
        return list(itertools.islice(self.entries, start, None))

    def _is_over(self, forgotten: int) -> bool:
        """Returns True while the oldest entry has to go."""
        count = len(self.entries) - forgotten
        return count > MAX_ENTRIES or (
            count > 1 and self.size_bytes > MAX_ENTRY_BYTES
        )


class Answers:
    """First answers by patch id, the oldest first.

    An id is kept for `ID_RETENTION_MS` of log time, and at most `MAX_IDS` are
    kept. A patch whose id is forgotten still can't run twice: an accepted
    patch raised the version, so that its base version is stale for ever.

    Attributes:
        by_id: The answers.
    """

    __slots__ = ("by_id",)

    def __init__(self) -> None:
        """Starts with no answer."""
        self.by_id: dict[str, Answer] = {}

    def add(self, patch_id: str, answer: Answer) -> None:
        """Keeps an answer and forgets those beyond the limits."""
        self.by_id[patch_id] = answer
        expired = list(
            itertools.takewhile(
                lambda known: self._is_expired(known, answer.time_ms),
                self.by_id,
            )
        )
        for known in expired:
            del self.by_id[known]
        if len(self.by_id) > MAX_IDS:
            del self.by_id[next(iter(self.by_id))]

    def items(self) -> Iterator[tuple[str, Answer]]:
        """Yields ids and answers, the oldest first."""
        yield from self.by_id.items()

    def _is_expired(self, patch_id: str, now_ms: int) -> bool:
        """Returns True if the answer is older than the retention."""
        return self.by_id[patch_id].time_ms + ID_RETENTION_MS < now_ms
