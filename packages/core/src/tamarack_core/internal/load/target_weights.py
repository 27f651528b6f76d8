"""Weights of targets by their speed, estimated from reply times.

Load pattern: 30 to 120 targets of 0.6, 1.0 and 1.6 times the mean speed, with
two slots and a queue of eight each, share 300 to 900 requests a second for some
tens of seconds. A reply time includes the wait in the queue of the target.

If two targets are equally utilized, all their times, including waits, are
inversely proportional to their speeds. So the weight is proportional to the
capacity exactly where the logarithm of the weight is the negative mean log
ratio of the replies. Each update moves the estimated logarithm of the speed
toward that value, by a Kalman gain: fast while little is known of a target,
slowly once many replies were counted. How much replies vary by chance is taken
from the differences between one update and the next, which the speeds of the
targets do not add to. Control hosts that received different
replies forget the difference, so that they need no agreement.
"""

from collections.abc import Collection
from collections.abc import Mapping
import math

import msgspec

FULL_PERCENT = 100
"""Weight of a target of the mean speed, in percent."""

MIN_PERCENT, MAX_PERCENT = 40, 170
"""Range of weights by speed, in percent."""

STEP_PERCENT = 5
"""Smallest change of a weight that is sent to entry hosts, in percent."""

PRIOR_VARIANCE = 0.4**2
"""Variance of the logarithm of the speed of a target without replies. Speeds of
0.6 and 1.6 are 0.5 away from the mean."""

REPLY_VARIANCE = 0.8**2
"""Variance of the logarithm of the reply time of one request, including that of
the work; scaled by the noise of the service."""

QUEUE_VARIANCE = 0.04
"""Variance of the mean of one update that more replies do not reduce: those of
one second wait in the same queue; scaled by the noise of the service."""

FIRST_SCALE = 1.5
"""Noise of a service before any update is compared with the next."""

MIN_SCALE, MAX_SCALE = 0.25, 20.0
"""Range of the noise of a service. In replays with equal speeds it is 0.2 at
18 % utilization and 3 at 87 %."""

SCALE_WEIGHT = 1 / 8
"""Smallest weight of the newest update in the noise of a service."""

SCALE_TARGETS = 4
"""Number of compared targets at which an update has half that weight."""

MIN_UPDATES = 2
"""Compared updates from which on weights may differ from 100."""

DRIFT_PER_S = 0.0004
"""Growth of a small variance of an estimate in a second. It bounds the time
after which a target that changes its speed is weighted anew to about 20 s."""

DEAD_ZONE = 0.22
"""Distance of the estimate from that of equal speed from which on the weight of
a single target differs from 100; half of it returns the weight to 100."""

DEAD_ZONE_DEVIATIONS = 5.0
"""Standard deviations of the estimate that the distance must have as well. With
fewer, one of 120 equal targets often gets another weight by chance."""

DISTINCT_UPDATES = 5
"""Successive updates for which the distance must last. Two long requests can
block both slots of a target for a second or two."""

SPREAD_DEVIATIONS = 8.0
"""Standard deviations by which the spread of the estimates of a service must
exceed that of equal speeds, for all its weights to follow their estimates. In
replays, equal speeds reached 6.3 at 87 % utilization, and speeds of 0.6, 1.0
and 1.6 exceeded 10 within 3 s."""

SPREAD_HYSTERESIS = 0.5
"""Factor of that limit below which weights return to 100."""

MIN_SPREAD = 0.12
"""Standard deviation of the estimates that is needed as well. Smaller
differences do not matter, and may have other causes than speed."""

MIN_COMPARED = 2
"""Targets with replies from which on a service has a spread."""

MAX_ELAPSED_S = 5.0
"""Longest time between updates that counts, in seconds."""


