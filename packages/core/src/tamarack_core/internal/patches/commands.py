"""Commands of the replicated log and their encoding."""

import hashlib

import msgspec

from tamarack_core import failure
from tamarack_core import requests

FORMAT_VERSION = 1
MAX_ID_LENGTH = 128
MAX_AUTHOR_LENGTH = 128
MAX_NOTE_LENGTH = 1024
MAX_OPERATIONS_BYTES = 192 * 1024


class Submit(msgspec.Struct, frozen=True, tag="submit"):
    """A patch as the leader appends it to the log.

    Attributes:
        patch: The operator's request.
        time_ms: Wall-clock time of the leader in milliseconds.
        format_version: Version of this encoding.
    """

    patch: requests.SubmitPatch
    time_ms: int
    format_version: int = FORMAT_VERSION


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Submit)


def encode(command: Submit) -> bytes:
    """Returns a command in the encoding of the log."""
    return _encoder.encode(command)


def decode(data: bytes) -> Submit | failure.Failure:
    """Returns the command in `data`, or why it can't be decoded."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        return failure.Failure("bad-command", str(error))


def digest(patch: requests.SubmitPatch) -> bytes:
    """Returns a digest of all fields that a resend must repeat unchanged."""
    content = _encoder.encode(
        (patch.base_version, patch.author, patch.note, patch.operations)
    )
    return hashlib.blake2b(content, digest_size=16).digest()


def check(patch: requests.SubmitPatch) -> failure.Failure | None:
    """Returns why a patch must not enter the log, or None.

    The leader checks a patch before it appends it, so that oversized patches
    are never replicated.
    """
    if not 1 <= len(patch.patch_id) <= MAX_ID_LENGTH:
        return failure.Failure(
            "bad-patch-id",
            f"the patch id has {len(patch.patch_id)} characters; give 1 to"
            f" {MAX_ID_LENGTH}",
        )
    if not 1 <= len(patch.author) <= MAX_AUTHOR_LENGTH:
        return failure.Failure(
            "bad-author",
            f"the author has {len(patch.author)} characters; give 1 to"
            f" {MAX_AUTHOR_LENGTH}",
        )
    if len(patch.note) > MAX_NOTE_LENGTH:
        return failure.Failure(
            "bad-note",
            f"the note has {len(patch.note)} characters; give at most"
            f" {MAX_NOTE_LENGTH}",
        )
    size = len(bytes(patch.operations))
    if size > MAX_OPERATIONS_BYTES:
        return failure.Failure(
            "patch-too-large",
            f"the patch has {size} bytes; split it into patches of at most"
            f" {MAX_OPERATIONS_BYTES}",
        )
    return None
