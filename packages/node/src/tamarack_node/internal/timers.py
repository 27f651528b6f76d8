"""Timer service of the event loop."""

import asyncio
from collections.abc import Callable


class TimerService:
    """Runs named one-shot timers.

    Attributes:
        loop: Event loop that runs the timers.
        fire: Called with the name of a timer that has expired.
        running: Handles of the running timers by name.
    """

    __slots__ = ("fire", "loop", "running")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, fire: Callable[[str], None]
    ) -> None:
        """Initializes the timer service.

        Args:
            loop: Event loop that runs the timers.
            fire: Called with the name of a timer that has expired.
        """
        self.loop = loop
        self.fire = fire
        self.running: dict[str, asyncio.TimerHandle] = {}

    def start(self, timer: str, delay_s: float) -> None:
        """Starts a timer; replaces a running timer of the same name.

        Args:
            timer: Name of the timer.
            delay_s: Seconds from now; with zero or less the timer fires on the
                next iteration of the event loop.
        """
        running = self.running.pop(timer, None)
        if running is not None:
            running.cancel()
        self.running[timer] = self.loop.call_later(
            max(delay_s, 0.0), self._expire, timer
        )

    def stop(self) -> None:
        """Cancels all timers."""
        for handle in self.running.values():
            handle.cancel()
        self.running.clear()

    def _expire(self, timer: str) -> None:
        """Fires a timer that has expired."""
        self.running.pop(timer, None)
        self.fire(timer)
