"""Lookup tables that the data path derives from the configuration."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import ipaddress
import struct

from tamarack_core import configuration
from tamarack_core.packets import ip

_PROTOCOL_NUMBERS = {
    configuration.Protocol.TCP: ip.PROTOCOL_TCP,
    configuration.Protocol.UDP: ip.PROTOCOL_UDP,
}

_port = struct.Struct("!H")


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class ServicePort:
    """One port of a service address.

    Attributes:
        service: Name of the service.
        work_class: Name of the work class.
        settings: The work class.
        weights: Weights of broken connections and of uneven load.
        address: Service address in network byte order.
        port: Port of the service address.
        target_port: Port at each target.
        opening_hosts: Number of hosts of a failure domain that own flows of the
            service.
    """

    service: str
    work_class: str
    settings: configuration.WorkClass
    weights: configuration.Weights
    address: bytes
    port: int
    target_port: int
    opening_hosts: int = 2


Changes = Mapping[str, configuration.Service | None]


class Lookup:
    """Finds the service port of a packet.

    The cost of an update is proportional to the number of changed services, so
    that a host keeps up with frequent changes of a large configuration.

    Attributes:
        services_by_name: Services by name.
        inbound: Service port by destination address, protocol and port.
        outbound: Service port by service, address length, protocol and target
            port.
        networks: Service by network prefix, for each address length in bytes
            and prefix length in bits.
        service_by_target: Service by target address; filled on demand.
    """

    __slots__ = (
        "inbound",
        "networks",
        "outbound",
        "service_by_target",
        "services_by_name",
    )

    def __init__(self, document: configuration.Configuration) -> None:
        """Initializes the tables.

        Args:
            document: A configuration that passed validation.
        """
        self.services_by_name: dict[str, configuration.Service] = {}
        self.inbound: dict[tuple[bytes, int, int], ServicePort] = {}
        self.outbound: dict[tuple[str, int, int, int], ServicePort] = {}
        self.networks: dict[tuple[int, int], dict[int, str]] = {}
        self.service_by_target: dict[bytes, str] = {}
        self.apply(document.services)

    def apply(self, changes: Changes) -> None:
        """Replaces services; the result must pass validation.

        Args:
            changes: New services by name; None removes a service.
        """
        # One change may move an address between two services, so all old
        # services are removed before any new one is added.
        for name in changes:
            self._remove(name)
        for name, service in changes.items():
            if service is not None:
                self._add(name, service)
        self.service_by_target.clear()

    def _add(self, name: str, service: configuration.Service) -> None:
        """Adds the ports and networks of a service."""
        self.services_by_name[name] = service
        for port in _ports(name, service):
            self.inbound[_inbound_key(port)] = port
            self.outbound[_outbound_key(port)] = port
        for size, network in _networks(service):
            prefixes = self.networks.setdefault((size, network.prefixlen), {})
            prefixes[_prefix(network)] = name

    def _remove(self, name: str) -> None:
        """Removes the ports and networks of a service, if it exists."""
        service = self.services_by_name.pop(name, None)
        if service is None:
            return
        for port in _ports(name, service):
            del self.inbound[_inbound_key(port)]
            del self.outbound[_outbound_key(port)]
        for size, network in _networks(service):
            prefixes = self.networks[size, network.prefixlen]
            del prefixes[_prefix(network)]
            if not prefixes:
                del self.networks[size, network.prefixlen]

    def find_inbound(self, packet: ip.Packet) -> ServicePort | None:
        """Returns the service port that a caller's packet is sent to."""
        return self.inbound.get(
            (packet.destination, packet.protocol, packet.destination_port)
        )

    def find_outbound(self, packet: ip.Packet) -> ServicePort | None:
        """Returns the service port that a target's packet replies for."""
        service = self.find_service(packet.source)
        if not service:
            return None
        return self.outbound.get(
            (service, len(packet.source), packet.protocol, packet.source_port)
        )

    def find_rewritten(self, packet: ip.Packet) -> ServicePort | None:
        """Returns the service port of a packet rewritten for its target."""
        service = self.find_service(packet.destination)
        if not service:
            return None
        return self.outbound.get(
            (
                service,
                len(packet.destination),
                packet.protocol,
                packet.destination_port,
            )
        )

    def find_key(self, key: bytes) -> ServicePort | None:
        """Returns the service port of a flow key."""
        start = caller_bytes(key)
        port = int.from_bytes(key[-3:-1], "big")
        return self.inbound.get((key[start:-3], key[-1], port))

    def find_service(self, target: bytes) -> str:
        """Returns the service whose networks hold a target; empty if none.

        Args:
            target: Packed IP address of the target.
        """
        service = self.service_by_target.get(target)
        if service is None:
            service = self._search_networks(target)
            if service:
                self.service_by_target[target] = service
        return service

    def _search_networks(self, target: bytes) -> str:
        """Returns the service whose networks hold a target."""
        number = int.from_bytes(target, "big")
        bits = len(target) * 8
        for (size, length), prefixes in self.networks.items():
            if size == len(target):
                name = prefixes.get(number >> (bits - length))
                if name is not None:
                    return name
        return ""


