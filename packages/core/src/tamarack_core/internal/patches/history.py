"""Accepted patches and recorded verdicts, within fixed limits."""

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
        version: Version that the patch created.
        patch_id: Identifier of the patch.
        author: Author of the patch.
        note: Reason that the author gave.
        time_ms: Log time at which it was accepted, in milliseconds.
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


class RecordedVerdict(msgspec.Struct, frozen=True, array_like=True):
    """The first verdict on a patch id.

    Attributes:
        digest: Digest of the patch.
        time_ms: Log time of the verdict in milliseconds.
        verdict: The verdict.
    """

    digest: bytes
    time_ms: int
    verdict: requests.PatchVerdict


class PatchHistory:
    """The newest accepted patches, with consecutive versions.

    Attributes:
        entries: Accepted patches by ascending version.
        size_bytes: Size of the operations of all entries in bytes.
    """

    __slots__ = ("entries", "size_bytes")

    def __init__(self) -> None:
        """Initializes an empty history."""
        self.entries: list[Entry] = []
        self.size_bytes = 0

    def append(self, entry: Entry) -> None:
        """Appends the newest entry and evicts the oldest beyond the limits."""
        self.entries.append(entry)
        self.size_bytes += len(bytes(entry.operations))
        evicted = 0
        while self._is_over_limit(evicted):
            oldest = self.entries[evicted]
            self.size_bytes -= len(bytes(oldest.operations))
            evicted += 1
        del self.entries[:evicted]

    def after(self, version: int) -> list[Entry] | None:
        """Returns the entries later than `version`.

        Returns:
            The entries in order, or None if some of them were evicted.
        """
        if not self.entries or self.entries[0].version > version + 1:
            return None
        start = version + 1 - self.entries[0].version
        return list(itertools.islice(self.entries, start, None))

    def _is_over_limit(self, evicted: int) -> bool:
        """Returns whether more than `evicted` entries must be evicted."""
        count = len(self.entries) - evicted
        return count > MAX_ENTRIES or (
            count > 1 and self.size_bytes > MAX_ENTRY_BYTES
        )


class RecordedVerdicts:
    """First verdicts by patch id, the oldest first.

    An id is kept for `ID_RETENTION_MS` of log time, and at most `MAX_IDS` are
    kept. A patch whose id was evicted still can't be applied twice: an accepted
    patch raised the version, so that its base version is stale forever.

    Attributes:
        by_id: The verdicts by patch id.
    """

    __slots__ = ("by_id",)

    def __init__(self) -> None:
        """Initializes without verdicts."""
        self.by_id: dict[str, RecordedVerdict] = {}

    def add(self, patch_id: str, recorded: RecordedVerdict) -> None:
        """Records a verdict and evicts those beyond the limits."""
        self.by_id[patch_id] = recorded
        expired = list(
            itertools.takewhile(
                lambda known: self._is_expired(known, recorded.time_ms),
                self.by_id,
            )
        )
        for known in expired:
            del self.by_id[known]
        if len(self.by_id) > MAX_IDS:
            del self.by_id[next(iter(self.by_id))]

    def items(self) -> Iterator[tuple[str, RecordedVerdict]]:
        """Yields patch ids and verdicts, the oldest first."""
        yield from self.by_id.items()

    def _is_expired(self, patch_id: str, now_ms: int) -> bool:
        """Returns whether a verdict is older than the retention."""
        return self.by_id[patch_id].time_ms + ID_RETENTION_MS < now_ms
