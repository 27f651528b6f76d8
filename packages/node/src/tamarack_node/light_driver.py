"""Runs a host with little to load: cookie entry hosts and document control.

`tamarack_node.internal.driver` serves the product's own interface with
aiohttp and the OpenTelemetry SDK. Where a host has a quarter of a core and is
restarted often, this driver carries out the same effects with less.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import logging
import os
import signal
import socket
import time
import typing
from typing import Protocol

import msgspec

from tamarack_core import effects
from tamarack_core import envelopes
from tamarack_core import events
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import timeline
from tamarack_node.internal import http1
from tamarack_node.internal import light_sender
from tamarack_node.internal import log_stream
from tamarack_node.internal import logs
from tamarack_node.internal import tcp_probe
from tamarack_node.internal import text_metrics
from tamarack_node.internal import timers
from tamarack_node.internal import transport

if typing.TYPE_CHECKING:
    from tamarack_core import messages
    from tamarack_core import requests

HttpRequest = http1.HttpRequest
HttpResponse = http1.HttpResponse

DATAGRAMS_PER_TURN = 64
RECEIVE_BYTES = 4096
SOCKET_BUFFER_BYTES = 1024 * 1024
TIMELINE_ENTRIES = 2_000
MS_PER_S = 1000
METRICS_PATH = "/metrics"
TIMELINE_PATH = "/v1/timeline"
METRICS_DELAY_S = 1.0
"""Time after the start at which the metrics open, in seconds."""
EXIT_DISK_FAILED = 4

METRICS_PORT = 9464
"""Port of the metrics, on the address of the host; that of the OpenTelemetry
exporter for Prometheus."""


class HttpCodec(Protocol):
    """Translates between HTTP and the requests of the core."""

    def decode(
        self, request: http1.HttpRequest
    ) -> requests.Request | http1.HttpResponse:
        """Returns the request of the core, or the answer that refuses it."""

    def encode(
        self, request: http1.HttpRequest, response: requests.Response
    ) -> http1.HttpResponse:
        """Returns the form of the answer to a request."""


class Writer(Protocol):
    """Carries out writes; see `disk_writer.DiskWriter`."""

    def write(
        self,
        effect: effects.Persist | effects.SaveSnapshot | effects.SaveTargets,
    ) -> None:
        """Hands over a write."""

    def close(self) -> None:
        """Lets it end after the writes that wait."""


class Addresses(msgspec.Struct, frozen=True):
    """What a host listens on.

    Attributes:
        internal: Messages of other hosts.
        public: HTTP of the platform: readiness, or orders and announcements.
        data: Packets; None on a control host.
    """

    internal: peers.Endpoint
    public: peers.Endpoint
    data: peers.Endpoint | None = None


class LightDriver:
    """Runs one host.

    Attributes:
        node: State of the host.
        addresses: What the host listens on.
        entries: Newest entries of the time line.
        stopped: Resolves to the `Stop` effect that ends the process.
        writer: Carries out writes; None on a host without a disk.
        turn: Time that the handling of one batch of packets takes.
        answers: Time that the answer of a request takes.
    """

    __slots__ = (
        "_data_socket",
        "_dialect",
        "_listeners",
        "_opening",
        "_pending",
        "_probes",
        "_request_ids",
        "_timers",
        "addresses",
        "answers",
        "entries",
        "node",
        "stopped",
        "transport",
        "turn",
        "writer",
    )

    def __init__(
        self,
        node: reducer.Node,
        addresses: Addresses,
        dialect: HttpCodec,
        codec: envelopes.Codec,
    ) -> None:
        """Creates a host that has not started.

        Args:
            node: State of the host.
            addresses: What the host listens on.
            dialect: Translates HTTP.
            codec: Translates envelopes.
        """
        loop = asyncio.get_running_loop()
        self.node = node
        self.addresses = addresses
        self.entries: collections.deque[timeline.Entry] = collections.deque(
            maxlen=TIMELINE_ENTRIES
        )
        self.stopped: asyncio.Future[effects.Stop] = loop.create_future()
        self.writer: Writer | None = None
        self.turn = text_metrics.Histogram()
        self.answers = text_metrics.Histogram()
        self.transport = transport.Transport(
            node.context,
            self._handle_envelope,
            {},
            light_sender.LightSender(),
            codec,
        )
        self._dialect = dialect
        self._timers = timers.TimerService(loop, self._handle_timer)
        self._pending: dict[int, asyncio.Future[requests.Response]] = {}
        self._probes: set[asyncio.Task[None]] = set()
        self._request_ids = itertools.count(1)
        self._data_socket: socket.socket | None = None
        self._listeners: list[http1.HttpListener] = []
        self._opening: asyncio.Task[None] | None = None

    async def run(self) -> effects.Stop:
        """Runs the host until it stops.

        Returns:
            Why it stopped.

        Raises:
            OSError: A socket can't be bound.
        """
        try:
            await self._open()
            now_s = time.monotonic()
            self.handle(events.Started(now_s, int(time.time() * MS_PER_S)))
            return await self.stopped
        finally:
            await self._close()

    def handle(self, event: events.Event) -> None:
        """Applies an event and carries out the effects.

        Args:
            event: The event.
        """
        for effect in reducer.reduce(self.node, event):
            if type(effect) is effects.SendDatagram:
                self._send_datagram(effect)
            else:
                self._carry_out(effect)

    def complete_write(self, sequence: int) -> None:
        """Tells the core that a write is synced.

        Args:
            sequence: Number of the write.
        """
        if not self.stopped.done():
            self.handle(events.WriteCompleted(time.monotonic(), sequence))

    def fail_write(self, error: Exception) -> None:
        """Ends the process, as nobody knows what reached the disk.

        Args:
            error: The error.
        """
        fields = {"detail": str(error)}
        logs.event("write-failed", logging.CRITICAL, fields)
        self._finish(effects.Stop(EXIT_DISK_FAILED, str(error)))

    async def _open(self) -> None:
        """Opens all sockets, those of packets first."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._request_stop)
        loop.add_signal_handler(signal.SIGINT, self._request_stop)
        data = self.addresses.data
        if data is not None:
            self._data_socket = transport.bind_udp(data)
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                self._data_socket.setsockopt(
                    socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
                )
            loop.add_reader(self._data_socket, self._read_datagrams)
        self.transport.open(self.addresses.internal)
        await self._listen(self.addresses.internal, self._answer_internal)
        await self._listen(self.addresses.public, self._answer_public)
        # Metrics wait until packets flow.
        loop.call_later(METRICS_DELAY_S, self._open_metrics)

    def _open_metrics(self) -> None:
        """Opens the metrics; a host runs on without them."""
        loop = asyncio.get_running_loop()
        self._opening = loop.create_task(self._listen_for_metrics())

    async def _listen_for_metrics(self) -> None:
        """Opens the port of the metrics."""
        address = self.addresses.internal.address
        try:
            await self._listen(
                peers.Endpoint(address, METRICS_PORT), self._answer_metrics
            )
        except OSError as error:
            log_event("metrics-unavailable", str(error))

    async def _answer_metrics(
        self, request: http1.HttpRequest
    ) -> http1.HttpResponse:
        """Answers who reads metrics or the time line."""
        path, _, _ = request.path.partition("?")
        if request.method == "GET" and path == METRICS_PATH:
            return http1.HttpResponse(
                200, self._metrics(), text_metrics.CONTENT_TYPE
            )
        if request.method == "GET" and path == TIMELINE_PATH:
            return http1.HttpResponse(200, timeline.encode(self.entries))
        return http1.HttpResponse(404)

    async def _listen(
        self,
        endpoint: peers.Endpoint,
        handler: Callable[[http1.HttpRequest], Awaitable[http1.HttpResponse]],
    ) -> None:
        """Opens one HTTP listener."""
        listener = http1.HttpListener(handler)
        await listener.open(endpoint.address, endpoint.port)
        self._listeners.append(listener)

    async def _close(self) -> None:
        """Closes all sockets."""
        self._timers.stop()
        if self._data_socket is not None:
            asyncio.get_running_loop().remove_reader(self._data_socket)
            self._data_socket.close()
        for listener in self._listeners:
            listener.close()
        await self.transport.close()
        if self.writer is not None:
            self.writer.close()

    def _request_stop(self) -> None:
        """Starts a graceful stop."""
        self.handle(events.StopRequested(time.monotonic()))

    def _read_datagrams(self) -> None:
        """Handles the datagrams that have arrived, a bounded number."""
        data_socket = self._data_socket
        assert data_socket is not None
        now_s = time.monotonic()
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                data = data_socket.recv(RECEIVE_BYTES)
            except (BlockingIOError, ConnectionRefusedError):
                break
            self.handle(events.DatagramArrived(now_s, data))
        self.turn.observe(time.monotonic() - now_s)

    def _handle_envelope(
        self, envelope: envelopes.Envelope[messages.Message]
    ) -> None:
        """Handles the messages of another host."""
        now_s = time.monotonic()
        for message in envelope.messages:
            self.handle(events.MessageArrived(now_s, envelope.sender, message))

    def _handle_timer(self, timer: str) -> None:
        """Handles a timer that has run out."""
        self.handle(events.TimerFired(time.monotonic(), timer))

    def _carry_out(self, effect: effects.Effect) -> None:
        """Carries out an effect other than a datagram."""
        match effect:
            case effects.SendMessage(peer, message):
                self.transport.send(peer, message)
            case effects.StartTimer(timer, delay_s):
                self._timers.start(timer, delay_s)
            case effects.Respond(request_id, response):
                answer = self._pending.get(request_id)
                if answer is not None and not answer.done():
                    answer.set_result(response)
            case effects.Record(entry):
                self.entries.append(entry)
                logs.entry(entry)
            case (
                effects.Persist()
                | effects.SaveSnapshot()
                | effects.SaveTargets()
            ):
                assert self.writer is not None
                self.writer.write(effect)
            case effects.ProbeTarget():
                task = asyncio.get_running_loop().create_task(
                    self._probe(effect)
                )
                self._probes.add(task)
                task.add_done_callback(self._probes.discard)
            case effects.Stop():
                self._finish(effect)
            case _:
                raise AssertionError(f"no driver for {type(effect)}")

    async def _probe(self, effect: effects.ProbeTarget) -> None:
        """Asks a target for a connection, and tells the core."""
        is_answered = await tcp_probe.accepts_connection(
            effect, self.addresses.internal.address
        )
        self.handle(
            events.TargetProbed(time.monotonic(), effect.target, is_answered)
        )

    def _send_datagram(self, effect: effects.SendDatagram) -> None:
        """Sends a packet; a full socket buffer loses it."""
        assert self._data_socket is not None and effect.endpoint is not None
        address = (effect.endpoint.address, effect.endpoint.port)
        try:
            self._data_socket.sendto(effect.data, address)
        except OSError:
            self.node.context.counters["data-send-failed"] += 1

    def _finish(self, stop: effects.Stop) -> None:
        """Ends the run."""
        if not self.stopped.done():
            self.stopped.set_result(stop)

    async def _answer_public(
        self, request: http1.HttpRequest
    ) -> http1.HttpResponse:
        """Answers the platform, operators and targets."""
        began_s = time.monotonic()
        decoded = self._dialect.decode(request)
        if isinstance(decoded, http1.HttpResponse):
            self.node.context.counters["requests-refused"] += 1
            return decoded
        reply = self._dialect.encode(request, await self._ask(decoded))
        self.answers.observe(time.monotonic() - began_s)
        return reply

    async def _ask(self, request: requests.Request) -> requests.Response:
        """Hands a request to the reducer and waits for the response."""
        request_id = next(self._request_ids)
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[requests.Response] = loop.create_future()
        self._pending[request_id] = answer
        try:
            self.handle(
                events.RequestArrived(time.monotonic(), request_id, request)
            )
            return await answer
        finally:
            del self._pending[request_id]

    async def _answer_internal(
        self, request: http1.HttpRequest
    ) -> http1.HttpResponse:
        """Answers other hosts."""
        call = (request.method, request.path)
        if call != ("POST", transport.MESSAGES_PATH):
            return http1.HttpResponse(404)
        self.transport.handle_bytes(request.body)
        return http1.HttpResponse(200)

    def _metrics(self) -> bytes:
        """Returns all metrics as text."""
        return text_metrics.render(
            self.node.context.host.host,
            self.node.context.counters,
            {"pending_requests": len(self._pending)},
            {"packet_turn": self.turn, "request_answer": self.answers},
        )


def set_up_log(level: str) -> None:
    """Sends the log to standard output, bounded and never waited for.

    Args:
        level: Lowest level that is logged, such as `info`.
    """
    logs.set_up(level, log_stream.LogStream(1))


def log_event(name: str, detail: str) -> None:
    """Logs an event outside the core.

    Args:
        name: Constant name of the event.
        detail: Sentence for the operator.
    """
    logs.event(name, logging.INFO, {"detail": detail})


def end_process(stop: effects.Stop) -> None:
    """Logs why the process ends and ends it.

    Threads that wait for a disk are not waited for.

    Args:
        stop: Why it ends.
    """
    logs.event("stopped", logging.INFO, {"reason": stop.reason})
    os._exit(stop.exit_code)
