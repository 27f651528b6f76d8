"""Carries messages between hosts: JSON over UDP, or over HTTP when large.

An envelope that does not fit a datagram goes in fragments, and one that is
larger still over a connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import logging
import os
import socket
import typing
from typing import Protocol

from tamarack_core import context as context_lib
from tamarack_core import envelopes
from tamarack_core import failure
from tamarack_core import fragments
from tamarack_core import peers
from tamarack_node.internal import logs

if typing.TYPE_CHECKING:
    from tamarack_core import messages
    from tamarack_node.internal import keys

MAX_MESSAGES_PER_ENVELOPE = 64
RECEIVE_BYTES = 65536
ID_BYTES = 8
"""Random bytes of which the identifiers of fragments begin."""

CLOSE_TIMEOUT_S = 5.0
"""Time that large envelopes on their way have when a host ends; no sender
waits longer for an answer."""
MESSAGES_PATH = "/v1/messages"
_FRAGMENT_START = bytes([fragments.MARKER])


class SendError(Exception):
    """A large envelope could not be sent."""


class LargeSender(Protocol):
    """Sends envelopes that do not fit a datagram."""

    def open(self, endpoint: peers.Endpoint) -> None:
        """Prepares to send from the address of an endpoint."""

    async def post(
        self, endpoint: peers.Endpoint, path: str, data: bytes
    ) -> None:
        """Sends one body over HTTP.

        Raises:
            SendError: It was not answered.
        """

    async def close(self) -> None:
        """Ends what is open."""


class Transport:
    """Sends and receives envelopes.

    Attributes:
        context: Identity, clock and counters.
        receive: Called with each envelope received.
        routes: Endpoint of each host that the settings name; it goes before
            the one that the host states itself, as the way may lead through
            an address translation.
        signer: Signs and verifies; None where messages carry no signature.
        socket: UDP socket bound to the control endpoint.
        outbox: Messages that wait for the end of the loop turn, by receiver.
        sender: Sends large envelopes.
        codec: Translates envelopes.
    """

    __slots__ = (
        "_flush_scheduled",
        "_fragmenter",
        "_reassembler",
        "_tasks",
        "codec",
        "context",
        "outbox",
        "receive",
        "routes",
        "sender",
        "signer",
        "socket",
    )

    def __init__(
        self,
        context: context_lib.Context,
        receive: Callable[[envelopes.Envelope[messages.Message]], None],
        routes: Mapping[str, peers.Endpoint],
        sender: LargeSender,
        codec: envelopes.Codec,
        signer: keys.MessageSigner | None = None,
    ) -> None:
        """Creates a transport that is not open.

        Args:
            context: Identity, clock and counters.
            receive: Called with each envelope received.
            routes: Endpoint of each host that the settings name.
            sender: Sends large envelopes.
            codec: Translates envelopes.
            signer: Signs and verifies; None for no signatures.
        """
        self.signer = signer
        self.context = context
        self.routes = routes
        self.receive = receive
        self.socket: socket.socket | None = None
        self.sender = sender
        self.codec = codec
        self.outbox: dict[peers.Peer, list[messages.Message]] = {}
        self._fragmenter = fragments.Fragmenter(
            int.from_bytes(os.urandom(ID_BYTES), "big")
        )
        self._reassembler = fragments.Reassembler()
        self._flush_scheduled = False
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self, endpoint: peers.Endpoint) -> None:
        """Binds the socket and starts to receive.

        Args:
            endpoint: Address and port to bind. Connections to other hosts
                leave from the same address.

        Raises:
            OSError: The endpoint can't be bound.
        """
        self.socket = bind_udp(endpoint)
        loop = asyncio.get_running_loop()
        loop.add_reader(self.socket, self._read)
        self.sender.open(endpoint)

    async def close(self) -> None:
        """Sends what waits and closes the socket."""
        self._flush()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
        await self.sender.close()

    def send(self, peer: peers.Peer, message: messages.Message) -> None:
        """Sends a message at the end of this loop turn.

        Args:
            peer: The receiver.
            message: The message.
        """
        self.outbox.setdefault(peer, []).append(message)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def handle_bytes(self, data: bytes) -> None:
        """Decodes an envelope; counts and drops a refused one.

        Args:
            data: JSON form of an envelope, signed where there are keys.
        """
        self.context.counters["control-received-bytes"] += len(data)
        body = data if self.signer is None else self.signer.verify(data)
        if isinstance(body, failure.Failure):
            self.context.counters[body.reason] += 1
            return
        envelope = self.codec.decode(body)
        if isinstance(envelope, failure.Failure):
            self.context.counters[envelope.reason] += 1
            return
        self.context.clock.observe(envelope.stamp)
        self.receive(envelope)

    def _route(self, peer: peers.Peer) -> peers.Endpoint:
        """Returns the endpoint to reach a host at."""
        return self.routes.get(peer.host, peer.control)

    def _read(self) -> None:
        """Receives the datagrams that have arrived."""
        assert self.socket is not None
        for _ in range(MAX_MESSAGES_PER_ENVELOPE):
            try:
                data = self.socket.recv(RECEIVE_BYTES)
            except (BlockingIOError, ConnectionRefusedError):
                return
            self._receive_datagram(data)

    def _receive_datagram(self, data: bytes) -> None:
        """Handles an envelope, or a fragment of one."""
        if data[:1] != _FRAGMENT_START:
            self.handle_bytes(data)
            return
        joined = self._reassembler.reassemble(data)
        if joined is not None:
            self.handle_bytes(joined)

    def _flush(self) -> None:
        """Sends the messages that wait, joined by receiver."""
        self._flush_scheduled = False
        waiting, self.outbox = self.outbox, {}
        for peer, batch in waiting.items():
            self._send_batch(peer, batch)

    def _send_batch(
        self, peer: peers.Peer, batch: list[messages.Message]
    ) -> None:
        """Sends messages in as few datagrams as hold them."""
        envelope = envelopes.Envelope(
            self.context.host, self.context.clock.latest, tuple(batch)
        )
        data = self.codec.encode(envelope)
        if self.signer is not None:
            data = self.signer.sign(peer.host, data)
        if len(data) <= fragments.DATAGRAM_BYTES:
            self._send_datagram(peer, data)
        elif len(batch) > 1:
            middle = len(batch) // 2
            self._send_batch(peer, batch[:middle])
            self._send_batch(peer, batch[middle:])
        elif len(data) <= fragments.MAX_BYTES:
            for fragment in self._fragmenter.split(data):
                self._send_datagram(peer, fragment)
        else:
            task = asyncio.get_running_loop().create_task(
                self._post(peer, data)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _send_datagram(self, peer: peers.Peer, data: bytes) -> None:
        """Sends one datagram; a full socket buffer loses it."""
        assert self.socket is not None
        self.context.counters["control-sent-bytes"] += len(data)
        try:
            endpoint = self._route(peer)
            self.socket.sendto(data, (endpoint.address, endpoint.port))
        except OSError as error:
            self.context.counters["control-send-failed"] += 1
            logs.event(
                "send-failed",
                logging.DEBUG,
                {"peer": peer.host, "reason": error.strerror},
            )

    async def _post(self, peer: peers.Peer, data: bytes) -> None:
        """Sends one large envelope over HTTP."""
        self.context.counters["control-sent-bytes"] += len(data)
        try:
            await self.sender.post(self._route(peer), MESSAGES_PATH, data)
        except SendError as error:
            self.context.counters["control-send-failed"] += 1
            logs.event(
                "send-failed",
                logging.DEBUG,
                {"peer": peer.host, "reason": str(error)},
            )


def bind_udp(endpoint: peers.Endpoint) -> socket.socket:
    """Returns a non-blocking UDP socket.

    Args:
        endpoint: Address and port to bind.

    Raises:
        OSError: The endpoint can't be bound.
    """
    family = socket.AF_INET6 if ":" in endpoint.address else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_DGRAM)
    bound.setblocking(False)
    try:
        bound.bind((endpoint.address, endpoint.port))
    except OSError:
        bound.close()
        raise
    return bound


def format_endpoint(endpoint: peers.Endpoint) -> str:
    """Returns an endpoint as in a URL."""
    if ":" in endpoint.address:
        return f"[{endpoint.address}]:{endpoint.port}"
    return f"{endpoint.address}:{endpoint.port}"
