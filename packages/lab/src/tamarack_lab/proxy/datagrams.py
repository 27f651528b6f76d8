"""UDP links of the proxy."""

import asyncio
from collections.abc import Callable
import dataclasses
import functools
import socket

from tamarack_core import peers
from tamarack_lab import sockets
from tamarack_lab.proxy import faults as faults_lib
from tamarack_lab.proxy import settings as proxy_settings

# Each sender needs a socket. Datagrams of further senders are dropped, which
# bounds the number of open sockets.
MAX_SENDERS = 256
_BATCH_DATAGRAMS = 64
_ANY_PORT = 0

SocketAddress = tuple[str, int]


@dataclasses.dataclass(slots=True)
class ChannelPair:
    """Both directions of a link, with the faults and the clock of the proxy.

    Attributes:
        forward: Direction from `listen` to `to`.
        back: Direction from `to` to the sender.
        faults: Fault injector, shared by all links of the proxy.
        clock: Returns the seconds since the start of the proxy.
    """

    forward: faults_lib.Channel
    back: faults_lib.Channel
    faults: faults_lib.FaultInjector
    clock: Callable[[], float]


class DatagramLink:
    """Forwards datagrams between two endpoints.

    Attributes:
        link: Settings of the link.
        channels: Both directions.
        listen: Endpoint to listen at; the bound one after `start`.
        outward: Sockets that send to `to`, by sender. If the link has a fixed
            outward endpoint, None is the only key.
    """

    __slots__ = ("_inward", "channels", "link", "listen", "outward")

    def __init__(
        self, link: proxy_settings.Link, channels: ChannelPair
    ) -> None:
        """Initializes a link that is not started.

        Args:
            link: Settings of the link.
            channels: Both directions.
        """
        self.link = link
        self.channels = channels
        self.listen = link.listen
        self.outward: dict[SocketAddress | None, socket.socket] = {}
        self._inward: socket.socket | None = None

    async def start(self) -> None:
        """Binds the sockets.

        Raises:
            OSError: An endpoint cannot be bound.
        """
        self._inward = sockets.bind_datagram(self.link.listen)
        self.listen = sockets.endpoint_of(self._inward)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._inward.fileno(), self._read_inward, self._inward)
        if self.link.outward is not None and self.link.back_to is not None:
            back_to = (self.link.back_to.address, self.link.back_to.port)
            self._open_outward(None, self.link.outward, back_to)

    async def close(self) -> None:
        """Closes the sockets; delayed datagrams are lost."""
        loop = asyncio.get_running_loop()
        bound = list(self.outward.values())
        if self._inward is not None:
            bound.append(self._inward)
            self._inward = None
        self.outward.clear()
        for each in bound:
            loop.remove_reader(each.fileno())
            each.close()

    def _read_inward(self, inward: socket.socket) -> None:
        """Forwards the next batch of datagrams from `listen` to `to`."""
        to = (self.link.to.address, self.link.to.port)
        batch = sockets.receive_ready_with_source(inward, _BATCH_DATAGRAMS)
        for data, sender in batch:
            outward = self._outward_socket(sender)
            if outward is not None:
                self._send_copies(
                    self.channels.forward, outward, data, to, sender[0]
                )

    def _read_outward(
        self, outward: socket.socket, back_to: SocketAddress
    ) -> None:
        """Forwards the next batch of datagrams back to the sender."""
        for data in sockets.receive_ready(outward, _BATCH_DATAGRAMS):
            if self._inward is not None:
                self._send_copies(
                    self.channels.back, self._inward, data, back_to, back_to[0]
                )

    def _outward_socket(self, sender: SocketAddress) -> socket.socket | None:
        """Returns the outward socket of a sender, opening it if needed.

        Returns:
            The socket, or None if `MAX_SENDERS` sockets are open already.
        """
        if self.link.outward is not None:
            return self.outward.get(None)
        outward = self.outward.get(sender)
        if outward is None and len(self.outward) < MAX_SENDERS:
            endpoint = peers.Endpoint(self.link.listen.address, _ANY_PORT)
            outward = self._open_outward(sender, endpoint, sender)
        return outward

    def _open_outward(
        self,
        key: SocketAddress | None,
        endpoint: peers.Endpoint,
        back_to: SocketAddress,
    ) -> socket.socket:
        """Opens a socket that sends to `to` and receives the replies.

        Args:
            key: Key of the socket in `outward`.
            endpoint: Endpoint to bind.
            back_to: Destination of the datagrams received on the socket.
        """
        outward = sockets.bind_datagram(endpoint)
        self.outward[key] = outward
        asyncio.get_running_loop().add_reader(
            outward.fileno(), self._read_outward, outward, back_to
        )
        return outward

    def _send_copies(
        self,
        channel: faults_lib.Channel,
        leaving: socket.socket,
        data: bytes,
        to: SocketAddress,
        sender: str,
    ) -> None:
        """Sends the copies of a datagram that the faults leave, with delays.

        Args:
            channel: Direction of the datagram.
            leaving: Socket to send from.
            data: The datagram.
            to: Destination.
            sender: IP address of the end that sends to `listen`.
        """
        send = functools.partial(sockets.send, leaving, data, to)
        loop = asyncio.get_running_loop()
        for delay_s in self.channels.faults.datagram_delays(
            channel, self.channels.clock(), sender
        ):
            if delay_s <= 0.0:
                send()
            else:
                loop.call_later(delay_s, send)
