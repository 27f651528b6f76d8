"""Runs one host of `tamarackd` with aiohttp, on one event loop.

It executes the effects of the core.
"""

import asyncio
import collections
import dataclasses
import functools
import logging
import pathlib
import signal
import socket
import time

from tamarack_core import assembly
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import messages
from tamarack_core import refusal
from tamarack_core import requests
from tamarack_core import timeline
from tamarack_core.storage import disk as disks
from tamarack_node import settings as settings_lib
from tamarack_node import start_signals
from tamarack_node.internal import aiohttp_sender
from tamarack_node.internal import event_handling
from tamarack_node.internal import http_server
from tamarack_node.internal import logs
from tamarack_node.internal import message_signer
from tamarack_node.internal import metrics
from tamarack_node.internal import pending_requests
from tamarack_node.internal import timers
from tamarack_node.internal import transport
from tamarack_node.internal.storage import errors as storage_errors
from tamarack_node.internal.storage import folder as folders

TIMELINE_ENTRIES = 20_000
RECEIVE_BYTES = 65536
DATAGRAMS_PER_READ = 128
"""Datagrams handled in one iteration of the event loop."""

SOCKET_BUFFER_BYTES = 4 * 1024 * 1024

STOP_TIMEOUT_S = 30.0
"""Time limit of a graceful stop, in seconds. It bounds how long an operator
waits for a stop that hangs."""

GAUGES = ("evacuated_domains", "evacuation_revision")
"""Gauges of the context; each is 0 until the core sets it."""

MS_PER_S = 1000
EXIT_DISK_FAILED = 4


