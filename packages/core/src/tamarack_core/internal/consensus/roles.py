"""Stepping down: every way into the follower role."""

import math

from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import state as states


def become_follower(
    state: states.State,
    now_s: float,
    term: int,
    leader: membership.Member | None,
) -> None:
    """Follows in a term that is at least the current one.

    Args:
        state: The replica.
        now_s: Monotonic time in seconds.
        term: The term; a higher one clears the vote.
        leader: Leader of the term, if known.
    """
    if term > state.term:
        state.set_term(term, "")
    if state.is_leader:
        _leave_leadership(state)
    if state.role is not states.Role.FOLLOWER or leader is not None:
        state.reset_election_timer(now_s)
    state.role = states.Role.FOLLOWER
    state.votes.clear()
    state.set_leader(leader)


def _leave_leadership(state: states.State) -> None:
    """Fails the reads of this replica; other replicas repeat theirs."""
    for read in state.reads.take_all():
        if read.requester == state.own.incarnation:
            state.output(outputs.ReadFailed(read.number, "leader-lost"))
    state.progress.clear()
    state.handover = None
    state.heartbeat_deadline_s = math.inf