class Estimate(msgspec.Struct):
    """Estimated speed of one target.

    Attributes:
        log_speed: Logarithm of its speed relative to its service.
        variance: Variance of that.
        distant_updates: Successive updates in which the estimate was distant
            from that of equal speed.
    """

    log_speed: float = 0.0
    variance: float = PRIOR_VARIANCE
    distant_updates: int = 0

    def predict(self, elapsed_s: float) -> None:
        """Moves the estimate toward that of a target without replies."""
        kept = math.exp(-DRIFT_PER_S * elapsed_s / PRIOR_VARIANCE)
        self.variance = PRIOR_VARIANCE - (PRIOR_VARIANCE - self.variance) * kept
        self.log_speed *= math.sqrt(kept)

    def correct(self, log_speed: float, noise: float) -> None:
        """Moves the estimate toward what replies show.

        Args:
            log_speed: Logarithm of the speed that they show.
            noise: Variance of that by chance.
        """
        gain = self.variance / (self.variance + noise)
        self.log_speed += gain * (log_speed - self.log_speed)
        self.variance *= 1.0 - gain

    def null_variance(self) -> float:
        """Returns the variance of the estimate if all speeds are equal."""
        return self.variance * (1.0 - self.variance / PRIOR_VARIANCE)

    def is_distinct(self) -> bool:
        """Returns whether the speed differs from the mean beyond chance."""
        limit = max(DEAD_ZONE, DEAD_ZONE_DEVIATIONS * math.sqrt(self.variance))
        if self.distant_updates >= DISTINCT_UPDATES:
            limit /= 2
        is_distant = abs(self.log_speed) > limit
        self.distant_updates = self.distant_updates + 1 if is_distant else 0
        return self.distant_updates >= DISTINCT_UPDATES

    def percent(self) -> float:
        """Returns the weight in percent, before it is rounded."""
        percent = FULL_PERCENT * math.exp(self.log_speed)
        return min(max(percent, MIN_PERCENT), MAX_PERCENT)


class Noise(msgspec.Struct):
    """How much the replies of a service vary by chance.

    Attributes:
        scale: Factor of the assumed variance.
        updates: Updates that were compared with the one before.
        shown: What the last update showed: logarithm of the speed, and
            its assumed variance, by tag.
    """

    scale: float = FIRST_SCALE
    updates: int = 0
    shown: dict[int, tuple[float, float]] = {}

    def observe(self, shown: dict[int, tuple[float, float]]) -> None:
        """Compares what an update shows with the one before.

        Args:
            shown: Logarithm of the speed, and its assumed variance, by tag.
        """
        ratios = [
            (log_speed - self.shown[tag][0]) ** 2
            / (variance + self.shown[tag][1])
            for tag, (log_speed, variance) in shown.items()
            if tag in self.shown
        ]
        self.shown = shown
        if not ratios:
            return
        self.updates += 1
        weight = max(SCALE_WEIGHT, 1 / (self.updates + 1))
        weight *= len(ratios) / (len(ratios) + SCALE_TARGETS)
        ratio = sum(ratios) / len(ratios)
        self.scale += weight * (ratio - self.scale)
        self.scale = min(max(self.scale, MIN_SCALE), MAX_SCALE)


