"""Estimate of the number of entry hosts, for shares of what targets can take.

Each control host counts its subscribers, and learns the counts of the others
from their messages. While a control host is replaced, its subscribers are
counted twice for some seconds, and after a loss of power they return one after
another. The estimate is the smallest total of the last seconds, and the number
that an earlier start saved until hosts had time to return.
"""

import collections

WINDOW_S = 4.0
"""Time of which the smallest total is the estimate, in seconds; subscriptions
expire within it."""

RETURN_S = 10.0
"""Time after the start for which a saved number is used, in seconds."""


class EntryHostCount:
    """Number of entry hosts.

    Attributes:
        saved: Number that an earlier start saved; 0 if none.
        started_s: Time of the first total, in seconds.
        totals: Times in seconds and totals within `WINDOW_S`, oldest first.
    """

    __slots__ = ("saved", "started_s", "totals")

    def __init__(self) -> None:
        """Initializes the estimate without any total."""
        self.saved = 0
        self.started_s = float("inf")
        self.totals: collections.deque[tuple[float, int]] = collections.deque()

    def observe(self, now_s: float, total: int) -> None:
        """Records the number of subscribers of all control hosts.

        Args:
            now_s: Monotonic time in seconds.
            total: The number.
        """
        self.started_s = min(self.started_s, now_s)
        self.totals.append((now_s, total))
        while self.totals[0][0] < now_s - WINDOW_S:
            self.totals.popleft()

    def estimate(self, now_s: float) -> int:
        """Returns the estimate; 0 if the number is unknown.

        Args:
            now_s: Monotonic time in seconds.
        """
        if now_s - self.started_s < RETURN_S and self.saved:
            return self.saved
        if now_s - self.started_s < WINDOW_S or not self.totals:
            return 0
        return min(total for _, total in self.totals)
