"""Records of the log on disk, and the form of a snapshot.

The disk holds a snapshot and the records after it. Replaying the records in
order gives the state of the replica; an entry at an index that is held
already replaces that entry and all after it.
"""

from collections.abc import Iterable

import msgspec

from tamarack_core import failure
from tamarack_core.internal.consensus import membership
from tamarack_core.messages import consensus


class TermRecord(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The replica moved to a term or voted in it.

    Attributes:
        term: The term.
        voted_for: Incarnation that has the vote; empty if none has.
    """

    term: int
    voted_for: str


class EntryRecord(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An entry was appended.

    Attributes:
        index: Place in the log.
        entry: The entry.
    """

    index: int
    entry: consensus.Entry


class CommitRecord(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The entries up to an index are committed.

    Attributes:
        index: Place in the log.
    """

    index: int


class RefusedRecord(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The leader has refused the identity of this replica for good.

    Attributes:
        detail: Sentence for the operator.
    """

    detail: str


class Snapshot(msgspec.Struct, frozen=True):
    """All state up to an index.

    Attributes:
        index: Index of the last entry that is covered.
        term: Term of that entry.
        members: Members at that index.
        state: What the state machine returned.
        format_version: Version of this form.
    """

    index: int
    term: int
    members: tuple[membership.Member, ...]
    state: bytes
    format_version: int = 1


Record = TermRecord | EntryRecord | CommitRecord | RefusedRecord

_encoder = msgspec.msgpack.Encoder()
_record_decoder = msgspec.msgpack.Decoder(Record)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


def encode(record: Record | Snapshot) -> bytes:
    """Returns the form on disk."""
    return _encoder.encode(record)


def decode_all(
    encoded: Iterable[bytes],
) -> list[Record] | failure.Failure:
    """Returns the records, or why one of them can't be read."""
    try:
        return [_record_decoder.decode(data) for data in encoded]
    except msgspec.DecodeError as error:
        return failure.Failure(
            "bad-record",
            f"a log record can't be decoded ({error}); rejoin this host with"
            " an empty data folder",
        )


def decode_snapshot(data: bytes) -> Snapshot | failure.Failure:
    """Returns the snapshot, or why it can't be read."""
    try:
        return _snapshot_decoder.decode(data)
    except msgspec.DecodeError as error:
        return failure.Failure(
            "bad-snapshot",
            f"the snapshot can't be decoded ({error}); rejoin this host with"
            " an empty data folder",
        )
