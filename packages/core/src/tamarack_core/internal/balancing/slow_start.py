"""Cold start: capacity of a target that has just started."""

from tamarack_core import requests

RAMP_S = 10.0
COLD_CAPACITY = 0.2


class SlowStart:
    """Raises the capacity of a new target over `RAMP_S`.

    Attributes:
        started: Incarnation and start time in seconds by packed address.
    """

    __slots__ = ("started",)

    def __init__(self) -> None:
        """Creates a ramp that knows no target."""
        self.started: dict[bytes, tuple[int, float]] = {}

    def factor(
        self, now_s: float, target: bytes, announcement: requests.Announce
    ) -> float:
        """Returns the share of the capacity in use, above 0 and at most 1."""
        known = self.started.get(target)
        if known is None or known[0] != announcement.incarnation:
            known = (announcement.incarnation, now_s)
            self.started[target] = known
        progress = min(1.0, (now_s - known[1]) / RAMP_S)
        return COLD_CAPACITY + (1.0 - COLD_CAPACITY) * progress

    def restart(self, now_s: float, target: bytes) -> None:
        """Starts the ramp again, such as after an ejection."""
        known = self.started.get(target)
        if known is not None:
            self.started[target] = (known[0], now_s)
