"""Chooses the target of a new flow.

The choice has to suit long flows with pauses beside short ones, opened through
several hosts that share no table, while targets start cold, drain, become
unresponsive and recover. Load is the work in progress: the flow of a request
that has ended counts for nothing, so that a target that has just started looks
like the others and does not attract all openings.
"""

from collections.abc import Collection
import random

from tamarack_core.internal.cookie import flow_tracker
from tamarack_core.internal.cookie import target_probes
from tamarack_core.internal.cookie import target_table

RECENT_REPLY_S = 2.0
"""Time for which a reply outweighs overdue announcements, in seconds. The
control host that receives the announcements may be cut off from the others."""

COLD_FACTOR = 1.6
"""Factor by which the load of a cold target is multiplied. Targets that have
just started take that much longer for their work."""


def choose(
    candidates: Collection[target_table.TargetEntry],
    tracker: flow_tracker.FlowTracker,
    probes: target_probes.TargetProbes,
    now_s: float,
    tried: Collection[str],
    generator: random.Random,
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
    progress, and turns spread its openings more evenly than chance.

    Args:
        candidates: Targets of the service that accept new flows.
        tracker: State of flows and targets, observed in packets.
        probes: State of the target probes.
        now_s: Monotonic time in seconds.
        tried: Targets that were sent this opening packet before.
        generator: Seeded random generator.
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
    idle_share = _idle_flow_weight(tracker)
    return min(
        responsive or usable,
        key=lambda entry: (
            _load(entry, tracker, now_s, idle_share),
            tracker.activity_of(entry).last_opening,
            generator.random(),
        ),
    )


def _load(
    entry: target_table.TargetEntry,
    tracker: flow_tracker.FlowTracker,
    now_s: float,
    idle_share: float,
) -> float:
    """Returns the load of a target through this host, per slot.

    The new flow is included.
    """
    activity = tracker.activity_of(entry)
    idle = activity.flows - activity.work
    work = 1.0 + activity.work + idle_share * idle
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
) -> float:
    """Returns the load by which `choose` would compare a target now.

    Args:
        entry: The target.
        tracker: State of flows and targets, observed in packets.
        now_s: Monotonic time in seconds.
    """
    return _load(entry, tracker, now_s, _idle_flow_weight(tracker))
