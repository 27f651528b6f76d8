"""Stand-in for the fabric: sprays packets over entry hosts.

A packet from a caller or a target goes to a random entry host of its failure
domain. A packet from an entry host goes to the owner of its inner
destination.
"""

import asyncio
import collections
import ipaddress
import random
import socket

from aiohttp import web
import msgspec

from tamarack_core import failure
from tamarack_core import peers
from tamarack_core.packets import geneve
from tamarack_lab import sockets
from tamarack_lab import web_server

_BATCH_DATAGRAMS = 128
_IPV4 = 4

SocketAddress = tuple[str, int]


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Owner of the addresses of a network.

    Attributes:
        network: Addresses of callers or targets, in CIDR form; a single
            address stands for itself.
        endpoint: UDP endpoint of the stand-in that owns them.
        domain: Failure domain over whose entry hosts its packets are sprayed.
    """

    network: str
    endpoint: peers.Endpoint
    domain: str


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of a service.

    Attributes:
        address: IPv4 or IPv6 address.
        domains: Failure domains whose entry hosts get the packets for it;
            empty for the failure domain of the sender.
    """

    address: str
    domains: tuple[str, ...] = ()


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the fabric.

    Attributes:
        listen: Endpoint of Geneve over UDP.
        http: Endpoint of the HTTP interface; None for none.
        seed: Seed of the choice among entry hosts.
        domains: Data endpoints of the entry hosts by failure domain.
        services: Service addresses.
        routes: Owners of caller and target addresses.
    """

    listen: peers.Endpoint
    http: peers.Endpoint | None = None
    seed: int = 0
    domains: dict[str, tuple[peers.Endpoint, ...]] = {}
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()


class AddressOwner(msgspec.Struct, frozen=True):
    """Where packets for an address go.

    Attributes:
        to: Socket address of the stand-in.
        domain: Failure domain of the stand-in.
    """

    to: SocketAddress
    domain: str


class RoutingTable:
    """Decides where a datagram goes.

    Attributes:
        random: Chooses among entry hosts.
        entries: Entry hosts by failure domain.
        known: Every entry host that has been in the table; one that is no
            longer chosen may still have packets to send.
        services: Failure domains by service address.
        networks: Owners by bits of an address, prefix length and network
            address.
        owners: Owners already looked up, by address.
        counters: Datagrams by what became of them.
    """

    __slots__ = (
        "counters",
        "entries",
        "known",
        "networks",
        "owners",
        "random",
        "services",
    )

    def __init__(self, seed: int) -> None:
        """Creates an empty table.

        Args:
            seed: Seed of the choice among entry hosts.
        """
        self.random = random.Random(seed)
        self.entries: dict[str, list[SocketAddress]] = {}
        self.known: set[SocketAddress] = set()
        self.services: dict[bytes, tuple[str, ...]] = {}
        self.networks: dict[int, dict[int, dict[bytes, AddressOwner]]] = {}
        self.owners: dict[bytes, AddressOwner | None] = {}
        self.counters: collections.Counter[str] = collections.Counter()

    def set_entry_hosts(
        self, domain: str, endpoints: tuple[peers.Endpoint, ...]
    ) -> None:
        """Replaces the entry hosts of a failure domain."""
        chosen = [(e.address, e.port) for e in endpoints]
        self.entries[domain] = chosen
        self.known.update(chosen)

    def add_known_host(self, endpoint: peers.Endpoint) -> None:
        """Adds an entry host that may send and isn't sprayed over so far."""
        self.known.add((endpoint.address, endpoint.port))

    def add_service(self, service: Service) -> None:
        """Adds a service address.

        Raises:
            ValueError: The address is not an IP address.
        """
        packed = ipaddress.ip_address(service.address).packed
        self.services[packed] = service.domains

    def add_route(self, route: Route) -> None:
        """Adds or replaces the owner of a network.

        Raises:
            ValueError: The network is not in CIDR form.
        """
        network = ipaddress.ip_network(route.network)
        packed = network.network_address.packed
        to = (route.endpoint.address, route.endpoint.port)
        by_length = self.networks.setdefault(network.max_prefixlen, {})
        same_length = by_length.setdefault(network.prefixlen, {})
        same_length[packed] = AddressOwner(to, route.domain)
        self.owners.clear()

    def forward(
        self, data: bytes, source: SocketAddress
    ) -> SocketAddress | None:
        """Returns where a datagram goes; None when it is dropped.

        Args:
            data: The datagram, starting with the Geneve header.
            source: Socket address of the sender.
        """
        inner = geneve.decapsulate(data)
        if isinstance(inner, failure.Failure):
            return self._drop(inner.reason)
        packet = inner.packet
        if len(packet) < 40 and (len(packet) < 20 or packet[0] >> 4 != _IPV4):
            return self._drop("ip-truncated")
        if packet[0] >> 4 == _IPV4:
            sender, receiver = packet[12:16], packet[16:20]
        else:
            sender, receiver = packet[8:24], packet[24:40]
        if source in self.known:
            return self._deliver(receiver)
        return self._spray(sender, receiver)

    def owner(self, address: bytes) -> AddressOwner | None:
        """Returns the owner of an address by longest prefix."""
        if address not in self.owners:
            self.owners[address] = self._look_up(address)
        return self.owners[address]

    def _deliver(self, receiver: bytes) -> SocketAddress | None:
        """Returns the stand-in that owns an address."""
        owner = self.owner(receiver)
        if owner is None:
            return self._drop("no-route")
        self.counters["delivered"] += 1
        return owner.to

    def _spray(self, sender: bytes, receiver: bytes) -> SocketAddress | None:
        """Returns a random entry host for a packet of a stand-in."""
        owner = self.owner(sender)
        if owner is None:
            return self._drop("unknown-source")
        domains = self.services.get(receiver)
        if domains is None and self.owner(receiver) is None:
            return self._drop("no-route")
        candidates = [
            entry
            for domain in domains or (owner.domain,)
            for entry in self.entries.get(domain, ())
        ]
        if not candidates:
            return self._drop("no-entry-host")
        self.counters["sprayed"] += 1
        return candidates[int(self.random.random() * len(candidates))]

    def _look_up(self, address: bytes) -> AddressOwner | None:
        """Returns the owner of an address, longest prefix first."""
        bits = len(address) * 8
        whole = int.from_bytes(address, "big")
        by_length = self.networks.get(bits, {})
        for length in sorted(by_length, reverse=True):
            masked = whole >> (bits - length) << (bits - length)
            found = by_length[length].get(masked.to_bytes(len(address), "big"))
            if found is not None:
                return found
        return None

    def _drop(self, reason: str) -> SocketAddress | None:
        """Counts a datagram that goes nowhere, and returns None."""
        self.counters[reason] += 1
        return None


