"""Simulated work of a target: a few slots and a queue."""

import collections
from collections.abc import Callable
import dataclasses
import functools

from tamarack_lab.experiments import event_queue


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """Work that one connection causes at a target.

    Attributes:
        cost: Number of slots that the work occupies.
        duration_s: Duration in seconds at a target of normal speed.
        on_done: Called when the work is completed, unless it was cancelled.
        cancelled: Whether the connection was reset before the work ended.
    """

    cost: float
    duration_s: float
    on_done: Callable[[], None]
    cancelled: bool = False


class TargetQueue:
    """Target that runs up to `slots` work units and queues the rest.

    Attributes:
        address: Packed IP address.
        slots: Maximum number of work units that run concurrently.
        slowdown: Factor on the duration of work, above 1 at a cold start.
        alive: Whether the target is running.
        running: Work units that are running.
        work: Work units that are running or queued.
        integral: Integral of `work` over time, in work units times seconds.
        started: Number of jobs that have started.
    """

    __slots__ = (
        "_queue",
        "_since_s",
        "_waiting",
        "address",
        "alive",
        "integral",
        "running",
        "slots",
        "slowdown",
        "started",
        "work",
    )

    def __init__(
        self, queue: event_queue.EventQueue, address: bytes, slots: int
    ) -> None:
        """Initializes an idle target.

        Args:
            queue: Queue of timed actions.
            address: Packed IP address.
            slots: Maximum number of work units that run concurrently.
        """
        self._queue = queue
        self._since_s = 0.0
        self._waiting: collections.deque[Job] = collections.deque()
        self.address = address
        self.slots = slots
        self.slowdown = 1.0
        self.alive = True
        self.running = 0.0
        self.work = 0.0
        self.integral = 0.0
        self.started = 0

    def submit(self, job: Job) -> None:
        """Queues a job and starts it if slots are free."""
        self._change(job.cost)
        self._waiting.append(job)
        self._start_waiting()

    def cancel(self, job: Job) -> None:
        """Cancels a job; a running job occupies its slots until its end."""
        if not job.cancelled and job in self._waiting:
            self._waiting.remove(job)
            self._change(-job.cost)
        job.cancelled = True

    def kill(self) -> None:
        """Stops the target and discards all its work."""
        self.alive = False
        self._waiting.clear()
        self._change(-self.work)

    def update_integral(self) -> None:
        """Updates the integral of work to the current time."""
        self._change(0.0)

    def _change(self, difference: float) -> None:
        """Updates the integral and changes the work in flight."""
        now_s = self._queue.now_s
        self.integral += self.work * (now_s - self._since_s)
        self._since_s = now_s
        self.work += difference

    def _start_waiting(self) -> None:
        """Starts queued jobs in order while enough slots are free.

        A job that needs more than all slots runs alone.
        """
        while self._waiting:
            job = self._waiting[0]
            if self.running and self.running + job.cost > self.slots:
                return
            self._waiting.popleft()
            self.running += job.cost
            self.started += 1
            duration_s = job.duration_s * self.slowdown
            self._queue.after(duration_s, functools.partial(self._finish, job))

    def _finish(self, job: Job) -> None:
        """Completes a running job and starts queued ones."""
        if not self.alive:
            return
        self.running -= job.cost
        self._change(-job.cost)
        if not job.cancelled:
            job.on_done()
        self._start_waiting()
