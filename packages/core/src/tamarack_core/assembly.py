"""Assembles the components of a host according to its roles."""

import dataclasses
import enum

from tamarack_core import context as context_lib
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core.internal import lifecycle
from tamarack_core.internal import status
from tamarack_core.internal import views
from tamarack_core.internal.balancing import chooser
from tamarack_core.internal.balancing import load_reporter
from tamarack_core.internal.balancing import load_table as load_table_lib
from tamarack_core.internal.control import non_control_requests
from tamarack_core.internal.control import voter
from tamarack_core.internal.distribution import configuration_distributor
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.entry import data_path
from tamarack_core.internal.limits import quota_lease_manager
from tamarack_core.internal.limits import quota_limiter
from tamarack_core.internal.membership import host_membership
from tamarack_core.internal.targets import announcement_validator
from tamarack_core.internal.targets import lease_aggregator
from tamarack_core.internal.targets import lease_table
from tamarack_core.storage import disk as disks


class Role(enum.StrEnum):
    """Role of a host; a host may have several."""

    ENTRY = "entry"
    RELAY = "relay"
    CONTROL = "control"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Description of a host to assemble.

    Attributes:
        host: Identity and addresses of this host.
        roles: Roles of this host.
        seed: Seed of the random generator.
        entry_peers: Other entry hosts of the failure domain.
        sources: Hosts to fetch the configuration from: control hosts, or hosts
            nearer to them.
        fallback_sources: Hosts to fetch it from as well while one of the
            sources is unresponsive.
        voters: Initial voters, in the order of the settings.
        disk: Contents of the data folder; required for the control role.
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
    """Assembles a host that has not started.

    Args:
        plan: Description of the host.

    Raises:
        ValueError: The plan has the control role and no disk.
    """
    context = context_lib.Context(plan.host, plan.seed)
    config_store = configuration_store.ConfigurationStore()
    targets = lease_table.TargetLeaseTable()
    distributor = configuration_distributor.ConfigurationDistributor(
        context,
        config_store,
        plan.sources,
        plan.entry_peers,
        plan.fallback_sources,
    )
    load_table = load_table_lib.LoadTable()
    limiter = quota_limiter.QuotaLimiter()
    members = host_membership.HostMembership(context, plan.entry_peers)
    path = data_path.DataPath(
        context,
        config_store,
        chooser.BalancingChooser(
            context, config_store, targets, load_table, limiter
        ),
        members,
    )
    components: list[reducer.Component] = [distributor]
    if Role.ENTRY in plan.roles:
        components.append(members)
        components.append(path)
        leases = lease_aggregator.LeaseAggregator(
            context, targets, members.other_members
        )
        components.append(leases)
        components.append(
            announcement_validator.AnnouncementValidator(
                context, config_store, leases
            )
        )
        components.append(
            load_reporter.LoadReporter(
                context, config_store, load_table, members.other_members
            )
        )
        configured_hosts = len(plan.entry_peers) + 1
        components.append(
            quota_lease_manager.QuotaLeaseManager(
                context,
                config_store,
                limiter,
                members.other_members,
                configured_hosts,
            )
        )
        components.append(
            views.OperatorViews(
                config_store, targets, load_table, path.records.table
            )
        )
    if Role.CONTROL in plan.roles:
        if plan.disk is None:
            raise ValueError("the control role needs Plan.disk")
        components.append(
            voter.VoterControl(context, distributor, plan.voters, plan.disk)
        )
    else:
        components.append(
            non_control_requests.NonControlRequests(
                config_store,
                tuple(
                    f"{peer.control.address}:{peer.control.port}"
                    for peer in plan.voters
                ),
            )
        )
    components.append(
        status.StatusReporter(
            context,
            config_store,
            tuple(sorted(plan.roles)),
            members.joined_names,
            lambda: len(targets.targets),
            lambda: len(path.records.table),
        )
    )
    stops_immediately = Role.ENTRY not in plan.roles
    components.append(lifecycle.Lifecycle(context, stops_immediately))
    return reducer.Node(context, tuple(components))
