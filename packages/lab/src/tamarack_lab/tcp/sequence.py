"""Sequence numbers (RFC 9293, section 3.4) as unbounded integers."""

MASK = 0xFFFFFFFF
_HALF = 1 << 31


def unwrap(wire: int, reference: int) -> int:
    """Returns the unbounded number nearest to a reference.

    Args:
        wire: 32-bit number read from a header.
        reference: Unbounded number that lies within 2**31 of the result.
    """
    return reference + ((wire - reference + _HALF) & MASK) - _HALF
