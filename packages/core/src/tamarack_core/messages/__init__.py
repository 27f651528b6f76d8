"""Messages between hosts of the system, and their JSON form.

Each area of the core declares its messages in its own module; `Message` is the
union of all of them. Unknown fields are ignored, so that hosts of different
releases can communicate.
"""

from tamarack_core import envelopes
from tamarack_core import sync
from tamarack_core.messages import balancing
from tamarack_core.messages import consensus
from tamarack_core.messages import control
from tamarack_core.messages import distribution
from tamarack_core.messages import flows
from tamarack_core.messages import limits
from tamarack_core.messages import membership
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

Envelope = envelopes.Envelope[Message]

codec = envelopes.Codec(Envelope)
"""Encodes and decodes envelopes with any message."""

encode = codec.encode
decode = codec.decode
