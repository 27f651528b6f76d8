"""Versions of the decisions that a run can compare."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from tamarack_core import context as context_lib
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core.internal.balancing import book as book_lib
from tamarack_core.internal.balancing import chooser as chooser_lib
from tamarack_core.internal.balancing import reporting
from tamarack_core.internal.distribution import holder
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.limits import gate as gate_lib
from tamarack_core.internal.limits import sharing
from tamarack_core.internal.targets import aggregation
from tamarack_core.internal.targets import announcements
from tamarack_core.internal.targets import table
from tamarack_lab.naive import chooser as naive_chooser

LivePeers = Callable[[], tuple[peers.Peer, ...]]


@dataclasses.dataclass(slots=True)
class Parts:
    """What one host of a version consists of.

    Attributes:
        chooser: Chooses the target of each connection.
        parts: Parts behind the reducer.
    """

    chooser: target_choice.Chooser
    parts: tuple[reducer.Component, ...]


class Version(Protocol):
    """Builds the hosts of a run."""

    def build(
        self,
        context: context_lib.Context,
        held: holder.Holder,
        live_peers: LivePeers,
        hosts: int,
    ) -> Parts:
        """Returns the parts of one host.

        Args:
            context: Identity, chance, time and counters.
            held: Configuration in force.
            live_peers: Returns the other entry hosts of the failure domain.
            hosts: Number of entry hosts of each failure domain.
        """


class Naive:
    """Hash modulo the local list, with local limits."""

    def build(
        self,
        context: context_lib.Context,
        held: holder.Holder,
        live_peers: LivePeers,
        hosts: int,
    ) -> Parts:
        """Returns the parts of one host."""
        targets = table.TargetTable()
        leases = aggregation.Aggregation(context, targets, live_peers)
        announced = announcements.Announcements(context, held, leases)
        chooser = naive_chooser.NaiveChooser(targets, hosts, _domains(held))
        return Parts(chooser, (leases, announced))


class Tamarackford:
    """The decisions of the core."""

    def build(
        self,
        context: context_lib.Context,
        held: holder.Holder,
        live_peers: LivePeers,
        hosts: int,
    ) -> Parts:
        """Returns the parts of one host."""
        targets = table.TargetTable()
        book = book_lib.Book()
        gate = gate_lib.Gate()
        chooser = chooser_lib.BalancingChooser(context, targets, book, gate)
        shares = sharing.Sharing(context, held, gate, live_peers, hosts)
        leases = aggregation.Aggregation(context, targets, live_peers)
        announced = announcements.Announcements(context, held, leases)
        report = reporting.Reporting(context, held, book, live_peers)
        return Parts(chooser, (leases, announced, report, shares))


class Central:
    """One chooser with exact knowledge for all hosts; a bound to aim at."""

    def __init__(self) -> None:
        """Starts a run without hosts."""
        self.shared: Parts | None = None

    def build(
        self,
        context: context_lib.Context,
        held: holder.Holder,
        live_peers: LivePeers,
        hosts: int,
    ) -> Parts:
        """Returns the parts of one host; all share one chooser."""
        if self.shared is None:
            self.shared = Tamarackford().build(context, held, live_peers, hosts)
        return self.shared


def _domains(held: holder.Holder) -> int:
    """Returns the number of failure domains that divide the limits."""
    services = held.numbered.configuration.services.values()
    return max((len(item.failure_domains) for item in services), default=1) or 1
