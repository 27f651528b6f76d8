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

# Senders beyond this many are not served, so that sockets stay bounded.
MOST_SENDERS = 256
_BATCH_DATAGRAMS = 64
_ANY_PORT = 0

SocketAddress = tuple[str, int]


@dataclasses.dataclass(slots=True)
class ChannelPair:
    """Both directions of a link, and the clock of the proxy.

    Attributes:
        forward: From `listen` towards `to`.
        back: The other direction.
        faults: Faults in force.
        clock: Returns the seconds since the start of the proxy.
    """

    forward: faults_lib.Channel
    back: faults_lib.Channel
    faults: faults_lib.FaultInjector
    clock: Callable[[], float]


class DatagramLink:
    """Carries datagrams between two endpoints.

    Attributes:
        link: Settings.
        channels: Both directions.
        listen: Where it listens, once started.
        outward: Sockets towards `to`, by sender; the one key is None when
            the link has a fixed outward endpoint.
    """

    __slots__ = ("_inward", "channels", "link", "listen", "outward")

    def __init__(
        self, link: proxy_settings.Link, channels: ChannelPair
    ) -> None:
        """Creates a link that isn't started.

        Args:
            link: Settings.
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
            OSError: An endpoint can't be bound.
        """
        self._inward = sockets.bind_datagram(self.link.listen)
        self.listen = sockets.endpoint_of(self._inward)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._inward.fileno(), self._read_inward, self._inward)
        if self.link.outward is not None and self.link.back_to is not None:
            back_to = (self.link.back_to.address, self.link.back_to.port)
            self._open_outward(None, self.link.outward, back_to)

    async def close(self) -> None:
        """Closes the sockets; what is delayed is lost."""
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
        """Passes datagrams forward."""
        to = (self.link.to.address, self.link.to.port)
        batch = sockets.drain_with_source(inward, _BATCH_DATAGRAMS)
        for data, sender in batch:
            outward = self._outward_of(sender)
            if outward is not None:
                self._carry(self.channels.forward, outward, data, to, sender[0])

    def _read_outward(
        self, outward: socket.socket, back_to: SocketAddress
    ) -> None:
        """Passes datagrams back."""
        for data in sockets.drain(outward, _BATCH_DATAGRAMS):
            if self._inward is not None:
                self._carry(
                    self.channels.back, self._inward, data, back_to, back_to[0]
                )

    def _outward_of(self, sender: SocketAddress) -> socket.socket | None:
        """Returns the socket for a sender; None when there are too many."""
        if self.link.outward is not None:
            return self.outward.get(None)
        found = self.outward.get(sender)
        if found is None and len(self.outward) < MOST_SENDERS:
            place = peers.Endpoint(self.link.listen.address, _ANY_PORT)
            found = self._open_outward(sender, place, sender)
        return found

    def _open_outward(
        self,
        key: SocketAddress | None,
        place: peers.Endpoint,
        back_to: SocketAddress,
    ) -> socket.socket:
        """Opens a socket towards `to`."""
        outward = sockets.bind_datagram(place)
        self.outward[key] = outward
        asyncio.get_running_loop().add_reader(
            outward.fileno(), self._read_outward, outward, back_to
        )
        return outward

    def _carry(
        self,
        channel: faults_lib.Channel,
        leaving: socket.socket,
        data: bytes,
        to: SocketAddress,
        sender: str,
    ) -> None:
        """Sends the copies of a datagram that are not lost."""
        send = functools.partial(sockets.send, leaving, data, to)
        loop = asyncio.get_running_loop()
        for delay_s in self.channels.faults.datagram_delays(
            channel, self.channels.clock(), sender
        ):
            if delay_s <= 0.0:
                send()
            else:
                loop.call_later(delay_s, send)
