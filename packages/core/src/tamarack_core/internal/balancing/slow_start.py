"""Slow start: reduced capacity of a target that has just started."""

from tamarack_core import requests

SLOW_START_S = 10.0
INITIAL_CAPACITY = 0.2


class SlowStart:
    """Raises the capacity of a new target over `SLOW_START_S`.

    Attributes:
        started: Incarnation and start time in seconds by packed address.
    """

    __slots__ = ("started",)

    def __init__(self) -> None:
        """Initializes the slow start without targets."""
        self.started: dict[bytes, tuple[int, float]] = {}

    def factor(
        self, now_s: float, target: bytes, announcement: requests.Announce
    ) -> float:
        """Returns the usable fraction of the capacity, above 0 and at most 1.

        A new target or a new incarnation begins at `INITIAL_CAPACITY`.

        Args:
            now_s: Monotonic time in seconds.
            target: Packed address of the target.
            announcement: What the target last announced.
        """
        known = self.started.get(target)
        if known is None or known[0] != announcement.incarnation:
            known = (announcement.incarnation, now_s)
            self.started[target] = known
        progress = min(1.0, (now_s - known[1]) / SLOW_START_S)
        return INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * progress

    def restart(self, now_s: float, target: bytes) -> None:
        """Begins the slow start again, for example after an ejection."""
        known = self.started.get(target)
        if known is not None:
            self.started[target] = (known[0], now_s)
