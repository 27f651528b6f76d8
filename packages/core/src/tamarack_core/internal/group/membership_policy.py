"""Decides which membership change the group of control hosts needs next.

The policy repairs the group while publish requests continue, when one or
several control hosts are stopped, killed, lose their disks, move to other
addresses or are replaced. It makes one change at a time. A change is in force
before it is committed, and any voter may lose its disk meanwhile. So a voter
that may still hold its disk is removed only together with the promotion of its
replacement: at all times, the voters include a quorum besides the tolerated
number of lost disks.

A caught-up learner is a standby, which may stand in for a voter that loses its
disk before an unresponsive one has been replaced.
"""

import collections
from collections.abc import Collection
from collections.abc import Mapping

import msgspec

from tamarack_core import peers
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.group import host_directory

VOTER_TIMEOUT_S = 1.2
"""Time after which an unresponsive voter is replaced by a learner."""

STANDBY_TIMEOUT_S = 0.75
"""Time after which an unresponsive or slow standby no longer is one, as all
changes wait for it."""

LEARNER_TIMEOUT_S = 10.0
"""Time after which an unresponsive learner is removed."""


class GroupState(msgspec.Struct, frozen=True):
    """State of the group as the leader knows it.

    Attributes:
        members: The newest membership.
        own: Incarnation of the leader.
        known_hosts: Control hosts that sent a message, by endpoint.
        heard_s: Time at which each other member was last heard, in seconds.
        lag_s: Time for which each other member has lacked entries that a
            majority of the voters held, in seconds.
        caught_up: Learners that hold nearly all of the log.
        wanted_voters: Number of voters needed to tolerate the configured
            number of lost hosts.
    """

    members: membership.Membership
    own: str
    known_hosts: Mapping[peers.Endpoint, host_directory.KnownControlHost]
    heard_s: Mapping[str, float]
    lag_s: Mapping[str, float]
    caught_up: Collection[str]
    wanted_voters: int

    def is_unresponsive(
        self, now_s: float, incarnation: str, timeout_s: float
    ) -> bool:
        """Returns whether a member was not heard for `timeout_s`."""
        if incarnation == self.own:
            return False
        return now_s - self.heard_s.get(incarnation, now_s) > timeout_s

    def is_ready(self, now_s: float, member: membership.Member) -> bool:
        """Returns whether a learner can become a standby or a voter."""
        return (
            not self.is_stopping(member)
            and not self.has_lost_disk(member)
            and not self.is_unresponsive(
                now_s, member.incarnation, STANDBY_TIMEOUT_S
            )
            and self.lag_s.get(member.incarnation, 0.0) <= STANDBY_TIMEOUT_S
        )

    def accepts_standbys(self, now_s: float) -> bool:
        """Returns whether all live control hosts know standbys."""
        return all(
            known.accepts_standbys
            for known in self.known_hosts.values()
            if now_s - known.seen_s <= host_directory.LIVENESS_TIMEOUT_S
        )

    def has_lost_disk(self, member: membership.Member) -> bool:
        """Returns whether a member's host came back with another disk."""
        known = self.known_hosts.get(member.peer.control)
        return known is not None and known.incarnation != member.incarnation

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
        _remove_standby(now_s, state)
        or _remove_lost_disk(now_s, state)
        or _remove_surplus(now_s, state)
        or _promote(now_s, state)
        or _add_standby(now_s, state)
        or _remove_learner(now_s, state)
        or _add_learner(now_s, state)
    )


def find_exposure(now_s: float, state: GroupState) -> str:
    """Returns why the group can't bear another lost disk now.

    Args:
        now_s: Monotonic time in seconds.
        state: State of the group as the leader knows it.

    Returns:
        Constant name of the reason; empty if it can bear the loss.
    """
    silent = [
        member
        for member in state.members.members.values()
        if member.is_voter
        and (
            state.has_lost_disk(member)
            or state.is_unresponsive(
                now_s, member.incarnation, STANDBY_TIMEOUT_S
            )
        )
    ]
    if len(state.members.voters) < state.wanted_voters:
        return "few-voters"
    if not silent:
        return ""
    if state.members.standbys:
        # Borne if the host is back while the standby has its standing.
        return "voter-silent-beside-standby"
    return "voter-silent"


def _remove(incarnation: str) -> membership.Change:
    return membership.Change(membership.ChangeKind.REMOVE, incarnation)


def _remove_lost_disk(
    now_s: float, state: GroupState
) -> membership.Change | None:
    """Removes a member whose host came back with another disk.

    A voter is replaced if a learner is ready.
    """
    for member in state.members.members.values():
        if not state.has_lost_disk(member):
            continue
        ready = _ready_learners(now_s, state)
        if member.is_voter and ready and state.accepts_standbys(now_s):
            return _replace(ready[0], member.incarnation)
        return _remove(member.incarnation)
    return None


def _replace(learner: membership.Member, voter: str) -> membership.Change:
    return membership.Change(
        membership.ChangeKind.REPLACE, learner.incarnation, replaced=voter
    )


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
        and state.is_ready(now_s, member)
    ]
    ready.sort(
        key=lambda member: (
            voter_domains[_domain(state, member)],
            not member.is_standby,
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
    """Makes a learner a voter while too few voters stay.

    It replaces a voter that is to leave, as an even number of voters would
    bear no more losses while that voter is still one of them.
    """
    if _voter_domains(now_s, state).total() >= state.wanted_voters:
        return None
    ready = _ready_learners(now_s, state)
    if not ready:
        return None
    leaving = min(
        (
            member.incarnation
            for member in state.members.members.values()
            if member.is_voter and state.is_leaving(now_s, member)
        ),
        key=lambda incarnation: state.heard_s.get(incarnation, now_s),
        default=None,
    )
    is_replacement = len(state.members.voters) >= state.wanted_voters
    if is_replacement and leaving and state.accepts_standbys(now_s):
        return _replace(ready[0], leaving)
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
            state.heard_s.get(member.incarnation, now_s),
            member.incarnation,
        ),
    )
    return _remove(surplus.incarnation)


def _remove_standby(
    now_s: float, state: GroupState
) -> membership.Change | None:
    """Lets changes no longer wait for a standby that doesn't keep up."""
    for incarnation in state.members.standbys:
        if not state.is_ready(now_s, state.members.members[incarnation]):
            return membership.Change(
                membership.ChangeKind.REMOVE_STANDBY, incarnation
            )
    return None


def _add_standby(now_s: float, state: GroupState) -> membership.Change | None:
    """Makes a learner a standby if there is none."""
    if state.members.standbys or not state.accepts_standbys(now_s):
        return None
    ready = _ready_learners(now_s, state)
    if not ready:
        return None
    return membership.Change(
        membership.ChangeKind.ADD_STANDBY, ready[0].incarnation
    )


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
