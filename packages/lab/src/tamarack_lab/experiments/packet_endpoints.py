"""Callers and targets of the runs on packets."""

import functools
import random
from typing import Protocol

from tamarack_lab.experiments import event_queue
from tamarack_lab.experiments import measurements
from tamarack_lab.tcp import connection as connections

THINK_S = 2.0
RECORD_BYTES = 16


class Run(Protocol):
    """What callers and targets need of a run.

    Attributes:
        queue: The queue of timed actions.
        random: Seeded generator.
        figures: Counts of the run.
    """

    queue: event_queue.EventQueue
    random: random.Random
    figures: measurements.Figures

    def refuse(self, caller: "Caller") -> None:
        """Counts a refusal, which promises that nothing has run."""

    def break_off(self, caller: "Caller") -> None:
        """Counts a connection that broke."""

    def note_execution(self, record: bytes) -> None:
        """Counts a request that a target runs."""

    def wake(self, connection: connections.Connection) -> None:
        """Sends what a caller's connection has queued."""


class Caller:
    """A caller that sends a numbered request every `THINK_S`."""

    __slots__ = ("answered", "asked", "is_over", "run", "since_s", "uid")

    def __init__(self, run: Run, uid: int) -> None:
        """Creates a caller that has not connected."""
        self.run = run
        self.uid = uid
        self.asked = 0
        self.answered = 0
        self.since_s = 0.0
        self.is_over = False

    def notify(
        self,
        connection: connections.Connection,
        event: connections.ConnectionEvent,
    ) -> None:
        """Reacts to an occurrence of the connection."""
        occurrences = connections.ConnectionEvent
        if event is occurrences.CONNECTED:
            self.ask(connection)
        elif event is occurrences.READABLE:
            self._read(connection)
        elif event is occurrences.REFUSED:
            self.run.refuse(self)
        elif event in (
            occurrences.RESET,
            occurrences.TIMED_OUT,
            occurrences.ENDED,
        ):
            self.run.break_off(self)

    def ask(self, connection: connections.Connection) -> None:
        """Sends the next request."""
        if self.is_over:
            return
        self.asked += 1
        self.since_s = self.run.queue.now_s
        record = f"{self.uid}:{self.asked}"
        connection.write(record.ljust(RECORD_BYTES).encode())
        self.run.wake(connection)

    def _read(self, connection: connections.Connection) -> None:
        """Takes answers and plans the next request."""
        count = len(connection.read()) // RECORD_BYTES
        self.answered += count
        self.run.figures.completed += count
        delay_s = THINK_S * self.run.random.uniform(0.5, 1.5)
        self.run.queue.after(delay_s, functools.partial(self.ask, connection))


class Server:
    """A target that answers each request once it is whole."""

    __slots__ = ("buffer", "run")

    def __init__(self, run: Run) -> None:
        """Creates the application of one connection."""
        self.run = run
        self.buffer = b""

    def notify(
        self,
        connection: connections.Connection,
        event: connections.ConnectionEvent,
    ) -> None:
        """Reacts to an occurrence of the connection."""
        if event is connections.ConnectionEvent.ENDED:
            connection.finish()
        if event is not connections.ConnectionEvent.READABLE:
            return
        self.buffer += connection.read()
        while len(self.buffer) >= RECORD_BYTES:
            record = self.buffer[:RECORD_BYTES]
            self.buffer = self.buffer[RECORD_BYTES:]
            self.run.note_execution(record)
            connection.write(record)
