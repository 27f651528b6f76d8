"""Driver that loads quickly; it runs one host without aiohttp.

`tamarack_node.internal.driver` serves the product's own interface with
aiohttp and the OpenTelemetry SDK. On hosts that have a quarter of a core and
restart often, this driver executes the same effects without these libraries.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
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
from tamarack_core import external_requests
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import timeline
from tamarack_node import start_signals
from tamarack_node.internal import endpoint_errors
from tamarack_node.internal import event_handling
from tamarack_node.internal import http1
from tamarack_node.internal import light_sender
from tamarack_node.internal import log_stream
from tamarack_node.internal import logs
from tamarack_node.internal import pending_requests
from tamarack_node.internal import tcp_probe
from tamarack_node.internal import text_metrics
from tamarack_node.internal import timers
from tamarack_node.internal import transport

if typing.TYPE_CHECKING:
    from tamarack_core import messages
    from tamarack_core import requests

HttpRequest = http1.HttpRequest
HttpResponse = http1.HttpResponse

DATAGRAMS_PER_READ = 64
"""Datagrams handled in one iteration of the event loop."""

RECEIVE_BYTES = 4096
SOCKET_BUFFER_BYTES = 1024 * 1024
TIMELINE_ENTRIES = 2_000
MS_PER_S = 1000
METRICS_PATH = "/metrics"
TIMELINE_PATH = "/v1/timeline"
METRICS_DELAY_S = 1.0
"""Time after the start at which the metrics are served, in seconds."""
STOPPED_RETRY_S = 0.1
"""Time after which a caller may try another host, in seconds."""

EXIT_DISK_FAILED = 4

METRICS_PORT = 9464
"""Port of the metrics, on the internal address of the host; the default port
of the OpenTelemetry exporter for Prometheus."""


class HttpCodec(Protocol):
    """Translates between HTTP and the requests and responses of the core."""

    def decode(
        self, request: http1.HttpRequest
    ) -> requests.Request | http1.HttpResponse:
        """Returns the request of the core, or the response that refuses it."""

    def encode(
        self, request: http1.HttpRequest, response: requests.Response
    ) -> http1.HttpResponse:
        """Returns the HTTP response for a response of the core."""


class Writer(Protocol):
    """Executes writes; see `disk_writer.DiskWriter`."""

    def write(
        self,
        effect: effects.Persist | effects.SaveSnapshot | effects.SaveTargets,
    ) -> None:
        """Queues a write."""

    def close(self) -> None:
        """Ends the writer after the queued writes."""


class Addresses(msgspec.Struct, frozen=True):
    """Endpoints that a host listens on.

    Attributes:
        internal: Endpoint of messages from other hosts.
        public: Endpoint of HTTP for the platform: readiness on entry hosts;
            publish requests and announcements on control hosts.
        data: Endpoint of packets; None on a control host.
    """

    internal: peers.Endpoint
    public: peers.Endpoint
    data: peers.Endpoint | None = None


class LightDriver:
    """Runs one host.

    Attributes:
        node: State of the host in the core.
        addresses: Endpoints that the host listens on.
        entries: Newest entries of the time line.
        stopped: Resolves to the `Stop` effect that ends the process.
        transport: Sends and receives messages of other hosts.
        writer: Executes writes; None on a host without a disk.
        packet_times: Times taken to handle one batch of packets.
        request_times: Times taken to respond to a public request.
    """

    __slots__ = (
        "_data_socket",
        "_http_codec",
        "_listeners",
        "_metrics_task",
        "_pending",
        "_probes",
        "_timers",
        "addresses",
        "entries",
        "node",
        "packet_times",
        "request_times",
        "stopped",
        "transport",
        "writer",
    )

    def __init__(
        self,
        node: reducer.Node,
        addresses: Addresses,
        http_codec: HttpCodec,
        codec: envelopes.Codec,
    ) -> None:
        """Initializes the driver; `run` starts the host.

        Args:
            node: State of the host in the core.
            addresses: Endpoints that the host listens on.
            http_codec: Translates HTTP to requests of the core.
            codec: Encodes and decodes envelopes.
        """
        loop = asyncio.get_running_loop()
        self.node = node
        self.addresses = addresses
        self.entries: collections.deque[timeline.Entry] = collections.deque(
            maxlen=TIMELINE_ENTRIES
        )
        self.stopped: asyncio.Future[effects.Stop] = loop.create_future()
        self.writer: Writer | None = None
        self.packet_times = text_metrics.Histogram()
        self.request_times = text_metrics.Histogram()
        self.transport = transport.Transport(
            node.context,
            self._handle_envelope,
            {},
            light_sender.LightSender(),
            codec,
        )
        self._http_codec = http_codec
        self._timers = timers.TimerService(loop, self._handle_timer)
        self._pending = pending_requests.PendingRequests(_stop_response)
        self._probes: set[asyncio.Task[None]] = set()
        self._data_socket: socket.socket | None = None
        self._listeners: list[http1.HttpListener] = []
        self._metrics_task: asyncio.Task[None] | None = None

    async def run(self) -> effects.Stop:
        """Runs the host until it stops.

        Returns:
            The reason of the stop and the exit code.

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
        """Applies an event and executes the effects.

        Args:
            event: The event.
        """
        for effect in event_handling.reduce(self.node, event):
            if type(effect) is effects.SendDatagram:
                self._send_datagram(effect)
            else:
                self._execute(effect)

    def complete_write(self, sequence: int) -> None:
        """Notifies the core that a write is synced.

        Args:
            sequence: Sequence number of the write.
        """
        if not self.stopped.done():
            self.handle(events.WriteCompleted(time.monotonic(), sequence))

    def fail_write(self, error: Exception) -> None:
        """Ends the process, as it is unknown which data reached the disk.

        Args:
            error: Error of the failed write.
        """
        fields = {"detail": str(error)}
        logs.event("write-failed", logging.CRITICAL, fields)
        self._finish(effects.Stop(EXIT_DISK_FAILED, str(error)))

    async def _open(self) -> None:
        """Opens all sockets, the one for packets first."""
        loop = asyncio.get_running_loop()
        start_signals.handle(
            loop, (signal.SIGTERM, signal.SIGINT), self._request_stop
        )
        data = self.addresses.data
        if data is not None:
            self._data_socket = transport.bind_udp(data)
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                self._data_socket.setsockopt(
                    socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
                )
            loop.add_reader(self._data_socket, self._read_datagrams)
        self.transport.open(self.addresses.internal)
        await self._listen(self.addresses.internal, self._handle_internal)
        await self._listen(self.addresses.public, self._handle_public)
        # The metrics are opened later, so that they don't delay packets.
        loop.call_later(METRICS_DELAY_S, self._open_metrics)

    def _open_metrics(self) -> None:
        """Starts to open the metrics; without them the host keeps running."""
        loop = asyncio.get_running_loop()
        self._metrics_task = loop.create_task(self._listen_for_metrics())

    async def _listen_for_metrics(self) -> None:
        """Opens the listener of the metrics; logs a failure."""
        address = self.addresses.internal.address
        try:
            await self._listen(
                peers.Endpoint(address, METRICS_PORT), self._handle_metrics
            )
        except OSError as error:
            log_event("metrics-unavailable", str(error))

    async def _handle_metrics(
        self, request: http1.HttpRequest
    ) -> http1.HttpResponse:
        """Handles a read of the metrics or the time line."""
        path, _, _ = request.path.partition("?")
        if request.method == "GET" and path == METRICS_PATH:
            return http1.HttpResponse(
                200, self._render_metrics(), text_metrics.CONTENT_TYPE
            )
        if request.method == "GET" and path == TIMELINE_PATH:
            return http1.HttpResponse(200, timeline.encode(self.entries))
        return http1.HttpResponse(404)

    async def _listen(
        self,
        endpoint: peers.Endpoint,
        handler: Callable[[http1.HttpRequest], Awaitable[http1.HttpResponse]],
    ) -> None:
        """Opens an HTTP listener."""
        listener = http1.HttpListener(handler)
        await listener.open(endpoint.address, endpoint.port)
        self._listeners.append(listener)

    async def _close(self) -> None:
        """Cancels the timers and closes all sockets and the writer.

        Requests that were accepted get their responses first.
        """
        self._timers.stop()
        self._pending.stop()
        if self._data_socket is not None:
            asyncio.get_running_loop().remove_reader(self._data_socket)
            self._data_socket.close()
        await asyncio.gather(
            *(listener.close() for listener in self._listeners)
        )
        await self.transport.close()
        if self.writer is not None:
            self.writer.close()

    def _request_stop(self) -> None:
        """Starts a graceful stop."""
        self.handle(events.StopRequested(time.monotonic()))

    def _read_datagrams(self) -> None:
        """Handles a bounded number of datagrams that have arrived."""
        data_socket = self._data_socket
        assert data_socket is not None
        now_s = time.monotonic()
        for _ in range(DATAGRAMS_PER_READ):
            try:
                data = data_socket.recv(RECEIVE_BYTES)
            except (BlockingIOError, ConnectionRefusedError):
                break
            self.handle(events.DatagramArrived(now_s, data))
        self.packet_times.observe(time.monotonic() - now_s)

    def _handle_envelope(
        self, envelope: envelopes.Envelope[messages.Message]
    ) -> None:
        """Handles the messages in an envelope from another host."""
        now_s = time.monotonic()
        for message in envelope.messages:
            self.handle(events.MessageArrived(now_s, envelope.sender, message))

    def _handle_timer(self, timer: str) -> None:
        """Handles a timer that has expired."""
        self.handle(events.TimerFired(time.monotonic(), timer))

    def _execute(self, effect: effects.Effect) -> None:
        """Executes an effect other than `SendDatagram`."""
        match effect:
            case effects.SendMessage(peer, message):
                self.transport.send(peer, message)
            case effects.StartTimer(timer, delay_s):
                self._timers.start(timer, delay_s)
            case effects.Respond(request_id, response):
                self._pending.respond(request_id, response)
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
                raise AssertionError(f"unsupported effect: {type(effect)}")

    async def _probe(self, effect: effects.ProbeTarget) -> None:
        """Probes a target and passes the result to the core.

        The core waits for the result before it probes the target again.
        """
        if effect.delay_s:
            await asyncio.sleep(effect.delay_s)
        try:
            outcome = await tcp_probe.probe(
                effect, self.addresses.internal.address
            )
        except Exception as error:
            outcome = events.ProbeOutcome.NOT_SENT
            self.node.context.counters["probe-error"] += 1
            log_event("probe-error", f"{effect.target}: {error!r}")
        self.handle(
            events.TargetProbed(
                time.monotonic(), effect.target, outcome, effect.number
            )
        )

    def _send_datagram(self, effect: effects.SendDatagram) -> None:
        """Sends a packet; drops and counts it if it can't be sent."""
        assert self._data_socket is not None and effect.endpoint is not None
        address = (effect.endpoint.address, effect.endpoint.port)
        try:
            self._data_socket.sendto(effect.data, address)
        except OSError:
            self.node.context.counters["data-send-failed"] += 1
        except endpoint_errors.UNUSABLE as error:
            self.node.context.counters["data-send-failed"] += 1
            endpoint_errors.log(effect.endpoint, error)

    def _finish(self, stop: effects.Stop) -> None:
        """Ends `run`, unless an earlier stop has ended it."""
        if not self.stopped.done():
            self.stopped.set_result(stop)

    async def _handle_public(
        self, request: http1.HttpRequest
    ) -> http1.HttpResponse:
        """Handles a request of the platform, an operator or a target."""
        started_s = time.monotonic()
        decoded = self._http_codec.decode(request)
        if isinstance(decoded, http1.HttpResponse):
            self.node.context.counters["requests-refused"] += 1
            return decoded
        response = self._http_codec.encode(
            request, await self._handle_request(decoded)
        )
        self.request_times.observe(time.monotonic() - started_s)
        return response

    async def _handle_request(
        self, request: requests.Request
    ) -> requests.Response:
        """Passes a request to the reducer and returns the response."""
        return await self._pending.handle(request, self._submit)

    def _submit(self, request_id: int, request: requests.Request) -> None:
        """Passes a request to the core."""
        self.handle(
            events.RequestArrived(time.monotonic(), request_id, request)
        )

    async def _handle_internal(
        self, request: http1.HttpRequest
    ) -> http1.HttpResponse:
        """Handles a request of another host: an envelope of messages."""
        call = (request.method, request.path)
        if call != ("POST", transport.MESSAGES_PATH):
            return http1.HttpResponse(404)
        self.transport.handle_bytes(request.body)
        return http1.HttpResponse(200)

    def _render_metrics(self) -> bytes:
        """Returns all metrics in the text format of Prometheus."""
        return text_metrics.render(
            self.node.context.host.host,
            self.node.context.counters,
            {
                "pending_requests": len(self._pending),
                **self.node.context.gauges,
            },
            {
                "packet_turn": self.packet_times,
                "request_answer": self.request_times,
            },
        )


def _stop_response(request: requests.Request) -> requests.Response:
    """Returns the response to a request that a stop overtakes.

    It doesn't say whether the request had an effect.
    """
    return external_requests.Unavailable("stopping", STOPPED_RETRY_S)


def set_up_log(level: str) -> None:
    """Configures logging to standard output, rate-limited and non-blocking.

    Args:
        level: Lowest level that is logged, such as `info`.
    """
    logs.set_up(level, log_stream.LogStream(1))


def log_event(name: str, detail: str) -> None:
    """Logs an event that occurs outside the core.

    Args:
        name: Constant name of the event.
        detail: Description for the operator.
    """
    logs.event(name, logging.INFO, {"detail": detail})


def end_process(stop: effects.Stop) -> None:
    """Logs the reason of a stop and exits at once.

    Threads that are blocked on a disk are not joined.

    Args:
        stop: The reason and the exit code.
    """
    logs.event("stopped", logging.INFO, {"reason": stop.reason})
    os._exit(stop.exit_code)