def _ports(name: str, service: configuration.Service) -> Iterator[ServicePort]:
    """Yields the ports of a service."""
    for address in map(ip.pack_address, service.addresses):
        for class_name, work_class in service.classes.items():
            yield ServicePort(
                service=name,
                work_class=class_name,
                settings=work_class,
                weights=service.weights,
                address=address,
                port=work_class.port,
                target_port=work_class.target_port,
                opening_hosts=service.opening_hosts,
            )


def _networks(
    service: configuration.Service,
) -> Iterator[tuple[int, ipaddress.IPv4Network | ipaddress.IPv6Network]]:
    """Yields the address length in bytes and each network of a service."""
    for network in configuration.parse_target_networks(service):
        yield network.max_prefixlen // 8, network


def _prefix(network: ipaddress.IPv4Network | ipaddress.IPv6Network) -> int:
    """Returns the leading bits that all addresses of a network share."""
    shift = network.max_prefixlen - network.prefixlen
    return int(network.network_address) >> shift


def _inbound_key(port: ServicePort) -> tuple[bytes, int, int]:
    """Returns the key of a port in `Lookup.inbound`."""
    protocol = _PROTOCOL_NUMBERS[port.settings.protocol]
    return port.address, protocol, port.port


def _outbound_key(port: ServicePort) -> tuple[str, int, int, int]:
    """Returns the key of a port in `Lookup.outbound`."""
    protocol = _PROTOCOL_NUMBERS[port.settings.protocol]
    return port.service, len(port.address), protocol, port.target_port


def flow_key(packet: ip.Packet) -> bytes:
    """Returns the key of the flow that a caller's packet belongs to."""
    return (
        packet.source
        + _port.pack(packet.source_port)
        + packet.destination
        + _port.pack(packet.destination_port)
        + bytes((packet.protocol,))
    )


def reply_key(packet: ip.Packet, port: ServicePort) -> bytes:
    """Returns the key of the flow that a target's packet belongs to.

    Args:
        packet: Packet from a target to a caller.
        port: Service port that the target replies for.
    """
    return (
        packet.destination
        + _port.pack(packet.destination_port)
        + port.address
        + _port.pack(port.port)
        + bytes((packet.protocol,))
    )


def rewritten_key(packet: ip.Packet, port: ServicePort) -> bytes:
    """Returns the key of the flow of a packet rewritten for its target.

    Args:
        packet: Packet from a caller to a target.
        port: Service port of the flow.
    """
    return (
        packet.source
        + _port.pack(packet.source_port)
        + port.address
        + _port.pack(port.port)
        + bytes((packet.protocol,))
    )


def caller_bytes(key: bytes) -> int:
    """Returns the size of the caller address and port in a flow key."""
    return (len(key) - 5) // 2 + 2


def format_flow(key: bytes) -> str:
    """Returns the text form of a flow key for logs and the time line."""
    size = (len(key) - 5) // 2
    caller = ip.format_address(key[:size])
    caller_port = int.from_bytes(key[size : size + 2], "big")
    service = ip.format_address(key[size + 2 : 2 * size + 2])
    service_port = int.from_bytes(key[2 * size + 2 : 2 * size + 4], "big")
    protocol = "tcp" if key[-1] == ip.PROTOCOL_TCP else "udp"
    return f"{protocol}:{caller}:{caller_port}>{service}:{service_port}"
