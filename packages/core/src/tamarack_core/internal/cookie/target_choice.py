"""Chooses the target of a new flow.

The load that it answers: long flows with pauses beside short ones, opened
through several hosts that share no table, while targets start cold, drain,
fall silent and come back.
"""

from collections.abc import Collection
import random

from tamarack_core.internal.cookie import flow_tracker
from tamarack_core.internal.cookie import target_probes
from tamarack_core.internal.cookie import target_table

COLD_FACTOR = 1.6
"""Factor by which a cold target counts its flows; targets that have just
started run their work that much slower."""


def choose(
    candidates: Collection[target_table.Entry],
    tracker: flow_tracker.FlowTracker,
    probes: target_probes.TargetProbes,
    now_s: float,
    tried: Collection[str],
    generator: random.Random,
) -> target_table.Entry | None:
    """Returns the target for a new flow, or None if there is none.

    Targets that don't answer probes get none: when these are all, the opening
    is to be refused at once. Targets that did not answer this opening come
    last. Then those whose announcements are missed, then those that several
    flows find silent, alone or with all of their failure domain; one opening a
    second still tests each of these. When all are silent, the cause may be
    near, and all are used. Among the others the least loaded as seen here is
    taken, by lot among equals.

    Args:
        candidates: Targets of the service that take new flows.
        tracker: What the packets show.
        probes: What probes show.
        now_s: Monotonic time in seconds.
        tried: Targets that were sent this opening before.
        generator: Seeded generator.
    """
    living = [entry for entry in candidates if not probes.is_dead(entry)]
    if not living:
        return None
    untried = [entry for entry in living if entry.target.name not in tried]
    fresh = [entry for entry in untried if not entry.is_overdue]
    usable = fresh or untried or living
    sound = [
        entry for entry in usable if not tracker.watch(entry).is_avoided(now_s)
    ]
    return min(
        sound or usable,
        key=lambda entry: (_load(entry, tracker, now_s), generator.random()),
    )


def _load(
    entry: target_table.Entry, tracker: flow_tracker.FlowTracker, now_s: float
) -> float:
    """Returns the work that a target has through this host, by slot."""
    watch = tracker.watch(entry)
    work = 1.0 + watch.flows + watch.waiting
    if now_s < entry.warm_at_s:
        work *= COLD_FACTOR
    return work / max(entry.target.slots, 1)
