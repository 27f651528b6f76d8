"""Geneve encapsulation (RFC 8926).

A datagram between the fabric and a host carries no option. A datagram between
two hosts carries one option, whose value includes the number of hosts visited,
so that a packet can't loop.
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
        hop_value: Value of the hop option; 0 without one.
    """

    packet: bytes
    hop_value: int


def encapsulate(packet: bytes) -> bytes:
    """Returns a datagram for the fabric.

    Args:
        packet: An IPv4 or IPv6 packet of at least one byte.
    """
    return (_PLAIN_V4 if packet[0] >> 4 == 4 else _PLAIN_V6) + packet


def encapsulate_hop(packet: bytes, hop_value: int) -> bytes:
    """Returns a datagram for another host.

    Args:
        packet: An IPv4 or IPv6 packet of at least one byte.
        hop_value: Value of the hop option, 32 bits.
    """
    ethertype = ETHERTYPE_IPV4 if packet[0] >> 4 == 4 else ETHERTYPE_IPV6
    return (
        _header.pack(_option.size // _WORD_BYTES, 0, ethertype, 0)
        + _option.pack(HOP_OPTION_CLASS, HOP_OPTION_TYPE, 1, hop_value)
        + packet
    )


def decapsulate(data: bytes) -> Decapsulated | failure.Failure:
    """Returns the contents of a datagram, or the reason why it is invalid.

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
    hop_value = _read_hop_option(data, end)
    if isinstance(hop_value, failure.Failure):
        return hop_value
    return Decapsulated(data[end:], hop_value)


def _read_hop_option(data: bytes, end: int) -> int | failure.Failure:
    """Returns the value of the hop option; 0 without one."""
    offset = HEADER_BYTES
    hop_value = 0
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
            hop_value = int.from_bytes(data[after - _WORD_BYTES : after], "big")
        elif kind & _CRITICAL_OPTION:
            # A packet with an unknown critical option must be dropped (RFC
            # 8926, section 3.5).
            return failure.Failure("geneve-critical-option")
        offset = after
    return hop_value
