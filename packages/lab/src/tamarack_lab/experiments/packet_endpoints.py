"""TCP applications of callers and targets in packet-level runs."""

import functools
import random
from typing import Protocol

from tamarack_lab.experiments import event_queue
from tamarack_lab.experiments import measurements
from tamarack_lab.tcp import connection as connections

REQUEST_INTERVAL_S = 2.0
RECORD_BYTES = 16


class RunContext(Protocol):
    """Interface of a run that callers and targets use.

    Attributes:
        queue: Queue of timed actions.
        random: Seeded random generator.
        figures: Figures of the run.
    """

    queue: event_queue.EventQueue
    random: random.Random
    figures: measurements.Figures

    def count_refusal(self, caller: "Caller") -> None:
        """Counts a refusal, which states that no request has run."""

    def count_broken(self, caller: "Caller") -> None:
        """Counts a broken connection."""

    def record_execution(self, record: bytes) -> None:
        """Records that a target runs a request."""

    def flush_callers(self, connection: connections.Connection) -> None:
        """Sends the queued data of a caller's connection."""


class Caller:
    """Caller that sends a numbered request every `REQUEST_INTERVAL_S`.

    The interval is the mean; the next one starts with the response.
    """

    __slots__ = (
        "is_finished",
        "requests_sent",
        "responses_received",
        "run",
        "uid",
        "waiting_since_s",
    )

    def __init__(self, run: RunContext, uid: int) -> None:
        """Initializes the caller without a connection."""
        self.run = run
        self.uid = uid
        self.requests_sent = 0
        self.responses_received = 0
        self.waiting_since_s = 0.0
        self.is_finished = False

    def notify(
        self,
        connection: connections.Connection,
        event: connections.ConnectionEvent,
    ) -> None:
        """Handles an event of the connection."""
        connection_events = connections.ConnectionEvent
        if event is connection_events.CONNECTED:
            self.send_request(connection)
        elif event is connection_events.READABLE:
            self._read_responses(connection)
        elif event is connection_events.REFUSED:
            self.run.count_refusal(self)
        elif event in (
            connection_events.RESET,
            connection_events.TIMED_OUT,
            connection_events.ENDED,
        ):
            self.run.count_broken(self)

    def send_request(self, connection: connections.Connection) -> None:
        """Sends the next request unless the caller has finished."""
        if self.is_finished:
            return
        self.requests_sent += 1
        self.waiting_since_s = self.run.queue.now_s
        record = f"{self.uid}:{self.requests_sent}"
        connection.write(record.ljust(RECORD_BYTES).encode())
        self.run.flush_callers(connection)

    def _read_responses(self, connection: connections.Connection) -> None:
        """Counts the responses and schedules the next request."""
        count = len(connection.read()) // RECORD_BYTES
        self.responses_received += count
        self.run.figures.completed += count
        delay_s = REQUEST_INTERVAL_S * self.run.random.uniform(0.5, 1.5)
        self.run.queue.after(
            delay_s, functools.partial(self.send_request, connection)
        )


class Server:
    """One connection of a target; responds to each request once complete."""

    __slots__ = ("buffer", "run")

    def __init__(self, run: RunContext) -> None:
        """Initializes the application of one connection."""
        self.run = run
        self.buffer = b""

    def notify(
        self,
        connection: connections.Connection,
        event: connections.ConnectionEvent,
    ) -> None:
        """Handles an event of the connection."""
        if event is connections.ConnectionEvent.ENDED:
            connection.finish()
        if event is not connections.ConnectionEvent.READABLE:
            return
        self.buffer += connection.read()
        while len(self.buffer) >= RECORD_BYTES:
            record = self.buffer[:RECORD_BYTES]
            self.buffer = self.buffer[RECORD_BYTES:]
            self.run.record_execution(record)
            connection.write(record)
