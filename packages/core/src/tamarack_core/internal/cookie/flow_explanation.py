"""Explains the decision about a new flow by running it on a copy of the state.

The copy contains all that the forwarder refers to, so that rules that other
modules add to the decision, and the state that they keep, are part of it. Its
effects are read and never carried out. The cost grows with the number of flows
and targets that the host tracks, and is bounded.

`copy.deepcopy` recurses along the links between the flows of a target, and
copies each flow slowly, so flows are copied here.
"""

import collections
import copy
from typing import Any

from tamarack_core import effects
from tamarack_core import external_requests
from tamarack_core import flow_explanations
from tamarack_core import flow_packets
from tamarack_core import refusal
from tamarack_core import target_announcement
from tamarack_core.internal.cookie import admission
from tamarack_core.internal.cookie import flow_tracker
from tamarack_core.internal.cookie import forwarder
from tamarack_core.internal.cookie import routes as routes_lib
from tamarack_core.internal.cookie import target_choice
from tamarack_core.internal.cookie import target_table

MAX_COST = 5_000
"""Largest cost of a copy, in tracked flows. With 10,000 flows and 120 targets,
an explanation took 31 ms of processor time on arm64 (median of 15), and at this
cost 15 ms (at most 31 ms): 0.13 s (0.26 s) on a host of 0.12 cores. This stays
well below the 0.8 s that count as a suspension."""

COST_OF_TARGET = 12
"""Cost of a target, in tracked flows: 38 us against 3 us."""

Outcome = flow_explanations.Outcome
Rule = flow_explanations.Rule
TargetState = flow_explanations.TargetState
Verdict = flow_explanations.Verdict

_VERDICTS = {
    Outcome.PLACED: Verdict.PASSED,
    Outcome.REFUSED: Verdict.REFUSED,
    Outcome.DROPPED: Verdict.DROPPED,
}


class _TracedForwarder(forwarder.Forwarder):
    """Copy of a forwarder that keeps the result of the admission.

    Attributes:
        admitted: Whether the opening was admitted; None if the decision did
            not come that far.
    """

    __slots__ = ("admitted",)

    admitted: admission.Admission | None

    def _decide_admission(self, *args: Any, **kwargs: Any) -> Any:
        """Decides as the forwarder does, and keeps the result."""
        self.admitted = super()._decide_admission(*args, **kwargs)
        return self.admitted

    def decide(
        self, now_s: float, packet: flow_packets.FlowPacket
    ) -> list[effects.Effect]:
        """Returns the effects that an opening packet would have."""
        self.detector.check_suspension(now_s)
        return self._handle_opening(now_s, packet)


def explain(
    real: forwarder.Forwarder,
    now_s: float,
    request: external_requests.ExplainFlow,
) -> external_requests.FlowExplained | refusal.Refused:
    """Returns where a new flow would go now; changes nothing.

    Args:
        real: The forwarder of the host.
        now_s: Monotonic time in seconds.
        request: The flow.

    Returns:
        The explanation; a refusal if a copy would cost more than `MAX_COST`.
    """
    flows = len(real.tracker.flows) + len(real.tracker.closed)
    targets_known = len(real.targets.by_name)
    if flows + COST_OF_TARGET * targets_known > MAX_COST:
        return refusal.Refused(
            "too-many-flows",
            f"this host tracks {flows} flows and {targets_known} targets, too"
            " many to copy them without a delay of packets; ask a host with"
            " fewer",
        )
    traced = _copy(real)
    packet = _opening(request)
    route = traced.routes.find(packet.flow)
    service = "" if route is None else routes_lib.service_of(route, packet.flow)
    targets = _report_targets(traced, now_s, service)
    known = traced.tracker.flows.get(packet.flow)
    known_at = "" if known is None else known.target.target.name
    dropped = _dropped(traced)
    found = traced.decide(now_s, packet)
    outcome, target, reason = _read_outcome(found, _dropped(traced) - dropped)
    own = traced.context.host
    return external_requests.FlowExplained(
        flow_explanations.FlowExplanation(
            host=own.host,
            domain=own.domain,
            flow=flow_packets.describe(packet.flow),
            copy_number=packet.copy_number,
            outcome=outcome,
            is_stopping=traced.is_stopping,
            target=target,
            reason=reason,
            document=traced.routes.number,
            document_age_s=_age_s(now_s, traced.routes.in_force_s),
            update_age_s=_age_s(now_s, traced.subscription.updated_s),
            evacuated_domains=tuple(traced.targets.evacuations.domains),
            route=None if route is None else _report_route(route),
            service=service,
            known_at=known_at,
            rules=_report_rules(traced, service, targets, outcome, reason),
            targets=targets,
        )
    )


