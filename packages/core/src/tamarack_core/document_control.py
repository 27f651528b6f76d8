"""Composes a control host for numbered documents and announced targets."""

import msgspec

from tamarack_core import context as context_lib
from tamarack_core import envelopes
from tamarack_core import evacuations
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core.internal.cold_targets import budget
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.group import document_replication
from tamarack_core.internal.group import host_directory
from tamarack_core.internal.load import load_aggregator
from tamarack_core.internal.registry import announcement_receiver
from tamarack_core.internal.registry import publisher as publishers
from tamarack_core.internal.registry import suspicion_relay
from tamarack_core.internal.registry import target_registry
from tamarack_core.messages import consensus
from tamarack_core.storage import disk as disks

CODEC = envelopes.Codec(envelopes.Envelope[sync.Message | consensus.Message])
"""Codec of the messages between control hosts and other hosts."""


class Plan(msgspec.Struct, frozen=True):
    """Description of a control host to assemble.

    Attributes:
        host: Identity and addresses of this host.
        seed: Seed of the random generator.
        seeds: Control hosts listed in the settings.
        disk: Contents of the data folder.
        tolerated_hosts: Number of control hosts that may be lost at once.
        announce_interval_s: Time between the announcements of a target, in
            seconds.
        evacuation: Settings of evacuations; without domains, orders are
            refused.
        cold_overrun_factor: Factor by which the openings to a cold target may
            exceed the rate that its service states.
        cold_slack_requests: Openings in any second beyond that.
    """

    host: peers.Peer
    seed: int
    seeds: tuple[peers.Peer, ...]
    disk: disks.DiskContents
    tolerated_hosts: int
    announce_interval_s: float
    evacuation: evacuations.Settings = evacuations.Settings()
    cold_overrun_factor: float = 1.0
    cold_slack_requests: float = 0.0


def founder_incarnation(endpoint: peers.Endpoint) -> str:
    """Returns the incarnation of a founder.

    It depends on the address alone, so that all seeds know it in advance.

    Args:
        endpoint: Control endpoint of the founder.
    """
    return f"first-{endpoint.address}"


def assemble(plan: Plan) -> reducer.Node:
    """Assembles a control host that has not started.

    Args:
        plan: Description of the host.
    """
    context = context_lib.Context(plan.host, plan.seed)
    directory = host_directory.ControlHostDirectory(context, plan.seeds)
    registry = target_registry.TargetRegistry(plan.announce_interval_s)
    publisher = publishers.Publisher(context, registry)
    replicator = document_replication.DocumentReplicator(
        context,
        directory,
        publisher,
        plan.disk,
        _founders(plan),
        plan.tolerated_hosts,
        plan.evacuation,
        budget.Tolerance(plan.cold_overrun_factor, plan.cold_slack_requests),
    )
    announcements = announcement_receiver.AnnouncementReceiver(
        context, registry, publisher, directory, plan.disk.targets
    )
    suspicions = suspicion_relay.SuspicionRelay(context, publisher)
    loads = load_aggregator.LoadAggregator(context, publisher, registry)
    return reducer.Node(
        context, (publisher, replicator, announcements, suspicions, loads)
    )


def _founders(plan: Plan) -> tuple[membership.Member, ...]:
    """Returns the first members: the same at all seeds, none at other hosts.

    A founder is identified by its address alone, because seeds don't know one
    another's names. Its incarnation is fixed, so that the seeds need no further
    agreement; a founder that loses its disk returns with another incarnation.
    """
    if plan.disk.incarnation != founder_incarnation(plan.host.control):
        return ()
    return tuple(
        membership.Member(
            peers.Peer(seed.control.address, "", seed.control),
            founder_incarnation(seed.control),
        )
        for seed in sorted(plan.seeds, key=_endpoint_key)
    )


def _endpoint_key(peer: peers.Peer) -> tuple[str, int]:
    return (peer.control.address, peer.control.port)
