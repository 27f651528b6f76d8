"""Targets that a control host saves for its next start."""

import msgspec

from tamarack_core import failure
from tamarack_core import target_announcement
from tamarack_core.internal import change_entries


class SavedTargets(msgspec.Struct):
    """What `encode` returned, as the next start reads it.

    Attributes:
        targets: The encoded targets that are not gone. Each is decoded by
            itself, so that one that can't be read leaves the others.
        entry_hosts: Number of entry hosts; 0 if unknown.
        tag_uses: How targets use their plain tags, by name; only those of which
            it isn't `PLAIN`.
    """

    targets: list[msgspec.Raw]
    entry_hosts: int = 0
    tag_uses: dict[str, target_announcement.TagUse] = {}


class Restored(msgspec.Struct):
    """What a start has restored.

    Attributes:
        targets: The targets.
        entry_hosts: Number of entry hosts; 0 if unknown.
        tag_uses: How targets use their plain tags, by name; only those of which
            it isn't `PLAIN`.
        skipped: Saved targets that are invalid.
    """

    targets: list[target_announcement.Announcement]
    entry_hosts: int
    tag_uses: dict[str, target_announcement.TagUse]
    skipped: list[change_entries.Skipped]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SavedTargets | list[msgspec.Raw])
_target_decoder = msgspec.msgpack.Decoder(target_announcement.Announcement)


def encode(
    targets: list[target_announcement.Announcement],
    entry_hosts: int,
    tag_uses: dict[str, target_announcement.TagUse],
) -> bytes:
    """Returns targets, encoded for the next start.

    Args:
        targets: The targets that are not gone.
        entry_hosts: Number of entry hosts; 0 if unknown.
        tag_uses: How targets use their plain tags, by name; only those of which
            it isn't `PLAIN`.
    """
    return _encoder.encode(
        {"targets": targets, "entry_hosts": entry_hosts, "tag_uses": tag_uses}
    )


def decode(data: bytes) -> Restored | failure.Failure:
    """Returns what an earlier start saved; invalid targets are skipped.

    Args:
        data: What `encode` returned.

    Returns:
        What can be restored, or why the data can't be read.
    """
    try:
        decoded = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        return failure.Failure("bad-targets", str(error))
    # Earlier versions saved the targets alone.
    saved = SavedTargets(decoded) if isinstance(decoded, list) else decoded
    restored = Restored([], saved.entry_hosts, saved.tag_uses, [])
    for encoded in saved.targets:
        target = _decode_target(encoded)
        if isinstance(target, change_entries.Skipped):
            restored.skipped.append(target)
        else:
            restored.targets.append(target)
    return restored


def _decode_target(
    encoded: msgspec.Raw,
) -> target_announcement.Announcement | change_entries.Skipped:
    """Returns a target that was saved, or why it is invalid."""
    try:
        target = _target_decoder.decode(encoded)
    except (msgspec.DecodeError, RecursionError) as error:
        unreadable = failure.Failure("bad-target", str(error))
        return change_entries.Skipped("", unreadable)
    invalid = target_announcement.check(target)
    if invalid is not None:
        return change_entries.Skipped(target.name, invalid)
    return target
