"""Members of the replicated log, and changes to them, one at a time.

A voter is replaced by a learner in two entries, as in the joint consensus of
Raft: from the first to the second one, each quorum is a majority both of the
voters before and of those after the replacement. So a replacement needs neither
the voter that leaves nor the learner that takes its place.

A standby is a learner that must have synced each entry before it is committed.
It may stand in for a voter that has lost its disk; see `standing`.
"""

from collections.abc import Collection
from collections.abc import Sequence
import enum

import msgspec

from tamarack_core import failure
from tamarack_core import peers
from tamarack_core.messages import consensus

MAX_VOTERS = 7


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """One replica under one incarnation.

    A replica that has lost its disk gets a new incarnation and is therefore a
    different member, although its host is the same.

    Attributes:
        peer: Host of the replica.
        incarnation: Identifier made when the data folder was created.
        is_voter: False for a learner, which receives the log but doesn't
            count towards a quorum.
        is_leaving: Whether a replacement of this voter is in progress.
        is_joining: Whether this voter is the replacement.
        is_standby: Whether this is a standby, or a voter that was one before
            the replacement in progress.
    """

    peer: peers.Peer
    incarnation: str
    is_voter: bool = True
    is_leaving: bool = False
    is_joining: bool = False
    is_standby: bool = False


class ChangeKind(enum.StrEnum):
    """Kinds of membership change."""

    ADD_LEARNER = "add-learner"
    PROMOTE = "promote"
    REMOVE = "remove"
    REPLACE = "replace"
    ADD_STANDBY = "add-standby"
    REMOVE_STANDBY = "remove-standby"


class Change(msgspec.Struct, frozen=True):
    """Change of the membership by one member.

    Attributes:
        kind: Kind of the change.
        incarnation: Incarnation of the member.
        peer: Host of the member; required only to add a learner.
        replaced: Incarnation of the voter that the member replaces.
    """

    kind: ChangeKind
    incarnation: str
    peer: peers.Peer | None = None
    replaced: str = ""


class Membership:
    """Set of members at one index of the log.

    Attributes:
        members: The members by incarnation.
        voters: Incarnations of the voters, including one that is being
            replaced and its replacement.
        voter_sets: The sets of which a quorum needs a majority each: the voters
            before and after a replacement in progress, otherwise one set.
        standbys: Incarnations of the standbys.
    """

    __slots__ = ("members", "standbys", "voter_sets", "voters")

    def __init__(self, members: Sequence[Member]) -> None:
        """Initializes a membership.

        Args:
            members: Members with distinct incarnations.
        """
        self.members = {member.incarnation: member for member in members}
        voters = [member for member in members if member.is_voter]
        self.voters = frozenset(member.incarnation for member in voters)
        before = frozenset(
            member.incarnation for member in voters if not member.is_joining
        )
        after = frozenset(
            member.incarnation for member in voters if not member.is_leaving
        )
        self.voter_sets = (before,) if before == after else (before, after)
        self.standbys = frozenset(
            member.incarnation
            for member in members
            if member.is_standby and not member.is_voter
        )

    @property
    def is_joint(self) -> bool:
        """Whether the replacement of a voter is in progress."""
        return len(self.voter_sets) > 1

    def allows(self, stand_in: consensus.StandIn) -> bool:
        """Returns whether a standby may stand in for a voter."""
        standby = self.members.get(stand_in.standby)
        return (
            standby is not None
            and standby.is_standby
            and stand_in.lost in self.voters
            and stand_in.lost != stand_in.standby
        )

    def has_quorum(
        self,
        incarnations: Collection[str],
        stand_in: consensus.StandIn | None = None,
    ) -> bool:
        """Returns whether `incarnations` include a quorum.

        Args:
            incarnations: Incarnations of members.
            stand_in: A standby that counts in place of a voter, if any.
        """
        return all(
            _is_majority(_with_stand_in(voters, stand_in), incarnations)
            for voters in self.voter_sets
        )

    def encode(self) -> bytes:
        """Returns the members as encoded in the log."""
        return _encoder.encode(tuple(self.members.values()))


