"""Composes an entry host that forwards by flow cookies."""

import msgspec

from tamarack_core import context as context_lib
from tamarack_core import envelopes
from tamarack_core import flow_packets
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core.internal.cookie import failure_detector
from tamarack_core.internal.cookie import flow_rejection
from tamarack_core.internal.cookie import flow_tracker
from tamarack_core.internal.cookie import forwarder
from tamarack_core.internal.cookie import routes
from tamarack_core.internal.cookie import subscription as mirrors
from tamarack_core.internal.cookie import target_table

CODEC = envelopes.Codec(envelopes.Envelope[sync.Message])
"""Translates the messages that an entry host takes and sends."""


class Plan(msgspec.Struct, frozen=True):
    """What an entry host is made of.

    Attributes:
        host: Identity and addresses of this host.
        seed: Seed of the generator.
        seeds: Control hosts to begin with.
        codec: Form of packets on the wire.
    """

    host: peers.Peer
    seed: int
    seeds: tuple[peers.Peer, ...]
    codec: flow_packets.PacketCodec


def assemble(plan: Plan) -> reducer.Node:
    """Returns the state of an entry host that has not started.

    Args:
        plan: What the host is made of.
    """
    context = context_lib.Context(plan.host, plan.seed)
    mirror = mirrors.ControlSubscription(
        context, routes.RouteTable(), target_table.TargetTable(), plan.seeds
    )
    told = flow_rejection.FlowRejector(
        context, plan.codec, mirror.routes, flow_tracker.FlowTracker()
    )
    judge = failure_detector.TargetFailureDetector(told, mirror)
    path = forwarder.Forwarder(told, judge, mirror)
    return reducer.Node(context, (path, judge, mirror))
