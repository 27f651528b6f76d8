"""Envelopes: messages from one host to another, and their JSON form.

A host that uses few kinds of message builds a codec for these alone, which
shortens its start. Unknown fields are ignored, so that hosts of two releases
can communicate. Large envelopes are compressed: otherwise a document of two
thousand routes occupies the slow link of an entry host for half a second, and
delays the packets of callers.
"""

from typing import Any
from typing import Generic
from typing import TypeVar
import zlib

import msgspec

from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import timeline

FORMAT_VERSION = 1

COMPRESSED_BYTES = 512
"""Size from which envelopes are compressed; smaller ones gain little."""

COMPRESSION_LEVEL = 1
"""Level that takes a third of the time of the default level, for 1.3 times the
size."""

MAX_PLAIN_BYTES = 8 * 1024 * 1024
"""Largest JSON form that is decoded; that of 16,000 routes has 1 MB."""

_JSON_START = b"{"

MessageT = TypeVar("MessageT")


class Envelope(msgspec.Struct, Generic[MessageT], frozen=True):
    """One datagram or HTTP body with messages of one sender to one receiver.

    Attributes:
        sender: The sending host.
        stamp: The sender's hybrid logical clock.
        messages: The messages in order.
        format_version: Version of this format.
    """

    sender: peers.Peer
    stamp: timeline.Stamp
    messages: tuple[MessageT, ...]
    format_version: int = FORMAT_VERSION


_encoder = msgspec.json.Encoder()


class Codec:
    """Encodes and decodes envelopes that hold certain kinds of message."""

    __slots__ = ("_decoder",)

    def __init__(self, envelope: Any) -> None:
        """Initializes the codec.

        Args:
            envelope: The type `Envelope` of the union of the messages.
        """
        self._decoder = msgspec.json.Decoder(envelope)

    def encode(self, envelope: Envelope[Any]) -> bytes:
        """Returns the JSON form of an envelope, compressed if it is large."""
        data = _encoder.encode(envelope)
        if len(data) < COMPRESSED_BYTES:
            return data
        return zlib.compress(data, COMPRESSION_LEVEL)

    def decode(self, data: bytes) -> Envelope[Any] | failure.Failure:
        """Returns the envelope in `data`, or why it can't be decoded."""
        plain = data if data[:1] == _JSON_START else _decompress(data)
        if isinstance(plain, failure.Failure):
            return plain
        try:
            decoded: Envelope[Any] = self._decoder.decode(plain)
        except (msgspec.DecodeError, RecursionError) as error:
            return failure.Failure("bad-envelope", str(error))
        return decoded


def _decompress(data: bytes) -> bytes | failure.Failure:
    """Returns the JSON form of a compressed envelope, or what is wrong."""
    reader = zlib.decompressobj()
    try:
        plain = reader.decompress(data, MAX_PLAIN_BYTES)
    except zlib.error as error:
        return failure.Failure("bad-envelope", str(error))
    if not reader.eof:
        return failure.Failure(
            "bad-envelope", "compressed envelope is truncated or too large"
        )
    return plain
