"""Messages between hosts of the system, and their JSON form.

Each part of the core declares its messages in a module of its own; `Message`
is their union. Unknown fields are ignored, so that hosts of two releases can
talk.
"""

import msgspec

from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import timeline
from tamarack_core.messages import balancing
from tamarack_core.messages import consensus
from tamarack_core.messages import control
from tamarack_core.messages import distribution
from tamarack_core.messages import flows
from tamarack_core.messages import limits
from tamarack_core.messages import membership
from tamarack_core.messages import sync
from tamarack_core.messages import targets

Message = (
    balancing.Message
    | consensus.Message
    | control.Message
    | distribution.Message
    | limits.Message
    | flows.Message
    | membership.Message
    | sync.Message
    | targets.Message
)

FORMAT_VERSION = 1


class Envelope(msgspec.Struct, frozen=True):
    """One datagram or HTTP body: messages of one sender to one receiver.

    Attributes:
        sender: The sending host.
        stamp: The sender's hybrid logical clock.
        messages: The messages in order.
        format_version: Version of this form.
    """

    sender: peers.Peer
    stamp: timeline.Stamp
    messages: tuple[Message, ...]
    format_version: int = FORMAT_VERSION


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Returns the JSON form of an envelope."""
    return _encoder.encode(envelope)


def decode(data: bytes) -> Envelope | failure.Failure:
    """Returns the envelope in `data`, or why there is none."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        return failure.Failure("bad-envelope", str(error))
