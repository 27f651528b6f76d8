"""Timer service of the event loop."""

import asyncio
from collections.abc import Callable


class TimerService:
    """Fires named timers once; parts subscribe by name.

    Attributes:
        loop: Event loop that keeps the time.
        fire: Called with the name of a timer that has run out.
        running: Running timers by name.
    """

    __slots__ = ("fire", "loop", "running")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, fire: Callable[[str], None]
    ) -> None:
        """Creates the service.

        Args:
            loop: Event loop that keeps the time.
            fire: Called with the name of a timer that has run out.
        """
        self.loop = loop
        self.fire = fire
        self.running: dict[str, asyncio.TimerHandle] = {}

    def start(self, timer: str, delay_s: float) -> None:
        """Starts a timer; a running timer of that name is replaced.

        Args:
            timer: Name of the timer.
            delay_s: Seconds from now; zero or less fires at once.
        """
        running = self.running.pop(timer, None)
        if running is not None:
            running.cancel()
        self.running[timer] = self.loop.call_later(
            max(delay_s, 0.0), self._run_out, timer
        )

    def stop(self) -> None:
        """Cancels all timers."""
        for handle in self.running.values():
            handle.cancel()
        self.running.clear()

    def _run_out(self, timer: str) -> None:
        """Fires a timer that has run out."""
        self.running.pop(timer, None)
        self.fire(timer)
