"""Leader elections with pre-vote.

A replica first queries the voters whether it would win, and raises its term
only then. A host that returns after a long partition thus doesn't force the
others into a new term.
"""

from tamarack_core import peers
from tamarack_core.internal.consensus import replication
from tamarack_core.internal.consensus import roles
from tamarack_core.internal.consensus import standing
from tamarack_core.internal.consensus import state as states
from tamarack_core.messages import consensus

STAND_IN_CHANCE = 0.5
"""Share of the elections of a voter that are with a stand-in it knows of."""


def start_pre_vote(state: states.State, now_s: float) -> None:
    """Starts a pre-vote: would a majority vote for this replica?"""
    state.role = states.Role.PRE_CANDIDATE
    state.set_leader(None)
    state.reset_election_timer(now_s)
    state.votes = {state.own.incarnation}
    state.election_stand_in = _choose_stand_in(state)
    _request_votes(
        state, _next_term(state), is_pre_vote=True, is_transfer=False
    )
    _count_votes(state, now_s)


def _choose_stand_in(state: states.State) -> consensus.StandIn | None:
    """Returns the stand-in in the next election, if any.

    A voter tries both kinds of election, as the voter that is lost to the
    standby may not be needed.
    """
    stand_in = standing.valid_stand_in(state)
    if stand_in is None or not state.is_voter:
        return stand_in
    return stand_in if state.random.random() < STAND_IN_CHANCE else None


def _next_term(state: states.State) -> int:
    return standing.next_term(state.term, state.election_stand_in)


def start_election(
    state: states.State, now_s: float, is_transfer: bool
) -> None:
    """Raises the term and requests the votes of all voters.

    Args:
        state: State of the replica.
        now_s: Monotonic time in seconds.
        is_transfer: Whether the leader requested the election in order to
            transfer its leadership.
    """
    state.role = states.Role.CANDIDATE
    if is_transfer:
        state.election_stand_in = None
    state.set_term(_next_term(state), state.own.incarnation)
    state.set_leader(None)
    state.reset_election_timer(now_s)
    state.votes = set()
    state.vote_sequence = state.journal.covering_sequence
    _request_votes(
        state, state.term, is_pre_vote=False, is_transfer=is_transfer
    )


def _request_votes(
    state: states.State, term: int, *, is_pre_vote: bool, is_transfer: bool
) -> None:
    stand_in = state.election_stand_in
    for member in state.latest_membership.members.values():
        is_voting = member.is_voter or (
            stand_in is not None and member.incarnation == stand_in.standby
        )
        if not is_voting or member.incarnation == state.own.incarnation:
            continue
        request = consensus.VoteRequest(
            consensus.Header(term, state.own.incarnation, member.incarnation),
            state.log.last_index,
            state.log.last_term,
            is_pre_vote,
            is_transfer,
            stand_in,
        )
        if is_pre_vote:
            state.send(member.peer, request)
        else:
            state.send_synced(member.peer, request)


def count_own_vote(state: states.State, now_s: float) -> None:
    """Counts the vote of this replica for itself once it is synced."""
    if state.role is not states.Role.CANDIDATE:
        return
    if state.journal.completed >= state.vote_sequence:
        state.votes.add(state.own.incarnation)
        _count_votes(state, now_s)


def _count_votes(state: states.State, now_s: float) -> None:
    if not state.latest_membership.has_quorum(
        state.votes, state.election_stand_in
    ):
        return
    if state.role is states.Role.PRE_CANDIDATE:
        start_election(state, now_s, is_transfer=False)
    elif state.role is states.Role.CANDIDATE:
        replication.become_leader(state, now_s)


def handle_vote_request(
    state: states.State,
    now_s: float,
    sender: peers.Peer,
    request: consensus.VoteRequest,
) -> None:
    """Responds to a vote request; a pre-vote changes no state here.

    There is no response while the leader is live or this replica has just
    restarted, unless the leader itself requested the election.
    """
    is_withheld = _has_just_restarted(state, now_s) or _has_live_leader(
        state, now_s
    )
    if is_withheld and not request.is_transfer:
        return
    if request.stand_in is not None and not standing.accept_stand_in(
        state, request.header.source, request.stand_in
    ):
        return
    term = request.header.term
    if term > state.term and not request.is_pre_vote:
        roles.become_follower(state, now_s, term, None)
    is_granted = _can_grant(state, request)
    header = consensus.Header(
        term if is_granted else state.term,
        state.own.incarnation,
        request.header.source,
    )
    response = consensus.VoteResponse(header, is_granted, request.is_pre_vote)
    if request.is_pre_vote:
        state.send(sender, response)
        return
    if is_granted:
        state.set_term(state.term, request.header.source)
        state.reset_election_timer(now_s)
    state.send_synced(sender, response)


def _has_just_restarted(state: states.State, now_s: float) -> bool:
    """Returns whether a live leader may not have reached this replica yet.

    A disk that was rolled back to an earlier state may lack votes and entries
    that the replica has acknowledged. The leader brings such a replica up to
    date or refuses its identity; until then, the replica must not vote.
    """
    since_restart_s = now_s - state.restarted_s
    return since_restart_s < state.parameters.election_timeout_min_s


def _has_live_leader(state: states.State, now_s: float) -> bool:
    if state.is_leader:
        return True
    since_message_s = now_s - state.leader_seen_s
    return (
        state.leader is not None
        and since_message_s < state.parameters.election_timeout_min_s
    )


def _can_grant(state: states.State, request: consensus.VoteRequest) -> bool:
    candidate_last = (request.last_term, request.last_index)
    if candidate_last < (state.log.last_term, state.log.last_index):
        return False
    term = request.header.term
    if request.is_pre_vote:
        return term > state.term
    return term == state.term and state.voted_for in (
        "",
        request.header.source,
    )


def handle_vote_response(
    state: states.State, now_s: float, response: consensus.VoteResponse
) -> None:
    """Counts a vote or pre-vote if it belongs to the current election."""
    expected = (
        (states.Role.PRE_CANDIDATE, _next_term(state))
        if response.is_pre_vote
        else (states.Role.CANDIDATE, state.term)
    )
    if not response.is_granted:
        return
    if (state.role, response.header.term) != expected:
        return
    state.votes.add(response.header.source)
    _count_votes(state, now_s)
