"""Versions of the decisions that a run can compare."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from tamarack_core import context as context_lib
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core.internal.balancing import chooser as chooser_lib
from tamarack_core.internal.balancing import load_reporter
from tamarack_core.internal.balancing import load_table as load_table_lib
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.limits import quota_lease_manager
from tamarack_core.internal.limits import quota_limiter
from tamarack_core.internal.targets import announcement_validator
from tamarack_core.internal.targets import lease_aggregator
from tamarack_core.internal.targets import lease_table
from tamarack_lab.naive import chooser as naive_chooser

LivePeers = Callable[[], tuple[peers.Peer, ...]]


@dataclasses.dataclass(slots=True)
class HostComponents:
    """What one host of a version consists of.

    Attributes:
        chooser: Chooses the target of each connection.
        components: Parts behind the reducer.
    """

    chooser: target_choice.Chooser
    components: tuple[reducer.Component, ...]


class Version(Protocol):
    """Builds the hosts of a run."""

    def build(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        live_peers: LivePeers,
        hosts: int,
    ) -> HostComponents:
        """Returns the parts of one host.

        Args:
            context: Identity, chance, time and counters.
            config_store: Configuration in force.
            live_peers: Returns the other entry hosts of the failure domain.
            hosts: Number of entry hosts of each failure domain.
        """


class Naive:
    """Hash modulo the local list, with local limits."""

    def build(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        live_peers: LivePeers,
        hosts: int,
    ) -> HostComponents:
        """Returns the parts of one host."""
        targets = lease_table.TargetLeaseTable()
        leases = lease_aggregator.LeaseAggregator(context, targets, live_peers)
        announced = announcement_validator.AnnouncementValidator(
            context, config_store, leases
        )
        chooser = naive_chooser.NaiveChooser(
            targets, hosts, _domains(config_store)
        )
        return HostComponents(chooser, (leases, announced))


class Tamarackford:
    """The decisions of the core."""

    def build(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        live_peers: LivePeers,
        hosts: int,
    ) -> HostComponents:
        """Returns the parts of one host."""
        targets = lease_table.TargetLeaseTable()
        load_table = load_table_lib.LoadTable()
        limiter = quota_limiter.QuotaLimiter()
        chooser = chooser_lib.BalancingChooser(
            context, targets, load_table, limiter
        )
        shares = quota_lease_manager.QuotaLeaseManager(
            context, config_store, limiter, live_peers, hosts
        )
        leases = lease_aggregator.LeaseAggregator(context, targets, live_peers)
        announced = announcement_validator.AnnouncementValidator(
            context, config_store, leases
        )
        report = load_reporter.LoadReporter(
            context, config_store, load_table, live_peers
        )
        return HostComponents(chooser, (leases, announced, report, shares))


class Central:
    """One chooser with exact knowledge for all hosts; a bound to aim at."""

    def __init__(self) -> None:
        """Starts a run without hosts."""
        self.shared: HostComponents | None = None

    def build(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        live_peers: LivePeers,
        hosts: int,
    ) -> HostComponents:
        """Returns the parts of one host; all share one chooser."""
        if self.shared is None:
            self.shared = Tamarackford().build(
                context, config_store, live_peers, hosts
            )
        return self.shared


def _domains(config_store: configuration_store.ConfigurationStore) -> int:
    """Returns the number of failure domains that divide the limits."""
    services = config_store.numbered.configuration.services.values()
    return max((len(item.failure_domains) for item in services), default=1) or 1
