"""What one entry host tells the next about a packet that it hands over.

The word rides in the hop option of Geneve: the sender's tag in the upper 24
bits, then the kind and the count of hosts visited, four bits each.
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

    HANDOVER: the sender does not know the flow; serve it as the owner.
    RETURN: the owner hands a packet back; learn its target and send it on.
    COPY: the receiver is a backup; learn the target and pass the packet on.
    CLOSED: as COPY, and the flow is over.
    ASK: the sender is the owner, but does not know the flow.
    UNKNOWN: the asked host does not know the flow either.
    """

    HANDOVER = 0
    RETURN = 1
    COPY = 2
    CLOSED = 3
    ASK = 4
    UNKNOWN = 5


_KINDS = {int(kind): kind for kind in Kind}


def pack(kind: Kind, count: int, tag: int) -> int:
    """Returns the word of the hop option.

    Args:
        kind: Why the packet is handed over.
        count: Number of hosts visited, at least 1. For ASK and UNKNOWN, the
            number of hosts asked.
        tag: Tag of the host to which an answer goes.
    """
    return tag << _TAG_SHIFT | kind << _KIND_SHIFT | count


def kind_of(word: int) -> Kind | None:
    """Returns the kind; None for one that this release does not know."""
    return _KINDS.get(word >> _KIND_SHIFT & _KIND_MASK)


def count_of(word: int) -> int:
    """Returns the number of hosts visited."""
    return word & _COUNT_MASK


def tag_of(word: int) -> int:
    """Returns the tag of the host to which an answer goes."""
    return word >> _TAG_SHIFT & _TAG_MASK


def tag(peer: peers.Peer) -> int:
    """Returns the tag of a host.

    Two hosts may share a tag. A packet that is handed back to the wrong one
    still reaches its target, since the packet itself names it.
    """
    return zlib.crc32(peer.host.encode()) & _TAG_MASK
