"""Which backups hold a flow, in four bytes.

The owner notes the tags of up to two backups. Two hosts may share a tag of 16
bits; a backup is then missed, and the other one still holds the flow.
"""

from collections.abc import Iterable
import functools
import zlib

from tamarack_core import peers

NOWHERE = 0

_TAG_BITS = 16
_TAG_MASK = 0xFFFF


def pack(backups: Iterable[peers.Peer]) -> int:
    """Returns the placement of a flow.

    Args:
        backups: At most two hosts that hold the flow beside its owner.
    """
    found = NOWHERE
    for peer in backups:
        found = found << _TAG_BITS | _tag(peer.host)
    return found


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
