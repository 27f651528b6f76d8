"""Transition to the follower role, from any role."""

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
    """Becomes a follower in the current term or a later one.

    Args:
        state: State of the replica.
        now_s: Monotonic time in seconds.
        term: The term; one higher than the current term clears the vote.
        leader: Leader of the term, if known.
    """
    if term > state.term:
        state.set_term(term, "")
    if state.is_leader:
        _step_down(state)
    if state.role is not states.Role.FOLLOWER or leader is not None:
        state.reset_election_timer(now_s)
    state.role = states.Role.FOLLOWER
    state.votes.clear()
    state.set_leader(leader)


def _step_down(state: states.State) -> None:
    """Discards the leader's state.

    Fails the reads that this replica requested; forwarded reads fail by the
    timeout of the replica that forwarded them.
    """
    for read in state.reads.drain():
        if read.requester == state.own.incarnation:
            state.output(outputs.ReadFailed(read.number, "leader-lost"))
    state.progress.clear()
    state.leadership_transfer = None
    state.heartbeat_deadline_s = math.inf
