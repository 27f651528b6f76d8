"""Composes an entry host that forwards by flow cookies."""

import msgspec

from tamarack_core import context as context_lib
from tamarack_core import envelopes
from tamarack_core import flow_packets
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core.internal.cold_targets import budget
from tamarack_core.internal.cookie import failure_detector
from tamarack_core.internal.cookie import flow_rejection
from tamarack_core.internal.cookie import flow_tracker
from tamarack_core.internal.cookie import forwarder
from tamarack_core.internal.cookie import routes
from tamarack_core.internal.cookie import subscription as subscriptions
from tamarack_core.internal.cookie import target_table
from tamarack_core.internal.load import load_collector

CODEC = envelopes.Codec(envelopes.Envelope[sync.Message])
"""Codec for the messages that an entry host sends and receives."""


class Plan(msgspec.Struct, frozen=True):
    """Description of an entry host to assemble.

    Attributes:
        host: Identity and addresses of this host.
        seed: Seed of the random generator.
        seeds: Control hosts to contact first.
        codec: Wire format of packets.
        cold_overrun_factor: Factor by which the openings to a cold target may
            exceed the rate that its service states.
        cold_slack_requests: Openings in any second beyond that.
    """

    host: peers.Peer
    seed: int
    seeds: tuple[peers.Peer, ...]
    codec: flow_packets.PacketCodec
    cold_overrun_factor: float = 1.0
    cold_slack_requests: float = 0.0


def assemble(plan: Plan) -> reducer.Node:
    """Assembles an entry host that has not started.

    Args:
        plan: Description of the host.
    """
    context = context_lib.Context(plan.host, plan.seed)
    subscription = subscriptions.ControlSubscription(
        context, routes.RouteTable(), target_table.TargetTable(), plan.seeds
    )
    rejector = flow_rejection.FlowRejector(
        context, plan.codec, subscription.routes, flow_tracker.FlowTracker()
    )
    detector = failure_detector.TargetFailureDetector(rejector, subscription)
    packet_forwarder = forwarder.Forwarder(
        rejector,
        detector,
        subscription,
        budget.Tolerance(plan.cold_overrun_factor, plan.cold_slack_requests),
    )
    collector = load_collector.LoadCollector(
        context, subscription, rejector.tracker.replies
    )
    return reducer.Node(
        context, (packet_forwarder, detector, subscription, collector)
    )
