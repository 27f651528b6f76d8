"""Messages between hosts: JSON over UDP, or over HTTP when large.

An envelope that does not fit into a datagram is sent in fragments, and an even
larger one over an HTTP connection.
"""

from __future__ import annotations

import asyncio
import collections
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
from tamarack_node.internal import endpoint_errors
from tamarack_node.internal import logs

if typing.TYPE_CHECKING:
    from tamarack_core import messages
    from tamarack_node.internal import message_signer

DATAGRAMS_PER_READ = 64
"""Datagrams received in one iteration of the event loop."""

RECEIVE_BYTES = 65536
ID_BYTES = 8
"""Random bytes from which the first identifier of fragments is made."""

MAX_UNSENT_BYTES = 256 * 1024
"""Bytes of large envelopes to one host that may be on their way before another
one; one of any size always may. A host that is silent would otherwise hold up
all that is sent to it until the connections time out."""

CLOSE_TIMEOUT_S = 5.0
"""Time that `close` waits for large envelopes that are being sent; no sender
waits longer for a response."""

MESSAGES_PATH = "/v1/messages"
_FRAGMENT_START = bytes([fragments.MARKER])


class SendError(Exception):
    """A large envelope could not be sent."""


class LargeSender(Protocol):
    """Sends envelopes that are too large for datagrams."""

    def open(self, endpoint: peers.Endpoint) -> None:
        """Sets the endpoint whose address the connections leave from."""

    async def post(
        self, endpoint: peers.Endpoint, path: str, data: bytes
    ) -> None:
        """Sends one body over HTTP.

        Raises:
            SendError: No response arrived.
        """

    async def close(self) -> None:
        """Closes open connections."""


class Transport:
    """Sends and receives envelopes.

    Attributes:
        context: Identity, clock and counters.
        receive: Called with each envelope received.
        routes: Endpoint of each host that the settings name. It takes
            precedence over the endpoint that the host itself announces, as
            there may be an address translation in between.
        signer: Signs and verifies messages; None if they carry no signature.
        socket: UDP socket bound to the control endpoint.
        unsent_bytes: Bytes of large envelopes on their way, by receiver.
        outbox: Messages to send at the end of this iteration of the event
            loop, by receiver.
        sender: Sends large envelopes.
        codec: Encodes and decodes envelopes.
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
        "unsent_bytes",
    )

    def __init__(
        self,
        context: context_lib.Context,
        receive: Callable[[envelopes.Envelope[messages.Message]], None],
        routes: Mapping[str, peers.Endpoint],
        sender: LargeSender,
        codec: envelopes.Codec,
        signer: message_signer.MessageSigner | None = None,
    ) -> None:
        """Initializes the transport; `open` binds its socket.

        Args:
            context: Identity, clock and counters.
            receive: Called with each envelope received.
            routes: Endpoint of each host that the settings name.
            sender: Sends large envelopes.
            codec: Encodes and decodes envelopes.
            signer: Signs and verifies messages; None for no signatures.
        """
        self.signer = signer
        self.context = context
        self.routes = routes
        self.receive = receive
        self.socket: socket.socket | None = None
        self.sender = sender
        self.codec = codec
        self.outbox: dict[peers.Peer, list[messages.Message]] = {}
        self.unsent_bytes: collections.Counter[peers.Peer] = (
            collections.Counter()
        )
        self._fragmenter = fragments.Fragmenter(
            int.from_bytes(os.urandom(ID_BYTES), "big")
        )
        self._reassembler = fragments.Reassembler()
        self._flush_scheduled = False
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self, endpoint: peers.Endpoint) -> None:
        """Binds the socket and starts receiving.

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
        """Sends the outbox, waits for large envelopes and closes the socket."""
        self._flush()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
        await self.sender.close()

    def send(self, peer: peers.Peer, message: messages.Message) -> None:
        """Sends a message at the end of this iteration of the event loop.

        Args:
            peer: The receiver.
            message: The message.
        """
        self.outbox.setdefault(peer, []).append(message)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def handle_bytes(self, data: bytes) -> None:
        """Decodes and delivers an envelope; drops and counts an invalid one.

        Args:
            data: Encoded envelope, signed if there is a signer.
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
        if not self.context.clock.observe(envelope.stamp):
            self.context.counters["stamp-out-of-range"] += 1
            logs.event(
                "stamp-out-of-range",
                logging.WARNING,
                {"peer": envelope.sender.host},
            )
        self.receive(envelope)

    def _route(self, peer: peers.Peer) -> peers.Endpoint:
        """Returns the endpoint at which to reach a host."""
        return self.routes.get(peer.host, peer.control)

    def _read(self) -> None:
        """Receives a bounded number of datagrams that have arrived."""
        assert self.socket is not None
        for _ in range(DATAGRAMS_PER_READ):
            try:
                data = self.socket.recv(RECEIVE_BYTES)
            except (BlockingIOError, ConnectionRefusedError):
                return
            self._receive_datagram(data)

    def _receive_datagram(self, data: bytes) -> None:
        """Handles an envelope or a fragment of one."""
        if data[:1] != _FRAGMENT_START:
            self.handle_bytes(data)
            return
        joined = self._reassembler.reassemble(data)
        if joined is not None:
            self.handle_bytes(joined)

    def _flush(self) -> None:
        """Sends the outbox, with the messages to each receiver joined."""
        self._flush_scheduled = False
        outbox, self.outbox = self.outbox, {}
        for peer, batch in outbox.items():
            self._send_batch(peer, batch)

    def _send_batch(
        self, peer: peers.Peer, batch: list[messages.Message]
    ) -> None:
        """Sends messages, split until each envelope fits into a datagram.

        A single message that does not fit is sent in fragments, or over HTTP
        if it is too large for fragments.
        """
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
            self._start_post(peer, data)

    def _start_post(self, peer: peers.Peer, data: bytes) -> None:
        """Starts to send a large envelope, unless too much is on its way."""
        unsent_bytes = self.unsent_bytes[peer]
        if unsent_bytes and unsent_bytes + len(data) > MAX_UNSENT_BYTES:
            self.context.counters["control-send-dropped"] += 1
            return
        self.unsent_bytes[peer] += len(data)
        task = asyncio.get_running_loop().create_task(self._post(peer, data))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send_datagram(self, peer: peers.Peer, data: bytes) -> None:
        """Sends one datagram; drops and counts it if it can't be sent."""
        assert self.socket is not None
        self.context.counters["control-sent-bytes"] += len(data)
        endpoint = self._route(peer)
        try:
            self.socket.sendto(data, (endpoint.address, endpoint.port))
        except OSError as error:
            self.context.counters["control-send-failed"] += 1
            logs.event(
                "send-failed",
                logging.DEBUG,
                {"peer": peer.host, "reason": error.strerror},
            )
        except endpoint_errors.UNUSABLE as error:
            self.context.counters["control-send-failed"] += 1
            endpoint_errors.log(endpoint, error)

    async def _post(self, peer: peers.Peer, data: bytes) -> None:
        """Sends one large envelope over HTTP; counts a failure."""
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
        finally:
            self.unsent_bytes[peer] -= len(data)
            if not self.unsent_bytes[peer]:
                del self.unsent_bytes[peer]


def bind_udp(endpoint: peers.Endpoint) -> socket.socket:
    """Returns a bound, non-blocking UDP socket.

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
    """Returns an endpoint in the form that URLs use."""
    if ":" in endpoint.address:
        return f"[{endpoint.address}]:{endpoint.port}"
    return f"{endpoint.address}:{endpoint.port}"
