"""Failure detector for targets, based on probes.

A target is probed when a caller retransmits to it, and while it has flows
through this host, when it is overdue, when another host found it dead, and when
another target of its failure domain was found dead. The results count for this
host only; other hosts run their own probes. A report about a target without
flows keeps openings away from it for a while, and costs no probe: where there
are hundreds of hosts, few of them have flows with one target.
"""

import collections
from collections.abc import Iterator
import math

import msgspec

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core import target_announcement
from tamarack_core.internal.cookie import flow_rejection
from tamarack_core.internal.cookie import subscription as subscriptions
from tamarack_core.internal.cookie import target_probes
from tamarack_core.internal.cookie import target_table

RECENT_REPLY_S = 0.3
"""Time for which a reply outweighs a suspicion of another host, in seconds.
A suspicion rests on a probe that takes about this long, so a reply within this
time is newer."""


OVERDUE_REPLY_S = 2.0
"""Time after a reply in which an overdue target is not probed, in seconds. Its
announcements may be lost where control hosts are cut off from one another."""

MIN_DOWN_TARGETS = 4
"""Dead targets from which on a failure domain may count as down. Fewer of them
may have crashed independently, and probing each of them costs little."""


PROBE_SPACING_S = 0.001
"""Mean time between probes of one target that all entry hosts send for the same
reason, in seconds. Without it the probes come within milliseconds and may fill
the target's queue of connections."""

NEIGHBORS_INTERVAL_S = 0.1
"""Shortest time between two searches of a failure domain for dead targets, in
seconds. While a domain is cut off, its targets are found dead one by one, and
each search passes over all its targets with flows."""


class NeighborSearch(msgspec.Struct):
    """Searches of a failure domain for other dead targets.

    Attributes:
        is_due: Whether a target became suspect since the last search.
        suspected_s: Time of the latest first probe of a suspect, in seconds.
        is_reported: Whether all that became suspect since the last search were
            reported by other hosts.
        searched_s: Time of the last search, in seconds.
    """

    is_due: bool = False
    suspected_s: float = float("-inf")
    is_reported: bool = True
    searched_s: float = float("-inf")


