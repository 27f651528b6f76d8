"""Time line entries of changes that several components receive."""

import collections
from collections.abc import Sequence

import msgspec

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import evacuations
from tamarack_core import failure
from tamarack_core import target_announcement
from tamarack_core.internal.cold_targets import allotment as allotment_lib

MAX_ENTRIES = 8
"""Targets changed by one message up to which each has an entry. A start of
hundreds of hosts before hundreds of targets would make as many as both
multiplied."""

MAX_LOGGED_CHARACTERS = 400
"""Characters of the names of evacuated domains that are logged."""


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


def record_evacuations(
    context: context_lib.Context,
    now_s: float,
    state: evacuations.Evacuations,
) -> effects.Effect:
    """Sets the gauges and returns the entry of evacuations now in force.

    Args:
        context: Identity and clocks of the host.
        now_s: Monotonic time in seconds.
        state: The evacuated failure domains.
    """
    context.gauges["evacuated_domains"] = len(state.domains)
    context.gauges["evacuation_revision"] = state.revision
    return context.record(
        now_s,
        "evacuation-in-force",
        version=state.revision,
        detail=" ".join(state.domains)[:MAX_LOGGED_CHARACTERS] or "none",
    )


def record_allotments(
    context: context_lib.Context,
    now_s: float,
    number: int,
    allotments: Sequence[allotment_lib.Allotment],
) -> list[effects.Effect]:
    """Returns the entries of allotments that have come into force.

    Args:
        context: Identity and clocks of the host.
        now_s: Monotonic time in seconds.
        number: Number of the last one.
        allotments: The new ones.
    """
    if len(allotments) > MAX_ENTRIES:
        detail = f"{len(allotments)} cold targets"
        return [
            context.record(
                now_s, "cold-targets-allotted", version=number, detail=detail
            )
        ]
    return [
        context.record(
            now_s,
            "cold-target-allotted",
            target=allotment.key.target,
            version=number,
            detail=f"start {allotment.key.place_ms} revision"
            f" {allotment.key.revision} hosts {' '.join(allotment.hosts)}",
        )
        for allotment in allotments
    ]


class Skipped(msgspec.Struct):
    """A target that a host leaves out of those that it received or saved.

    Attributes:
        name: Name of the target; empty if it can't be read.
        invalid: Why it is invalid.
    """

    name: str
    invalid: failure.Failure


def record_skipped(
    context: context_lib.Context, now_s: float, skipped: Sequence[Skipped]
) -> list[effects.Effect]:
    """Returns the entry of the targets that were skipped at once, if any.

    Args:
        context: Identity and clocks of the host.
        now_s: Monotonic time in seconds.
        skipped: The targets.
    """
    if not skipped:
        return []
    first = skipped[0]
    return [
        context.record(
            now_s,
            "targets-skipped",
            target=first.name[: target_announcement.MAX_NAME_CHARACTERS],
            reason=first.invalid.reason,
            detail=f"{len(skipped)} invalid, such as: {first.invalid.detail}",
        )
    ]
