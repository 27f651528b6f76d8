"""Time line entries of many targets that changed at once."""

import collections

from tamarack_core import context as context_lib
from tamarack_core import effects

MAX_ENTRIES = 8
"""Targets changed by one message up to which each has an entry. A start of
hundreds of hosts before hundreds of targets would make as many as both
multiplied."""


def summarize(
    context: context_lib.Context,
    now_s: float,
    phases: collections.Counter[str],
) -> effects.Effect:
    """Returns the entry of the targets that one message changed.

    Args:
        context: Identity and clocks of the host.
        now_s: Monotonic time in seconds.
        phases: Number of targets by phase.
    """
    counts = ", ".join(f"{count} {phase}" for phase, count in phases.items())
    return context.record(now_s, "targets-changed", detail=counts)
