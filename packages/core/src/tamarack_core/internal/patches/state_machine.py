"""Replicated state machine that decides on patches."""

import dataclasses

import msgspec

from tamarack_core import configuration
from tamarack_core import failure
from tamarack_core import requests
from tamarack_core.internal.patches import commands
from tamarack_core.internal.patches import history
from tamarack_core.internal.patches import operations
from tamarack_core.internal.validation import validated_configuration
from tamarack_core.messages import distribution

FORMAT_VERSION = 1

_PATCH_ID_REUSED = "patch-id-reused"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Verdict on one committed command.

    Attributes:
        patch_id: Identifier of the patch.
        digest: Digest of the patch.
        verdict: The verdict.
    """

    patch_id: str
    digest: bytes
    verdict: requests.PatchVerdict


class Snapshot(msgspec.Struct, frozen=True):
    """The whole state, as it is encoded.

    Attributes:
        format_version: Version of this encoding.
        version: Version of the configuration.
        time_ms: Log time in milliseconds.
        configuration: The configuration.
        entries: The newest accepted patches, the oldest first.
        answers: First verdicts by patch id, the oldest first.
    """

    format_version: int
    version: int
    time_ms: int
    configuration: configuration.Configuration
    entries: list[history.Entry]
    answers: list[tuple[str, history.RecordedVerdict]]


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Snapshot)


class SnapshotError(ValueError):
    """A snapshot is damaged or has another format version."""


class PatchStateMachine:
    """State machine of the replicated log.

    Attributes:
        version: Version of the configuration; it only increases.
        time_ms: Log time in milliseconds. It never decreases, even if the
            clocks of successive leaders differ.
        checked: The validated configuration.
        history: The newest accepted patches.
        verdicts: First verdicts by patch id.
        decisions: Decisions since the last `take_decisions`; not replicated.
        deltas: Changes since the last `take_deltas`; not replicated.
    """

    __slots__ = (
        "checked",
        "decisions",
        "deltas",
        "history",
        "time_ms",
        "verdicts",
        "version",
    )

    def __init__(self) -> None:
        """Initializes the state with version 0, the empty configuration."""
        self.version = 0
        self.time_ms = 0
        self.checked = validated_configuration.ValidatedConfiguration()
        self.history = history.PatchHistory()
        self.verdicts = history.RecordedVerdicts()
        self.decisions: list[Decision] = []
        self.deltas: list[distribution.Delta] = []

    def numbered(self) -> configuration.VersionedConfiguration:
        """Returns the newest configuration with its version."""
        return configuration.VersionedConfiguration(
            self.version, self._configuration()
        )

    def _configuration(self) -> configuration.Configuration:
        """Returns the newest configuration."""
        return configuration.Configuration(
            self.checked.services, self.checked.evacuated_domains
        )

    def recorded_verdict(
        self, patch: requests.SubmitPatch
    ) -> requests.PatchVerdict | None:
        """Returns the verdict on a patch that was decided before, or None.

        A different patch with a known patch id is invalid.
        """
        recorded = self.verdicts.by_id.get(patch.patch_id)
        if recorded is None:
            return None
        if recorded.digest == commands.digest(patch):
            return recorded.verdict
        return requests.PatchVerdict(
            requests.PatchState.INVALID,
            reason=f"{_PATCH_ID_REUSED}: another patch has the id"
            f" {patch.patch_id}; choose a new one",
        )

    def apply(self, index: int, command: bytes) -> None:
        """Applies a committed command.

        Args:
            index: Index in the log. Only the order of the calls matters.
            command: The encoded command.
        """
        decoded = commands.decode(command)
        if isinstance(decoded, failure.Failure):
            # Every voter skips the same commands. Only a newer release writes
            # commands that this one can't decode.
            return
        self.time_ms = max(self.time_ms, decoded.time_ms)
        patch = decoded.patch
        digest = commands.digest(patch)
        verdict = self.recorded_verdict(patch)
        if verdict is None:
            verdict = self._decide(patch)
            self.verdicts.add(
                patch.patch_id,
                history.RecordedVerdict(digest, self.time_ms, verdict),
            )
        self.decisions.append(Decision(patch.patch_id, digest, verdict))

    def take_decisions(self) -> list[Decision]:
        """Returns and clears the decisions since the last call."""
        taken = self.decisions
        self.decisions = []
        return taken

    def take_deltas(self) -> list[distribution.Delta]:
        """Returns and clears the configuration changes since the last call."""
        taken = self.deltas
        self.deltas = []
        return taken

    def snapshot(self) -> bytes:
        """Returns the encoded state."""
        return _encoder.encode(
            Snapshot(
                FORMAT_VERSION,
                self.version,
                self.time_ms,
                self._configuration(),
                self.history.entries,
                list(self.verdicts.items()),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `snapshot` returned.

        Args:
            data: Encoded state of any voter.

        Raises:
            SnapshotError: `data` is damaged or has another format version.
                The state is then unchanged.
        """
        decoded = decode_snapshot(data)
        checked = validated_configuration.ValidatedConfiguration()
        refused = checked.replace(
            decoded.configuration.services,
            decoded.configuration.evacuated_domains,
        )
        if refused is not None:
            raise SnapshotError(f"{refused.path}: {refused.detail}")
        self.version = decoded.version
        self.time_ms = decoded.time_ms
        self.checked = checked
        self.history = history.PatchHistory()
        for entry in decoded.entries:
            # Copied because `Raw` would keep the whole snapshot in memory.
            operations_copy = entry.operations.copy()
            self.history.append(
                msgspec.structs.replace(entry, operations=operations_copy)
            )
        self.verdicts = history.RecordedVerdicts()
        self.verdicts.by_id = dict(decoded.answers)
        self.decisions = []
        self.deltas = []

    def _decide(self, patch: requests.SubmitPatch) -> requests.PatchVerdict:
        """Returns the verdict on a patch whose id is new."""
        refused = commands.check(patch)
        if refused is not None:
            return _invalid(refused)
        if patch.base_version > self.version or patch.base_version < 0:
            return requests.PatchVerdict(
                requests.PatchState.INVALID,
                reason=f"base version {patch.base_version} doesn't exist; the"
                f" newest is {self.version}",
            )
        if patch.base_version < self.version:
            return self._conflict(patch.base_version)
        return self._apply_patch(patch)

    def _apply_patch(
        self, patch: requests.SubmitPatch
    ) -> requests.PatchVerdict:
        """Applies a patch to the newest version if the result is valid."""
        parsed = operations.parse(patch.operations)
        if isinstance(parsed, failure.Failure):
            return _invalid(parsed)
        changes = operations.apply(
            self.checked.services, self.checked.evacuated_domains, parsed
        )
        if isinstance(changes, failure.Failure):
            return _invalid(changes)
        refused = self.checked.replace(
            changes.services, changes.evacuated_domains
        )
        if refused is not None:
            return _invalid(refused)
        self.deltas.append(
            distribution.Delta(
                self.version,
                self.version + 1,
                changes.services,
                changes.evacuated_domains,
            )
        )
        self.version += 1
        changed = operations.changed_pointers(parsed)[: history.MAX_POINTERS]
        self.history.append(
            history.Entry(
                self.version,
                patch.patch_id,
                patch.author,
                patch.note,
                self.time_ms,
                changed,
                msgspec.Raw(bytes(patch.operations)),
            )
        )
        return requests.PatchVerdict(
            requests.PatchState.ACCEPTED, self.version, changed=changed
        )

    def _conflict(self, base_version: int) -> requests.PatchVerdict:
        """Returns the verdict on a patch with an older base version.

        It lists the changes since that version and their authors.
        """
        later = self.history.after(base_version)
        if later is None:
            return requests.PatchVerdict(
                requests.PatchState.CONFLICT,
                self.version,
                reason=f"version {base_version} is older than the log; read"
                f" version {self.version} and base the patch on it",
            )
        changed = sorted({path for entry in later for path in entry.changed})
        authors = dict.fromkeys(entry.author for entry in later)
        return requests.PatchVerdict(
            requests.PatchState.CONFLICT,
            self.version,
            reason=f"{len(later)} later patches; the newest version is"
            f" {self.version}",
            author=", ".join(authors)[: commands.MAX_NOTE_LENGTH],
            changed=tuple(changed[: history.MAX_POINTERS]),
        )


def decode_snapshot(data: bytes) -> Snapshot:
    """Returns a decoded snapshot.

    Raises:
        SnapshotError: `data` is damaged or has another format version.
    """
    try:
        decoded = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise SnapshotError(f"unreadable snapshot: {error}") from error
    if decoded.format_version != FORMAT_VERSION:
        raise SnapshotError(
            f"format {decoded.format_version}; this release reads format"
            f" {FORMAT_VERSION}"
        )
    return decoded


def _invalid(refused: failure.Failure) -> requests.PatchVerdict:
    """Returns the verdict on a patch that failed a check."""
    return requests.PatchVerdict(
        requests.PatchState.INVALID,
        path=refused.path,
        reason=f"{refused.reason}: {refused.detail}",
    )
