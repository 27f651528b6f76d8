"""Stand-in for the network fabric, with ECMP-like spraying over entry hosts.

A packet from a caller or a target is sent to a random entry host of its
failure domain. A packet from an entry host is sent to the stand-in that owns
the destination address of the inner packet.
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
    """Assigns the addresses of a network to a stand-in.

    Attributes:
        network: Addresses of callers or targets in CIDR notation, or a single
            address without prefix length.
        endpoint: UDP endpoint of the stand-in that owns the addresses.
        domain: Failure domain of the stand-in. Packets that it sends are
            sprayed over the entry hosts of this domain, unless the service
            that they are sent to names other domains.
    """

    network: str
    endpoint: peers.Endpoint
    domain: str


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of a service.

    Attributes:
        address: IPv4 or IPv6 address.
        domains: Failure domains whose entry hosts receive packets for the
            service. If empty, the failure domain of the sender is used.
    """

    address: str
    domains: tuple[str, ...] = ()


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the fabric.

    Attributes:
        listen: UDP endpoint for Geneve packets.
        http: Endpoint of the HTTP interface, or None to disable it.
        seed: Seed for the random choice of entry hosts.
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
    """Stand-in that owns an address.

    Attributes:
        to: Socket address of the stand-in.
        domain: Failure domain of the stand-in.
    """

    to: SocketAddress
    domain: str


class RoutingTable:
    """Determines the next hop of each datagram.

    Attributes:
        random: Random generator for the choice of entry hosts.
        entry_hosts: Entry hosts that receive packets, by failure domain.
        known_hosts: Every entry host that has ever been in the table. A host
            that no longer receives packets may still have packets to send.
        services: Failure domains by service address.
        prefixes: Owners by address length in bits, prefix length and network
            address.
        owner_cache: Results of `find_owner` by address.
        counters: Number of datagrams by outcome.
    """

    __slots__ = (
        "counters",
        "entry_hosts",
        "known_hosts",
        "owner_cache",
        "prefixes",
        "random",
        "services",
    )

    def __init__(self, seed: int) -> None:
        """Initializes an empty routing table.

        Args:
            seed: Seed for the random choice of entry hosts.
        """
        self.random = random.Random(seed)
        self.entry_hosts: dict[str, list[SocketAddress]] = {}
        self.known_hosts: set[SocketAddress] = set()
        self.services: dict[bytes, tuple[str, ...]] = {}
        self.prefixes: dict[int, dict[int, dict[bytes, AddressOwner]]] = {}
        self.owner_cache: dict[bytes, AddressOwner | None] = {}
        self.counters: collections.Counter[str] = collections.Counter()

    def set_entry_hosts(
        self, domain: str, endpoints: tuple[peers.Endpoint, ...]
    ) -> None:
        """Replaces the entry hosts of a failure domain."""
        addresses = [(e.address, e.port) for e in endpoints]
        self.entry_hosts[domain] = addresses
        self.known_hosts.update(addresses)

    def add_known_host(self, endpoint: peers.Endpoint) -> None:
        """Adds an entry host that may send packets but receives none yet."""
        self.known_hosts.add((endpoint.address, endpoint.port))

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
            ValueError: The network is not in CIDR notation.
        """
        network = ipaddress.ip_network(route.network)
        packed = network.network_address.packed
        to = (route.endpoint.address, route.endpoint.port)
        by_length = self.prefixes.setdefault(network.max_prefixlen, {})
        same_length = by_length.setdefault(network.prefixlen, {})
        same_length[packed] = AddressOwner(to, route.domain)
        self.owner_cache.clear()

    def forward(
        self, data: bytes, source: SocketAddress
    ) -> SocketAddress | None:
        """Returns the next hop of a datagram, or None if it is dropped.

        Args:
            data: Payload of the datagram, starting with the Geneve header.
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
        if source in self.known_hosts:
            return self._deliver(receiver)
        return self._spray(sender, receiver)

    def find_owner(self, address: bytes) -> AddressOwner | None:
        """Returns the owner of an address, or None if no route matches."""
        if address not in self.owner_cache:
            self.owner_cache[address] = self._match_longest_prefix(address)
        return self.owner_cache[address]

    def _deliver(self, receiver: bytes) -> SocketAddress | None:
        """Returns the socket address of the owner of the destination."""
        owner = self.find_owner(receiver)
        if owner is None:
            return self._drop("no-route")
        self.counters["delivered"] += 1
        return owner.to

    def _spray(self, sender: bytes, receiver: bytes) -> SocketAddress | None:
        """Returns a random entry host for a packet from a stand-in."""
        owner = self.find_owner(sender)
        if owner is None:
            return self._drop("unknown-source")
        domains = self.services.get(receiver)
        if domains is None and self.find_owner(receiver) is None:
            return self._drop("no-route")
        candidates = [
            entry
            for domain in domains or (owner.domain,)
            for entry in self.entry_hosts.get(domain, ())
        ]
        if not candidates:
            return self._drop("no-entry-host")
        self.counters["sprayed"] += 1
        return candidates[int(self.random.random() * len(candidates))]

    def _match_longest_prefix(self, address: bytes) -> AddressOwner | None:
        """Returns the owner of the longest prefix that matches an address."""
        bits = len(address) * 8
        number = int.from_bytes(address, "big")
        by_length = self.prefixes.get(bits, {})
        for length in sorted(by_length, reverse=True):
            masked = number >> (bits - length) << (bits - length)
            owner = by_length[length].get(masked.to_bytes(len(address), "big"))
            if owner is not None:
                return owner
        return None

    def _drop(self, reason: str) -> SocketAddress | None:
        """Counts a dropped datagram by reason and returns None."""
        self.counters[reason] += 1
        return None


