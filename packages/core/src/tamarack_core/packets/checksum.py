"""Internet checksum (RFC 1071) and its incremental update (RFC 1624)."""

import struct


def sum_words(data: bytes) -> int:
    """Returns the folded one's complement sum of 16-bit words.

    Args:
        data: Bytes to sum; an odd last byte is padded with zero.
    """
    if len(data) % 2:
        data += b"\0"
    # The sum modulo 0xFFFF equals the folded sum, except for the two forms of
    # zero, for which `finish` returns the same checksum.
    return int.from_bytes(data, "big") % 0xFFFF


def finish(total: int) -> int:
    """Returns the checksum for the sum of words that are not all zero."""
    return -total % 0xFFFF


def of(data: bytes) -> int:
    """Returns the Internet checksum of `data`."""
    return finish(sum_words(data))


def difference(old: bytes, new: bytes) -> int:
    """Returns the sum that replacing `old` with `new` adds, modulo 0xFFFF.

    Args:
        old: Bytes replaced, an even number at an even offset.
        new: Replacement of the same length.
    """
    return (int.from_bytes(new, "big") - int.from_bytes(old, "big")) % 0xFFFF


def adjust(checksum: int, added: int) -> int:
    """Returns a checksum after an update of the data (RFC 1624, equation 3).

    Args:
        checksum: Checksum before the update.
        added: Sum added, as given by `difference`.
    """
    return (checksum - added) % 0xFFFF


def pseudo_header(
    source: bytes, destination: bytes, protocol: int, length: int
) -> bytes:
    """Returns the pseudo-header of a TCP or UDP checksum.

    Args:
        source: Source address in network byte order.
        destination: Destination address in network byte order.
        protocol: IP protocol number.
        length: Length of the transport header and payload in bytes.
    """
    if len(source) == 4:
        return source + destination + struct.pack("!BBH", 0, protocol, length)
    return source + destination + struct.pack("!II", length, protocol)
