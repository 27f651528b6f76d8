"""Standbys: learners that may stand in for a voter that has lost its disk.

An entry is committed once a majority of the voters and all standbys have synced
it. If the disk of one voter is lost while another voter is gone, the standby
holds what was committed, and votes in place of the lost one:

- The loss is proven: a request to the voter is answered by its host under
  another incarnation. The request was sent after the voter had become a member,
  so the answer isn't one of an earlier incarnation.
- The standby had its standing when it learned of the loss: within `standing_s`,
  and since it became a standby, a majority of the voters answered that it is
  one in their newest membership.
- A standby that doesn't respond is removed once all voters hold the removal, or
  once a majority has held it for `release_s` and responded after that. Such a
  majority and one that granted the standing share a voter. So either the
  standing has ended, or the removal waits for the voter that is lost, or each
  majority with the standby includes a voter that holds the removal.

Terms of elections with a stand-in differ from those of all others, as the
quorums of the two kinds need not overlap. `docs/design/replicated-log.md` has
the whole argument.
"""

import math

from tamarack_core import peers
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import state as states
from tamarack_core.messages import consensus

STAND_IN_TERMS = 16
"""Terms that are multiples of this are those of elections with a stand-in."""


def next_term(term: int, stand_in: consensus.StandIn | None) -> int:
    """Returns the term of the next election.

    Args:
        term: Current term.
        stand_in: The stand-in in the election, if any.
    """
    if stand_in is not None:
        return (term // STAND_IN_TERMS + 1) * STAND_IN_TERMS
    following = term + 1
    return following + (following % STAND_IN_TERMS == 0)


def is_standby(state: states.State, incarnation: str) -> bool:
    """Returns whether a member is a standby by a committed membership.

    It isn't if a later membership is in the log.
    """
    latest = state.memberships[-1]
    return (
        latest.index <= state.commit_index
        and incarnation in latest.membership.standbys
    )


def request_standing(state: states.State, now_s: float) -> None:
    """Asks all voters whether this replica is still a standby."""
    standing = state.standing
    standing.deadline_s = now_s + state.parameters.standing_interval_s
    standing.round += 1
    standing.sent_s[standing.round] = now_s
    oldest_s = now_s - state.parameters.standing_s
    while standing.sent_s[next(iter(standing.sent_s))] < oldest_s:
        del standing.sent_s[next(iter(standing.sent_s))]
    members = state.latest_membership
    for incarnation in members.voters:
        request = consensus.StandingRequest(
            state.header(incarnation), standing.round
        )
        state.send(members.members[incarnation].peer, request)


def handle_request(
    state: states.State,
    sender: peers.Peer,
    request: consensus.StandingRequest,
) -> None:
    """Answers whether the sender is a standby, or that a voter is lost."""
    addressed = request.header.destination
    is_addressed = addressed == state.own.incarnation
    response = consensus.StandingResponse(
        state.header(request.header.source),
        request.round,
        is_addressed and is_standby(state, request.header.source),
        "" if is_addressed else addressed,
    )
    state.send(sender, response)


def handle_response(
    state: states.State,
    now_s: float,
    sender: peers.Peer,
    response: consensus.StandingResponse,
) -> None:
    """Records that a voter granted the standing or has lost its disk."""
    sent_s = state.standing.sent_s.get(response.round)
    if sent_s is None:
        return
    voters = state.latest_membership.voters
    granted_s = state.standing.granted_s
    source = response.header.source
    if response.is_granted and source in voters:
        granted_s[source] = max(sent_s, granted_s.get(source, sent_s))
    elif response.lost in voters and source != response.lost:
        lost = state.latest_membership.members[response.lost]
        if lost.peer.control == sender.control:
            _record_loss(state, now_s, response.lost)


def _record_loss(state: states.State, now_s: float, lost: str) -> None:
    """Stands in for a voter that has lost its disk, if there is standing."""
    stand_in = consensus.StandIn(lost, state.own.incarnation)
    if valid_stand_in(state) is not None:
        return
    if not state.latest_membership.allows(stand_in):
        return
    oldest_s = now_s - state.parameters.standing_s
    granting = [
        voter
        for voter, granted_s in state.standing.granted_s.items()
        if granted_s >= oldest_s
    ]
    if state.latest_membership.has_quorum(granting):
        state.stand_in = stand_in
        state.output(outputs.StandInStarted(lost))


def valid_stand_in(state: states.State) -> consensus.StandIn | None:
    """Returns the stand-in that the newest membership allows, if any."""
    stand_in = state.stand_in
    if stand_in is None or not state.latest_membership.allows(stand_in):
        return None
    return stand_in


def accept_stand_in(
    state: states.State, source: str, stand_in: consensus.StandIn
) -> bool:
    """Returns whether this replica may vote in an election with a stand-in.

    The standby itself knows of the loss; other voters take its word for it.

    Args:
        state: State of this replica.
        source: Incarnation of the candidate.
        stand_in: The stand-in.
    """
    own = state.own.incarnation
    members = state.latest_membership
    if not members.allows(stand_in) or stand_in.lost in (own, source):
        return False
    if own == stand_in.standby:
        return valid_stand_in(state) == stand_in
    if source == stand_in.standby:
        state.stand_in = stand_in
    return True


def commit_limit(state: states.State, now_s: float) -> float:
    """Returns the highest index that the standbys allow to be committed.

    Args:
        state: State of the leader.
        now_s: Monotonic time in seconds.
    """
    memberships = state.memberships
    in_force = max(
        i
        for i, indexed in enumerate(memberships)
        if i == 0 or indexed.index <= state.commit_index
    )
    limit = math.inf
    latest = memberships[-1].membership
    for incarnation in latest.standbys:
        limit = min(limit, durable_index(state, incarnation))
    for earlier, later in zip(
        memberships[in_force:], memberships[in_force + 1 :], strict=False
    ):
        for incarnation in earlier.membership.standbys:
            if incarnation in later.membership.standbys:
                continue
            held = durable_index(state, incarnation)
            if held < later.index and not _is_released(
                state, now_s, earlier.membership, later.index
            ):
                limit = min(limit, held)
    return limit


def _is_released(
    state: states.State,
    now_s: float,
    voting: membership.Membership,
    index: int,
) -> bool:
    """Returns whether a standby is certain to have no standing any more."""
    holding = {
        voter for voter in voting.voters if durable_index(state, voter) >= index
    }
    if holding == voting.voters:
        return True
    if state.release is None or state.release.index != index:
        state.release = states.Release(index)
    release = state.release
    if not voting.has_quorum(holding):
        return False
    release.held_s = min(release.held_s, now_s)
    if now_s - release.held_s < state.parameters.release_s:
        return False
    if release.round == 0:
        release.round = state.round
    responding = {
        voter
        for voter in holding
        if voter == state.own.incarnation
        or state.progress[voter].answered_round > release.round
    }
    return voting.has_quorum(responding)


def durable_index(state: states.State, incarnation: str) -> int:
    """Returns the last index that a member is known to have synced.

    Args:
        state: State of the leader.
        incarnation: Incarnation of the member.
    """
    if incarnation == state.own.incarnation:
        return state.journal.durable_index
    progress = state.progress.get(incarnation)
    if progress is None or progress.is_refused:
        return 0
    return progress.match_index
