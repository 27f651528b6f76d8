"""Parser of the IP, TCP and UDP headers of a packet."""

import ipaddress
import struct

from tamarack_core import failure

PROTOCOL_ICMP = 1
PROTOCOL_TCP = 6
PROTOCOL_UDP = 17
PROTOCOL_ICMPV6 = 58

TCP_FIN = 0x01
TCP_SYN = 0x02
TCP_RST = 0x04
TCP_ACK = 0x10

IPV4_HEADER_BYTES = 20
IPV6_HEADER_BYTES = 40
TCP_HEADER_BYTES = 20
UDP_HEADER_BYTES = 8

_IPV4_FRAGMENT_MASK = 0x3FFF
_IPV6_FRAGMENT = 44
_IPV6_EXTENSIONS = frozenset((0, 43, 50, 51, 60, 135, 139, 140))

_PLAIN_IPV4 = 0x45
_PLAIN_TCP4_BYTES = IPV4_HEADER_BYTES + TCP_HEADER_BYTES

_plain_tcp4 = struct.Struct("!xxHxxHxBxx4s4sHHIIBB")
_ports = struct.Struct("!HH")
_tcp_numbers = struct.Struct("!IIBB")


class Packet:
    """An IP packet with its parsed headers.

    Attributes:
        data: The whole packet.
        version: IP version, 4 or 6.
        protocol: IP protocol number of the transport header.
        source: Source address in network byte order.
        destination: Destination address in network byte order.
        source_port: Source port.
        destination_port: Destination port.
        transport: Offset of the transport header in bytes.
        payload: Offset of the transport payload in bytes.
        flags: TCP flags; 0 for UDP.
        is_plain_tcp4: Whether this is an IPv4 TCP packet without IP options.
        sequence: TCP sequence number; 0 for UDP.
        acknowledgment: TCP acknowledgment number; 0 for UDP.
    """

    __slots__ = (
        "acknowledgment",
        "data",
        "destination",
        "destination_port",
        "flags",
        "is_plain_tcp4",
        "payload",
        "protocol",
        "sequence",
        "source",
        "source_port",
        "transport",
        "version",
    )

    data: bytes
    version: int
    protocol: int
    source: bytes
    destination: bytes
    source_port: int
    destination_port: int
    transport: int
    payload: int
    flags: int
    sequence: int
    acknowledgment: int
    is_plain_tcp4: bool

    @property
    def payload_bytes(self) -> int:
        """Length of the transport payload in bytes."""
        return len(self.data) - self.payload


def parse(data: bytes) -> Packet | failure.Failure:
    """Returns a parsed packet, or the reason why it is not supported.

    Args:
        data: An IP packet, without bytes after its end.

    Returns:
        The packet; a failure for a packet that is malformed, a fragment, or of
        a protocol other than TCP and UDP.
    """
    if len(data) >= _PLAIN_TCP4_BYTES and data[0] == _PLAIN_IPV4:
        packet = _parse_plain_tcp4(data)
        if packet is not None:
            return packet
    return parse_general(data)


def parse_general(data: bytes) -> Packet | failure.Failure:
    """Returns what `parse` returns, without its fast path.

    Args:
        data: An IP packet, without bytes after its end.
    """
    if not data:
        return failure.Failure("ip-truncated")
    version = data[0] >> 4
    if version == 4:
        return _parse_v4(data)
    if version == 6:
        return _parse_v6(data)
    return failure.Failure("ip-version")


def _parse_plain_tcp4(data: bytes) -> Packet | None:
    """Returns the headers of a well-formed IPv4 TCP packet without IP options.

    Nearly all packets are of this kind, so their headers are unpacked at once.
    For others it returns None, and `parse_general` handles them or reports the
    failure.
    """
    fields = _plain_tcp4.unpack_from(data)
    total, fragment, protocol = fields[:3]
    payload = IPV4_HEADER_BYTES + (fields[9] >> 4) * 4
    if (
        protocol != PROTOCOL_TCP
        or fragment & _IPV4_FRAGMENT_MASK
        or total != len(data)
        or not _PLAIN_TCP4_BYTES <= payload <= total
    ):
        return None
    packet = Packet()
    packet.data = data
    packet.version = 4
    packet.protocol = PROTOCOL_TCP
    packet.transport = IPV4_HEADER_BYTES
    packet.payload = payload
    packet.is_plain_tcp4 = True
    (
        _,
        _,
        _,
        packet.source,
        packet.destination,
        packet.source_port,
        packet.destination_port,
        packet.sequence,
        packet.acknowledgment,
        _,
        packet.flags,
    ) = fields
    return packet