class TargetFailureDetector:
    """Component that detects dead targets and resets their flows.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        rejector: Resets flows at their callers.
        subscription: Subscription to a control host.
        targets: Known targets.
        tracker: State of flows and targets, observed in packets.
        probes: State of the target probes.
        searches: Searches for dead targets by failure domain.
    """

    __slots__ = (
        "context",
        "probes",
        "rejector",
        "searches",
        "subscription",
        "targets",
        "tracker",
    )

    def __init__(
        self,
        rejector: flow_rejection.FlowRejector,
        subscription: subscriptions.ControlSubscription,
    ) -> None:
        """Initializes the failure detector.

        Args:
            rejector: Resets flows at their callers.
            subscription: Subscription to a control host.
        """
        self.context = rejector.context
        self.rejector = rejector
        self.subscription = subscription
        self.targets = subscription.targets
        self.tracker = rejector.tracker
        self.probes = target_probes.TargetProbes(self.context.counters)
        self.searches: dict[str, NeighborSearch] = {}

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            events.TargetProbed: self.handle_probe_result,
            sync.SuspectTargets: self.handle_suspects,
        }

    def check_suspension(self, now_s: float) -> None:
        """Checks for a suspension, which makes earlier evidence void."""
        if self.tracker.check_suspension(now_s):
            self.probes.reset_pending()

    def handle_probe_result(
        self, event: events.TargetProbed
    ) -> list[effects.Effect]:
        """Handles the result of a probe; flows of a dead target are reset."""
        self.check_suspension(event.now_s)
        self.context.counters[f"probes-{event.outcome}"] += 1
        if event.outcome.is_reply:
            return self._handle_reply(event)
        if self._is_inconclusive(event):
            ended = self.probes.handle_inconclusive(event.target, event.number)
            return [self._record_failed_probe(event, ended)] if ended else []
        failed = self.probes.handle_failure(event.target, event.number)
        if failed is None:
            return []
        return [
            self._record_failed_probe(event, failed),
            *self._handle_failure(event.now_s, failed),
        ]

    def _handle_failure(
        self, now_s: float, failed: target_probes.ProbeState
    ) -> list[effects.Effect]:
        """Returns the next step after a probe of a target has failed."""
        if failed.confirmed_by:
            return self._mark_dead(now_s, failed)
        if self.probes.has_later_reply(failed):
            return [
                *self._probe_again(now_s, failed, "an earlier probe"),
                *self._probe_neighbors(now_s),
            ]
        return self.probes.probe_reference(now_s, failed, self._references())

    def _is_inconclusive(self, event: events.TargetProbed) -> bool:
        """Returns whether a probe without a reply shows nothing.

        A target that drains may have closed its listener before its flows end.
        """
        entry = self.targets.by_name.get(event.target)
        is_draining = (
            entry is not None
            and entry.target.phase is target_announcement.Phase.DRAINING
        )
        return event.outcome is events.ProbeOutcome.NOT_SENT or (
            is_draining and event.outcome is events.ProbeOutcome.REFUSED
        )

    def _record_failed_probe(
        self, event: events.TargetProbed, failed: target_probes.ProbeState
    ) -> effects.Effect:
        """Returns the time line entry of a probe that failed."""
        now_s = event.now_s
        entry = failed.entry
        activity = self.tracker.activity_of(entry)
        return self.context.record(
            now_s,
            "probe-failed",
            service=entry.target.service,
            target=entry.target.name,
            reason=event.outcome,
            detail=f"by {failed.trigger}, {now_s - failed.sent_s:.3f} s ago;"
            f" {activity.flows} flows;"
            f" last reply {_format_age(now_s, activity.liveness.last_reply_s)}",
        )

    def probe_dead(self, now_s: float) -> list[effects.Effect]:
        """Returns probes of dead targets, which may have recovered.

        The searches for others that are due are made as well.
        """
        self.probes.remove_ended(self.targets.by_name)
        result = self._probe_neighbors(now_s)
        if self.probes.dead():
            result += self.probes.probe_dead(now_s, self._down_domains())
        return result

    def _down_domains(self) -> set[str]:
        """Returns the failure domains in which most targets are dead."""
        dead = collections.Counter(
            probe.entry.target.domain for probe in self.probes.dead()
        )
        known = self.targets.domain_sizes
        return {
            domain
            for domain, count in dead.items()
            if count >= MIN_DOWN_TARGETS and 2 * count > known[domain]
        }

    def _handle_reply(self, event: events.TargetProbed) -> list[effects.Effect]:
        """Handles a reply, and probes again the targets that waited for it."""
        now_s, name = event.now_s, event.target
        held = self.probes.probes.get(name)
        is_dead = held is not None and held.is_dead
        down_domains = self._down_domains() if is_dead else set()
        is_current = self.probes.is_running(name, event.number)
        was_dead = self.probes.handle_success(name, event.number)
        entry = self.targets.by_name.get(name)
        result: list[effects.Effect] = []
        if entry is not None:
            self.tracker.observe_reply(now_s, entry)
            if was_dead:
                result.append(
                    self._record_transition(now_s, entry, "target-alive")
                )
            if was_dead and entry.target.domain in down_domains:
                result += self._revive_domain(now_s, entry.target.domain)
        if is_current:
            for probe in self.probes.awaiting_reference(name):
                result += self._probe_again(now_s, probe, name)
            result += self._probe_neighbors(now_s)
        return result

    def _revive_domain(self, now_s: float, domain: str) -> list[effects.Effect]:
        """Marks the targets of a failure domain alive after one has replied.

        The domain was cut off, so it isn't necessary that each host connects
        to each of its targets. A target whose announcements are overdue may
        have crashed, and is probed.
        """
        result: list[effects.Effect] = []
        for probe in self.probes.dead():
            entry = self.targets.by_name.get(probe.entry.target.name)
            if entry is None or entry.target.domain != domain:
                continue
            if entry.is_overdue:
                result += self.probes.probe(
                    now_s,
                    entry,
                    target_probes.Trigger.RECOVERY,
                    delay_s=self._draw_delay_s(),
                )
            else:
                probe.is_dead = False
                result.append(
                    self._record_transition(
                        now_s, entry, "target-alive", "domain-replied"
                    )
                )
        return result

    def _probe_again(
        self, now_s: float, probe: target_probes.ProbeState, replied: str
    ) -> list[effects.Effect]:
        """Probes a target and its neighbors after a reply of another target.

        Args:
            now_s: Monotonic time in seconds.
            probe: The failed probe.
            replied: What has replied since, for the log.
        """
        probe.reference = ""
        if self._suspect_entry(probe) is None:
            return []
        self._request_search(probe)
        return [self.probes.probe_again(now_s, probe, replied)]

    def _suspect_entry(
        self, probe: target_probes.ProbeState
    ) -> target_table.TargetEntry | None:
        """Returns the target of a failed probe if it is still suspect."""
        entry = self.targets.by_name.get(probe.entry.target.name)
        if entry is None or entry.is_gone:
            return None
        if target_probes.is_restarted(probe.entry, entry):
            # The target has restarted since the probe.
            return None
        last_reply_s = self.tracker.activity_of(entry).liveness.last_reply_s
        if last_reply_s >= probe.suspected_s:
            # Its flows make progress, so only the probe was lost.
            return None
        return entry

    def _mark_dead(
        self, now_s: float, probe: target_probes.ProbeState
    ) -> list[effects.Effect]:
        """Marks a target dead whose second probe has failed as well."""
        replied, probe.confirmed_by = probe.confirmed_by, ""
        entry = self._suspect_entry(probe)
        if entry is None:
            return []
        probe.is_dead = True
        return [
            self._record_transition(
                now_s, entry, "target-dead", "probe", replied
            ),
            *self.rejector.reset_flows(now_s, entry, "target-silent"),
            *self._report_failure(probe),
        ]

    def _report_failure(
        self, dead: target_probes.ProbeState
    ) -> list[effects.Effect]:
        """Reports a dead target, unless another host reported it."""
        publisher = self.subscription.publisher
        if publisher is None or dead.is_reported:
            return []
        message = sync.SuspectTargets((dead.entry.target.name,))
        return [effects.SendMessage(publisher, message)]

    def handle_suspects(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Probes reported targets with flows, and avoids the others."""
        message = event.message
        assert isinstance(message, sync.SuspectTargets)
        now_s = event.now_s
        result: list[effects.Effect] = []
        for entry in map(self.targets.by_name.get, message.targets):
            if entry is None or entry.is_gone or self.probes.is_dead(entry):
                continue
            activity = self.tracker.activity_of(entry)
            if activity.has_replied(now_s, RECENT_REPLY_S):
                continue
            activity.reported_s = now_s
            if activity.flows:
                result += self.probes.probe(
                    now_s,
                    entry,
                    target_probes.Trigger.REPORT,
                    is_reported=True,
                    delay_s=self._draw_delay_s(),
                )
        return result

    def probe_overdue(self, now_s: float) -> list[effects.Effect]:
        """Probes overdue targets with flows that have not replied lately."""
        return [
            effect
            for entry in self.targets.by_name.values()
            if entry.is_overdue
            and (activity := self.tracker.activity_of(entry)).flows
            and not activity.has_replied(now_s, OVERDUE_REPLY_S)
            for effect in self.probes.probe(
                now_s, entry, target_probes.Trigger.OVERDUE
            )
        ]

    def _request_search(self, suspect: target_probes.ProbeState) -> None:
        """Makes a search of the failure domain of a suspect target due."""
        domain = suspect.entry.target.domain
        search = self.searches.setdefault(domain, NeighborSearch())
        search.is_due = True
        search.suspected_s = max(search.suspected_s, suspect.suspected_s)
        search.is_reported = search.is_reported and suspect.is_reported

    def _probe_neighbors(self, now_s: float) -> list[effects.Effect]:
        """Probes the other targets in the failure domains of suspect ones.

        If a whole domain is cut off, its other targets are found dead before
        callers have to retransmit to each of them. A search that would follow
        another one too soon is made at a later call.
        """
        result = []
        for domain, search in self.searches.items():
            is_recent = now_s - search.searched_s < NEIGHBORS_INTERVAL_S
            if search.is_due and not is_recent:
                result += self._search_domain(now_s, domain, search)
        return result

    def _search_domain(
        self, now_s: float, domain: str, search: NeighborSearch
    ) -> list[effects.Effect]:
        """Probes the targets with flows in a failure domain.

        Those that have replied since the suspect ones were probed are left out.
        """
        result = []
        for name in self.tracker.used.get(domain, ()):
            entry = self.targets.by_name.get(name)
            if entry is None or entry.is_gone or self.probes.is_dead(entry):
                continue
            activity = self.tracker.activity_of(entry)
            if activity.liveness.last_reply_s < search.suspected_s:
                result += self.probes.probe(
                    now_s,
                    entry,
                    target_probes.Trigger.NEIGHBOR,
                    is_reported=search.is_reported,
                    delay_s=self._draw_delay_s(),
                )
        search.is_due, search.is_reported = False, True
        search.searched_s = now_s
        return result

    def _draw_delay_s(self) -> float:
        """Returns the delay of a probe that many hosts send for one reason."""
        window_s = PROBE_SPACING_S * self.subscription.entry_hosts
        return self.context.random.uniform(0.0, window_s)

    def _record_transition(
        self,
        now_s: float,
        entry: target_table.TargetEntry,
        name: str,
        reason: str = "probe",
        reference: str = "",
    ) -> effects.Effect:
        """Returns the time line entry of a target found dead or alive."""
        activity = self.tracker.activity_of(entry)
        detail = (
            f"{activity.flows} flows;"
            f" last reply {_format_age(now_s, activity.liveness.last_reply_s)};"
            f" last update {_format_age(now_s, entry.updated_s)}"
        )
        if reference:
            detail = f"confirmed by {reference}; {detail}"
        return self.context.record(
            now_s,
            name,
            service=entry.target.service,
            target=entry.target.name,
            reason=reason,
            detail=detail,
        )

    def _references(self) -> Iterator[target_table.TargetEntry]:
        """Yields the targets that have replied, the most recent one first.

        Those with stalled flows come last: if they are dead as well, they
        confirm nothing, and the failure has to be found again.
        """
        stalled = []
        for name in reversed(self.tracker.responsive):
            entry = self.targets.by_name.get(name)
            if entry is None or entry.is_gone:
                continue
            if self.tracker.activity_of(entry).liveness.stalled_flows:
                stalled.append(entry)
            else:
                yield entry
        yield from stalled

    def should_reset_flows(self, entry: target_table.TargetEntry) -> bool:
        """Returns whether the flows of a target are to be reset.

        Only probes show that a target is dead. Stalled flows alone may have
        their cause at this host or in its links, and its target serves.
        """
        return self.probes.is_dead(entry)


def _format_age(now_s: float, at_s: float) -> str:
    """Returns how long ago something happened, for the log."""
    return "never" if math.isinf(at_s) else f"{now_s - at_s:.1f} s ago"
