"""Geneve encapsulation (RFC 8926).

A datagram between the fabric and a host carries no option. A datagram between
two hosts carries one option with the number of hosts that it has visited, so
that a packet can't circle.
"""

import dataclasses
import struct

from tamarack_core import failure

ETHERTYPE_IPV4 = 0x0800
ETHERTYPE_IPV6 = 0x86DD
HEADER_BYTES = 8
OPTION_HEADER_BYTES = 4

# The option classes 0xFFF0 to 0xFFFF are for experimental use.
HOP_OPTION_CLASS = 0xFFF1
HOP_OPTION_TYPE = 0x01

_VERSION_SHIFT = 6
_OPTION_WORDS_MASK = 0x3F
_OPTION_LENGTH_MASK = 0x1F
_CONTROL_FLAG = 0x80
_CRITICAL_FLAG = 0x40
_CRITICAL_OPTION = 0x80
_WORD_BYTES = 4

_header = struct.Struct("!BBHI")
_option = struct.Struct("!HBBI")
_PLAIN_V4 = _header.pack(0, 0, ETHERTYPE_IPV4, 0)
_PLAIN_V6 = _header.pack(0, 0, ETHERTYPE_IPV6, 0)


@dataclasses.dataclass(slots=True)
class Decapsulated:
    """Contents of a datagram.

    Attributes:
        packet: The inner IP packet.
        hops: Number of hosts of the system that the packet has visited.
    """

    packet: bytes
    hops: int


def encapsulate(packet: bytes) -> bytes:
    """Returns a datagram for the fabric.

    Args:
        packet: An IPv4 or IPv6 packet of at least one byte.
    """
    return (_PLAIN_V4 if packet[0] >> 4 == 4 else _PLAIN_V6) + packet


def encapsulate_hop(packet: bytes, hops: int) -> bytes:
    """Returns a datagram for another host.

    Args:
        packet: An IPv4 or IPv6 packet of at least one byte.
        hops: Number of hosts that the packet has visited, this one included.
    """
    ethertype = ETHERTYPE_IPV4 if packet[0] >> 4 == 4 else ETHERTYPE_IPV6
    return (
        _header.pack(_option.size // _WORD_BYTES, 0, ethertype, 0)
        + _option.pack(HOP_OPTION_CLASS, HOP_OPTION_TYPE, 1, hops)
        + packet
    )


def decapsulate(data: bytes) -> Decapsulated | failure.Failure:
    """Returns the inner packet of a datagram, or why there is none.

    Args:
        data: The UDP payload, starting with the Geneve header.
    """
    # Nearly all datagrams come from the fabric and carry no option.
    head = data[:HEADER_BYTES]
    if head in (_PLAIN_V4, _PLAIN_V6):
        return Decapsulated(data[HEADER_BYTES:], 0)
    if len(data) < HEADER_BYTES:
        return failure.Failure("geneve-truncated")
    first, flags, ethertype, _ = _header.unpack_from(data)
    if first >> _VERSION_SHIFT:
        return failure.Failure("geneve-version")
    if flags & _CONTROL_FLAG:
        return failure.Failure("geneve-control")
    if ethertype not in (ETHERTYPE_IPV4, ETHERTYPE_IPV6):
        return failure.Failure("geneve-ethertype")
    end = HEADER_BYTES + (first & _OPTION_WORDS_MASK) * _WORD_BYTES
    if len(data) < end:
        return failure.Failure("geneve-truncated")
    hops = _read_hops(data, end)
    if isinstance(hops, failure.Failure):
        return hops
    return Decapsulated(data[end:], hops)


def _read_hops(data: bytes, end: int) -> int | failure.Failure:
    """Returns the hop count among the options; 0 without one."""
    offset = HEADER_BYTES
    hops = 0
    while offset < end:
        if end - offset < OPTION_HEADER_BYTES:
            return failure.Failure("geneve-option")
        option_class, kind = struct.unpack_from("!HB", data, offset)
        words = data[offset + 3] & _OPTION_LENGTH_MASK
        after = offset + OPTION_HEADER_BYTES + words * _WORD_BYTES
        if after > end:
            return failure.Failure("geneve-option")
        if option_class == HOP_OPTION_CLASS and kind == HOP_OPTION_TYPE:
            if words != 1:
                return failure.Failure("geneve-option")
            hops = int.from_bytes(data[after - _WORD_BYTES : after], "big")
        elif kind & _CRITICAL_OPTION:
            # RFC 8926 section 3.5: an unknown critical option must not be
            # passed over.
            return failure.Failure("geneve-critical-option")
        offset = after
    return hops
