"""Reports of the load of targets to the other hosts that own flows."""

from collections.abc import Callable
import dataclasses

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core.internal.balancing import load_table as load_table_lib
from tamarack_core.internal.balancing import owner_group
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.messages import balancing
from tamarack_core.packets import ip

TIMER = "work-report"
INTERVAL_S = 0.5
# Every such round reports all loads, not only those that changed.
FULL_REPORT_ROUNDS = 20
# Change of the held connections that is reported, as a fraction, at least 1.
HELD_STEP_FRACTION = 0.02
# Change of the active load that is reported.
ACTIVE_STEP = 0.25

STANDBY_HOSTS = 1
"""Hosts next in order after the owner group that also get the reports.

They know the load already when they become owners."""

ABSENT_HOST_EXPIRY_S = 30.0
"""Time after which the load of an absent host no longer counts."""


@dataclasses.dataclass(slots=True)
class LastReport:
    """Last report about the targets of one service.

    Attributes:
        hosts: Receivers of the last report.
        loads: Load as last reported, by packed address.
        rounds: Number of reporting rounds so far.
    """

    hosts: frozenset[str] = frozenset()
    loads: dict[bytes, load_table_lib.ReportedLoad] = dataclasses.field(
        default_factory=dict
    )
    rounds: int = 0


class LoadReporter:
    """Component that reports load changes and applies those of other hosts.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        config_store: Configuration in force.
        load_table: Load by target.
        members: Returns the other live entry hosts of the failure domain.
        last_reports: Last report by service.
        absent_since_s: Time in seconds since which a reporting host has been
            absent from the live members, by host.
    """

    __slots__ = (
        "absent_since_s",
        "config_store",
        "context",
        "last_reports",
        "load_table",
        "members",
    )

    def __init__(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        load_table: load_table_lib.LoadTable,
        live_members: Callable[[], tuple[peers.Peer, ...]],
    ) -> None:
        """Initializes the load reporter.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            config_store: Configuration in force.
            load_table: Load by target.
            live_members: Returns the other live entry hosts of the failure
                domain.
        """
        self.context = context
        self.config_store = config_store
        self.load_table = load_table
        self.members = live_members
        self.last_reports: dict[str, LastReport] = {}
        self.absent_since_s: dict[str, float] = {}

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            events.Started: self.handle_started,
            TIMER: self.handle_timer,
            balancing.TargetLoadReport: self.handle_report,
        }

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Starts the timer at a random point of the interval."""
        delay_s = self.context.random.random() * INTERVAL_S
        return [effects.StartTimer(TIMER, delay_s)]

    def handle_timer(self, event: events.TimerFired) -> list[effects.Effect]:
        """Reports the loads that have changed."""
        live = self.members()
        self._remove_absent_hosts(event.now_s, {peer.host for peer in live})
        result: list[effects.Effect] = [effects.StartTimer(TIMER, INTERVAL_S)]
        for service, loads in self._loads_by_service(event.now_s).items():
            result.extend(self._report(service, loads, live))
        return result

    def handle_report(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Applies the loads that another host reports."""
        report = event.message
        assert isinstance(report, balancing.TargetLoadReport)
        loads = [
            (
                ip.pack_address(item.address),
                load_table_lib.ReportedLoad(item.active, item.held),
            )
            for item in report.targets
        ]
        self.load_table.apply_report(event.sender.host, loads)
        return []

    def _loads_by_service(
        self, now_s: float
    ) -> dict[str, dict[bytes, load_table_lib.ReportedLoad]]:
        """Returns the current load of this host by service and target."""
        result: dict[str, dict[bytes, load_table_lib.ReportedLoad]] = {}
        for target, load in self.load_table.local.items():
            service = self.config_store.lookup.find_service(target)
            reported = load_table_lib.ReportedLoad(
                load.active(now_s), load.held
            )
            result.setdefault(service, {})[target] = reported
        return result

    def _report(
        self,
        service: str,
        loads: dict[bytes, load_table_lib.ReportedLoad],
        live: tuple[peers.Peer, ...],
    ) -> list[effects.Effect]:
        """Returns the reports about one service; none without a change."""
        settings = self.config_store.numbered.configuration.services.get(
            service
        )
        if settings is None:
            return []
        size = settings.opening_hosts + STANDBY_HOSTS
        group = owner_group.members(service, (self.context.host, *live), size)
        last = self.last_reports.setdefault(service, LastReport())
        last.rounds += 1
        hosts = frozenset(peer.host for peer in group)
        full = hosts != last.hosts or last.rounds % FULL_REPORT_ROUNDS == 0
        last.hosts = hosts
        changed = {
            target: load
            for target, load in loads.items()
            if full or _is_significant(last.loads.get(target), load)
        }
        if not changed:
            return []
        last.loads.update(changed)
        report = balancing.TargetLoadReport(
            tuple(map(_to_message, changed.items()))
        )
        return [
            effects.SendMessage(peer, report)
            for peer in group
            if peer.host != self.context.host.host
        ]

    def _remove_absent_hosts(self, now_s: float, live: set[str]) -> None:
        """Removes hosts that have been absent for `ABSENT_HOST_EXPIRY_S`."""
        for host in list(self.load_table.remote):
            if host in live:
                self.absent_since_s.pop(host, None)
            elif (
                now_s - self.absent_since_s.setdefault(host, now_s)
                > ABSENT_HOST_EXPIRY_S
            ):
                self.load_table.remove_host(host)
                del self.absent_since_s[host]


def _to_message(
    item: tuple[bytes, load_table_lib.ReportedLoad],
) -> balancing.TargetLoad:
    """Returns the load of one target as it is sent."""
    target, load = item
    return balancing.TargetLoad(
        ip.format_address(target), round(load.active, 2), round(load.held, 2)
    )


def _is_significant(
    old: load_table_lib.ReportedLoad | None, new: load_table_lib.ReportedLoad
) -> bool:
    """Returns whether a load has changed enough to be reported."""
    if old is None:
        return new.active > 0 or new.held > 0
    if abs(new.active - old.active) >= ACTIVE_STEP:
        return True
    step = max(1.0, HELD_STEP_FRACTION * old.held)
    return abs(new.held - old.held) >= step