class Driver:
    """Runs one host of `tamarackd` with aiohttp.

    Attributes:
        settings: Settings of the host.
        node: State of the host in the core.
        transport: Sends and receives messages of other hosts.
        entries: Newest entries of the time line.
        stopped: Resolves to the `Stop` effect that ends the process.
    """

    __slots__ = (
        "_data_socket",
        "_fabric",
        "_folder",
        "_pending",
        "_server",
        "_signer",
        "_timers",
        "entries",
        "node",
        "settings",
        "stopped",
        "transport",
    )

    def __init__(self, settings: settings_lib.Settings, seed: int) -> None:
        """Initializes the driver and opens the data folder.

        Args:
            settings: Settings of the host.
            seed: Seed of the random generator.

        Raises:
            StorageError: The data folder can't be used.
            ValueError: The key file can't be used.
        """
        loop = asyncio.get_running_loop()
        self.settings = settings
        self._signer = _create_signer(settings)
        self._folder = _open_folder(settings)
        self.node = assembly.assemble(
            _create_plan(settings, seed, self._folder)
        )
        self.transport = transport.Transport(
            self.node.context,
            self._handle_envelope,
            {peer.host: peer.control for peer in settings.peers},
            aiohttp_sender.AiohttpSender(),
            messages.codec,
            self._signer,
        )
        self.entries: collections.deque[timeline.Entry] = collections.deque(
            maxlen=TIMELINE_ENTRIES
        )
        self.stopped: asyncio.Future[effects.Stop] = loop.create_future()
        self._timers = timers.TimerService(loop, self._handle_timer)
        self._pending = pending_requests.PendingRequests(_stop_response)
        self._data_socket: socket.socket | None = None
        self._fabric: tuple[str, int] | None = None
        self._server = http_server.HttpServer(
            self.handle_request,
            self.transport,
            metrics.Metrics(
                self.node.context,
                {name: functools.partial(self._gauge, name) for name in GAUGES},
            ),
            self._entries_since,
        )

    async def run(self) -> effects.Stop:
        """Runs the host until it stops.

        Returns:
            The reason of the stop and the exit code.

        Raises:
            OSError: A socket can't be bound.
        """
        try:
            await self._open()
            self._handle(
                events.Started(time.monotonic(), int(time.time() * MS_PER_S))
            )
            return await self.stopped
        finally:
            await self._close()

    def request_stop(self) -> None:
        """Starts a graceful stop, which `STOP_TIMEOUT_S` limits."""
        loop = asyncio.get_running_loop()
        loop.call_later(
            STOP_TIMEOUT_S,
            self._finish,
            effects.Stop(1, f"no graceful stop within {STOP_TIMEOUT_S:g} s"),
        )
        self._handle(events.StopRequested(time.monotonic()))

    async def handle_request(
        self, request: requests.Request
    ) -> requests.Response:
        """Passes a request to the reducer and returns the response.

        Args:
            request: The request.
        """
        return await self._pending.handle(request, self._submit)

    def _submit(self, request_id: int, request: requests.Request) -> None:
        """Passes a request to the core."""
        self._handle(
            events.RequestArrived(time.monotonic(), request_id, request)
        )

    async def _open(self) -> None:
        """Opens all sockets and installs the signal handlers."""
        control = self.settings.control_listen or self.settings.control
        self.transport.open(control)
        await self._server.open(control.address, control.port)
        loop = asyncio.get_running_loop()
        start_signals.handle(
            loop, (signal.SIGTERM, signal.SIGINT), self.request_stop
        )
        start_signals.handle(loop, (signal.SIGHUP,), self._reload_keys)
        data = self.settings.data_listen or self.settings.data
        if data is not None:
            self._data_socket = transport.bind_udp(data)
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                self._data_socket.setsockopt(
                    socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
                )
            loop.add_reader(self._data_socket, self._read_datagrams)
        if self.settings.fabric is not None:
            fabric = self.settings.fabric
            self._fabric = (fabric.address, fabric.port)

    def _reload_keys(self) -> None:
        """Loads the key file again, if the settings name one."""
        if self._signer is not None:
            self._signer.reload()

    async def _close(self) -> None:
        """Cancels the timers and closes all sockets and the data folder.

        Requests that were accepted get their responses first.
        """
        self._timers.stop()
        self._pending.stop()
        if self._data_socket is not None:
            asyncio.get_running_loop().remove_reader(self._data_socket)
            self._data_socket.close()
        await self._server.close()
        await self.transport.close()
        if self._folder is not None:
            self._folder.close()

    def _gauge(self, name: str) -> float:
        """Returns the current value of a gauge."""
        return self.node.context.gauges.get(name, 0.0)

    def _entries_since(self, since_ms: int) -> list[timeline.Entry]:
        """Returns the entries of the time line since a time in ms."""
        return [
            entry for entry in self.entries if entry.stamp.wall_ms >= since_ms
        ]

    def _read_datagrams(self) -> None:
        """Handles a bounded number of datagrams that have arrived."""
        data_socket = self._data_socket
        assert data_socket is not None
        for _ in range(DATAGRAMS_PER_READ):
            try:
                data = data_socket.recv(RECEIVE_BYTES)
            except (BlockingIOError, ConnectionRefusedError):
                return
            self._handle(events.DatagramArrived(time.monotonic(), data))

    def _handle_envelope(self, envelope: messages.Envelope) -> None:
        """Handles the messages in an envelope from another host."""
        now_s = time.monotonic()
        for message in envelope.messages:
            self._handle(events.MessageArrived(now_s, envelope.sender, message))

    def _handle_timer(self, timer: str) -> None:
        """Handles a timer that has expired."""
        self._handle(events.TimerFired(time.monotonic(), timer))

    def _handle(self, event: events.Event) -> None:
        """Applies an event and executes the effects."""
        for effect in event_handling.reduce(self.node, event):
            if type(effect) is effects.SendDatagram:
                self._send_datagram(effect)
            else:
                self._execute(effect)

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
                self._record(entry)
            case effects.Persist() | effects.SaveSnapshot():
                self._write(effect)
            case effects.Stop():
                self._finish(effect)
            case _:
                raise AssertionError(f"unsupported effect: {type(effect)}")

    def _write(self, effect: effects.Persist | effects.SaveSnapshot) -> None:
        """Writes to the data folder.

        Any failure ends the process, also a full disk. After other errors it
        is unknown which data reached the disk, so the host must neither
        acknowledge the write nor retry it.
        """
        assert self._folder is not None
        try:
            if isinstance(effect, effects.Persist):
                self._folder.append(effect.records)
            else:
                self._folder.save_snapshot(effect.data, effect.records)
        except storage_errors.StorageError as error:
            fields = {"reason": error.reason, "detail": str(error)}
            logs.event("write-failed", logging.CRITICAL, fields)
            self._finish(effects.Stop(EXIT_DISK_FAILED, str(error)))
            return
        asyncio.get_running_loop().call_soon(
            self._complete_write, effect.sequence
        )

    def _complete_write(self, sequence: int) -> None:
        """Notifies the core that a write is synced."""
        if not self.stopped.done():
            self._handle(events.WriteCompleted(time.monotonic(), sequence))

    def _send_datagram(self, effect: effects.SendDatagram) -> None:
        """Sends a Geneve datagram; drops and counts it if it can't be sent."""
        if effect.endpoint is None:
            address = self._fabric
        else:
            address = (effect.endpoint.address, effect.endpoint.port)
        assert self._data_socket is not None and address is not None
        try:
            self._data_socket.sendto(effect.data, address)
        except OSError:
            self.node.context.counters["data-send-failed"] += 1

    def _record(self, entry: timeline.Entry) -> None:
        """Adds an entry to the time line and logs it."""
        self.entries.append(entry)
        logs.entry(entry)

    def _finish(self, stop: effects.Stop) -> None:
        """Ends `run`, unless an earlier stop has ended it."""
        if not self.stopped.done():
            self.stopped.set_result(stop)


