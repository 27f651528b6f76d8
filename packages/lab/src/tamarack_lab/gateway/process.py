"""The gateway as a process."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import ipaddress
import itertools
import time
from typing import Any

from tamarack_core import peers
from tamarack_core import requests
from tamarack_lab import attachment as attachments
from tamarack_lab.gateway import bridge as bridges
from tamarack_lab.gateway import settings as gateway_settings
from tamarack_lab.target import announcer as announcers
from tamarack_lab.target import settings as target_settings
from tamarack_lab.tcp import connection as connections
from tamarack_lab.tcp import stack as stacks

FIRST_PORT = 10_000
LAST_PORT = 60_000


class CallerSide:
    """The side of the callers.

    Attributes:
        settings: Settings.
        attachment: Carries the packets.
        endpoints: Where ordinary connections are accepted, once started.
    """

    __slots__ = ("_ports", "_servers", "attachment", "endpoints", "settings")

    def __init__(
        self,
        settings: gateway_settings.CallerSideSettings,
        attachment: attachments.Attachment,
    ) -> None:
        """Creates the side.

        Args:
            settings: Settings.
            attachment: Carries the packets.
        """
        self.settings = settings
        self.attachment = attachment
        self.endpoints: list[peers.Endpoint] = []
        self._servers: list[asyncio.Server] = []
        self._ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))

    async def start(self) -> None:
        """Listens at the doors.

        Raises:
            OSError: An endpoint can't be bound.
        """
        self.attachment.start()
        for loopback_port in self.settings.doors:
            await self._listen(loopback_port)

    async def close(self) -> None:
        """Closes all sockets."""
        for server in self._servers:
            server.close()
        self.attachment.close()

    async def _listen(
        self, loopback_port: gateway_settings.LoopbackPort
    ) -> None:
        """Listens at one door."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerBridge(self, loopback_port),
            loopback_port.listen.address,
            loopback_port.listen.port,
        )
        self._servers.append(server)
        name = server.sockets[0].getsockname()
        self.endpoints.append(peers.Endpoint(name[0], name[1]))

    def connect(
        self,
        loopback_port: gateway_settings.LoopbackPort,
        bridge: bridges.ConnectionBridge,
    ) -> connections.Connection:
        """Opens a connection to the service behind a door."""
        four_tuple = connections.FourTuple(
            ipaddress.ip_address(self.settings.address).packed,
            next(self._ports),
            ipaddress.ip_address(loopback_port.address).packed,
            loopback_port.port,
        )
        return self.attachment.connect(four_tuple, bridge)


