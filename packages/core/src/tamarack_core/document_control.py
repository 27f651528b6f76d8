"""Composes a control host that keeps numbered documents and targets."""

import msgspec

from tamarack_core import context as context_lib
from tamarack_core import envelopes
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.group import document_replication
from tamarack_core.internal.group import host_directory
from tamarack_core.internal.registry import announcement_receiver
from tamarack_core.internal.registry import publisher as publishers
from tamarack_core.internal.registry import suspicion_relay
from tamarack_core.internal.registry import target_registry
from tamarack_core.messages import consensus
from tamarack_core.storage import disk as disks

CODEC = envelopes.Codec(envelopes.Envelope[sync.Message | consensus.Message])
"""Translates the messages that a control host takes and sends."""


class Plan(msgspec.Struct, frozen=True):
    """What a control host is made of.

    Attributes:
        host: Identity and addresses of this host.
        seed: Seed of the generator.
        seeds: Control hosts to begin with.
        disk: What the data folder holds.
        tolerated_hosts: Control hosts that may be lost at once.
        announce_interval_s: Time between the announcements of a target.
    """

    host: peers.Peer
    seed: int
    seeds: tuple[peers.Peer, ...]
    disk: disks.DiskContents
    tolerated_hosts: int
    announce_interval_s: float


def founder_incarnation(endpoint: peers.Endpoint) -> str:
    """Returns the incarnation of a founder, which all seeds know beforehand.

    Args:
        endpoint: Its control endpoint.
    """
    return f"first-{endpoint.address}"


def assemble(plan: Plan) -> reducer.Node:
    """Returns the state of a control host that has not started.

    Args:
        plan: What the host is made of.
    """
    context = context_lib.Context(plan.host, plan.seed)
    directory = host_directory.ControlHostDirectory(context, plan.seeds)
    registry = target_registry.TargetRegistry(plan.announce_interval_s)
    publisher = publishers.Publisher(context, registry)
    documents = document_replication.DocumentReplicator(
        context,
        directory,
        publisher,
        plan.disk,
        _founders(plan),
        plan.tolerated_hosts,
    )
    announcements = announcement_receiver.AnnouncementReceiver(
        context, registry, publisher, directory, plan.disk.targets
    )
    doubts = suspicion_relay.SuspicionRelay(context, publisher)
    return reducer.Node(context, (publisher, documents, announcements, doubts))


def _founders(plan: Plan) -> tuple[membership.Member, ...]:
    """Returns the first members, equal at all seeds; none elsewhere.

    A founder is known by its address alone, as seeds don't know one another's
    names. Its incarnation is fixed, so that the group needs no further
    agreement; a founder that loses its disk comes back under another one.
    """
    if plan.disk.incarnation != founder_incarnation(plan.host.control):
        return ()
    return tuple(
        membership.Member(
            peers.Peer(seed.control.address, "", seed.control),
            founder_incarnation(seed.control),
        )
        for seed in sorted(plan.seeds, key=_place)
    )


def _place(peer: peers.Peer) -> tuple[str, int]:
    return (peer.control.address, peer.control.port)
