"""Format of the log file: a header followed by checksummed frames.

A frame consists of its kind, the length of its payload, a checksum and the
payload. The checksum covers the generation of the file and the offset of the
frame, so that a frame is valid only at its own position.

A SYNCED frame is written after each batch once the batch is on disk. An invalid
frame with a SYNCED frame after it means that acknowledged data is damaged. An
invalid frame without one is the torn end of a batch that was never
acknowledged.
"""

from collections.abc import Iterator
import enum
import struct
import zlib

import msgspec

from tamarack_core import failure

MAGIC = b"tamarack-log\n\x00"
FORMAT_VERSION = 1
MAX_PAYLOAD_BYTES = 1 << 30

_SYNCED_MARK = b"\xf5synced\xfa"
_header_format = struct.Struct(">14sHQI")
_frame_format = struct.Struct(">BII")
_position_format = struct.Struct(">QQBI")

HEADER_BYTES = _header_format.size


class Kind(enum.IntEnum):
    """Kind of a frame; 0 is unused, so that zero bytes are no valid frame."""

    SNAPSHOT = 1
    RECORD = 2
    SYNCED = 3


class Frame(msgspec.Struct, frozen=True):
    """A valid frame.

    Attributes:
        kind: Kind of the frame.
        payload: The data.
        end: Offset of the byte after the frame.
    """

    kind: Kind
    payload: bytes
    end: int


class Contents(msgspec.Struct):
    """Decoded contents of a log file.

    Attributes:
        generation: Generation of the file.
        snapshot: Data of the snapshot, if any.
        records: Records in order.
        end: Offset of the byte after the last valid frame.
        torn_bytes: Number of bytes after it; they belong to a batch that was
            never acknowledged.
        is_end_synced: Whether the last valid frame is a SYNCED frame.
    """

    generation: int
    snapshot: bytes | None = None
    records: list[bytes] = msgspec.field(default_factory=list)
    end: int = HEADER_BYTES
    torn_bytes: int = 0
    is_end_synced: bool = False


def encode_header(generation: int) -> bytes:
    """Returns the header of the file of a generation."""
    unsigned = _header_format.pack(MAGIC, FORMAT_VERSION, generation, 0)[:-4]
    return unsigned + struct.pack(">I", zlib.crc32(unsigned))


def encode(kind: Kind, payload: bytes, generation: int, offset: int) -> bytes:
    """Returns an encoded frame.

    Args:
        kind: Kind of the frame.
        payload: The data, at most `MAX_PAYLOAD_BYTES`.
        generation: Generation of the file.
        offset: Offset of the frame in the file.

    Raises:
        ValueError: The payload is too long.
    """
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(
            f"payload has {len(payload)} bytes; at most"
            f" {MAX_PAYLOAD_BYTES} are allowed"
        )
    checksum = _checksum(kind, payload, generation, offset)
    return _frame_format.pack(kind, len(payload), checksum) + payload


def encode_batch(
    kind: Kind, payloads: tuple[bytes, ...], generation: int, offset: int
) -> bytes:
    """Returns consecutive frames of one kind, the first at `offset`."""
    batch = bytearray()
    for payload in payloads:
        batch += encode(kind, payload, generation, offset + len(batch))
    return bytes(batch)


def encode_synced(generation: int, offset: int) -> bytes:
    """Returns the frame that marks everything before `offset` as synced."""
    return encode(Kind.SYNCED, _SYNCED_MARK, generation, offset)


def decode(data: bytes) -> Contents | failure.Failure:
    """Decodes a log file.

    Args:
        data: The whole file.

    Returns:
        The contents, or the failure bad-header, other-format or damaged. A
        failure must not be repaired by truncating the file, as this would lose
        acknowledged data.
    """
    generation = _decode_header(data)
    if isinstance(generation, failure.Failure):
        return generation
    contents = Contents(generation)
    for frame in _decode_frames(data, generation):
        contents.end = frame.end
        contents.is_end_synced = frame.kind is Kind.SYNCED
        if frame.kind is Kind.RECORD:
            contents.records.append(frame.payload)
        elif frame.kind is Kind.SNAPSHOT:
            contents.snapshot = frame.payload
    contents.torn_bytes = len(data) - contents.end
    if contents.torn_bytes:
        synced = _find_synced(data, generation, contents.end)
        if synced is not None:
            return failure.Failure(
                "damaged",
                f"bytes from {contents.end} to {synced} are damaged, although"
                " they were synced",
            )
    return contents


def _decode_header(data: bytes) -> int | failure.Failure:
    """Returns the generation from the header, or why it is invalid."""
    if len(data) < HEADER_BYTES:
        return failure.Failure(
            "bad-header", f"the file has only {len(data)} bytes and no header"
        )
    magic, version, generation, checksum = _header_format.unpack_from(data)
    if checksum != zlib.crc32(data[: HEADER_BYTES - 4]) or magic != MAGIC:
        return failure.Failure("bad-header", "the header is damaged")
    if version != FORMAT_VERSION:
        return failure.Failure(
            "other-format",
            f"the file has format {version}; this release reads"
            f" {FORMAT_VERSION}",
        )
    return int(generation)


def _decode_frames(data: bytes, generation: int) -> Iterator[Frame]:
    """Yields the frames up to the first invalid one."""
    offset = HEADER_BYTES
    while (frame := _decode_frame(data, generation, offset)) is not None:
        yield frame
        offset = frame.end


def _decode_frame(data: bytes, generation: int, offset: int) -> Frame | None:
    """Returns the frame at `offset`, or None if it is invalid."""
    start = offset + _frame_format.size
    if start > len(data):
        return None
    kind, length, checksum = _frame_format.unpack_from(data, offset)
    end = start + length
    if kind not in Kind.__members__.values() or end > len(data):
        return None
    payload = data[start:end]
    if checksum != _checksum(kind, payload, generation, offset):
        return None
    return Frame(Kind(kind), payload, end)


def _find_synced(data: bytes, generation: int, offset: int) -> int | None:
    """Returns the offset of the next SYNCED frame after `offset`, or None."""
    mark = data.find(_SYNCED_MARK, offset)
    while mark != -1:
        start = mark - _frame_format.size
        frame = _decode_frame(data, generation, start)
        if start >= offset and frame and frame.kind is Kind.SYNCED:
            return start
        mark = data.find(_SYNCED_MARK, mark + 1)
    return None


def _checksum(kind: int, payload: bytes, generation: int, offset: int) -> int:
    """Returns the checksum of a frame at its offset."""
    position = _position_format.pack(generation, offset, kind, len(payload))
    return zlib.crc32(payload, zlib.crc32(position))
