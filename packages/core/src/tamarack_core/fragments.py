"""Envelopes in several datagrams.

After a loss of all hosts a control host tells a hundred entry hosts the whole
document within a moment. A connection for each takes several milliseconds of a
small host; a few datagrams take a tenth of that. Whoever misses one asks again.
"""

import collections
import itertools
import struct

import msgspec

MARKER = 1
"""First byte of a fragment; no envelope begins with it."""

DATAGRAM_BYTES = 1400
"""A datagram of this size is not split on a link of 1,500 bytes."""

MAX_FRAGMENTS = 12
"""Most fragments of an envelope; larger ones need a connection, which sends
again what is lost."""

MAX_UNFINISHED = 32
"""Envelopes of which fragments are kept; 0.5 MB at the largest size."""

_head = struct.Struct("!BQBB")
_BODY_BYTES = DATAGRAM_BYTES - _head.size
_ID_SPACE = 1 << 64

MAX_BYTES = MAX_FRAGMENTS * _BODY_BYTES
"""Largest envelope that can be sent in fragments."""


class Fragmenter:
    """Cuts envelopes into fragments.

    Attributes:
        ids: Identifiers of the envelopes to come.
    """

    __slots__ = ("ids",)

    def __init__(self, first: int) -> None:
        """Creates a splitter.

        Args:
            first: Identifier of the first envelope, drawn by lot, so that no
                other host uses the same.
        """
        self.ids = itertools.count(first)

    def split(self, data: bytes) -> list[bytes]:
        """Returns the fragments of an envelope.

        Args:
            data: The envelope, of `MAX_BYTES` at most.
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
        pieces: What has arrived, by place.
    """

    count: int
    pieces: dict[int, bytes]


class Reassembler:
    """Joins fragments to envelopes; old unfinished ones are forgotten.

    Attributes:
        unfinished: Envelopes with missing fragments, the oldest first.
    """

    __slots__ = ("unfinished",)

    def __init__(self) -> None:
        """Holds no fragment."""
        self.unfinished: collections.OrderedDict[int, _Unfinished] = (
            collections.OrderedDict()
        )

    def reassemble(self, data: bytes) -> bytes | None:
        """Takes a fragment.

        Args:
            data: A datagram that begins with `MARKER`.

        Returns:
            The envelope that it completes; None if others are missing, or the
            fragment makes no sense.
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
