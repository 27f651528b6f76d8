"""Checks of services against each other.

The index is updated service by service, so that the cost of a change barely
depends on the number of services, be it ten or sixteen thousand.
"""

import bisect
import dataclasses
import ipaddress

from tamarack_core import configuration
from tamarack_core import failure
from tamarack_core.internal.validation import json_pointers


@dataclasses.dataclass(frozen=True, slots=True)
class PortKey:
    """Key by which the service of a packet from a caller is looked up.

    Attributes:
        address: Service address.
        protocol: Transport protocol.
        port: Port of the service.
    """

    address: str
    protocol: configuration.Protocol
    port: int


class _Ranges:
    """Disjoint address ranges of one IP version, sorted by address.

    Attributes:
        firsts: First address of each range, as a number.
        lasts: Last address of each range, as a number.
        owners: Service that owns each range.
    """

    __slots__ = ("firsts", "lasts", "owners")

    def __init__(self) -> None:
        """Initializes the ranges without an entry."""
        self.firsts: list[int] = []
        self.lasts: list[int] = []
        self.owners: list[str] = []

    def find(self, first: int, last: int) -> str | None:
        """Returns the owner of a range that overlaps the given one, or None."""
        position = bisect.bisect_right(self.firsts, last)
        if position and self.lasts[position - 1] >= first:
            return self.owners[position - 1]
        return None

    def add(self, first: int, last: int, owner: str) -> None:
        """Adds a range that overlaps no other."""
        position = bisect.bisect_left(self.firsts, first)
        self.firsts.insert(position, first)
        self.lasts.insert(position, last)
        self.owners.insert(position, owner)

    def remove(self, first: int) -> None:
        """Removes the range that starts at `first`."""
        position = bisect.bisect_left(self.firsts, first)
        del self.firsts[position]
        del self.lasts[position]
        del self.owners[position]


class ClashIndex:
    """Index of the service that owns each port and each target network.

    Attributes:
        ports: Service that owns each port of each address.
        networks: Target networks by IP version.
        addresses: Service addresses by IP version, as sorted numbers. An
            address occurs once for each service that has it.
    """

    __slots__ = ("addresses", "networks", "ports")

    def __init__(self) -> None:
        """Initializes the index without a service."""
        self.ports: dict[PortKey, str] = {}
        self.networks = {4: _Ranges(), 6: _Ranges()}
        self.addresses: dict[int, list[int]] = {4: [], 6: []}

    def add(
        self, name: str, service: configuration.Service
    ) -> failure.Failure | None:
        """Adds a service that passed its own checks.

        Returns:
            None, or the clash with a service in the index, which then stays
            unchanged.
        """
        for find in (
            self._find_port_clash,
            self._find_network_clash,
            self._find_address_clash,
        ):
            clash = find(name, service)
            if clash is not None:
                return clash
        self.ports.update(dict.fromkeys(_port_keys(service), name))
        for network in configuration.parse_target_networks(service):
            ranges = self.networks[network.version]
            ranges.add(*_bounds(network), name)
        for address in map(ipaddress.ip_address, service.addresses):
            bisect.insort(self.addresses[address.version], int(address))
        return None

    def remove(self, service: configuration.Service) -> None:
        """Removes a service that was added."""
        for key in _port_keys(service):
            del self.ports[key]
        for network in configuration.parse_target_networks(service):
            self.networks[network.version].remove(_bounds(network)[0])
        for address in map(ipaddress.ip_address, service.addresses):
            numbers = self.addresses[address.version]
            del numbers[bisect.bisect_left(numbers, int(address))]

    def _find_port_clash(
        self, name: str, service: configuration.Service
    ) -> failure.Failure | None:
        """Finds a port of an address that another service owns."""
        for class_name, work_class in sorted(service.classes.items()):
            for address in service.addresses:
                key = PortKey(address, work_class.protocol, work_class.port)
                owner = self.ports.get(key)
                if owner is not None:
                    return failure.Failure(
                        "port-clash",
                        f"{work_class.protocol} port {work_class.port} of"
                        f" {address} belongs to service {owner}",
                        json_pointers.join(
                            "services", name, "classes", class_name, "port"
                        ),
                    )
        return None

    def _find_network_clash(
        self, name: str, service: configuration.Service
    ) -> failure.Failure | None:
        """Finds a target network that overlaps another or holds an address."""
        own_ranges = {4: _Ranges(), 6: _Ranges()}
        for index, network in enumerate(
            configuration.parse_target_networks(service)
        ):
            first, last = _bounds(network)
            path = json_pointers.join(
                "services", name, "target_networks", str(index)
            )
            owner = self.networks[network.version].find(first, last)
            owner = owner or own_ranges[network.version].find(first, last)
            if owner is not None:
                return failure.Failure(
                    "network-clash",
                    f"{network} overlaps a target network of service {owner}",
                    path,
                )
            if self._contains_address(network.version, first, last):
                return failure.Failure(
                    "network-clash",
                    f"{network} contains a service address, which can't be a"
                    " target",
                    path,
                )
            own_ranges[network.version].add(first, last, name)
        return None

    def _contains_address(self, version: int, first: int, last: int) -> bool:
        """Returns whether a service address lies in the range."""
        numbers = self.addresses[version]
        position = bisect.bisect_left(numbers, first)
        return position < len(numbers) and numbers[position] <= last

    def _find_address_clash(
        self, name: str, service: configuration.Service
    ) -> failure.Failure | None:
        """Finds a service address that lies in a target network."""
        own_networks = configuration.parse_target_networks(service)
        for index, text in enumerate(service.addresses):
            address = ipaddress.ip_address(text)
            number = int(address)
            owner = self.networks[address.version].find(number, number)
            if owner is None and any(
                address in network for network in own_networks
            ):
                owner = name
            if owner is not None:
                return failure.Failure(
                    "address-clash",
                    f"{text} lies in a target network of service {owner}",
                    json_pointers.join(
                        "services", name, "addresses", str(index)
                    ),
                )
        return None


def _port_keys(service: configuration.Service) -> list[PortKey]:
    """Returns the keys of all ports of a service."""
    return [
        PortKey(address, work_class.protocol, work_class.port)
        for address in service.addresses
        for work_class in service.classes.values()
    ]


def _bounds(
    network: ipaddress.IPv4Network | ipaddress.IPv6Network,
) -> tuple[int, int]:
    """Returns the first and last address of a network as numbers."""
    return int(network.network_address), int(network.broadcast_address)
