"""The gateway process, which bridges kernel TCP and the lab's TCP stack."""

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
    """Caller side: carries connections from kernel clients to services.

    Attributes:
        settings: Settings.
        attachment: Sends and receives packets through the fabric.
        endpoints: Bound endpoints that accept kernel connections, in the
            order of the settings; empty before `start`.
    """

    __slots__ = ("_ports", "_servers", "attachment", "endpoints", "settings")

    def __init__(
        self,
        settings: gateway_settings.CallerSideSettings,
        attachment: attachments.Attachment,
    ) -> None:
        """Initializes a caller side that is not started.

        Args:
            settings: Settings.
            attachment: Sends and receives packets through the fabric.
        """
        self.settings = settings
        self.attachment = attachment
        self.endpoints: list[peers.Endpoint] = []
        self._servers: list[asyncio.Server] = []
        self._ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))

    async def start(self) -> None:
        """Binds the sockets and accepts connections at all loopback ports.

        Raises:
            OSError: An endpoint cannot be bound.
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
        """Accepts connections at one loopback port."""
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
        """Opens a connection to the service of a loopback port."""
        four_tuple = connections.FourTuple(
            ipaddress.ip_address(self.settings.address).packed,
            next(self._ports),
            ipaddress.ip_address(loopback_port.address).packed,
            loopback_port.port,
        )
        return self.attachment.connect(four_tuple, bridge)


class CallerBridge(bridges.ConnectionBridge):
    """Bridge that opens its lab side once the kernel side is accepted.

    Attributes:
        caller_side: Caller side that the bridge belongs to.
        loopback_port: Loopback port at which the connection is accepted.
    """

    __slots__ = ("caller_side", "loopback_port")

    def __init__(
        self,
        caller_side: CallerSide,
        loopback_port: gateway_settings.LoopbackPort,
    ) -> None:
        """Initializes a bridge without connections.

        Args:
            caller_side: Caller side that the bridge belongs to.
            loopback_port: Loopback port at which the connection is accepted.
        """
        super().__init__(caller_side.attachment)
        self.caller_side = caller_side
        self.loopback_port = loopback_port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Opens the lab side and attaches the kernel side."""
        self.connection = self.caller_side.connect(self.loopback_port, self)
        super().connection_made(transport)


@dataclasses.dataclass(slots=True)
class GatewayTarget:
    """A target whose connections are bridged to real servers.

    Attributes:
        spec: Service, address and failure domain of the target.
    """

    spec: target_settings.TargetSpec

    def announcement(
        self, lease_s: float, incarnation: int
    ) -> requests.Announce:
        """Returns the announcement of the target."""
        return requests.Announce(
            service=self.spec.service,
            address=self.spec.address,
            domain=self.spec.domain,
            incarnation=incarnation,
            lease_s=lease_s,
        )


class TargetSide:
    """Target side: carries connections of targets to real servers.

    Attributes:
        settings: Settings.
        attachment: Sends and receives packets through the fabric.
        announcer: Announces the targets and renews their leases.
        accepted: Number of accepted connections by target address.
    """

    __slots__ = ("_tasks", "accepted", "announcer", "attachment", "settings")

    def __init__(
        self,
        settings: gateway_settings.TargetSideSettings,
        attachment: attachments.Attachment,
    ) -> None:
        """Initializes a target side that is not started.

        Args:
            settings: Settings.
            attachment: Sends and receives packets through the fabric.
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
        """Accepts connections at all targets and announces the targets.

        Raises:
            OSError: The endpoint cannot be bound.
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
        """Returns the bridge of a new connection of a target.

        Args:
            address: Address of the target.
            server: Server that the bridge connects to.
        """
        self.accepted[address] = self.accepted.get(address, 0) + 1
        bridge = bridges.ConnectionBridge(self.attachment)
        self._start_task(self._connect(bridge, server))
        return bridge

    async def _connect(
        self,
        bridge: bridges.ConnectionBridge,
        server: gateway_settings.RealServer,
    ) -> None:
        """Connects a bridge to its server, or resets its lab side."""
        loop = asyncio.get_running_loop()
        to = server.connect
        try:
            await loop.create_connection(lambda: bridge, to.address, to.port)
        except OSError:
            bridge.abort()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine and keeps a reference to its task until it ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


@dataclasses.dataclass(frozen=True, slots=True)
class _Listener:
    """Accepts the connections of one port of a target.

    Attributes:
        target_side: Target side that the listener belongs to.
        address: Address of the target.
        server: Server that connections are bridged to.
    """

    target_side: TargetSide
    address: str
    server: gateway_settings.RealServer

    def accept(
        self, four_tuple: connections.FourTuple, sequence: int
    ) -> connections.Application:
        """Returns the bridge of a new connection."""
        return self.target_side.create_bridge(self.address, self.server)


class GatewayProcess:
    """Runs the caller side, the target side or both.

    Attributes:
        caller_side: Caller side, or None if the settings have none.
        target_side: Target side, or None if the settings have none.
    """

    __slots__ = ("caller_side", "target_side")

    def __init__(self, settings: gateway_settings.Settings) -> None:
        """Initializes a gateway that is not started.

        Requires a running event loop.

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
        """Starts both sides.

        Raises:
            OSError: An endpoint cannot be bound.
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
    """Returns the attachment of one side.

    Args:
        settings: Settings of the gateway.
        listen: Endpoint to bind.
        side: 0 for the caller side and 1 for the target side, so that the two
            stacks have different seeds.
    """
    stack = stacks.Stack(2 * settings.seed + side, settings.mss)
    return attachments.Attachment(stack, settings.fabric, listen)