class CallerBridge(bridges.ConnectionBridge):
    """Joint that opens its connection when an ordinary one is accepted.

    Attributes:
        caller_side: The side that it belongs to.
        loopback_port: Where the ordinary connection was accepted.
    """

    __slots__ = ("caller_side", "loopback_port")

    def __init__(
        self,
        caller_side: CallerSide,
        loopback_port: gateway_settings.LoopbackPort,
    ) -> None:
        """Creates a joint without sides.

        Args:
            caller_side: The side that it belongs to.
            loopback_port: Where the ordinary connection is accepted.
        """
        super().__init__(caller_side.attachment)
        self.caller_side = caller_side
        self.loopback_port = loopback_port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Opens the connection of the stand-ins."""
        self.connection = self.caller_side.connect(self.loopback_port, self)
        super().connection_made(transport)


@dataclasses.dataclass(slots=True)
class GatewayTarget:
    """A target that hands its connections to ordinary servers.

    Attributes:
        spec: Address and failure domain.
    """

    spec: target_settings.TargetSpec

    def announcement(
        self, lease_s: float, incarnation: int
    ) -> requests.Announce:
        """Returns what the target announces."""
        return requests.Announce(
            service=self.spec.service,
            address=self.spec.address,
            domain=self.spec.domain,
            incarnation=incarnation,
            lease_s=lease_s,
        )


class TargetSide:
    """The side of the targets.

    Attributes:
        settings: Settings.
        attachment: Carries the packets.
        announcer: Renews the leases.
        accepted: Connections accepted, by target address.
    """

    __slots__ = ("_tasks", "accepted", "announcer", "attachment", "settings")

    def __init__(
        self,
        settings: gateway_settings.TargetSideSettings,
        attachment: attachments.Attachment,
    ) -> None:
        """Creates the side.

        Args:
            settings: Settings.
            attachment: Carries the packets.
        """
        self.settings = settings
        self.attachment = attachment
        self.announcer = announcers.Announcer(
            [GatewayTarget(spec) for spec in settings.targets],
            dict(settings.entries),
            settings.lease_s,
            int(time.time()),
        )
        self.accepted: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens at all targets and announces them.

        Raises:
            OSError: The endpoint can't be bound.
        """
        self.attachment.start()
        listeners = self.attachment.stack.listeners
        for spec in self.settings.targets:
            packed = ipaddress.ip_address(spec.address).packed
            for server in self.settings.servers:
                listener = _Listener(self, spec.address, server)
                listeners[(packed, server.port)] = listener.accept
        self._start_task(self.announcer.run())

    async def close(self) -> None:
        """Closes all sockets."""
        for task in self._tasks:
            task.cancel()
        self.attachment.close()

    def create_bridge(
        self, address: str, server: gateway_settings.RealServer
    ) -> bridges.ConnectionBridge:
        """Returns the joint of a new connection."""
        self.accepted[address] = self.accepted.get(address, 0) + 1
        bridge = bridges.ConnectionBridge(self.attachment)
        self._start_task(self._connect(bridge, server))
        return bridge

    async def _connect(
        self,
        bridge: bridges.ConnectionBridge,
        server: gateway_settings.RealServer,
    ) -> None:
        """Connects a joint to its server, or resets its connection."""
        loop = asyncio.get_running_loop()
        to = server.connect
        try:
            await loop.create_connection(lambda: bridge, to.address, to.port)
        except OSError:
            bridge.abort()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine and keeps it until it is done."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


@dataclasses.dataclass(frozen=True, slots=True)
class _Listener:
    """Accepts the connections of one port of a target.

    Attributes:
        target_side: The side that it belongs to.
        address: Address of the target.
        server: The server behind the port.
    """

    target_side: TargetSide
    address: str
    server: gateway_settings.RealServer

    def accept(
        self, four_tuple: connections.FourTuple, sequence: int
    ) -> connections.Application:
        """Returns the joint of a new connection."""
        return self.target_side.create_bridge(self.address, self.server)


class GatewayProcess:
    """The gateway.

    Attributes:
        caller_side: The side of the callers; None for none.
        target_side: The side of the targets; None for none.
    """

    __slots__ = ("caller_side", "target_side")

    def __init__(self, settings: gateway_settings.Settings) -> None:
        """Creates a gateway that isn't started; needs a running loop.

        Args:
            settings: Settings.
        """
        self.caller_side: CallerSide | None = None
        self.target_side: TargetSide | None = None
        if settings.near is not None:
            attachment = _attach(settings, settings.near.listen, 0)
            self.caller_side = CallerSide(settings.near, attachment)
        if settings.far is not None:
            attachment = _attach(settings, settings.far.listen, 1)
            self.target_side = TargetSide(settings.far, attachment)

    async def start(self) -> None:
        """Binds the sockets.

        Raises:
            OSError: An endpoint can't be bound.
        """
        for side in (self.target_side, self.caller_side):
            if side is not None:
                await side.start()

    async def close(self) -> None:
        """Closes all sockets."""
        for side in (self.caller_side, self.target_side):
            if side is not None:
                await side.close()


def _attach(
    settings: gateway_settings.Settings, listen: peers.Endpoint, side: int
) -> attachments.Attachment:
    """Returns the attachment of one side."""
    stack = stacks.Stack(2 * settings.seed + side, settings.mss)
    return attachments.Attachment(stack, settings.fabric, listen)
