"""Commands of the replicated log and their encoding."""

import hashlib
import re

import msgspec

from tamarack_core import failure
from tamarack_core import requests

FORMAT_VERSION = 1
MAX_ID_LENGTH = 128
MAX_AUTHOR_LENGTH = 128
MAX_NOTE_LENGTH = 1024
MAX_OPERATIONS_BYTES = 192 * 1024
MAX_NESTING = 64
"""Levels of arrays and objects in a patch; decoders allow far more."""

# Possessive, so that it takes linear time for any bytes.
_string = re.compile(rb'"(?:[^"\\]|\\.)*+"?', re.DOTALL)
_OPENING = b"[{"
_CLOSING = b"]}"
_NO_BRACKETS = bytes(set(range(256)) - set(_OPENING + _CLOSING))


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


def check_nesting(patch: requests.SubmitPatch) -> failure.Failure | None:
    """Returns why the nesting of a patch must keep it out of the log, or None.

    The depth at which a decoder fails depends on the depth of the stack, so
    that hosts could decide differently on a patch in the log. For the same
    reason this is no part of the decision: a log may hold such a patch.

    Args:
        patch: The operator's request.
    """
    brackets = _string.sub(b"", bytes(patch.operations)).translate(
        None, delete=_NO_BRACKETS
    )
    level = 0
    for bracket in brackets:
        level += 1 if bracket in _OPENING else -1
        if level > MAX_NESTING:
            return failure.Failure(
                "too-deep",
                f"the patch has more than {MAX_NESTING} nested levels of arrays"
                " and objects",
            )
    return None