def build_table(settings: Settings) -> RoutingTable:
    """Returns the routing table that the settings describe.

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
    """Forwards datagrams over one UDP socket by a routing table.

    Attributes:
        table: Routing table.
        endpoint: Endpoint of the UDP socket; the bound one after `start`.
        http: Endpoint of the HTTP interface, the bound one after `start`;
            None if it is disabled.
    """

    __slots__ = ("_runner", "_socket", "endpoint", "http", "table")

    def __init__(self, settings: Settings) -> None:
        """Initializes a fabric that is not started.

        Args:
            settings: Settings. Port 0 selects a free port.

        Raises:
            ValueError: An address or a network is malformed.
        """
        self.table = build_table(settings)
        self.endpoint = settings.listen
        self.http = settings.http
        self._socket: socket.socket | None = None
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Binds the sockets and starts forwarding.

        Raises:
            OSError: An endpoint cannot be bound.
        """
        self._socket = sockets.bind_datagram(self.endpoint)
        self.endpoint = sockets.endpoint_of(self._socket)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._forward_arrived)
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

    def _forward_arrived(self) -> None:
        """Forwards the next batch of received datagrams."""
        bound = self._socket
        if bound is None:
            return
        forward = self.table.forward
        for data, source in sockets.receive_ready_with_source(
            bound, _BATCH_DATAGRAMS
        ):
            to = forward(data, source)
            if to is not None:
                sockets.send(bound, data, to)

    def _application(self) -> web.Application:
        """Returns the application of the HTTP interface."""
        application = web.Application()
        application.router.add_get("/v1/state", self._read_state)
        application.router.add_put(
            "/v1/domains/{domain}/entries", self._put_entries
        )
        application.router.add_put("/v1/hosts", self._put_host)
        application.router.add_put("/v1/routes", self._put_route)
        return application

    async def _read_state(self, request: web.Request) -> web.Response:
        """Responds with the counters and the entry hosts."""
        return web_server.json_response(
            {
                "counters": dict(self.table.counters),
                "domains": self.table.entry_hosts,
            }
        )

    async def _put_entries(self, request: web.Request) -> web.Response:
        """Replaces the entry hosts of a failure domain."""
        form = tuple[peers.Endpoint, ...]
        endpoints = await web_server.read_json(request, form)
        self.table.set_entry_hosts(request.match_info["domain"], endpoints)
        return web_server.json_response({})

    async def _put_host(self, request: web.Request) -> web.Response:
        """Adds an entry host that may send packets but receives none yet."""
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
