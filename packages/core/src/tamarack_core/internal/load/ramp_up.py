"""Weights of targets that have just started or returned.

Load pattern: about 80 entry hosts with ten requests a second each know a target
that they have not used, or not for a while. It may run at a fraction of its
speed for some seconds, for a time that nobody knows, or at once at full speed.

The weight of such a target has a ceiling that rises with each update, and
follows how fast its replies are relative to those of its peers. Replies of
before the start or return are never compared with later ones.
"""

from collections.abc import Collection
from collections.abc import Mapping
import math

import msgspec

FULL_PERCENT = 100
"""Weight at which a ramp-up has no effect, in percent."""

MIN_PERCENT = 10
"""Smallest weight, in percent. With less, a target of 60 that share 800
requests a second replies less than once a second, and shows nothing."""

START_PERCENT = 25
"""First weight, in percent."""

RISE_PERCENT = 25
"""Rise of the ceiling with each update in which the target replied, in percent.
The ceiling is reached within 3 s."""

SILENT_RISE_PERCENT = 10
"""Rise of the ceiling without replies, in percent."""

REPLY_VARIANCE = 0.8**2
"""Variance of the logarithm of one reply time. It lets a few replies change the
weight by little."""

PACE_VARIANCE = 0.3**2
"""Variance of the pace that one update adds: a cold target may become warm
within a second."""

PRIOR_VARIANCE = 0.4**2
"""Variance of the pace of a target without replies."""

SLOW_LOG = math.log(1.25)
"""Logarithm of the ratio of reply times to those of the peers above which a
target is slower than they are."""

LIMIT_S = 10.0
"""Time after which a ramp-up ends though the target is slower than its peers,
in seconds. What is left is a difference in speed."""

LIMIT_WARM_UPS = 2.0
"""Stated warm-up times after which it ends, if that is later."""

MAX_ELAPSED_S = 2.0
"""Longest time between updates that counts, in seconds. With 5 s, two steps of
a clock end a ramp-up."""

MAX_PEER_LOAD = 1.25
"""Largest factor by which ramp-ups increase the load of the other targets of a
service. Targets are planned for the failure of one domain of four."""


class RampUp(msgspec.Struct):
    """Ramp-up of one target.

    Attributes:
        age_s: Time for which the target could be used, in seconds.
        ceiling: Largest weight, in percent.
        pace: Logarithm of its reply time relative to that of its peers.
        variance: Variance of that.
        percent: Weight in percent, before those of its service are bounded.
    """

    age_s: float = 0.0
    ceiling: float = START_PERCENT
    pace: float = 0.0
    variance: float = PRIOR_VARIANCE
    percent: float = START_PERCENT

    def observe(self, count: int, excess: float) -> None:
        """Applies the replies of one update.

        Args:
            count: Number of replies; 0 for none.
            excess: Mean logarithm of their times relative to those of peers.
        """
        if count:
            self.variance += PACE_VARIANCE
            gain = self.variance / (self.variance + REPLY_VARIANCE / count)
            self.pace += gain * (excess - self.pace)
            self.variance *= 1.0 - gain
        rise = RISE_PERCENT if count else SILENT_RISE_PERCENT
        self.ceiling = min(self.ceiling + rise, FULL_PERCENT)
        slow = max(self.pace, 0.0) if self.pace > SLOW_LOG else 0.0
        percent = min(self.ceiling, FULL_PERCENT * math.exp(-slow))
        self.percent = max(percent, MIN_PERCENT)

    def is_complete(self) -> bool:
        """Returns whether the target is like its peers."""
        return self.percent >= FULL_PERCENT


class Changes(msgspec.Struct):
    """What an update changed.

    Attributes:
        begun: Targets whose ramp-up began, or began anew.
        risen: Targets whose weight rose.
        fallen: Targets whose weight fell.
        ended: The ramp-ups that ended, by tag.
    """

    begun: list[int] = []
    risen: list[int] = []
    fallen: list[int] = []
    ended: dict[int, RampUp] = {}


