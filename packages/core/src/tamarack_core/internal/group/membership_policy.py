"""Decides which membership change the group of control hosts needs next.

The load that it answers: control hosts that are killed, lose their disks, move
to other addresses or are replaced, one or several at a time, while orders go
on. Changes are made one at a time, and only such that the group tolerates the
stated losses afterwards as well as before.
"""

from collections.abc import Collection
from collections.abc import Mapping

import msgspec

from tamarack_core import peers
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.group import host_directory

REPLACE_S = 2.5
"""Time after which a silent voter gives way to a host that can replace it."""

DISCARD_S = 10.0
"""Time after which a silent learner is removed."""


class Situation(msgspec.Struct, frozen=True):
    """What the leader knows.

    Attributes:
        members: The newest membership.
        own: Incarnation of the leader.
        directory: Control hosts that were heard, by endpoint.
        answered_s: Time of the last answer of each member.
        caught_up: Learners that hold nearly all of the log.
        wanted_voters: How many voters the stated losses ask for.
    """

    members: membership.Membership
    own: str
    directory: Mapping[peers.Endpoint, host_directory.KnownControlHost]
    answered_s: Mapping[str, float]
    caught_up: Collection[str]
    wanted_voters: int

    def is_silent(
        self, now_s: float, incarnation: str, patience_s: float
    ) -> bool:
        """Returns whether a member has not answered for `patience_s`."""
        if incarnation == self.own:
            return False
        answered_s = self.answered_s.get(incarnation, now_s)
        return now_s - answered_s > patience_s


def next_change(now_s: float, situation: Situation) -> membership.Change | None:
    """Returns the change that is due, or None.

    Args:
        now_s: Monotonic time in seconds.
        situation: What the leader knows.
    """
    return (
        _drop_lost_disk(situation)
        or _promote(now_s, situation)
        or _replace_silent(now_s, situation)
        or _discard(now_s, situation)
        or _admit(now_s, situation)
    )


def _remove(incarnation: str) -> membership.Change:
    return membership.Change(membership.ChangeKind.REMOVE, incarnation)


def _drop_lost_disk(situation: Situation) -> membership.Change | None:
    """Removes a member whose host came back with another disk."""
    for member in situation.members.members.values():
        contact = situation.directory.get(member.peer.control)
        if contact is not None and contact.incarnation != member.incarnation:
            return _remove(member.incarnation)
    return None


def _ready_learners(
    now_s: float, situation: Situation
) -> list[membership.Member]:
    """Returns the learners that could vote, those of empty domains first."""
    members = situation.members.members.values()
    voting = [
        _domain(situation, member) for member in members if member.is_voter
    ]
    ready = [
        member
        for member in members
        if not member.is_voter
        and member.incarnation in situation.caught_up
        and not situation.is_silent(
            now_s, member.incarnation, host_directory.LIVE_S
        )
    ]
    ready.sort(
        key=lambda member: (
            voting.count(_domain(situation, member)),
            member.incarnation,
        )
    )
    return ready


def _domain(situation: Situation, member: membership.Member) -> str:
    """Returns the failure domain of a member; founders are told by contact."""
    contact = situation.directory.get(member.peer.control)
    return member.peer.domain if contact is None else contact.peer.domain


def _promote(now_s: float, situation: Situation) -> membership.Change | None:
    """Makes a learner a voter while there are too few."""
    if len(situation.members.voters) >= situation.wanted_voters:
        return None
    ready = _ready_learners(now_s, situation)
    if not ready:
        return None
    return membership.Change(
        membership.ChangeKind.PROMOTE, ready[0].incarnation
    )


def _replace_silent(
    now_s: float, situation: Situation
) -> membership.Change | None:
    """Removes a silent voter if a learner can take its place."""
    if not _ready_learners(now_s, situation):
        return None
    for incarnation in sorted(situation.members.voters):
        if situation.is_silent(now_s, incarnation, REPLACE_S):
            return _remove(incarnation)
    return None


def _discard(now_s: float, situation: Situation) -> membership.Change | None:
    """Removes a learner that has been silent for long."""
    for member in situation.members.members.values():
        if not member.is_voter and situation.is_silent(
            now_s, member.incarnation, DISCARD_S
        ):
            return _remove(member.incarnation)
    return None


def _admit(now_s: float, situation: Situation) -> membership.Change | None:
    """Adds a control host that is no member as a learner."""
    known = situation.members.members
    for contact in situation.directory.values():
        is_live = now_s - contact.seen_s <= host_directory.LIVE_S
        if is_live and contact.incarnation not in known:
            return membership.Change(
                membership.ChangeKind.ADD_LEARNER,
                contact.incarnation,
                contact.peer,
            )
    return None
