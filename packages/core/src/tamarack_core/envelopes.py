"""Envelopes: messages of one host to another, and their JSON form.

A host that speaks few kinds of message builds a codec for these alone, which
takes less time at its start. Unknown fields are ignored, so that hosts of two
releases can talk.
"""

from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import timeline

FORMAT_VERSION = 1

MessageT = TypeVar("MessageT")


class Envelope(msgspec.Struct, Generic[MessageT], frozen=True):
    """One datagram or HTTP body: messages of one sender to one receiver.

    Attributes:
        sender: The sending host.
        stamp: The sender's hybrid logical clock.
        messages: The messages in order.
        format_version: Version of this form.
    """

    sender: peers.Peer
    stamp: timeline.Stamp
    messages: tuple[MessageT, ...]
    format_version: int = FORMAT_VERSION


_encoder = msgspec.json.Encoder()


class Codec:
    """Translates envelopes that hold certain kinds of message."""

    __slots__ = ("_decoder",)

    def __init__(self, envelope: Any) -> None:
        """Creates a codec.

        Args:
            envelope: `Envelope` of the union of the messages.
        """
        self._decoder = msgspec.json.Decoder(envelope)

    def encode(self, envelope: Envelope[Any]) -> bytes:
        """Returns the JSON form of an envelope."""
        return _encoder.encode(envelope)

    def decode(self, data: bytes) -> Envelope[Any] | failure.Failure:
        """Returns the envelope in `data`, or why there is none."""
        try:
            decoded: Envelope[Any] = self._decoder.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            return failure.Failure("bad-envelope", str(error))
        return decoded
