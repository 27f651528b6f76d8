"""Chooses the target of a new flow.

The choice has to suit long flows with pauses beside short ones, opened through
several hosts that share no table, while targets start cold, drain, become
unresponsive and recover. Load is the work in progress: the flow of a request
that has ended counts for nothing, so that a target that has just started looks
like the others and does not attract all openings.
"""

from collections.abc import Collection
from collections.abc import Mapping
import random

import msgspec

from tamarack_core.internal.cookie import flow_state
from tamarack_core.internal.cookie import flow_tracker
from tamarack_core.internal.cookie import target_probes
from tamarack_core.internal.cookie import target_table
from tamarack_core.internal.load import target_weights

RECENT_REPLY_S = 2.0
"""Time for which a reply outweighs overdue announcements, in seconds. The
control host that receives the announcements may be cut off from the others."""

COLD_FACTOR = 1.6
"""Factor by which the load of a cold target is multiplied. Targets that have
just started take that much longer for their work."""

MAX_ABSENT_TURNS = 3
"""Openings of a service without a target among the candidates after which it
counts as new to the host, if new targets are ramped up. Its turn would
otherwise be due at many hosts when it returns. A repeated opening, which leaves
out the targets tried before, is no absence."""

_NO_WEIGHTS: Mapping[int, int] = {}


class Candidate(msgspec.Struct):
    """A target of a choice by weights.

    Attributes:
        entry: The target.
        activity: Its flows and turns at this host.
        weight: Its weight, in percent.
    """

    entry: target_table.TargetEntry
    activity: flow_state.TargetActivity
    weight: int


def choose(
    candidates: Collection[target_table.TargetEntry],
    tracker: flow_tracker.FlowTracker,
    probes: target_probes.TargetProbes,
    now_s: float,
    tried: Collection[str],
    generator: random.Random,
    weights: Mapping[int, int] = _NO_WEIGHTS,
    *,
    is_ramped_up: bool = False,
) -> target_table.TargetEntry | None:
    """Returns the target for a new flow, or None if there is none.

    Targets that were found dead by probes are excluded; if none remains, the
    flow is to be refused at once. Targets that did not reply to this opening
    packet are the last choice, overdue targets that have not replied to this
    host lately the next to last, and then targets that are suspect, alone or
    with their failure domain. A suspect target still gets one new flow per
    second as a trial. If all are suspect,
    the cause may be close to this host, and all are used. Of the best targets,
    the one with the least load through this host is chosen. Targets of equal
    load take turns: a host that is one of many rarely has two requests in
    progress, and turns spread its openings more evenly than chance. Where
    weights differ, work counts less at targets of higher weight, and turns
    come more often.

    Args:
        candidates: Targets of the service that accept new flows.
        tracker: State of flows and targets, observed in packets.
        probes: State of the target probes.
        now_s: Monotonic time in seconds.
        tried: Targets that were sent this opening packet before.
        generator: Seeded random generator.
        weights: Weights other than 100, in percent, by tag of the start of a
            target.
        is_ramped_up: Whether new targets of the service are ramped up. Their
            weights then replace the factor of cold targets, and the first
            turn of a target comes at a random place.
    """
    alive = [entry for entry in candidates if not probes.is_dead(entry)]
    if not alive:
        return None
    untried = [entry for entry in alive if entry.target.name not in tried]
    announced = [
        entry
        for entry in untried
        if not entry.is_overdue
        or tracker.activity_of(entry).has_replied(now_s, RECENT_REPLY_S)
    ]
    usable = announced or untried or alive
    responsive = [
        entry
        for entry in usable
        if not tracker.activity_of(entry).is_avoided(now_s)
    ]
    best = responsive or usable
    idle_share = _idle_flow_weight(tracker)
    if is_ramped_up or (
        weights and any(entry.start_tag in weights for entry in best)
    ):
        return _choose_weighted(
            best,
            tracker,
            now_s,
            idle_share,
            generator,
            weights,
            is_ramped_up=is_ramped_up,
        )
    return min(
        best,
        key=lambda entry: (
            _load(entry, tracker.activity_of(entry), now_s, idle_share),
            tracker.activity_of(entry).last_opening,
            generator.random(),
        ),
    )


