"""Construction of TCP resets."""

import struct

from tamarack_core.packets import checksum
from tamarack_core.packets import ip

_HOP_LIMIT = 64
_DATA_OFFSET = 5 << 4
_SEQUENCE_MASK = 0xFFFFFFFF

_tcp = struct.Struct("!HHIIBBHHH")
_ipv4 = struct.Struct("!BBHHHBBH")
_ipv6 = struct.Struct("!IHBB")


def for_packet(packet: ip.Packet) -> bytes:
    """Returns the reset for a packet (RFC 9293, section 3.10.7.1).

    Args:
        packet: A TCP packet that is not a reset.
    """
    if packet.flags & ip.TCP_ACK:
        return build(
            packet.destination,
            packet.destination_port,
            packet.source,
            packet.source_port,
            packet.acknowledgment,
            0,
            ip.TCP_RST,
        )
    segment_length = packet.payload_bytes
    segment_length += bool(packet.flags & ip.TCP_SYN)
    segment_length += bool(packet.flags & ip.TCP_FIN)
    return build(
        packet.destination,
        packet.destination_port,
        packet.source,
        packet.source_port,
        0,
        (packet.sequence + segment_length) & _SEQUENCE_MASK,
        ip.TCP_RST | ip.TCP_ACK,
    )


def build(
    source: bytes,
    source_port: int,
    destination: bytes,
    destination_port: int,
    sequence: int,
    acknowledgment: int,
    flags: int,
) -> bytes:
    """Returns a TCP packet without payload.

    Args:
        source: Source address in network byte order.
        source_port: Source port.
        destination: Destination address in network byte order.
        destination_port: Destination port.
        sequence: Sequence number.
        acknowledgment: Acknowledgment number.
        flags: TCP flags.
    """
    fields = (source_port, destination_port, sequence, acknowledgment)
    header = _tcp.pack(*fields, _DATA_OFFSET, flags, 0, 0, 0)
    pseudo = checksum.pseudo_header(
        source, destination, ip.PROTOCOL_TCP, len(header)
    )
    total = checksum.of(pseudo + header)
    header = _tcp.pack(*fields, _DATA_OFFSET, flags, 0, total, 0)
    if len(source) == 4:
        return _ipv4_header(source, destination, len(header)) + header
    prefix = _ipv6.pack(6 << 28, len(header), ip.PROTOCOL_TCP, _HOP_LIMIT)
    return prefix + source + destination + header


def _ipv4_header(source: bytes, destination: bytes, length: int) -> bytes:
    """Returns an IPv4 header for a TCP packet of `length` bytes."""
    total = ip.IPV4_HEADER_BYTES + length
    fields = (0x45, 0, total, 0, 0x4000, _HOP_LIMIT, ip.PROTOCOL_TCP)
    addresses = source + destination
    header_sum = checksum.of(_ipv4.pack(*fields, 0) + addresses)
    return _ipv4.pack(*fields, header_sum) + addresses
