"""Queue of timed actions that provides the simulated time."""

from collections.abc import Callable
import heapq
import itertools

Action = Callable[[], None]


class EventQueue:
    """Runs scheduled actions in the order of their times.

    Attributes:
        now_s: Current simulated time in seconds.
    """

    __slots__ = ("_count", "_heap", "now_s")

    def __init__(self) -> None:
        """Initializes an empty queue at time 0."""
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Action]] = []
        self._count = itertools.count()

    def at(self, time_s: float, action: Action) -> None:
        """Schedules an action at a time in seconds, or now if it has passed."""
        entry = (max(time_s, self.now_s), next(self._count), action)
        heapq.heappush(self._heap, entry)

    def after(self, delay_s: float, action: Action) -> None:
        """Schedules an action after a delay in seconds."""
        self.at(self.now_s + delay_s, action)

    def run_until(self, end_s: float) -> None:
        """Runs all actions up to and including a time in seconds."""
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._heap)
            action()
        self.now_s = end_s
