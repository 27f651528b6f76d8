"""Lookup tables that the data path derives from the configuration."""

import dataclasses
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
        weights: What the service values.
        address: Service address in network byte order.
        port: Port of the service address.
        target_port: Port at each target.
    """

    service: str
    work_class: str
    settings: configuration.WorkClass
    weights: configuration.Weights
    address: bytes
    port: int
    target_port: int


class Lookup:
    """Finds the service port of a packet.

    Attributes:
        inbound: Service port by destination address, protocol and port.
        outbound: Service port by service, IP version, protocol and target
            port.
        service_networks: Networks of targets with the service of each.
        services: Service by target address; filled on demand.
    """

    __slots__ = ("inbound", "outbound", "service_networks", "services")

    def __init__(self, document: configuration.Configuration) -> None:
        """Derives the tables.

        Args:
            document: A configuration that passed validation.
        """
        self.inbound: dict[tuple[bytes, int, int], ServicePort] = {}
        self.outbound: dict[tuple[str, int, int, int], ServicePort] = {}
        self.service_networks = [
            (network, name)
            for name, service in document.services.items()
            for network in configuration.networks(service)
        ]
        self.services: dict[bytes, str] = {}
        for name, service in document.services.items():
            for address in service.addresses:
                self._add(name, service, ip.pack_address(address))

    def _add(
        self, name: str, service: configuration.Service, address: bytes
    ) -> None:
        """Adds the ports of one service address."""
        for class_name, work_class in service.classes.items():
            port = ServicePort(
                service=name,
                work_class=class_name,
                settings=work_class,
                weights=service.weights,
                address=address,
                port=work_class.port,
                target_port=work_class.target_port,
            )
            protocol = _PROTOCOL_NUMBERS[work_class.protocol]
            self.inbound[address, protocol, port.port] = port
            key = (name, len(address), protocol, port.target_port)
            self.outbound[key] = port

    def find_inbound(self, packet: ip.Packet) -> ServicePort | None:
        """Returns the service port that a caller's packet is sent to."""
        return self.inbound.get(
            (packet.destination, packet.protocol, packet.destination_port)
        )

    def find_outbound(self, packet: ip.Packet) -> ServicePort | None:
        """Returns the service port that a target's packet answers for."""
        service = self.find_service(packet.source)
        if not service:
            return None
        return self.outbound.get(
            (service, len(packet.source), packet.protocol, packet.source_port)
        )

    def find_service(self, target: bytes) -> str:
        """Returns the service whose networks hold a target; empty if none.

        Args:
            target: Packed IP address of the target.
        """
        service = self.services.get(target)
        if service is None:
            service = self._search_networks(target)
            if service:
                self.services[target] = service
        return service

    def _search_networks(self, target: bytes) -> str:
        """Returns the service whose networks hold a target."""
        number = int.from_bytes(target, "big")
        for network, name in self.service_networks:
            if network.max_prefixlen != len(target) * 8:
                continue
            if (number ^ int(network.network_address)) >> (
                network.max_prefixlen - network.prefixlen
            ) == 0:
                return name
        return ""


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
        port: Service port that the target answers for.
    """
    return (
        packet.destination
        + _port.pack(packet.destination_port)
        + port.address
        + _port.pack(port.port)
        + bytes((packet.protocol,))
    )


def format_flow(key: bytes) -> str:
    """Returns the text form of a flow key for logs and the time line."""
    size = (len(key) - 5) // 2
    caller = ip.format_address(key[:size])
    caller_port = int.from_bytes(key[size : size + 2], "big")
    service = ip.format_address(key[size + 2 : 2 * size + 2])
    service_port = int.from_bytes(key[2 * size + 2 : 2 * size + 4], "big")
    protocol = "tcp" if key[-1] == ip.PROTOCOL_TCP else "udp"
    return f"{protocol}:{caller}:{caller_port}>{service}:{service_port}"
