"""Address rewriting of packets, with incremental checksums (RFC 1624)."""

import dataclasses
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
_sums_v4_tcp = struct.Struct("!10xH24xH")
_header_v4_tcp = struct.Struct("!10sH4s4sHH12sH")
_difference = functools.lru_cache(_DIFFERENCE_CACHE_ENTRIES)(
    checksum.difference
)


def destination(packet: ip.Packet, address: bytes, port: int) -> bytes:
    """Returns the packet with a new destination.

    Args:
        packet: A parsed packet.
        address: New destination address, of the packet's IP version.
        port: New destination port.
    """
    if packet.is_plain_tcp4:
        return _rewrite_plain_tcp4(
            packet,
            packet.source,
            address,
            packet.source_port,
            port,
            _endpoint_difference(
                packet.destination, packet.destination_port, address, port
            ),
        )
    address_slice = (
        _IPV4_DESTINATION if packet.version == 4 else _IPV6_DESTINATION
    )
    return _rewrite(
        packet,
        address_slice,
        packet.destination + _port.pack(packet.destination_port),
        address + _port.pack(port),
        packet.transport + _DESTINATION_PORT_OFFSET,
    )


def source(packet: ip.Packet, address: bytes, port: int) -> bytes:
    """Returns the packet with a new source.

    Args:
        packet: A parsed packet.
        address: New source address, of the packet's IP version.
        port: New source port.
    """
    if packet.is_plain_tcp4:
        return _rewrite_plain_tcp4(
            packet,
            address,
            packet.destination,
            port,
            packet.destination_port,
            _endpoint_difference(
                packet.source, packet.source_port, address, port
            ),
        )
    address_slice = _IPV4_SOURCE if packet.version == 4 else _IPV6_SOURCE
    return _rewrite(
        packet,
        address_slice,
        packet.source + _port.pack(packet.source_port),
        address + _port.pack(port),
        packet.transport + _SOURCE_PORT_OFFSET,
    )


@dataclasses.dataclass(slots=True)
class _Difference:
    """Sums that a new endpoint adds to checksums, modulo 0xFFFF.

    Attributes:
        address: Sum that the address adds.
        endpoint: Sum that the address and the port add.
    """

    address: int
    endpoint: int


@functools.lru_cache(_DIFFERENCE_CACHE_ENTRIES)
def _endpoint_difference(
    old_address: bytes, old_port: int, new_address: bytes, new_port: int
) -> _Difference:
    """Returns the sums that replacing an endpoint adds."""
    address = checksum.difference(old_address, new_address)
    return _Difference(address, (address + new_port - old_port) % 0xFFFF)


def _rewrite_plain_tcp4(
    packet: ip.Packet,
    source_address: bytes,
    destination_address: bytes,
    source_port: int,
    destination_port: int,
    difference: _Difference,
) -> bytes:
    """Returns an IPv4 TCP packet without IP options with new endpoints.

    Nearly all packets take this path, so it packs the headers at once. The
    updates of the checksums are those of `checksum.adjust`.
    """
    data = packet.data
    ip_sum, tcp_sum = _sums_v4_tcp.unpack_from(data)
    return (
        _header_v4_tcp.pack(
            data[:10],
            (ip_sum - difference.address) % 0xFFFF,
            source_address,
            destination_address,
            source_port,
            destination_port,
            data[24:36],
            (tcp_sum - difference.endpoint) % 0xFFFF,
        )
        + data[38:]
    )


def _rewrite(
    packet: ip.Packet,
    address_slice: slice,
    old: bytes,
    new: bytes,
    port_offset: int,
) -> bytes:
    """Replaces an address and a port and adjusts both checksums."""
    data = bytearray(packet.data)
    data[address_slice] = new[:-2]
    data[port_offset : port_offset + 2] = new[-2:]
    if packet.version == 4:
        added = _difference(old[:-2], new[:-2])
        _adjust(data, _IPV4_CHECKSUM.start, added)
    added = _difference(old, new)
    if packet.protocol == ip.PROTOCOL_TCP:
        _adjust(data, packet.transport + _TCP_CHECKSUM_OFFSET, added)
    else:
        _adjust_udp(data, packet.transport + _UDP_CHECKSUM_OFFSET, added)
    return bytes(data)


def _adjust(data: bytearray, offset: int, added: int) -> None:
    """Adjusts the checksum at an offset."""
    (old,) = _port.unpack_from(data, offset)
    _port.pack_into(data, offset, checksum.adjust(old, added))


def _adjust_udp(data: bytearray, offset: int, added: int) -> None:
    """Adjusts a UDP checksum, where zero means none (RFC 768)."""
    (old,) = _port.unpack_from(data, offset)
    if old:
        _port.pack_into(data, offset, checksum.adjust(old, added) or 0xFFFF)
