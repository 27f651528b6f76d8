"""Versions of target choice and limits that a run can compare."""

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
    """Components of one host of a version.

    Attributes:
        chooser: Chooser of the target of each connection.
        components: Parts behind the reducer.
    """

    chooser: target_choice.Chooser
    components: tuple[reducer.Component, ...]


class Version(Protocol):
    """Builds the components of the hosts of a run."""

    def build(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        live_peers: LivePeers,
        hosts: int,
    ) -> HostComponents:
        """Returns the components of one host.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            config_store: Store with the configuration in force.
            live_peers: Returns the other running entry hosts of the domain.
            hosts: Number of entry hosts of each failure domain.
        """


class Naive:
    """Naive version: hash modulo the local list, with local limits."""

    def build(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        live_peers: LivePeers,
        hosts: int,
    ) -> HostComponents:
        """Returns the components of one host."""
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
    """Version with the target choice and limits of the core."""

    def build(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        live_peers: LivePeers,
        hosts: int,
    ) -> HostComponents:
        """Returns the components of one host."""
        targets = lease_table.TargetLeaseTable()
        load_table = load_table_lib.LoadTable()
        limiter = quota_limiter.QuotaLimiter()
        chooser = chooser_lib.BalancingChooser(
            context, config_store, targets, load_table, limiter
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


class SharedChooser:
    """Version with one chooser that all hosts share.

    Its knowledge of the load is exact, so its figures are a bound for what
    separate choosers can reach.
    """

    def __init__(self) -> None:
        """Initializes the version without components."""
        self.components: HostComponents | None = None

    def build(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        live_peers: LivePeers,
        hosts: int,
    ) -> HostComponents:
        """Returns the components of one host, which all hosts share."""
        if self.components is None:
            self.components = Tamarackford().build(
                context, config_store, live_peers, hosts
            )
        return self.components


def _domains(config_store: configuration_store.ConfigurationStore) -> int:
    """Returns the number of domains among which limits are divided."""
    services = config_store.numbered.configuration.services.values()
    return max((len(item.failure_domains) for item in services), default=1) or 1