def _parse_v4(data: bytes) -> Packet | failure.Failure:
    """Returns the headers of an IPv4 packet."""
    if len(data) < IPV4_HEADER_BYTES:
        return failure.Failure("ip-truncated")
    header_bytes = (data[0] & 0x0F) * 4
    total = data[2] << 8 | data[3]
    if header_bytes < IPV4_HEADER_BYTES or header_bytes > total:
        return failure.Failure("ip-header-length")
    if total != len(data):
        return failure.Failure("ip-total-length")
    if (data[6] << 8 | data[7]) & _IPV4_FRAGMENT_MASK:
        return failure.Failure("ip-fragment")
    packet = Packet()
    packet.data = data
    packet.version = 4
    packet.is_plain_tcp4 = False
    packet.protocol = data[9]
    packet.source = data[12:16]
    packet.destination = data[16:20]
    packet.transport = header_bytes
    return _parse_transport(packet)


def _parse_v6(data: bytes) -> Packet | failure.Failure:
    """Returns the headers of an IPv6 packet."""
    if len(data) < IPV6_HEADER_BYTES:
        return failure.Failure("ip-truncated")
    if (data[4] << 8 | data[5]) + IPV6_HEADER_BYTES != len(data):
        return failure.Failure("ip-total-length")
    protocol = data[6]
    if protocol == _IPV6_FRAGMENT:
        return failure.Failure("ip-fragment")
    if protocol in _IPV6_EXTENSIONS:
        return failure.Failure("ip-extension-header")
    packet = Packet()
    packet.data = data
    packet.version = 6
    packet.is_plain_tcp4 = False
    packet.protocol = protocol
    packet.source = data[8:24]
    packet.destination = data[24:40]
    packet.transport = IPV6_HEADER_BYTES
    return _parse_transport(packet)


def _parse_transport(packet: Packet) -> Packet | failure.Failure:
    """Fills in the fields of the transport header."""
    if packet.protocol == PROTOCOL_TCP:
        return _parse_tcp(packet)
    if packet.protocol == PROTOCOL_UDP:
        return _parse_udp(packet)
    if packet.protocol in (PROTOCOL_ICMP, PROTOCOL_ICMPV6):
        return failure.Failure("icmp")
    return failure.Failure("ip-protocol")


def _parse_tcp(packet: Packet) -> Packet | failure.Failure:
    """Fills in the fields of a TCP header."""
    data = packet.data
    start = packet.transport
    if len(data) < start + TCP_HEADER_BYTES:
        return failure.Failure("tcp-truncated")
    packet.source_port, packet.destination_port = _ports.unpack_from(
        data, start
    )
    numbers = _tcp_numbers.unpack_from(data, start + 4)
    packet.sequence, packet.acknowledgment, offset, packet.flags = numbers
    header_bytes = (offset >> 4) * 4
    packet.payload = start + header_bytes
    if header_bytes < TCP_HEADER_BYTES or packet.payload > len(data):
        return failure.Failure("tcp-header-length")
    return packet


def _parse_udp(packet: Packet) -> Packet | failure.Failure:
    """Fills in the fields of a UDP header."""
    data = packet.data
    start = packet.transport
    if len(data) < start + UDP_HEADER_BYTES:
        return failure.Failure("udp-truncated")
    packet.source_port, packet.destination_port = _ports.unpack_from(
        data, start
    )
    if (data[start + 4] << 8 | data[start + 5]) != len(data) - start:
        return failure.Failure("udp-length")
    packet.payload = start + UDP_HEADER_BYTES
    packet.flags = 0
    packet.sequence = 0
    packet.acknowledgment = 0
    return packet


def pack_address(text: str) -> bytes:
    """Returns an address in network byte order.

    Args:
        text: IPv4 or IPv6 address in text form.

    Raises:
        ValueError: `text` is not an IP address.
    """
    return ipaddress.ip_address(text).packed


def format_address(packed: bytes) -> str:
    """Returns the text form of an address.

    Args:
        packed: 4 or 16 bytes in network byte order.
    """
    return str(ipaddress.ip_address(packed))
