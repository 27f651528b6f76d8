"""Set of the backups that hold a flow, packed into four bytes.

The owner stores 16-bit tags of up to two backups. If two hosts share a tag, a
backup may count as holding a flow that it lacks; the other backup still holds
the flow.
"""

from collections.abc import Iterable
import functools
import zlib

from tamarack_core import peers

NO_BACKUPS = 0

_TAG_BITS = 16
_TAG_MASK = 0xFFFF


def pack(backups: Iterable[peers.Peer]) -> int:
    """Returns the placement of a flow.

    Args:
        backups: At most two hosts that hold the flow beside its owner.
    """
    result = NO_BACKUPS
    for peer in backups:
        result = result << _TAG_BITS | _tag(peer.host)
    return result


def missing(placed: int, backups: tuple[peers.Peer, ...]) -> list[peers.Peer]:
    """Returns the backups that do not hold a flow.

    Args:
        placed: Placement of the flow.
        backups: Hosts that are to hold it.
    """
    held = (placed & _TAG_MASK, placed >> _TAG_BITS)
    return [peer for peer in backups if _tag(peer.host) not in held]


@functools.lru_cache(4096)
def _tag(host: str) -> int:
    """Returns the tag of a host, never 0."""
    return zlib.crc32(host.encode()) & _TAG_MASK or 1