def _stop_response(request: requests.Request) -> requests.Response:
    """Returns the response to a request that a stop overtakes.

    A patch or a change of members may have been replicated already.
    """
    if isinstance(request, requests.SubmitPatch):
        return requests.PatchVerdict(
            requests.PatchState.UNKNOWN,
            reason="this host stops; send the patch again with the same id",
        )
    detail = "this host stops; send the request to another one"
    if isinstance(request, requests.ChangeMember):
        detail = "this host stops; read the members before another attempt"
    return refusal.Refused("stopping", detail)


def _create_signer(
    settings: settings_lib.Settings,
) -> message_signer.MessageSigner | None:
    """Returns the signer of messages, or None without a key file."""
    if not settings.key_file:
        return None
    return message_signer.MessageSigner(
        pathlib.Path(settings.key_file), settings.host
    )


def _open_folder(
    settings: settings_lib.Settings,
) -> folders.DataFolder | None:
    """Opens the data folder of a control host; None for other hosts."""
    if assembly.Role.CONTROL not in settings.roles:
        return None
    created_ms = int(time.time() * MS_PER_S)
    path = pathlib.Path(settings.data_folder)
    return folders.DataFolder(path, settings.host, created_ms)


def _disk_contents(
    folder: folders.DataFolder | None,
) -> disks.DiskContents | None:
    """Takes the contents of a data folder at its opening."""
    if folder is None:
        return None
    contents = folder.take_contents()
    return disks.DiskContents(
        folder.identity.incarnation, contents.snapshot, contents.records
    )


def _create_plan(
    settings: settings_lib.Settings,
    seed: int,
    folder: folders.DataFolder | None,
) -> assembly.Plan:
    """Returns the plan from which the core of the host is assembled."""
    return assembly.Plan(
        host=settings.peer(),
        roles=frozenset(settings.roles),
        seed=seed,
        entry_peers=tuple(
            peer
            for peer in settings.peers
            if peer.domain == settings.domain and peer.data is not None
        ),
        sources=settings.upstream_peers(),
        fallback_sources=settings.fallback_peers(),
        voters=settings.voter_peers(),
        disk=_disk_contents(folder),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class StartFailure:
    """The host can't start.

    Attributes:
        reason: Error message for the operator, with the fix.
    """

    reason: str


async def run(
    settings: settings_lib.Settings, seed: int
) -> effects.Stop | StartFailure:
    """Runs a host until it stops.

    Args:
        settings: Settings of the host.
        seed: Seed of the random generator.

    Returns:
        The stop that ended the host, or why it could not start.
    """
    try:
        return await Driver(settings, seed).run()
    except (storage_errors.StorageError, ValueError) as error:
        return StartFailure(str(error))
    except OSError as error:
        return StartFailure(f"{error.strerror}; free the address or change it")
