"""Records on disk, and the encoding of a snapshot.

The disk contains a snapshot and the records after it. Replaying the records in
order restores the state of the replica. An entry record whose index is in the
log already replaces that entry and all later ones.
"""

import msgspec

from tamarack_core import failure
from tamarack_core.internal.consensus import membership
from tamarack_core.messages import consensus


class TermRecord(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The replica moved to a term or voted in it.

    Attributes:
        term: The term.
        voted_for: Incarnation that received the vote; empty if none did.
    """

    term: int
    voted_for: str


class EntryRecord(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An entry was appended to the log.

    Attributes:
        index: Index of the entry.
        entry: The entry.
    """

    index: int
    entry: consensus.Entry


class CommitRecord(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The entries up to an index are committed.

    Attributes:
        index: The commit index.
    """

    index: int


class RefusedRecord(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The leader has refused this incarnation of the replica for good.

    Attributes:
        detail: Message for the operator.
    """

    detail: str


class Snapshot(msgspec.Struct, frozen=True):
    """Snapshot of the membership and the state machine at an index.

    Attributes:
        index: Index of the last entry that the snapshot covers.
        term: Term of that entry.
        members: Members at that index.
        state: Encoded state of the state machine.
        format_version: Version of the encoding.
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
    """Returns a record or snapshot as encoded on disk."""
    return _encoder.encode(record)


def decode(encoded: bytes) -> Record | failure.Failure:
    """Returns the decoded record, or why it can't be decoded."""
    try:
        return _record_decoder.decode(encoded)
    except msgspec.DecodeError as error:
        return failure.Failure(
            "bad-record",
            f"a log record can't be decoded ({error}); rejoin this host with"
            " an empty data folder",
        )


def decode_snapshot(data: bytes) -> Snapshot | failure.Failure:
    """Returns the decoded snapshot, or why it can't be decoded."""
    try:
        return _snapshot_decoder.decode(data)
    except msgspec.DecodeError as error:
        return failure.Failure(
            "bad-snapshot",
            f"the snapshot can't be decoded ({error}); rejoin this host with"
            " an empty data folder",
        )
