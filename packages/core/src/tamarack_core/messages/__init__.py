"""Messages between hosts of the system, and their JSON form.

Each part of the core declares its messages in a module of its own; `Message`
is their union. Unknown fields are ignored, so that hosts of two releases can
talk.
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
"""Translates envelopes that may hold any message."""

encode = codec.encode
decode = codec.decode
