"""Passive health checks of targets by their connections, with ejection."""

from collections.abc import Sequence
import dataclasses
import statistics

FAILURES_TO_EJECT = 3
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
MAX_EJECTED_FRACTION = 0.34
HANDSHAKE_SMOOTHING = 0.2
# A target is slow if its handshakes take longer than this multiple of the
# median.
SLOW_FACTOR = 3.0
# A target is never slow if its handshakes take no longer than this.
SLOW_FLOOR_S = 0.002
# Lowest factor for the capacity of a slow target.
MIN_SLOW_CAPACITY = 0.25
# A handshake within this time outweighs the report that a target is unhealthy.
EVIDENCE_LIFETIME_S = 10.0
# Factor for the capacity of a target that is reported unhealthy.
UNHEALTHY_CAPACITY = 0.5


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """Observed health of one target.

    Attributes:
        failures: Failed openings since the last handshake.
        ejections: Consecutive ejections without a handshake in between.
        ejected_until_s: Time at which the ejection ends, in seconds.
        handshake_duration_s: Smoothed duration of a handshake in seconds; 0
            before the first one.
        last_handshake_s: Time of the last handshake in seconds.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    handshake_duration_s: float = 0.0
    last_handshake_s: float = float("-inf")


class PassiveHealth:
    """Observed health by target.

    Attributes:
        targets: Health by packed address.
    """

    __slots__ = ("targets",)

    def __init__(self) -> None:
        """Initializes the table; unknown targets count as healthy."""
        self.targets: dict[bytes, TargetHealth] = {}

    def record_handshake(
        self, now_s: float, target: bytes, elapsed_s: float
    ) -> bool:
        """Records a completed handshake, which ends an ejection.

        Args:
            now_s: Monotonic time in seconds.
            target: Packed address of the target.
            elapsed_s: Duration of the handshake in seconds.

        Returns:
            Whether the target had been ejected.
        """
        health = self.targets.setdefault(target, TargetHealth())
        was_ejected = health.ejections > 0
        health.failures = 0
        health.ejections = 0
        health.ejected_until_s = float("-inf")
        health.last_handshake_s = now_s
        if health.handshake_duration_s:
            difference_s = elapsed_s - health.handshake_duration_s
            health.handshake_duration_s += HANDSHAKE_SMOOTHING * difference_s
        else:
            health.handshake_duration_s = elapsed_s
        return was_ejected

    def record_failure(self, now_s: float, target: bytes) -> bool:
        """Records an opening that failed before its handshake completed.

        After an ejection has ended, a single failure ejects the target
        again, for twice the time.

        Returns:
            Whether this failure ejects the target.
        """
        health = self.targets.setdefault(target, TargetHealth())
        health.failures += 1
        if health.ejected_until_s > now_s:
            return False
        if health.failures < FAILURES_TO_EJECT and not health.ejections:
            return False
        duration_s = min(MAX_EJECTION_S, EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.ejected_until_s = now_s + duration_s
        return True

    def eligible(self, now_s: float, targets: Sequence[bytes]) -> list[bytes]:
        """Returns the targets that are not ejected.

        At most `MAX_EJECTED_FRACTION` of the targets can stay ejected, but
        one always can if there are two or more. Beyond that limit, the
        targets with the fewest failures are readmitted.
        """
        ejected = [
            target
            for target in targets
            if target in self.targets
            and self.targets[target].ejected_until_s > now_s
        ]
        if not ejected:
            return list(targets)
        limit = _ejection_cap(len(targets))
        ejected.sort(key=lambda target: -self.targets[target].failures)
        excluded = set(ejected[:limit])
        return [target for target in targets if target not in excluded]

    def capacity_factors(
        self, now_s: float, targets: Sequence[bytes], unhealthy: set[bytes]
    ) -> list[float]:
        """Returns a factor from 0 to 1 for the capacity of each target.

        Args:
            now_s: Monotonic time in seconds.
            targets: Targets of one service.
            unhealthy: Targets whose health endpoint reports them as
                unhealthy; a recent handshake overrides the report.
        """
        known = [self.targets.get(target) for target in targets]
        seen = [health.handshake_duration_s for health in known if health]
        median_s = statistics.median(filter(None, seen)) if any(seen) else 0.0
        return [
            _factor(now_s, health, median_s, target in unhealthy)
            for target, health in zip(targets, known, strict=True)
        ]


def _ejection_cap(count: int) -> int:
    """Returns how many of the targets may be ejected at once."""
    return min(max(1, int(MAX_EJECTED_FRACTION * count)), count - 1)


def _factor(
    now_s: float, health: TargetHealth | None, median_s: float, unhealthy: bool
) -> float:
    """Returns the factor for the capacity of one target."""
    has_evidence = (
        health is not None
        and now_s - health.last_handshake_s < EVIDENCE_LIFETIME_S
    )
    factor = UNHEALTHY_CAPACITY if unhealthy and not has_evidence else 1.0
    if health is None or health.handshake_duration_s <= SLOW_FLOOR_S:
        return factor
    bound_s = SLOW_FACTOR * median_s
    if median_s and health.handshake_duration_s > bound_s:
        factor *= max(MIN_SLOW_CAPACITY, bound_s / health.handshake_duration_s)
    return factor
