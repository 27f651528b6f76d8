"""Stand-in for a target: a few slots and a queue."""

import collections
from collections.abc import Callable
import dataclasses
import functools

from tamarack_lab.experiments import event_queue


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """Work of one connection at a target.

    Attributes:
        cost: Slots that the work occupies.
        duration_s: Seconds of work at a warm target.
        done: Called when the work is done.
        cancelled: Whether the connection was reset before the work ended.
    """

    cost: float
    duration_s: float
    done: Callable[[], None]
    cancelled: bool = False


class TargetQueue:
    """A target that runs `slots` work units at once and queues the rest.

    Attributes:
        address: Packed IP address.
        slots: Work units that run at once.
        slowdown: Factor on the duration of work, such as at a cold start.
        alive: Whether the target runs.
        work: Work units that run or wait.
        integral: Work units times seconds since the start of the measure.
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
        """Creates a target.

        Args:
            queue: The queue of timed actions.
            address: Packed IP address.
            slots: Work units that run at once.
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
        """Takes a job in."""
        self._change(job.cost)
        self._waiting.append(job)
        self._start_waiting()

    def cancel(self, job: Job) -> None:
        """Takes a waiting job out; a running one runs to its end."""
        if not job.cancelled and job in self._waiting:
            self._waiting.remove(job)
            self._change(-job.cost)
        job.cancelled = True

    def die(self) -> None:
        """Ends the target with all its work."""
        self.alive = False
        self._waiting.clear()
        self._change(-self.work)

    def settle(self) -> None:
        """Brings the integral of work up to the present."""
        self._change(0.0)

    def _change(self, difference: float) -> None:
        """Changes the work in flight."""
        now_s = self._queue.now_s
        self.integral += self.work * (now_s - self._since_s)
        self._since_s = now_s
        self.work += difference

    def _start_waiting(self) -> None:
        """Starts jobs in order while slots are free."""
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
        """Ends a running job."""
        if not self.alive:
            return
        self.running -= job.cost
        self._change(-job.cost)
        if not job.cancelled:
            job.done()
        self._start_waiting()
