"""Format of the identity file of a data folder."""

import zlib

import msgspec

from tamarack_core import failure

FORMAT_VERSION = 1


class Identity(msgspec.Struct, frozen=True):
    """Identity of the host that owns a data folder.

    Attributes:
        host: Name of the host.
        incarnation: Random identifier generated when the folder was created.
        created_ms: Wall-clock time of the creation in milliseconds.
        format_version: Version of the file format.
    """

    host: str
    incarnation: str
    created_ms: int
    format_version: int = FORMAT_VERSION


def encode(identity: Identity) -> bytes:
    """Encodes the contents of the identity file."""
    body = msgspec.json.encode(identity)
    return body + b"\n%08x\n" % zlib.crc32(body)


def decode(data: bytes) -> Identity | failure.Failure:
    """Decodes an identity file, or returns why it is invalid."""
    body, _, checksum = data.rstrip(b"\n").rpartition(b"\n")
    if checksum != b"%08x" % zlib.crc32(body):
        return failure.Failure("damaged", "the checksum doesn't match")
    try:
        identity = msgspec.json.decode(body, type=Identity)
    except msgspec.DecodeError as error:
        return failure.Failure("damaged", str(error))
    if identity.format_version != FORMAT_VERSION:
        return failure.Failure(
            "other-format",
            f"the file has format {identity.format_version}; this release reads"
            f" {FORMAT_VERSION}",
        )
    return identity
