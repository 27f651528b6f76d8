"""Members of the replicated log, and changes to them, one at a time."""

from collections.abc import Collection
from collections.abc import Sequence
import enum

import msgspec

from tamarack_core import failure
from tamarack_core import peers

MAX_VOTERS = 7


class Member(msgspec.Struct, frozen=True):
    """One replica under one incarnation.

    A replica that has lost its disk gets a new incarnation and is therefore a
    different member, although its host is the same.

    Attributes:
        peer: Host of the replica.
        incarnation: Identifier made when the data folder was created.
        is_voter: False for a learner, which receives the log but doesn't
            count towards a quorum.
    """

    peer: peers.Peer
    incarnation: str
    is_voter: bool = True


class ChangeKind(enum.StrEnum):
    """Kinds of membership change."""

    ADD_LEARNER = "add-learner"
    PROMOTE = "promote"
    REMOVE = "remove"


class Change(msgspec.Struct, frozen=True):
    """Change of the membership by one member.

    Attributes:
        kind: Kind of the change.
        incarnation: Incarnation of the member.
        peer: Host of the member; required only to add a learner.
    """

    kind: ChangeKind
    incarnation: str
    peer: peers.Peer | None = None


class Membership:
    """Set of members at one index of the log.

    Attributes:
        members: The members by incarnation.
        voters: Incarnations of the voters.
    """

    __slots__ = ("members", "voters")

    def __init__(self, members: Sequence[Member]) -> None:
        """Initializes a membership.

        Args:
            members: Members with distinct incarnations.
        """
        self.members = {member.incarnation: member for member in members}
        self.voters = frozenset(
            member.incarnation for member in members if member.is_voter
        )

    def has_quorum(self, incarnations: Collection[str]) -> bool:
        """Returns whether `incarnations` include a majority of the voters."""
        return 2 * len(self.voters.intersection(incarnations)) > len(
            self.voters
        )

    def encode(self) -> bytes:
        """Returns the members as encoded in the log."""
        return _encoder.encode(tuple(self.members.values()))


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(tuple[Member, ...])


def decode(data: bytes) -> Membership:
    """Returns the membership in `data`.

    Raises:
        msgspec.DecodeError: `data` is not an encoded membership.
    """
    return Membership(_decoder.decode(data))


def apply_change(
    current: Membership, wanted: Change
) -> Membership | failure.Failure:
    """Returns the membership after a change, or why it is refused."""
    member = current.members.get(wanted.incarnation)
    if wanted.kind is ChangeKind.ADD_LEARNER:
        return _add_learner(current, wanted)
    if member is None:
        return failure.Failure(
            "unknown-member",
            f"no member has incarnation {wanted.incarnation!r};"
            " read the status for the members",
        )
    if wanted.kind is ChangeKind.PROMOTE:
        return _promote(current, member)
    return _remove(current, member)


def _add_learner(
    current: Membership, wanted: Change
) -> Membership | failure.Failure:
    if wanted.incarnation in current.members:
        return failure.Failure(
            "known-member",
            f"incarnation {wanted.incarnation!r} is already a member",
        )
    if wanted.peer is None or not wanted.incarnation:
        return failure.Failure(
            "bad-member", "a learner needs a host and an incarnation"
        )
    learner = Member(wanted.peer, wanted.incarnation, is_voter=False)
    return Membership([*current.members.values(), learner])


def _promote(
    current: Membership, member: Member
) -> Membership | failure.Failure:
    if member.is_voter:
        return failure.Failure(
            "known-member", f"{member.peer.host!r} is already a voter"
        )
    if len(current.voters) >= MAX_VOTERS:
        return failure.Failure(
            "too-many-voters",
            f"there are {MAX_VOTERS} voters at most; remove one first",
        )
    voter = Member(member.peer, member.incarnation)
    return Membership(
        [
            voter if other is member else other
            for other in current.members.values()
        ]
    )


def _remove(
    current: Membership, member: Member
) -> Membership | failure.Failure:
    if current.voters == {member.incarnation}:
        return failure.Failure(
            "last-voter", f"{member.peer.host!r} is the only voter"
        )
    return Membership(
        [other for other in current.members.values() if other is not member]
    )