def _opening(
    request: external_requests.ExplainFlow,
) -> flow_packets.FlowPacket:
    """Returns the opening packet of a flow."""
    return flow_packets.FlowPacket(
        flow=(
            flow_packets.address_to_number(request.caller.address),
            request.caller.port,
            flow_packets.address_to_number(request.service.address),
            request.service.port,
        ),
        is_opening=True,
        is_reset=False,
        is_last=False,
        cookie=0,
        copy_number=request.copy_number,
        sequence=0,
        acknowledged=0,
        payload_bytes=0,
        data=b"",
    )


def _copy(real: forwarder.Forwarder) -> _TracedForwarder:
    """Returns a copy of a forwarder and of all that it refers to."""
    memo: dict[int, Any] = {}
    for entry in real.targets.by_name.values():
        # The values of its fields can't be changed.
        memo[id(entry)] = copy.copy(entry)
    _copy_flows(real.tracker, memo)
    traced = _TracedForwarder.__new__(_TracedForwarder)
    memo[id(real)] = traced
    for name in forwarder.Forwarder.__slots__:
        setattr(traced, name, copy.deepcopy(getattr(real, name), memo))
    traced.admitted = None
    return traced


def _copy_flows(
    tracker: flow_tracker.FlowTracker, memo: dict[int, Any]
) -> None:
    """Copies the flows of a tracker with the links between them.

    Args:
        tracker: The tracker.
        memo: Copies by identity of the original, as `copy.deepcopy` takes it.
    """
    flows = {key: copy.copy(flow) for key, flow in tracker.flows.items()}
    copies = dict(
        zip(map(id, tracker.flows.values()), flows.values(), strict=True)
    )
    entries: dict[int, target_table.TargetEntry] = {}
    for flow in flows.values():
        if flow.newer is not None:
            flow.newer = copies[id(flow.newer)]
        if flow.older is not None:
            flow.older = copies[id(flow.older)]
        entry = entries.get(id(flow.target))
        if entry is None:
            entry = copy.deepcopy(flow.target, memo)
            entries[id(flow.target)] = entry
        flow.target = entry
    memo.update(copies)
    memo[id(tracker.flows)] = flows
    # Their keys and values can't be changed.
    memo[id(tracker.opening)] = tracker.opening.copy()
    memo[id(tracker.pending)] = tracker.pending.copy()
    memo[id(tracker.closed)] = tracker.closed.copy()


def _report_route(
    route: routes_lib.RouteEntry,
) -> flow_explanations.RouteReport:
    """Returns the report of a route."""
    return flow_explanations.RouteReport(
        route.shares, route.kind, route.timeout_s
    )


def _report_targets(
    traced: _TracedForwarder, now_s: float, service: str
) -> tuple[flow_explanations.TargetReport, ...]:
    """Returns the reports of the targets of a service, by name."""
    return tuple(
        _report_target(traced, now_s, entry)
        for _, entry in sorted(traced.targets.by_name.items())
        if entry.target.service == service and not entry.is_gone
    )


def _report_target(
    traced: _TracedForwarder, now_s: float, entry: target_table.TargetEntry
) -> flow_explanations.TargetReport:
    """Returns the report of a target."""
    target = entry.target
    activity = traced.tracker.activity_of(entry)
    weights = traced.subscription.load.weights_at(now_s)
    load = target_choice.load_of(entry, traced.tracker, now_s, weights)
    applies = {
        TargetState.DRAINING: (
            target.phase is not target_announcement.Phase.READY
        ),
        TargetState.EVACUATED: (
            target.domain in traced.targets.evacuations.domains
        ),
        TargetState.TAG_TAKEN: entry.tag == 0,
        TargetState.DEAD: traced.probes.is_dead(entry),
        TargetState.OVERDUE: entry.is_overdue,
        TargetState.AVOIDED: activity.is_avoided(now_s),
        TargetState.COLD: now_s < entry.warm_at_s,
    }
    states = tuple(state for state, holds in applies.items() if holds)
    return flow_explanations.TargetReport(
        name=target.name,
        domain=target.domain,
        states=states or (TargetState.READY,),
        slots=target.slots,
        flows=activity.flows,
        requests=activity.work,
        load=round(load, 3),
    )


def _dropped(traced: _TracedForwarder) -> collections.Counter[str]:
    """Returns the counters of dropped packets."""
    return collections.Counter(
        {
            name: count
            for name, count in traced.context.counters.items()
            if name.startswith("dropped-")
        }
    )


