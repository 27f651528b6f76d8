"""Value of the Geneve hop option of packets between entry hosts.

The upper 24 bits hold a tag, usually that of the host to which a response goes,
followed by the kind and the number of hosts visited, four bits each.
"""

import enum
import zlib

from tamarack_core import peers

MAX_COUNT = 6

_COUNT_MASK = 0xF
_KIND_SHIFT = 4
_KIND_MASK = 0xF
_TAG_SHIFT = 8
_TAG_MASK = 0xFFFFFF


class Kind(enum.IntEnum):
    """Why a packet comes from another host.

    FORWARD: the sender is not the owner; the receiver serves the packet as
        the owner.
    RETURN: the owner or a queried host returns a packet; learn its target and
        send it to the fabric.
    COPY: the receiver is a backup; learn the target and forward the packet.
    CLOSED: as COPY, and the flow is over.
    QUERY: the sender is the owner, but does not know the flow.
    UNKNOWN: the queried host does not know the flow either.
    """

    FORWARD = 0
    RETURN = 1
    COPY = 2
    CLOSED = 3
    QUERY = 4
    UNKNOWN = 5


_KINDS = {int(kind): kind for kind in Kind}


def pack(kind: Kind, count: int, tag: int) -> int:
    """Returns the value of the hop option.

    Args:
        kind: Why the packet is forwarded.
        count: Number of hosts visited, at least 1. For QUERY and UNKNOWN, the
            number of hosts queried.
        tag: Tag of the host to which a response goes. For COPY and CLOSED, the
            number of backups wanted.
    """
    return tag << _TAG_SHIFT | kind << _KIND_SHIFT | count


def kind_of(hop_value: int) -> Kind | None:
    """Returns the kind; None for one that this release does not know."""
    return _KINDS.get(hop_value >> _KIND_SHIFT & _KIND_MASK)


def count_of(hop_value: int) -> int:
    """Returns the number of hosts visited or queried; see `pack`."""
    return hop_value & _COUNT_MASK


def tag_of(hop_value: int) -> int:
    """Returns the tag; see `pack`."""
    return hop_value >> _TAG_SHIFT & _TAG_MASK


def tag(peer: peers.Peer) -> int:
    """Returns the tag of a host.

    Two hosts may share a tag. A packet that is returned to the wrong one still
    reaches its target, since the packet contains the target's address.
    """
    return zlib.crc32(peer.host.encode()) & _TAG_MASK
