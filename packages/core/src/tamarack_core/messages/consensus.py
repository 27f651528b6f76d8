"""Messages between replicas of the replicated log.

Every message contains the incarnations of its sender and receiver. A replica
drops messages to another incarnation of its host, and accepts a response only
from an incarnation that is in the membership.
"""

import enum
import typing

import msgspec


class EntryKind(enum.IntEnum):
    """Kind of a log entry."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log; its index follows from its position.

    Attributes:
        term: Term of the leader that appended it.
        kind: Kind of the entry.
        data: Command of the state machine, or the encoded membership.
    """

    term: int
    kind: EntryKind
    data: bytes = b""


class Header(msgspec.Struct, frozen=True, array_like=True):
    """Header of all messages: sender, receiver and term.

    Attributes:
        term: Term of the sender; in a pre-vote, the term that an election would
            start.
        source: Incarnation of the sender.
        destination: Incarnation of the receiver.
    """

    term: int
    source: str
    destination: str


class StandIn(msgspec.Struct, frozen=True, array_like=True):
    """A standby that votes in place of a voter that has lost its disk.

    Attributes:
        lost: Incarnation of the voter.
        standby: Incarnation of the standby.
    """

    lost: str
    standby: str


class VoteRequest(msgspec.Struct, frozen=True, tag="vote-request"):
    """A candidate requests a vote.

    Attributes:
        header: Sender, receiver, term.
        last_index: Index of the candidate's last entry.
        last_term: Term of the candidate's last entry.
        is_pre_vote: Whether this only queries if a vote would be granted; the
            response commits the voter to nothing.
        is_transfer: Whether the leader requested this election to transfer its
            leadership.
        stand_in: The standby that votes in place of a voter, if any.
    """

    header: Header
    last_index: int
    last_term: int
    is_pre_vote: bool = False
    is_transfer: bool = False
    stand_in: StandIn | None = None


class VoteResponse(msgspec.Struct, frozen=True, tag="vote-response"):
    """Response to a `VoteRequest`.

    Attributes:
        header: Sender, receiver, and the term of the request if granted,
            otherwise the sender's own term.
        is_granted: Whether the vote is granted.
        is_pre_vote: Copied from the request.
    """

    header: Header
    is_granted: bool
    is_pre_vote: bool = False


class AppendRequest(msgspec.Struct, frozen=True, tag="append-request"):
    """The leader sends entries; a request without entries is a heartbeat.

    Attributes:
        header: Sender, receiver, term.
        round: Number of the request, increasing within the term.
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
    """Response to an `AppendRequest`, sent once its entries are synced.

    Attributes:
        header: Sender, receiver, term.
        round: Copied from the request.
        is_accepted: Whether the entry before `entries` matched.
        match_index: Last index known to match the leader's log, if accepted;
            otherwise the last index that may match it.
        last_index: Index of the sender's last entry.
    """

    header: Header
    round: int
    is_accepted: bool
    match_index: int
    last_index: int


class SnapshotChunk(msgspec.Struct, frozen=True, tag="snapshot-chunk"):
    """The leader sends a chunk of a snapshot.

    Attributes:
        header: Sender, receiver, term.
        round: Number of the request, increasing within the term.
        index: Index of the last entry that the snapshot covers.
        offset: Position of `data` in the snapshot, in bytes.
        size: Size of the whole snapshot in bytes.
        data: Bytes of the chunk.
    """

    header: Header
    round: int
    index: int
    offset: int
    size: int
    data: bytes


class SnapshotResponse(msgspec.Struct, frozen=True, tag="snapshot-response"):
    """Response to a `SnapshotChunk` that is not the last one.

    Attributes:
        header: Sender, receiver, term.
        round: Copied from the request.
        index: Copied from the request.
        received: Number of bytes received so far, without a gap.
    """

    header: Header
    round: int
    index: int
    received: int


class TimeoutNow(msgspec.Struct, frozen=True, tag="timeout-now"):
    """The leader requests that the receiver starts an election at once.

    Attributes:
        header: Sender, receiver, term.
    """

    header: Header


class ReadRequest(msgspec.Struct, frozen=True, tag="read-request"):
    """A follower requests a read index from the leader.

    Attributes:
        header: Sender, receiver, term.
        number: Number of the request, also in the response.
    """

    header: Header
    number: int


class ReadResponse(msgspec.Struct, frozen=True, tag="read-response"):
    """Response to a `ReadRequest`, once a quorum has confirmed the leader.

    Attributes:
        header: Sender, receiver, term.
        number: Copied from the request.
        index: Read index: the read is linearizable once the entries up to it
            are applied.
    """

    header: Header
    number: int
    index: int


class IdentityRefused(msgspec.Struct, frozen=True, tag="identity-refused"):
    """The receiver lost acknowledged entries and must stop for good.

    Its disk was rolled back to an earlier state.

    Attributes:
        header: Sender, receiver, term.
        acknowledged_index: Last index that the receiver has acknowledged.
        last_index: Index of the last entry that it still has.
    """

    header: Header
    acknowledged_index: int
    last_index: int


class StandingRequest(msgspec.Struct, frozen=True, tag="standing-request"):
    """A standby asks a voter whether it still counts as a standby.

    Attributes:
        header: Sender, receiver, term.
        round: Number of the request, increasing while the sender runs.
    """

    header: Header
    round: int


class StandingResponse(msgspec.Struct, frozen=True, tag="standing-response"):
    """Response to a `StandingRequest`.

    Attributes:
        header: Sender, receiver, term.
        round: Copied from the request.
        is_granted: Whether the receiver is a standby in the newest membership
            of the sender, and that is committed.
        lost: Incarnation that the request was for, if the host of the sender
            has another one by now; otherwise empty.
    """

    header: Header
    round: int
    is_granted: bool
    lost: str = ""


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
    | StandingRequest
    | StandingResponse
)

MESSAGE_TYPES: tuple[type, ...] = typing.get_args(Message)
"""Types of `Message`, used as handler keys."""
