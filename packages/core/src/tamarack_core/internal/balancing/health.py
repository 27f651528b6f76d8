"""Health of targets as seen on their connections, with ejection."""

from collections.abc import Sequence
import dataclasses
import statistics

FAILURES_TO_EJECT = 3
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
MAX_EJECTED_SHARE = 0.34
HANDSHAKE_GAIN = 0.2
SLOW_FACTOR = 3.0
SLOW_FLOOR_S = 0.002
MIN_SLOW_CAPACITY = 0.25
EVIDENCE_S = 10.0
UNPROVEN_CAPACITY = 0.5


@dataclasses.dataclass(slots=True)
class Health:
    """What was seen of one target.

    Attributes:
        failures: Failed openings since the last handshake.
        ejections: Ejections in a row without a handshake between them.
        ejected_until_s: Time at which the ejection ends, in seconds.
        handshake_s: Smoothed duration of a handshake in seconds; 0 if none
            was seen.
        answered_s: Time of the last handshake in seconds.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    handshake_s: float = 0.0
    answered_s: float = float("-inf")


class PassiveHealth:
    """Health by target.

    Attributes:
        targets: Health by packed address.
    """

    __slots__ = ("targets",)

    def __init__(self) -> None:
        """Creates a book that holds every target to be healthy."""
        self.targets: dict[bytes, Health] = {}

    def answer(self, now_s: float, target: bytes, elapsed_s: float) -> bool:
        """Takes note of a completed handshake.

        Returns:
            Whether the target comes back from an ejection by it.
        """
        health = self.targets.setdefault(target, Health())
        came_back = health.ejections > 0
        health.failures = 0
        health.ejections = 0
        health.ejected_until_s = float("-inf")
        health.answered_s = now_s
        if health.handshake_s:
            difference_s = elapsed_s - health.handshake_s
            health.handshake_s += HANDSHAKE_GAIN * difference_s
        else:
            health.handshake_s = elapsed_s
        return came_back

    def fail(self, now_s: float, target: bytes) -> bool:
        """Takes note of an opening without a handshake.

        After an ejection has ended, one more failure ejects again, for twice
        the time.

        Returns:
            Whether the target is ejected by it.
        """
        health = self.targets.setdefault(target, Health())
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

        At most `MAX_EJECTED_SHARE` of the targets, and one of two or more,
        stay ejected; those with the fewest failures are let in beyond it.
        """
        ejected = [
            target
            for target in targets
            if target in self.targets
            and self.targets[target].ejected_until_s > now_s
        ]
        if not ejected:
            return list(targets)
        cap = _ejection_cap(len(targets))
        ejected.sort(key=lambda target: -self.targets[target].failures)
        out = set(ejected[:cap])
        return [target for target in targets if target not in out]

    def capacity_factors(
        self, now_s: float, targets: Sequence[bytes], unhealthy: set[bytes]
    ) -> list[float]:
        """Returns a factor from 0 to 1 on the capacity of each target.

        Args:
            now_s: Monotonic time in seconds.
            targets: Targets of one service.
            unhealthy: Targets whose health endpoint says that they are
                unhealthy; a recent handshake outweighs it.
        """
        known = [self.targets.get(target) for target in targets]
        seen = [health.handshake_s for health in known if health]
        median_s = statistics.median(filter(None, seen)) if any(seen) else 0.0
        return [
            _factor(now_s, health, median_s, target in unhealthy)
            for target, health in zip(targets, known, strict=True)
        ]


def _ejection_cap(count: int) -> int:
    """Returns how many of the targets may be ejected at once."""
    return min(max(1, int(MAX_EJECTED_SHARE * count)), count - 1)


def _factor(
    now_s: float, health: Health | None, median_s: float, unhealthy: bool
) -> float:
    """Returns the factor on the capacity of one target."""
    proven = health is not None and now_s - health.answered_s < EVIDENCE_S
    factor = UNPROVEN_CAPACITY if unhealthy and not proven else 1.0
    if health is None or health.handshake_s <= SLOW_FLOOR_S:
        return factor
    bound_s = SLOW_FACTOR * median_s
    if median_s and health.handshake_s > bound_s:
        factor *= max(MIN_SLOW_CAPACITY, bound_s / health.handshake_s)
    return factor
