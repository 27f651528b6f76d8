"""Chooses the target of a new flow.

The load that it answers: long flows with pauses beside short ones, opened
through several hosts that share no table, while targets start cold, drain,
fall silent and come back.
"""

from collections.abc import Collection
from collections.abc import Sequence
import random

from tamarack_core.internal.cookie import tags
from tamarack_core.internal.cookie import watching

COLD_FACTOR = 1.6
"""Factor by which a cold target counts its flows; targets that have just
started run their work that much slower."""

MAX_SUSPECT_SHARE = 0.5
"""Largest share of a service's targets that is left out as suspect; when more
are silent, the cause is nearer to this host than to them."""


def choose(
    candidates: Sequence[tags.Entry],
    seen: watching.Watching,
    now_s: float,
    tried: Collection[str],
    generator: random.Random,
) -> tags.Entry | None:
    """Returns the target for a new flow, or None if there is none.

    Targets that did not answer this opening come last. Then those whose
    announcements are missed, then those that several flows find silent; one
    opening a second still tests each of these. Among the others the least
    loaded as seen here is taken, by lot among equals.

    Args:
        candidates: Targets of the service that take new flows.
        seen: What the packets show.
        now_s: Monotonic time in seconds.
        tried: Targets that were sent this opening before.
        generator: Seeded generator.
    """
    if not candidates:
        return None
    fresh = [
        entry
        for entry in candidates
        if entry.target.name not in tried and not entry.is_overdue
    ]
    usable = fresh or [
        entry for entry in candidates if entry.target.name not in tried
    ]
    usable = usable or list(candidates)
    pool = _without_suspects(usable, seen, now_s)
    return min(
        pool,
        key=lambda entry: (_load(entry, seen, now_s), generator.random()),
    )


def _without_suspects(
    usable: list[tags.Entry], seen: watching.Watching, now_s: float
) -> list[tags.Entry]:
    """Returns the targets that answer, and one that is due for a test."""
    sound = []
    for entry in usable:
        watch = seen.watch(entry.target.name)
        if not watch.is_suspect(now_s) or watch.may_try(now_s):
            sound.append(entry)
    left_out = len(usable) - len(sound)
    if left_out > MAX_SUSPECT_SHARE * len(usable):
        return usable
    return sound


def _load(
    entry: tags.Entry, seen: watching.Watching, now_s: float
) -> float:
    """Returns the work that a target has through this host, by slot."""
    watch = seen.watch(entry.target.name)
    work = 1.0 + watch.flows + watch.waiting
    if now_s < entry.warm_at_s:
        work *= COLD_FACTOR
    return work / max(entry.target.slots, 1)
