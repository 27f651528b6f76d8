"""Spaces the openings of one host to each cold target.

Load pattern: callers open many flows at once, after a pause of this host or a
burst, while a cold target has the least load. A named host sends one opening in
any second, also across its own restarts and suspensions.
"""

from tamarack_core.internal.cold_targets import budget


class ColdTargetLimiter:
    """Times of the openings to cold targets through this host.

    An opening counts as sent when the clock is next read: a host that is
    suspended between the decision and the transmission sends it late.

    Attributes:
        ready_s: Time before which nothing may be opened, in seconds. An earlier
            run of this host may have sent an opening just before its end.
        sent_s: Time at which the last opening was sent at the latest, in
            seconds, by target.
        undated: Openings decided at the last reading of the clock, by target,
            with that time in seconds.
    """

    __slots__ = ("ready_s", "sent_s", "undated")

    def __init__(self) -> None:
        """Initializes a limiter that permits nothing before `start`."""
        self.ready_s = float("inf")
        self.sent_s: dict[str, float] = {}
        self.undated: dict[str, float] = {}

    def start(self, now_s: float) -> None:
        """Records the start of this host.

        Args:
            now_s: Monotonic time in seconds.
        """
        self.ready_s = now_s + budget.MIN_SPACING_S

    def observe(self, now_s: float) -> None:
        """Dates the openings that were sent before the clock was read.

        Args:
            now_s: Monotonic time in seconds.
        """
        if not self.undated:
            return
        for target, decided_s in list(self.undated.items()):
            if now_s > decided_s:
                self.sent_s[target] = now_s
                del self.undated[target]

    def may_open(
        self,
        now_s: float,
        target: str,
        spacing_s: float = budget.MIN_SPACING_S,
        not_before_s: float = float("-inf"),
    ) -> bool:
        """Returns whether a flow may be opened to a target.

        Args:
            now_s: Monotonic time in seconds.
            target: Name of the target.
            spacing_s: Time since the last opening to the target, in seconds.
            not_before_s: Time of the first opening that this host may send, in
                seconds.
        """
        if now_s < max(self.ready_s, not_before_s) or target in self.undated:
            return False
        sent_s = self.sent_s.get(target, float("-inf"))
        return now_s - sent_s >= spacing_s

    def record(self, now_s: float, target: str) -> None:
        """Records the decision to send an opening.

        Args:
            now_s: Monotonic time in seconds.
            target: Name of the target.
        """
        self.undated[target] = now_s

    def expire(self, now_s: float) -> None:
        """Removes openings that are old enough for any next one.

        Args:
            now_s: Monotonic time in seconds.
        """
        self.sent_s = {
            target: sent_s
            for target, sent_s in self.sent_s.items()
            if now_s - sent_s < budget.MAX_SPACING_S
        }
