"""Composes the parts of a host from its roles."""

import dataclasses
import enum

from tamarack_core import context as context_lib
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core.internal import lifecycle
from tamarack_core.internal import status
from tamarack_core.internal import views
from tamarack_core.internal.balancing import book as book_lib
from tamarack_core.internal.balancing import chooser
from tamarack_core.internal.balancing import reporting
from tamarack_core.internal.control import outside
from tamarack_core.internal.control import voter
from tamarack_core.internal.distribution import holder
from tamarack_core.internal.distribution import spreading
from tamarack_core.internal.entry import data_path
from tamarack_core.internal.limits import gate as gate_lib
from tamarack_core.internal.limits import sharing
from tamarack_core.internal.membership import part as membership_part
from tamarack_core.internal.targets import aggregation
from tamarack_core.internal.targets import announcements
from tamarack_core.internal.targets import table
from tamarack_core.storage import disk as disks


class Role(enum.StrEnum):
    """What a host does."""

    ENTRY = "entry"
    RELAY = "relay"
    CONTROL = "control"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a host is made of.

    Attributes:
        host: Identity and addresses of this host.
        roles: Roles of this host.
        seed: Seed of the generator.
        entry_peers: Other entry hosts of the failure domain.
        sources: Hosts to fetch the configuration from; they are nearer to the
            control hosts, or control hosts.
        fallback_sources: Hosts to fetch it from as well when one of the
            sources is silent.
        voters: First voters in the order of the settings.
        disk: What the data folder holds; required for the control role.
    """

    host: peers.Peer
    roles: frozenset[Role]
    seed: int
    entry_peers: tuple[peers.Peer, ...] = ()
    sources: tuple[peers.Peer, ...] = ()
    fallback_sources: tuple[peers.Peer, ...] = ()
    voters: tuple[peers.Peer, ...] = ()
    disk: disks.DiskContents | None = None


def assemble(plan: Plan) -> reducer.Node:
    """Returns the state of a host that has not started.

    Args:
        plan: What the host is made of.

    Raises:
        ValueError: The plan has the control role and no disk.
    """
    context = context_lib.Context(plan.host, plan.seed)
    held = holder.Holder()
    targets = table.TargetTable()
    distribution = spreading.Spreading(
        context, held, plan.sources, plan.entry_peers, plan.fallback_sources
    )
    book = book_lib.Book()
    gate = gate_lib.Gate()
    members = membership_part.Membership(context, plan.entry_peers)
    path = data_path.DataPath(
        context,
        held,
        chooser.BalancingChooser(context, targets, book, gate),
        members,
    )
    components: list[reducer.Component] = [distribution]
    if Role.ENTRY in plan.roles:
        components.append(members)
        components.append(path)
        leases = aggregation.Aggregation(context, targets, members.others)
        components.append(leases)
        components.append(announcements.Announcements(context, held, leases))
        components.append(
            reporting.Reporting(context, held, book, members.others)
        )
        roster = len(plan.entry_peers) + 1
        components.append(
            sharing.Sharing(context, held, gate, members.others, roster)
        )
        components.append(views.Views(held, targets, book, path.records.table))
    if Role.CONTROL in plan.roles:
        if plan.disk is None:
            raise ValueError("the control role needs Plan.disk")
        components.append(
            voter.VoterControl(context, distribution, plan.voters, plan.disk)
        )
    else:
        components.append(
            outside.Outside(
                held,
                tuple(
                    f"{peer.control.address}:{peer.control.port}"
                    for peer in plan.voters
                ),
            )
        )
    components.append(
        status.Status(
            context,
            held,
            tuple(sorted(plan.roles)),
            members.joined,
            lambda: len(targets.targets),
            lambda: len(path.records.table),
        )
    )
    ends_at_once = Role.ENTRY not in plan.roles
    components.append(lifecycle.Lifecycle(context, ends_at_once))
    return reducer.Node(context, tuple(components))