class TargetWeights:
    """Weights of all targets, by tag of their start.

    Attributes:
        estimates: Estimated speeds.
        weights: Weights other than 100, in percent.
        uneven: Services whose targets differ in speed.
        noises: How much replies vary by chance, by service.
        updated_s: Time of the last update, in seconds.
    """

    __slots__ = ("estimates", "noises", "uneven", "updated_s", "weights")

    def __init__(self) -> None:
        """Initializes weights of 100."""
        self.estimates: dict[int, Estimate] = {}
        self.weights: dict[int, int] = {}
        self.uneven: set[str] = set()
        self.noises: dict[str, Noise] = {}
        self.updated_s = float("inf")

    def set_estimate(self, tag: int, log_speed: float, variance: float) -> None:
        """Sets what was learned of a target while it was ramped up.

        Args:
            tag: Tag of the start of the target.
            log_speed: Logarithm of its speed relative to its service.
            variance: Variance of that.
        """
        # The weight goes on from the ramp-up, without a time at 100.
        self.estimates[tag] = Estimate(log_speed, variance, DISTINCT_UPDATES)

    def update(
        self,
        now_s: float,
        services: Mapping[str, Collection[int]],
        replies: Mapping[int, tuple[int, float]],
    ) -> bool:
        """Applies the replies since the last update.

        Args:
            now_s: Monotonic time in seconds.
            services: Tags of the starts of the targets by service.
            replies: Number of replies and sum of their log ratios by tag.

        Returns:
            Whether a weight changed.
        """
        elapsed_s = min(max(now_s - self.updated_s, 0.0), MAX_ELAPSED_S)
        self.updated_s = now_s
        known = {tag for tags in services.values() for tag in tags}
        self.estimates = {
            tag: self.estimates.get(tag) or Estimate() for tag in known
        }
        weights: dict[int, int] = {}
        self.uneven &= services.keys()
        self.noises = {
            service: noise
            for service, noise in self.noises.items()
            if service in services
        }
        for service, tags in services.items():
            self._correct(elapsed_s, service, tags, replies)
            is_uneven = self._is_uneven(service, tags)
            for tag in tags:
                weight = self._rounded(tag, is_uneven)
                if weight != FULL_PERCENT:
                    weights[tag] = weight
        changed = weights != self.weights
        self.weights = weights
        return changed

    def _correct(
        self,
        elapsed_s: float,
        service: str,
        tags: Collection[int],
        replies: Mapping[int, tuple[int, float]],
    ) -> None:
        """Applies the replies of the targets of one service.

        Only the differences between its targets are evidence: a burst makes
        the replies of all of them slower.
        """
        counts = {tag: replies[tag][0] for tag in tags if tag in replies}
        total = sum(counts.values())
        if total:
            shown = {
                tag: (-replies[tag][1] / count, REPLY_VARIANCE / count)
                for tag, count in counts.items()
            }
            # Where the estimates are right, the mean of what replies show
            # minus what is estimated is the same for all targets.
            offset = (
                sum(
                    count * (shown[tag][0] - self.estimates[tag].log_speed)
                    for tag, count in counts.items()
                )
                / total
            )
            shown = {
                tag: (log_speed - offset, variance + QUEUE_VARIANCE)
                for tag, (log_speed, variance) in shown.items()
            }
            noise = self.noises.setdefault(service, Noise())
            noise.observe(shown)
            for tag, (log_speed, variance) in shown.items():
                self.estimates[tag].correct(log_speed, variance * noise.scale)
        known = [
            estimate
            for estimate in map(self.estimates.__getitem__, tags)
            if estimate.variance < PRIOR_VARIANCE
        ]
        mean = sum(one.log_speed for one in known) / max(len(known), 1)
        for estimate in known:
            estimate.log_speed -= mean
            estimate.predict(elapsed_s)

    def _is_uneven(self, service: str, tags: Collection[int]) -> bool:
        """Returns whether the targets of a service differ in speed."""
        estimates = [
            estimate
            for estimate in map(self.estimates.__getitem__, tags)
            if estimate.variance < PRIOR_VARIANCE
        ]
        noise = self.noises.get(service)
        is_early = noise is None or noise.updates < MIN_UPDATES
        if is_early or len(estimates) < MIN_COMPARED:
            self.uneven.discard(service)
            return False
        count = len(estimates)
        spread = sum(one.log_speed**2 for one in estimates) / count
        ratio = (
            sum(one.log_speed**2 / one.null_variance() for one in estimates)
            / count
        )
        # The mean of n squares of unit variance is 1, with variance 2/n.
        excess = SPREAD_DEVIATIONS * math.sqrt(2 / count)
        least = MIN_SPREAD
        if service in self.uneven:
            excess *= SPREAD_HYSTERESIS
            least *= SPREAD_HYSTERESIS
        if ratio > 1.0 + excess and spread > least**2:
            self.uneven.add(service)
        else:
            self.uneven.discard(service)
        return service in self.uneven

    def _rounded(self, tag: int, is_uneven: bool) -> int:
        """Returns the weight of a target; small changes are left out."""
        held = self.weights.get(tag, FULL_PERCENT)
        estimate = self.estimates[tag]
        if not estimate.is_distinct() and not is_uneven:
            return FULL_PERCENT
        percent = estimate.percent()
        return held if abs(percent - held) < STEP_PERCENT else round(percent)