class RampUps:
    """Ramp-ups of all targets, by tag of their start.

    Attributes:
        ramps: Ramp-ups in progress.
        known: Tags of the targets at the last update, by service.
        updated_s: Time of the last update, in seconds.
        weights: Weights below 100, in percent.
    """

    __slots__ = ("known", "ramps", "updated_s", "weights")

    def __init__(self) -> None:
        """Initializes ramp-ups of no target."""
        self.ramps: dict[int, RampUp] = {}
        self.known: dict[str, frozenset[int]] = {}
        self.updated_s = float("inf")
        self.weights: dict[int, int] = {}

    def update(
        self,
        now_s: float,
        services: Mapping[str, Collection[int]],
        in_force: Mapping[str, float],
        unusable: Collection[int],
        replies: Mapping[int, tuple[int, float]],
    ) -> Changes:
        """Applies the replies since the last update.

        Args:
            now_s: Monotonic time in seconds.
            services: Tags of the starts of the targets by service.
            in_force: Services whose new targets are ramped up, with their
                stated warm-up times in seconds; 0 where none is stated.
            unusable: Tags of the targets that are silent, cut off, ejected or
                evacuated.
            replies: Number of replies and sum of their log ratios by tag.
        """
        elapsed_s = min(max(now_s - self.updated_s, 0.0), MAX_ELAPSED_S)
        self.updated_s = now_s
        changes = Changes()
        before = self.weights
        self.weights = {}
        present = {tag for tags in services.values() for tag in tags}
        self.ramps = {
            tag: ramp for tag, ramp in self.ramps.items() if tag in present
        }
        for service, tags in services.items():
            if service in in_force:
                self._begin(service, tags, unusable, changes)
            usable = [
                tag
                for tag in tags
                if tag in self.ramps
                and tag not in unusable
                and tag not in changes.begun
            ]
            self._observe(elapsed_s, tags, usable, replies)
            warm_up_s = in_force.get(service, 0.0)
            self._end(usable, max(LIMIT_S, LIMIT_WARM_UPS * warm_up_s), changes)
            self._bound(tags)
        self.known = {
            service: frozenset(tags) for service, tags in services.items()
        }
        for tag in self.ramps:
            old = before.get(tag, FULL_PERCENT)
            new = self.weights.get(tag, FULL_PERCENT)
            if tag not in changes.begun and new != old:
                (changes.risen if new > old else changes.fallen).append(tag)
        return changes

    def _begin(
        self,
        service: str,
        tags: Collection[int],
        unusable: Collection[int],
        changes: Changes,
    ) -> None:
        """Begins the ramp-ups of new and of unusable targets.

        An unusable target keeps the first weight, so that it has it already
        when it returns.
        """
        known = self.known.get(service, frozenset(tags))
        begin = [tag for tag in tags if tag not in known or tag in unusable]
        if self.ramps.keys() | begin >= set(tags):
            # Without peers there is nothing to compare with, and the speeds
            # that were learned before are the best estimate.
            for tag in tags:
                if tag in self.ramps:
                    changes.ended[tag] = self.ramps.pop(tag)
            return
        for tag in begin:
            ramp = self.ramps.get(tag)
            if ramp is None or ramp.ceiling > START_PERCENT:
                changes.begun.append(tag)
            self.ramps[tag] = RampUp()

    def _observe(
        self,
        elapsed_s: float,
        tags: Collection[int],
        usable: Collection[int],
        replies: Mapping[int, tuple[int, float]],
    ) -> None:
        """Compares the replies of ramped-up targets with those of the peers."""
        peers = [
            replies[tag]
            for tag in tags
            if tag in replies and tag not in self.ramps
        ]
        count = sum(one for one, _ in peers)
        mean = sum(log for _, log in peers) / count if count else 0.0
        for tag in usable:
            ramp = self.ramps[tag]
            ramp.age_s += elapsed_s
            own_count, own_sum = replies.get(tag, (0, 0.0))
            shown = own_sum / own_count - mean if own_count and count else 0.0
            ramp.observe(own_count, shown)

    def _end(
        self,
        usable: Collection[int],
        limit_s: float,
        changes: Changes,
    ) -> None:
        """Ends the ramp-ups that are complete, or have lasted too long."""
        for tag in usable:
            ramp = self.ramps[tag]
            if ramp.is_complete() or ramp.age_s >= limit_s:
                changes.ended[tag] = self.ramps.pop(tag)

    def _bound(self, tags: Collection[int]) -> None:
        """Sets the weights; the load of the other targets stays bounded."""
        new = [tag for tag in tags if tag in self.ramps]
        old = len(tags) - len(new)
        if not new or not old:
            return
        least = (len(tags) / MAX_PEER_LOAD - old) / len(new) * FULL_PERCENT
        for tag in new:
            percent = round(max(self.ramps[tag].percent, least))
            if percent < FULL_PERCENT:
                self.weights[tag] = percent
