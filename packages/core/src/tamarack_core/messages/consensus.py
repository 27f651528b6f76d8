"""Messages between replicas of the replicated log.

Every message names the incarnation of its sender and of its receiver. A
replica drops a message for another incarnation of its host, and counts an
answer only when the sender's incarnation is in the membership.
"""

import enum
import typing

import msgspec


class EntryKind(enum.IntEnum):
    """What an entry of the log holds."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log; its index follows from its place.

    Attributes:
        term: Term of the leader that appended it.
        kind: What `data` holds.
        data: Command of the state machine, or the encoded membership.
    """

    term: int
    kind: EntryKind
    data: bytes = b""


class Header(msgspec.Struct, frozen=True, array_like=True):
    """Who speaks to whom, and in which term.

    Attributes:
        term: Term of the sender; of a pre-vote, the term it would ask for.
        source: Incarnation of the sender.
        destination: Incarnation of the receiver.
    """

    term: int
    source: str
    destination: str


class VoteRequest(msgspec.Struct, frozen=True, tag="vote-request"):
    """A candidate asks for a vote.

    Attributes:
        header: Sender, receiver, term.
        last_index: Index of the candidate's last entry.
        last_term: Term of the candidate's last entry.
        is_pre_vote: Asks whether a vote would be granted; binds nobody.
        is_transfer: The leader itself asked for this election.
    """

    header: Header
    last_index: int
    last_term: int
    is_pre_vote: bool = False
    is_transfer: bool = False


class VoteResponse(msgspec.Struct, frozen=True, tag="vote-response"):
    """Answer to a `VoteRequest`.

    Attributes:
        header: Sender, receiver, and the term of the request if granted,
            otherwise the sender's own.
        is_granted: Whether the vote is granted.
        is_pre_vote: Repeats the request.
    """

    header: Header
    is_granted: bool
    is_pre_vote: bool = False


class AppendRequest(msgspec.Struct, frozen=True, tag="append-request"):
    """The leader sends entries; without entries it is a heartbeat.

    Attributes:
        header: Sender, receiver, term.
        round: Number of the request, rising within the term.
        previous_index: Index of the entry before `entries`.
        previous_term: Term of that entry.
        commit_index: Highest index that the leader knows to be committed.
        entries: The entries in order.
    """

    header: Header
    round: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...] = ()


class AppendResponse(msgspec.Struct, frozen=True, tag="append-response"):
    """Answer to an `AppendRequest`, sent when its entries are synced.

    Attributes:
        header: Sender, receiver, term.
        round: Repeats the request.
        is_accepted: Whether the entry before `entries` matched.
        match_index: Last index known to equal the leader's log, if accepted;
            otherwise the last index that may equal it.
        last_index: Index of the sender's last entry.
    """

    header: Header
    round: int
    is_accepted: bool
    match_index: int
    last_index: int


class SnapshotChunk(msgspec.Struct, frozen=True, tag="snapshot-chunk"):
    """The leader sends a part of a snapshot.

    Attributes:
        header: Sender, receiver, term.
        round: Number of the request, rising within the term.
        index: Index of the last entry that the snapshot covers.
        offset: Place of `data` in the snapshot, in bytes.
        size: Size of the whole snapshot in bytes.
        data: The part.
    """

    header: Header
    round: int
    index: int
    offset: int
    size: int
    data: bytes


class SnapshotResponse(msgspec.Struct, frozen=True, tag="snapshot-response"):
    """Answer to a `SnapshotChunk` that is not the last one.

    Attributes:
        header: Sender, receiver, term.
        round: Repeats the request.
        index: Repeats the request.
        received: Bytes that the sender holds from the start on.
    """

    header: Header
    round: int
    index: int
    received: int


class TimeoutNow(msgspec.Struct, frozen=True, tag="timeout-now"):
    """The leader asks the receiver to start an election at once.

    Attributes:
        header: Sender, receiver, term.
    """

    header: Header


class ReadRequest(msgspec.Struct, frozen=True, tag="read-request"):
    """A follower asks the leader for a read index.

    Attributes:
        header: Sender, receiver, term.
        number: Number that the answer repeats.
    """

    header: Header
    number: int


class ReadResponse(msgspec.Struct, frozen=True, tag="read-response"):
    """Answer to a `ReadRequest`, once a quorum has confirmed the leader.

    Attributes:
        header: Sender, receiver, term.
        number: Repeats the request.
        index: The state applied up to here is recent enough.
    """

    header: Header
    number: int
    index: int


class IdentityRefused(msgspec.Struct, frozen=True, tag="identity-refused"):
    """The receiver's disk has gone back; it must not take part again.

    Attributes:
        header: Sender, receiver, term.
        acknowledged_index: Index that the receiver once acknowledged.
        last_index: Index of the last entry that it holds now.
    """

    header: Header
    acknowledged_index: int
    last_index: int


Message = (
    VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotChunk
    | SnapshotResponse
    | TimeoutNow
    | ReadRequest
    | ReadResponse
    | IdentityRefused
)

MESSAGE_TYPES: tuple[type, ...] = typing.get_args(Message)
"""The types of `Message`, as keys of handlers."""
