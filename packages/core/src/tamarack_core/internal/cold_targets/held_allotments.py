"""Allotments that name this entry host."""

import msgspec

from tamarack_core import failure
from tamarack_core import sync
from tamarack_core import target_announcement
from tamarack_core.internal.cold_targets import allotment as allotment_lib
from tamarack_core.internal.cold_targets import budget

MAX_ALLOTMENTS = 1_000
"""Allotments that are kept, as many as control hosts keep."""

MAX_NUMBER = 1 << 62
"""Highest number of an allotment that is accepted."""


class Held(msgspec.Struct, frozen=True):
    """An allotment that names this host.

    Attributes:
        position: Position of this host among the named ones, from 0.
        hosts: Number of the named hosts.
        learned_s: Time at which this host learned of it, in seconds.
    """

    position: int
    hosts: int
    learned_s: float

    def not_before_s(self, spacing_s: float) -> float:
        """Returns the time of the first opening, in seconds.

        The named hosts learn of an allotment almost at once, and begin one
        after another.

        Args:
            spacing_s: Time between two openings of one host, in seconds.
        """
        return self.learned_s + spacing_s * self.position / self.hosts


class HeldAllotments:
    """Allotments by key; their number only rises.

    Attributes:
        number: Number of the last allotment that this host was told of.
        by_key: The allotments that name this host, the oldest first.
    """

    __slots__ = ("by_key", "number")

    def __init__(self) -> None:
        """Initializes without allotments."""
        self.number = 0
        self.by_key: dict[allotment_lib.Key, Held] = {}

    def put(self, now_s: float, update: sync.AllotmentUpdate) -> int:
        """Applies an update if its base is held and it is newer.

        Args:
            now_s: Monotonic time in seconds.
            update: A valid update.

        Returns:
            Number of cold targets that were added.
        """
        if not update.base <= self.number < update.number:
            return 0
        self.number = update.number
        added = 0
        # The newest come first; only the oldest are dropped.
        for item in reversed(update.targets):
            key = allotment_lib.Key(item.target, item.place_ms, item.revision)
            if key in self.by_key:
                continue
            self.by_key[key] = Held(item.position, item.hosts, now_s)
            added += 1
        while len(self.by_key) > MAX_ALLOTMENTS:
            del self.by_key[next(iter(self.by_key))]
        return added


def check(update: sync.AllotmentUpdate) -> failure.Failure | None:
    """Returns why an update is invalid, or None.

    Args:
        update: The update.
    """
    if not 0 <= update.base <= update.number <= MAX_NUMBER:
        return failure.Failure(
            "bad-number",
            f"numbers {update.base} to {update.number}; use 0 to {MAX_NUMBER}",
        )
    if len(update.targets) > MAX_ALLOTMENTS:
        return failure.Failure(
            "too-many-allotments",
            f"{len(update.targets)}; use at most {MAX_ALLOTMENTS}",
        )
    for item in update.targets:
        if not 0 <= item.position < item.hosts <= budget.MAX_HOSTS:
            return failure.Failure(
                "bad-position",
                f"position {item.position} of {item.hosts} hosts; use at most"
                f" {budget.MAX_HOSTS} hosts",
            )
        if len(item.target) > target_announcement.MAX_NAME_CHARACTERS:
            return failure.Failure(
                "bad-name",
                f"use at most {target_announcement.MAX_NAME_CHARACTERS}"
                " characters",
            )
    return None