def _choose_weighted(
    entries: Collection[target_table.TargetEntry],
    tracker: flow_tracker.FlowTracker,
    now_s: float,
    idle_share: float,
    generator: random.Random,
    weights: Mapping[int, int],
    *,
    is_ramped_up: bool,
) -> target_table.TargetEntry:
    """Returns the target with the least load for its weight.

    The next turn of a target is due as many openings after its last one as its
    share of the weights implies. The first turn comes at a random place.
    Otherwise hosts that started together take turns in step, and all of them
    open flows at a new target at once.
    """
    rated = [
        Candidate(
            entry,
            tracker.activity_of(entry),
            weights.get(entry.start_tag, target_weights.FULL_PERCENT),
        )
        for entry in entries
    ]
    total = sum(candidate.weight for candidate in rated)
    turns = tracker.turns[rated[0].entry.target.service]
    new: dict[str, float] = {}
    if is_ramped_up:
        new = _new_turns(rated, turns, generator, total)
        now_s = float("inf")

    def key(candidate: Candidate) -> tuple[float, float, float]:
        entry, activity, weight = (
            candidate.entry,
            candidate.activity,
            candidate.weight,
        )
        interval = total / weight
        if entry.target.name in new:
            activity.last_turn = new[entry.target.name]
            activity.weight = weight
        elif not activity.weight:
            activity.last_turn = turns - generator.uniform(0.0, interval)
            activity.weight = weight
        elif activity.weight != weight:
            # The part of the interval that has passed stays the same.
            # Otherwise a higher weight makes the turn of the target due at
            # many hosts at the same moment.
            passed = turns - activity.last_turn
            activity.last_turn = turns - passed * activity.weight / weight
            activity.weight = weight
        return (
            _load(entry, activity, now_s, idle_share, weight),
            activity.last_turn + interval,
            generator.random(),
        )

    chosen = min(rated, key=key)
    activity = chosen.activity
    interval = total / activity.weight
    late = turns + 1 - (activity.last_turn + interval)
    # A turn that was late by more than an interval is lost: the target was
    # busy, and would get several openings at once.
    activity.lateness = min(max(late, -interval), interval)
    return chosen.entry


def _new_turns(
    candidates: list[Candidate],
    turns: int,
    generator: random.Random,
    total: int,
) -> dict[str, float]:
    """Returns last turns of the targets that are new to this host, by name.

    They are drawn so that the next turn comes at a random place after the
    first one of the known idle targets. Places counted from now would come
    before the turns of all of them: those are later when targets join.
    """
    new: list[tuple[str, float]] = []
    first_due = float("inf")
    for candidate in candidates:
        entry, activity = candidate.entry, candidate.activity
        interval = total / candidate.weight
        if (
            not activity.weight
            or activity.start_tag != entry.start_tag
            or turns - activity.considered > MAX_ABSENT_TURNS
        ):
            new.append((entry.target.name, interval))
        elif not activity.work:
            # A busy target may have missed its turn long ago.
            first_due = min(first_due, activity.last_turn + interval)
        activity.start_tag = entry.start_tag
        activity.considered = turns
    # A lower weight makes a turn that was late later still, so it must not
    # place the new targets in the past, where all hosts would use them at once.
    if first_due == float("inf"):
        first_due = turns
    first_due = max(first_due, turns)
    return {
        name: first_due - generator.uniform(0.0, interval)
        for name, interval in new
    }


def _load(
    entry: target_table.TargetEntry,
    activity: flow_state.TargetActivity,
    now_s: float,
    idle_share: float,
    weight: int = target_weights.FULL_PERCENT,
) -> float:
    """Returns the load of a target through this host, per slot.

    The new flow is included; it counts the same at all targets, so that those
    without work are equal and take turns.
    """
    idle = activity.flows - activity.work
    factor = target_weights.FULL_PERCENT / weight
    work = 1.0 + factor * activity.work + factor * idle_share * idle
    if now_s < entry.warm_at_s:
        work *= COLD_FACTOR
    return work / max(entry.target.slots, 1)


def _idle_flow_weight(tracker: flow_tracker.FlowTracker) -> float:
    """Returns the share of open flows that have a request in progress.

    An idle flow counts as that share of a request.
    """
    return len(tracker.pending) / max(len(tracker.flows), 1)


def load_of(
    entry: target_table.TargetEntry,
    tracker: flow_tracker.FlowTracker,
    now_s: float,
    weights: Mapping[int, int],
) -> float:
    """Returns the load by which `choose` would compare a target now.

    Args:
        entry: The target.
        tracker: State of flows and targets, observed in packets.
        now_s: Monotonic time in seconds.
        weights: Weights other than 100, in percent, by tag of the start of a
            target.
    """
    weight = weights.get(entry.start_tag, target_weights.FULL_PERCENT)
    activity = tracker.activity_of(entry)
    return _load(entry, activity, now_s, _idle_flow_weight(tracker), weight)