def _is_majority(voters: frozenset[str], incarnations: Collection[str]) -> bool:
    return 2 * len(voters.intersection(incarnations)) > len(voters)


def _with_stand_in(
    voters: frozenset[str], stand_in: consensus.StandIn | None
) -> frozenset[str]:
    """Returns a set of voters in which a standby takes the place of a voter."""
    if (
        stand_in is None
        or stand_in.lost not in voters
        or stand_in.standby in voters
    ):
        return voters
    return voters - {stand_in.lost} | {stand_in.standby}


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
    if current.is_joint and wanted.kind is not ChangeKind.REMOVE_STANDBY:
        return failure.Failure(
            "change-running",
            "the replacement of a voter isn't completed yet; retry later",
        )
    if wanted.kind is ChangeKind.ADD_LEARNER:
        return _add_learner(current, wanted)
    member = current.members.get(wanted.incarnation)
    if member is None:
        return _unknown_member(wanted.incarnation)
    match wanted.kind:
        case ChangeKind.PROMOTE:
            return _promote(current, member)
        case ChangeKind.REPLACE:
            return _replace(current, member, wanted.replaced)
        case ChangeKind.ADD_STANDBY:
            return _set_standby(current, member, is_standby=True)
        case ChangeKind.REMOVE_STANDBY:
            return _set_standby(current, member, is_standby=False)
    return _remove(current, member)


def _unknown_member(incarnation: str) -> failure.Failure:
    return failure.Failure(
        "unknown-member",
        f"no member has incarnation {incarnation!r};"
        " read the status for the members",
    )


def _known_voter(member: Member) -> failure.Failure:
    return failure.Failure(
        "known-member", f"{member.peer.host!r} is already a voter"
    )


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


def _with_member(current: Membership, *changed: Member) -> Membership:
    """Returns a membership in which some members have changed."""
    members = current.members | {
        member.incarnation: member for member in changed
    }
    return Membership(list(members.values()))


def _promote(
    current: Membership, member: Member
) -> Membership | failure.Failure:
    if member.is_voter:
        return _known_voter(member)
    if len(current.voters) >= MAX_VOTERS:
        return failure.Failure(
            "too-many-voters",
            f"there are {MAX_VOTERS} voters at most; remove one first",
        )
    return _with_member(current, Member(member.peer, member.incarnation))


def _replace(
    current: Membership, member: Member, replaced: str
) -> Membership | failure.Failure:
    if member.is_voter:
        return _known_voter(member)
    leaving = current.members.get(replaced)
    if leaving is None or not leaving.is_voter:
        return _unknown_member(replaced)
    return _with_member(
        current,
        msgspec.structs.replace(member, is_voter=True, is_joining=True),
        msgspec.structs.replace(leaving, is_leaving=True),
    )


def finish_replacement(current: Membership) -> Membership:
    """Returns the membership after the replacement in progress."""
    return Membership(
        [
            Member(member.peer, member.incarnation)
            if member.is_joining
            else member
            for member in current.members.values()
            if not member.is_leaving
        ]
    )


def apply_stand_in(
    current: Membership, stand_in: consensus.StandIn
) -> Membership:
    """Returns the membership in which a standby has become a voter.

    The voter that has lost its disk is no longer a member.
    """
    standby = current.members[stand_in.standby]
    members = [
        member
        for member in current.members.values()
        if member.incarnation not in (stand_in.lost, stand_in.standby)
    ]
    lost = current.members[stand_in.lost]
    voter = Member(
        standby.peer,
        standby.incarnation,
        is_leaving=lost.is_leaving and not standby.is_joining,
        is_joining=lost.is_joining,
    )
    return Membership([*members, voter])


def _set_standby(
    current: Membership, member: Member, *, is_standby: bool
) -> Membership | failure.Failure:
    if member.is_voter:
        return _known_voter(member)
    return _with_member(
        current, msgspec.structs.replace(member, is_standby=is_standby)
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
