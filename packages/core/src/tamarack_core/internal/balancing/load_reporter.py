"""Reports of work in flight to the other hosts that own flows."""

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
REPORTS_TO_FULL = 20
HELD_STEP_SHARE = 0.02
ACTIVE_STEP = 0.25

STANDBY_HOSTS = 1
"""Hosts after the owner group that hold the work in case they join it."""

FORGET_S = 30.0
"""Time after which the work of a host that is gone no longer counts."""


@dataclasses.dataclass(slots=True)
class Sent:
    """What one service has reported.

    Attributes:
        hosts: Receivers of the last report.
        work: Work as last reported, by packed address.
        round: Number of the last report.
    """

    hosts: frozenset[str] = frozenset()
    work: dict[bytes, load_table_lib.ReportedLoad] = dataclasses.field(
        default_factory=dict
    )
    round: int = 0


class LoadReporter:
    """Part that reports changes of work and takes in those of others.

    Attributes:
        context: Identity, chance, time and counters.
        config_store: Configuration in force.
        load_table: Work in flight by target.
        members: Returns the other live entry hosts of the failure domain.
        sent: What was reported, by service.
        absent: Time since which a reporting host has been gone, in seconds.
    """

    __slots__ = (
        "absent",
        "config_store",
        "context",
        "load_table",
        "members",
        "sent",
    )

    def __init__(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        load_table: load_table_lib.LoadTable,
        live_members: Callable[[], tuple[peers.Peer, ...]],
    ) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            config_store: Configuration in force.
            load_table: Work in flight by target.
            live_members: Returns the other live entry hosts of the failure
                domain.
        """
        self.context = context
        self.config_store = config_store
        self.load_table = load_table
        self.members = live_members
        self.sent: dict[str, Sent] = {}
        self.absent: dict[str, float] = {}

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
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
        """Reports the work that has changed."""
        live = self.members()
        self._forget_absent(event.now_s, {peer.host for peer in live})
        found: list[effects.Effect] = [effects.StartTimer(TIMER, INTERVAL_S)]
        for service, work in self._work_by_service(event.now_s).items():
            found.extend(self._report(service, work, live))
        return found

    def handle_report(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Takes in the work of another host."""
        report = event.message
        assert isinstance(report, balancing.TargetLoadReport)
        work = [
            (
                ip.pack_address(item.address),
                load_table_lib.ReportedLoad(item.active, item.held),
            )
            for item in report.targets
        ]
        self.load_table.apply_report(event.sender.host, work)
        return []

    def _work_by_service(
        self, now_s: float
    ) -> dict[str, dict[bytes, load_table_lib.ReportedLoad]]:
        """Returns the present work of this host by service and target."""
        found: dict[str, dict[bytes, load_table_lib.ReportedLoad]] = {}
        for target, work in self.load_table.own.items():
            service = self.config_store.lookup.find_service(target)
            reported = load_table_lib.ReportedLoad(
                work.active(now_s), work.held
            )
            found.setdefault(service, {})[target] = reported
        return found

    def _report(
        self,
        service: str,
        work: dict[bytes, load_table_lib.ReportedLoad],
        live: tuple[peers.Peer, ...],
    ) -> list[effects.Effect]:
        """Reports the work of one service if there is something to say."""
        settings = self.config_store.numbered.configuration.services.get(
            service
        )
        if settings is None:
            return []
        size = settings.opening_hosts + STANDBY_HOSTS
        group = owner_group.members(service, (self.context.host, *live), size)
        sent = self.sent.setdefault(service, Sent())
        sent.round += 1
        hosts = frozenset(peer.host for peer in group)
        full = hosts != sent.hosts or sent.round % REPORTS_TO_FULL == 0
        sent.hosts = hosts
        changed = {
            target: units
            for target, units in work.items()
            if full or _differs(sent.work.get(target), units)
        }
        if not changed:
            return []
        sent.work.update(changed)
        report = balancing.TargetLoadReport(tuple(map(_item, changed.items())))
        return [
            effects.SendMessage(peer, report)
            for peer in group
            if peer.host != self.context.host.host
        ]

    def _forget_absent(self, now_s: float, live: set[str]) -> None:
        """Drops the work of hosts that have been gone for `FORGET_S`."""
        for host in list(self.load_table.others):
            if host in live:
                self.absent.pop(host, None)
            elif now_s - self.absent.setdefault(host, now_s) > FORGET_S:
                self.load_table.forget(host)
                del self.absent[host]


def _item(
    work: tuple[bytes, load_table_lib.ReportedLoad],
) -> balancing.TargetLoad:
    """Returns the form of work that is sent."""
    target, units = work
    return balancing.TargetLoad(
        ip.format_address(target), round(units.active, 2), round(units.held, 2)
    )


def _differs(
    old: load_table_lib.ReportedLoad | None, new: load_table_lib.ReportedLoad
) -> bool:
    """Returns whether a change of work is worth a report."""
    if old is None:
        return new.active > 0 or new.held > 0
    if abs(new.active - old.active) >= ACTIVE_STEP:
        return True
    step = max(1.0, HELD_STEP_SHARE * old.held)
    return abs(new.held - old.held) >= step
