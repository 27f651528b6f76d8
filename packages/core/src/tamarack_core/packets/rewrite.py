"""Address rewriting of packets, with incremental checksums (RFC 1624)."""

import functools
import struct

from tamarack_core.packets import checksum
from tamarack_core.packets import ip

_IPV4_CHECKSUM = slice(10, 12)
_IPV4_SOURCE = slice(12, 16)
_IPV4_DESTINATION = slice(16, 20)
_IPV6_SOURCE = slice(8, 24)
_IPV6_DESTINATION = slice(24, 40)
_TCP_CHECKSUM_OFFSET = 16
_UDP_CHECKSUM_OFFSET = 6
_SOURCE_PORT_OFFSET = 0
_DESTINATION_PORT_OFFSET = 2
_DIFFERENCE_CACHE_ENTRIES = 65536

_port = struct.Struct("!H")
_difference = functools.lru_cache(_DIFFERENCE_CACHE_ENTRIES)(
    checksum.difference
)


def destination(packet: ip.Packet, address: bytes, port: int) -> bytes:
    """Returns the packet with another destination.

    Args:
        packet: A parsed packet.
        address: New destination address, of the packet's IP version.
        port: New destination port.
    """
    place = _IPV4_DESTINATION if packet.version == 4 else _IPV6_DESTINATION
    return _rewrite(
        packet,
        place,
        packet.destination + _port.pack(packet.destination_port),
        address + _port.pack(port),
        packet.transport + _DESTINATION_PORT_OFFSET,
    )


def source(packet: ip.Packet, address: bytes, port: int) -> bytes:
    """Returns the packet with another source.

    Args:
        packet: A parsed packet.
        address: New source address, of the packet's IP version.
        port: New source port.
    """
    place = _IPV4_SOURCE if packet.version == 4 else _IPV6_SOURCE
    return _rewrite(
        packet,
        place,
        packet.source + _port.pack(packet.source_port),
        address + _port.pack(port),
        packet.transport + _SOURCE_PORT_OFFSET,
    )


def _rewrite(
    packet: ip.Packet, place: slice, old: bytes, new: bytes, port_at: int
) -> bytes:
    """Replaces an address and a port and adjusts both checksums."""
    data = bytearray(packet.data)
    data[place] = new[:-2]
    data[port_at : port_at + 2] = new[-2:]
    if packet.version == 4:
        added = _difference(old[:-2], new[:-2])
        _adjust(data, _IPV4_CHECKSUM.start, added)
    added = _difference(old, new)
    if packet.protocol == ip.PROTOCOL_TCP:
        _adjust(data, packet.transport + _TCP_CHECKSUM_OFFSET, added)
    else:
        _adjust_udp(data, packet.transport + _UDP_CHECKSUM_OFFSET, added)
    return bytes(data)


def _adjust(data: bytearray, at: int, added: int) -> None:
    """Adjusts the checksum at an offset."""
    (old,) = _port.unpack_from(data, at)
    _port.pack_into(data, at, checksum.adjust(old, added))


def _adjust_udp(data: bytearray, at: int, added: int) -> None:
    """Adjusts a UDP checksum, in which zero stands for none (RFC 768)."""
    (old,) = _port.unpack_from(data, at)
    if old:
        _port.pack_into(data, at, checksum.adjust(old, added) or 0xFFFF)
