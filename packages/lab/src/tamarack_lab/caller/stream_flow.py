"""One TCP connection of a caller."""

import asyncio
import itertools

import msgspec

from tamarack_core import configuration
from tamarack_core import verdict
from tamarack_lab import attachment as attachments
from tamarack_lab import exchange
from tamarack_lab.caller import report as reports
from tamarack_lab.caller import settings as caller_settings
from tamarack_lab.tcp import connection as connections

ConnectionEvent = connections.ConnectionEvent


class StreamFlow:
    """Sends requests over a connection and checks the answers.

    Attributes:
        load: Load that the connection belongs to.
        counts: Counters of the load.
        attachment: Sends and receives packets through the fabric.
        name: Prefix of the request identifiers.
        connection: The connection; None before it is opened.
        pending_request: Identifier of the unanswered request; empty if there
            is none.
        is_open: Whether the connection has been established.
        is_over: Whether the outcome has been counted.
    """

    __slots__ = (
        "_loop",
        "_numbers",
        "_reader",
        "_sent_at_s",
        "_timer",
        "attachment",
        "connection",
        "counts",
        "is_open",
        "is_over",
        "load",
        "name",
        "pending_request",
    )

    def __init__(
        self,
        load: caller_settings.Load,
        counts: reports.Counts,
        attachment: attachments.Attachment,
        name: str,
    ) -> None:
        """Initializes a flow that is not opened.

        Args:
            load: Load that the connection belongs to.
            counts: Counters of the load.
            attachment: Sends and receives packets through the fabric.
            name: Unique prefix of the request identifiers.
        """
        self.load = load
        self.counts = counts
        self.attachment = attachment
        self.name = name
        self.connection: connections.Connection | None = None
        self.pending_request = ""
        self.is_open = False
        self.is_over = False
        self._reader = exchange.LineReader(exchange.Answer)
        self._numbers = itertools.count()
        self._sent_at_s = 0.0
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def open(self, four_tuple: connections.FourTuple) -> None:
        """Opens the connection."""
        self.counts.tried += 1
        self.connection = self.attachment.connect(four_tuple, self)

    def finish(self) -> None:
        """Closes the connection unless a request is unanswered."""
        if self.connection is None or self.is_over or self.pending_request:
            return
        # A connection that is still being established is left open here. A
        # later call closes it.
        if self.is_open:
            self._complete(self.connection)

    def notify(
        self, connection: connections.Connection, event: ConnectionEvent
    ) -> None:
        """Handles an event of the connection."""
        if self.is_over:
            return
        if event is ConnectionEvent.CONNECTED:
            self.is_open = True
            self.counts.opened += 1
            self._send(connection)
        elif event is ConnectionEvent.READABLE:
            self._read(connection)
        elif event is ConnectionEvent.REFUSED:
            self._count_refused("connection-refused")
        elif event is ConnectionEvent.TIMED_OUT and not connection.receiver:
            self._count_refused("no-answer-to-syn")
        elif event is not ConnectionEvent.WRITABLE:
            self._count_broken(connection, f"connection-{event}")

    def _send(self, connection: connections.Connection) -> None:
        """Sends the next request."""
        if self.is_over:
            return
        self.pending_request = f"{self.name}-{next(self._numbers)}"
        self._sent_at_s = self._loop.time()
        self.counts.requests += 1
        request = exchange.Request(self.pending_request, self.load.answer_bytes)
        connection.write(exchange.encode(request))
        self.attachment.flush_soon(connection)
        self._schedule(self.load.answer_timeout_s, self._time_out, connection)

    def _read(self, connection: connections.Connection) -> None:
        """Checks the received answers and continues with the next step."""
        try:
            for answer in self._reader.feed(connection.read()):
                self._check_answer(answer)
        except msgspec.DecodeError:
            self.counts.mixed_up += 1
            self._reset(connection, "unreadable-answer")
            return
        if not self.pending_request:
            self._continue(connection)

    def _check_answer(self, answer: exchange.Answer) -> None:
        """Counts an answer as correct or wrong."""
        expected = (self.load.service, self.load.work_class)
        if (answer.service, answer.work_class) != expected:
            self.counts.wrong_service += 1
            return
        is_whole = len(answer.filling) == self.load.answer_bytes
        if answer.id != self.pending_request or not is_whole:
            self.counts.mixed_up += 1
            return
        self.counts.answers += 1
        self.counts.latencies_s.append(self._loop.time() - self._sent_at_s)
        self.pending_request = ""

    def _continue(self, connection: connections.Connection) -> None:
        """Closes a bounded connection, or schedules the next request."""
        if self.load.lifetime is configuration.Lifetime.BOUNDED:
            self._complete(connection)
        else:
            self._schedule(self.load.request_interval_s, self._send, connection)

    def _complete(self, connection: connections.Connection) -> None:
        """Closes the connection normally and counts it as completed."""
        self.counts.completed += 1
        self._mark_over()
        connection.finish()
        self.attachment.flush_soon(connection)

    def _count_refused(self, reason: str) -> None:
        """Counts a connection that was never established."""
        self.is_over = True
        self.counts.refused[verdict.not_run(reason)] += 1

    def _count_broken(
        self, connection: connections.Connection, reason: str
    ) -> None:
        """Counts an established connection that was interrupted.

        Without any payload sent, no request can have run.
        """
        self._mark_over()
        outcome = verdict.may_have_run(reason)
        if not connection.sent_payload:
            outcome = verdict.not_run(reason)
        self.counts.broken[outcome] += 1
        if connection.state is connections.State.CLOSE_WAIT:
            connection.finish()
            self.attachment.flush_soon(connection)

    def _time_out(self, connection: connections.Connection) -> None:
        """Resets the connection because an answer is missing."""
        if not self.is_over:
            self._reset(connection, "no-answer")

    def _reset(self, connection: connections.Connection, reason: str) -> None:
        """Resets the connection and counts it as broken."""
        self._count_broken(connection, reason)
        connection.abort()
        self.attachment.flush_soon(connection)

    def _mark_over(self) -> None:
        """Marks the outcome as counted and stops the timer."""
        self.is_over = True
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(
        self,
        delay_s: float,
        callback: attachments.ConnectionCallback,
        connection: connections.Connection,
    ) -> None:
        """Replaces the timer."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, callback, connection)