def _read_outcome(
    found: list[effects.Effect], dropped: collections.Counter[str]
) -> tuple[Outcome, str, str]:
    """Returns the outcome of a decision, the target, and the reason.

    A decision without a record and a counter is reported as `no-outcome`: a
    read of an operator must not fail because a rule has neither.

    Args:
        found: Effects of the decision.
        dropped: What the decision added to the counters of dropped packets.
    """
    for name in dropped:
        return Outcome.DROPPED, "", name.removeprefix("dropped-")
    for effect in found:
        if isinstance(effect, effects.Record):
            if effect.entry.name == "flow-placed":
                return Outcome.PLACED, effect.entry.target, ""
            if effect.entry.name == "flow-refused":
                return Outcome.REFUSED, "", effect.entry.reason
    return Outcome.DROPPED, "", "no-outcome"


def _report_rules(
    traced: _TracedForwarder,
    service: str,
    targets: tuple[flow_explanations.TargetReport, ...],
    outcome: Outcome,
    reason: str,
) -> tuple[flow_explanations.RuleReport, ...]:
    """Returns the verdicts of the rules.

    The last rule that the decision reached gives its outcome.

    Args:
        traced: The copy that has decided.
        service: Service of the flow; empty if there is no route.
        targets: Targets of the service before the decision.
        outcome: Outcome of the decision.
        reason: Reason of a refusal or drop.
    """
    has_document = traced.subscription.has_document
    has_route = has_document and bool(service)
    details = {
        Rule.DOCUMENT: f"number {traced.routes.number}",
        Rule.ROUTE: f"routes in force: {len(traced.routes.by_endpoint)}",
        Rule.SERVICE: service,
        Rule.TARGETS: _describe_targets(targets),
        Rule.ADMISSION: _describe_admission(traced),
        Rule.CHOICE: _describe_choice(targets),
    }
    is_reached = {
        Rule.DOCUMENT: True,
        Rule.ROUTE: has_document,
        Rule.SERVICE: has_route,
        Rule.TARGETS: has_route,
        Rule.ADMISSION: traced.admitted is not None,
        Rule.CHOICE: traced.admitted is admission.Admission.ADMITTED,
    }
    last = [rule for rule in Rule if is_reached[rule]][-1]
    reports = []
    for rule in Rule:
        if not is_reached[rule]:
            report = flow_explanations.RuleReport(rule, Verdict.NOT_REACHED)
        elif rule is last and reason:
            report = flow_explanations.RuleReport(
                rule, _VERDICTS[outcome], f"{reason}; {details[rule]}"
            )
        else:
            report = flow_explanations.RuleReport(
                rule, Verdict.PASSED, details[rule]
            )
        reports.append(report)
    return tuple(reports)


def _describe_targets(
    targets: tuple[flow_explanations.TargetReport, ...],
) -> str:
    """Describes which targets accept new flows."""
    excluding = (
        TargetState.EVACUATED,
        TargetState.DRAINING,
        TargetState.TAG_TAKEN,
    )
    accepting = [
        target
        for target in targets
        if not any(state in target.states for state in excluding)
    ]
    return (
        f"{len(accepting)} of {len(targets)} accept new flows;"
        f" {_count_states(targets, excluding)}"
    )


def _describe_admission(traced: _TracedForwarder) -> str:
    """Describes the inputs of the admission."""
    admitted = "" if traced.admitted is None else traced.admitted.value
    return (
        f"{admitted}; {len(traced.tracker.pending)} requests in progress at"
        f" this host, {traced.subscription.entry_hosts or 'unknown number of'}"
        " entry hosts"
    )


def _describe_choice(
    targets: tuple[flow_explanations.TargetReport, ...],
) -> str:
    """Describes the states that the choice takes into account."""
    states = (
        TargetState.DEAD,
        TargetState.OVERDUE,
        TargetState.AVOIDED,
        TargetState.COLD,
    )
    return _count_states(targets, states)


def _count_states(
    targets: tuple[flow_explanations.TargetReport, ...],
    states: tuple[TargetState, ...],
) -> str:
    """Returns how many targets are in each of some states."""
    return ", ".join(
        f"{sum(state in target.states for target in targets)} {state}"
        for state in states
    )


def _age_s(now_s: float, since_s: float) -> float | None:
    """Returns the time since an event in seconds; None if it never came."""
    return None if since_s == float("-inf") else round(now_s - since_s, 3)
