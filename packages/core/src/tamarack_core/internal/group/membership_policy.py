"""Decides which membership change the group of control hosts needs next.

The policy repairs the group while publish requests continue, when one or
several control hosts are stopped, killed, lose their disks, move to other
addresses or are replaced. It makes one change at a time. A change is in force
before it is committed, and any voter may lose its disk meanwhile. So a voter
that may still hold its disk is removed only after its replacement has been
promoted: at all times, the voters include a quorum besides the tolerated number
of lost disks.
"""

import collections
from collections.abc import Collection
from collections.abc import Mapping

import msgspec

from tamarack_core import peers
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.group import host_directory

VOTER_TIMEOUT_S = 2.5
"""Time after which an unresponsive voter is replaced by a learner."""

LEARNER_TIMEOUT_S = 10.0
"""Time after which an unresponsive learner is removed."""


class GroupState(msgspec.Struct, frozen=True):
    """State of the group as the leader knows it.

    Attributes:
        members: The newest membership.
        own: Incarnation of the leader.
        known_hosts: Control hosts that sent a message, by endpoint.
        answered_s: Time of the last response of each member, in seconds.
        caught_up: Learners that hold nearly all of the log.
        wanted_voters: Number of voters needed to tolerate the configured
            number of lost hosts.
    """

    members: membership.Membership
    own: str
    known_hosts: Mapping[peers.Endpoint, host_directory.KnownControlHost]
    answered_s: Mapping[str, float]
    caught_up: Collection[str]
    wanted_voters: int

    def is_unresponsive(
        self, now_s: float, incarnation: str, timeout_s: float
    ) -> bool:
        """Returns whether a member has sent no response for `timeout_s`."""
        if incarnation == self.own:
            return False
        answered_s = self.answered_s.get(incarnation, now_s)
        return now_s - answered_s > timeout_s

    def is_stopping(self, member: membership.Member) -> bool:
        """Returns whether a stop of a member's host was requested."""
        known = self.known_hosts.get(member.peer.control)
        return (
            known is not None
            and known.incarnation == member.incarnation
            and known.is_stopping
        )

    def is_leaving(self, now_s: float, member: membership.Member) -> bool:
        """Returns whether a voter is to be replaced by a learner."""
        return self.is_stopping(member) or self.is_unresponsive(
            now_s, member.incarnation, VOTER_TIMEOUT_S
        )


def next_change(now_s: float, state: GroupState) -> membership.Change | None:
    """Returns the membership change to make now, or None.

    Args:
        now_s: Monotonic time in seconds.
        state: State of the group as the leader knows it.
    """
    return (
        _remove_lost_disk(state)
        or _remove_surplus(now_s, state)
        or _promote(now_s, state)
        or _remove_learner(now_s, state)
        or _add_learner(now_s, state)
    )


def _remove(incarnation: str) -> membership.Change:
    return membership.Change(membership.ChangeKind.REMOVE, incarnation)


def _remove_lost_disk(state: GroupState) -> membership.Change | None:
    """Removes a member whose host came back with another disk."""
    for member in state.members.members.values():
        known = state.known_hosts.get(member.peer.control)
        if known is not None and known.incarnation != member.incarnation:
            return _remove(member.incarnation)
    return None


def _ready_learners(now_s: float, state: GroupState) -> list[membership.Member]:
    """Returns the learners that can be promoted.

    Learners of the failure domains with the fewest voters come first.
    """
    members = state.members.members.values()
    voter_domains = _voter_domains(now_s, state)
    ready = [
        member
        for member in members
        if not member.is_voter
        and member.incarnation in state.caught_up
        and not state.is_stopping(member)
        and not state.is_unresponsive(
            now_s, member.incarnation, host_directory.LIVENESS_TIMEOUT_S
        )
    ]
    ready.sort(
        key=lambda member: (
            voter_domains[_domain(state, member)],
            member.incarnation,
        )
    )
    return ready


def _voter_domains(now_s: float, state: GroupState) -> collections.Counter[str]:
    """Returns the number of voters that stay, by failure domain."""
    return collections.Counter(
        _domain(state, member)
        for member in state.members.members.values()
        if member.is_voter and not state.is_leaving(now_s, member)
    )


def _domain(state: GroupState, member: membership.Member) -> str:
    """Returns the failure domain of a member.

    The log doesn't hold the domains of founders; they come from the messages
    of these hosts.
    """
    known = state.known_hosts.get(member.peer.control)
    return member.peer.domain if known is None else known.peer.domain


def _promote(now_s: float, state: GroupState) -> membership.Change | None:
    """Makes a learner a voter while too few voters stay."""
    if _voter_domains(now_s, state).total() >= state.wanted_voters:
        return None
    ready = _ready_learners(now_s, state)
    if not ready:
        return None
    return membership.Change(
        membership.ChangeKind.PROMOTE, ready[0].incarnation
    )


def _remove_surplus(
    now_s: float, state: GroupState
) -> membership.Change | None:
    """Removes a voter once its replacement is a voter.

    If all voters respond again, it is one of the failure domain with the most
    voters, since the loss of that domain could leave no quorum of an even
    number of voters. It rejoins as a learner.
    """
    if len(state.members.voters) <= state.wanted_voters:
        return None
    voter_domains = _voter_domains(now_s, state)
    surplus = min(
        (
            member
            for member in state.members.members.values()
            if member.is_voter and member.incarnation != state.own
        ),
        key=lambda member: (
            not state.is_leaving(now_s, member),
            -voter_domains[_domain(state, member)],
            state.answered_s.get(member.incarnation, now_s),
            member.incarnation,
        ),
    )
    return _remove(surplus.incarnation)


def _remove_learner(
    now_s: float, state: GroupState
) -> membership.Change | None:
    """Removes a learner that has been unresponsive for a long time."""
    for member in state.members.members.values():
        if not member.is_voter and state.is_unresponsive(
            now_s, member.incarnation, LEARNER_TIMEOUT_S
        ):
            return _remove(member.incarnation)
    return None


def _add_learner(now_s: float, state: GroupState) -> membership.Change | None:
    """Adds a live control host that is not a member as a learner."""
    members = state.members.members
    for known in state.known_hosts.values():
        is_live = now_s - known.seen_s <= host_directory.LIVENESS_TIMEOUT_S
        is_joining = is_live and not known.is_stopping
        if is_joining and known.incarnation not in members:
            return membership.Change(
                membership.ChangeKind.ADD_LEARNER,
                known.incarnation,
                known.peer,
            )
    return None