def build_table(settings: Settings) -> RoutingTable:
    """Returns the table that settings describe.

    Raises:
        ValueError: An address or a network is malformed.
    """
    table = RoutingTable(settings.seed)
    for domain, endpoints in settings.domains.items():
        table.set_entry_hosts(domain, endpoints)
    for service in settings.services:
        table.add_service(service)
    for route in settings.routes:
        table.add_route(route)
    return table


class Fabric:
    """Runs a table over one UDP socket.

    Attributes:
        table: Decides where datagrams go.
        endpoint: Own endpoint, once started.
        http: Endpoint of the HTTP interface, once started; None for none.
    """

    __slots__ = ("_runner", "_socket", "endpoint", "http", "table")

    def __init__(self, settings: Settings) -> None:
        """Creates a fabric that isn't started.

        Args:
            settings: Its settings; port 0 takes a free port.

        Raises:
            ValueError: An address or a network is malformed.
        """
        self.table = build_table(settings)
        self.endpoint = settings.listen
        self.http = settings.http
        self._socket: socket.socket | None = None
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Binds the sockets.

        Raises:
            OSError: An endpoint can't be bound.
        """
        self._socket = sockets.bind_datagram(self.endpoint)
        self.endpoint = sockets.endpoint_of(self._socket)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read)
        if self.http is not None:
            served = await web_server.serve(self._application(), self.http)
            self._runner = served.runner
            self.http = served.endpoint

    async def close(self) -> None:
        """Closes the sockets."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
        if self._runner is not None:
            await self._runner.cleanup()

    def _read(self) -> None:
        """Forwards the datagrams that have arrived."""
        bound = self._socket
        if bound is None:
            return
        forward = self.table.forward
        for data, source in sockets.drain_with_source(bound, _BATCH_DATAGRAMS):
            to = forward(data, source)
            if to is not None:
                sockets.send(bound, data, to)

    def _application(self) -> web.Application:
        """Returns the HTTP interface."""
        application = web.Application()
        application.router.add_get("/v1/state", self._read_state)
        application.router.add_put(
            "/v1/domains/{domain}/entries", self._put_entries
        )
        application.router.add_put("/v1/hosts", self._put_host)
        application.router.add_put("/v1/routes", self._put_route)
        return application

    async def _read_state(self, request: web.Request) -> web.Response:
        """Answers with counters and entry hosts."""
        return web_server.json_response(
            {
                "counters": dict(self.table.counters),
                "domains": self.table.entries,
            }
        )

    async def _put_entries(self, request: web.Request) -> web.Response:
        """Replaces the entry hosts of a failure domain."""
        form = tuple[peers.Endpoint, ...]
        endpoints = await web_server.read_json(request, form)
        self.table.set_entry_hosts(request.match_info["domain"], endpoints)
        return web_server.json_response({})

    async def _put_host(self, request: web.Request) -> web.Response:
        """Adds an entry host that may send."""
        self.table.add_known_host(
            await web_server.read_json(request, peers.Endpoint)
        )
        return web_server.json_response({})

    async def _put_route(self, request: web.Request) -> web.Response:
        """Adds or replaces the owner of a network."""
        route = await web_server.read_json(request, Route)
        try:
            self.table.add_route(route)
        except ValueError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web_server.json_response({})
