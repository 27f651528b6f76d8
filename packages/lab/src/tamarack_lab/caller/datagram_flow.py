"""One UDP request of a caller."""

import asyncio

import msgspec

from tamarack_core import verdict
from tamarack_lab import attachment as attachments
from tamarack_lab import exchange
from tamarack_lab.caller import report as reports
from tamarack_lab.caller import settings as caller_settings
from tamarack_lab.tcp import connection as connections


class DatagramFlow:
    """Sends a request once and checks the answer.

    Attributes:
        load: Load that the request belongs to.
        counts: Counters of the load.
        attachment: Sends and receives packets through the fabric.
        name: Identifier of the request.
        is_over: Whether the outcome has been counted.
    """

    __slots__ = (
        "_loop",
        "_sent_at_s",
        "_timer",
        "attachment",
        "counts",
        "is_over",
        "load",
        "name",
    )

    def __init__(
        self,
        load: caller_settings.Load,
        counts: reports.Counts,
        attachment: attachments.Attachment,
        name: str,
    ) -> None:
        """Initializes a request that is not sent.

        Args:
            load: Load that the request belongs to.
            counts: Counters of the load.
            attachment: Sends and receives packets through the fabric.
            name: Unique identifier of the request.
        """
        self.load = load
        self.counts = counts
        self.attachment = attachment
        self.name = name
        self.is_over = False
        self._loop = asyncio.get_running_loop()
        self._sent_at_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def open(self, four_tuple: connections.FourTuple) -> None:
        """Sends the request and starts the answer timeout."""
        self.counts.tried += 1
        self.counts.requests += 1
        self._sent_at_s = self._loop.time()
        handlers = self.attachment.stack.datagram_handlers
        handlers[(four_tuple.address, four_tuple.port)] = self._receive
        request = exchange.Request(self.name, self.load.answer_bytes)
        self.attachment.send_datagram(four_tuple, exchange.encode(request))
        self._timer = self._loop.call_later(
            self.load.answer_timeout_s, self._time_out, four_tuple
        )

    def finish(self) -> None:
        """Does nothing: a request ends with its answer or its timeout."""

    def _receive(
        self, four_tuple: connections.FourTuple, payload: bytes
    ) -> None:
        """Checks the answers of a received datagram."""
        reader = exchange.LineReader(exchange.Answer)
        try:
            answers = list(reader.feed(payload))
        except msgspec.DecodeError:
            answers = []
        if not answers:
            self.counts.mixed_up += 1
        for answer in answers:
            self._check_answer(four_tuple, answer)

    def _check_answer(
        self, four_tuple: connections.FourTuple, answer: exchange.Answer
    ) -> None:
        """Counts an answer as correct or wrong."""
        expected = (self.load.service, self.load.work_class)
        if (answer.service, answer.work_class) != expected:
            self.counts.wrong_service += 1
        elif answer.id != self.name:
            self.counts.mixed_up += 1
        else:
            self.counts.opened += 1
            self.counts.completed += 1
            self.counts.answers += 1
            self.counts.latencies_s.append(self._loop.time() - self._sent_at_s)
            self._mark_over(four_tuple)

    def _time_out(self, four_tuple: connections.FourTuple) -> None:
        """Counts a missing answer and ends the flow."""
        self.counts.broken[verdict.unknown("no-answer")] += 1
        self._mark_over(four_tuple)

    def _mark_over(self, four_tuple: connections.FourTuple) -> None:
        """Marks the outcome as counted and releases timer and handler."""
        self.is_over = True
        if self._timer is not None:
            self._timer.cancel()
        handlers = self.attachment.stack.datagram_handlers
        handlers.pop((four_tuple.address, four_tuple.port), None)
