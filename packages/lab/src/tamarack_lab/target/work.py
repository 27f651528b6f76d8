"""Work slots of a target, with a first-in, first-out queue of requests."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(slots=True)
class Job:
    """A request to run.

    Attributes:
        cost: Work units.
        finish: Called when the request is completed.
    """

    cost: float
    finish: Callable[[], None]


class Slots:
    """Runs a bounded number of jobs concurrently.

    Attributes:
        count: Maximum number of concurrent jobs.
        unit_s: Seconds that one slot needs for one work unit.
        running: Number of running jobs.
        waiting: Queued jobs, oldest first.
        in_use: Work units of all running and queued jobs.
    """

    __slots__ = ("count", "in_use", "running", "unit_s", "waiting")

    def __init__(self, count: int, unit_s: float) -> None:
        """Initializes the slots without jobs.

        Args:
            count: Maximum number of concurrent jobs.
            unit_s: Seconds that one slot needs for one work unit.
        """
        self.count = count
        self.unit_s = unit_s
        self.running = 0
        self.waiting: collections.deque[Job] = collections.deque()
        self.in_use = 0.0

    def submit(self, job: Job) -> None:
        """Runs a job as soon as a slot is free."""
        self.in_use += job.cost
        self.waiting.append(job)
        self._start()

    def _start(self) -> None:
        """Starts queued jobs in free slots."""
        while self.waiting and self.running < self.count:
            job = self.waiting.popleft()
            self.running += 1
            loop = asyncio.get_running_loop()
            loop.call_later(job.cost * self.unit_s, self._finish, job)

    def _finish(self, job: Job) -> None:
        """Completes a job and starts queued ones."""
        self.running -= 1
        self.in_use -= job.cost
        job.finish()
        self._start()
