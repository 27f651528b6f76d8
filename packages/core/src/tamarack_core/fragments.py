"""Fragments: envelopes split into several datagrams.

After a loss of all hosts, a control host sends the whole document to a hundred
entry hosts at about the same time. A connection for each takes several
milliseconds of a small host's time; a few datagrams take a tenth of that. A
receiver that misses a fragment repeats its request.
"""

import collections
import itertools
import struct

import msgspec

MARKER = 1
"""First byte of a fragment; no envelope begins with it."""

DATAGRAM_BYTES = 1400
"""Size of a datagram; a link with an MTU of 1,500 bytes does not split it."""

MAX_FRAGMENTS = 12
"""Maximum number of fragments of an envelope. Larger envelopes need a
connection, which retransmits what is lost."""

MAX_UNFINISHED = 32
"""Maximum number of incomplete envelopes that are kept; 0.5 MB at the largest
size."""

_head = struct.Struct("!BQBB")
_BODY_BYTES = DATAGRAM_BYTES - _head.size
_ID_SPACE = 1 << 64

MAX_BYTES = MAX_FRAGMENTS * _BODY_BYTES
"""Largest envelope that can be sent in fragments."""


class Fragmenter:
    """Splits envelopes into fragments.

    Attributes:
        ids: Identifiers of the next envelopes.
    """

    __slots__ = ("ids",)

    def __init__(self, first: int) -> None:
        """Initializes the fragmenter.

        Args:
            first: Identifier of the first envelope, drawn at random, so that
                hosts use different ones.
        """
        self.ids = itertools.count(first)

    def split(self, data: bytes) -> list[bytes]:
        """Returns the fragments of an envelope.

        Args:
            data: The envelope, of at most `MAX_BYTES`.
        """
        pieces = [
            data[start : start + _BODY_BYTES]
            for start in range(0, len(data), _BODY_BYTES)
        ]
        identifier = next(self.ids) % _ID_SPACE
        return [
            _head.pack(MARKER, identifier, index, len(pieces)) + piece
            for index, piece in enumerate(pieces)
        ]


class _Unfinished(msgspec.Struct):
    """An envelope of which fragments are missing.

    Attributes:
        count: Number of its fragments.
        pieces: Contents of the fragments that have arrived, by index.
    """

    count: int
    pieces: dict[int, bytes]


class Reassembler:
    """Reassembles envelopes; drops the oldest incomplete ones if many are held.

    Attributes:
        unfinished: Envelopes with missing fragments, the oldest first.
    """

    __slots__ = ("unfinished",)

    def __init__(self) -> None:
        """Initializes a reassembler without fragments."""
        self.unfinished: collections.OrderedDict[int, _Unfinished] = (
            collections.OrderedDict()
        )

    def reassemble(self, data: bytes) -> bytes | None:
        """Adds a fragment.

        Args:
            data: A datagram that begins with `MARKER`.

        Returns:
            The envelope that it completes; None if others are missing, or the
            fragment is invalid.
        """
        if len(data) <= _head.size:
            return None
        _, identifier, index, count = _head.unpack_from(data)
        if not index < count <= MAX_FRAGMENTS:
            return None
        held = self.unfinished.get(identifier)
        if held is None:
            held = self.unfinished[identifier] = _Unfinished(count, {})
            if len(self.unfinished) > MAX_UNFINISHED:
                self.unfinished.popitem(last=False)
        if held.count != count:
            return None
        held.pieces[index] = data[_head.size :]
        if len(held.pieces) < count:
            return None
        del self.unfinished[identifier]
        return b"".join(held.pieces[place] for place in range(count))
