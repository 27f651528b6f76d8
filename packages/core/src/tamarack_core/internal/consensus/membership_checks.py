"""Checks that a leader makes before it changes the membership."""

from tamarack_core import failure
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import replication
from tamarack_core.internal.consensus import state as states

_CHANGES_OF_CAUGHT_UP = (
    membership.ChangeKind.PROMOTE,
    membership.ChangeKind.REPLACE,
    membership.ChangeKind.ADD_STANDBY,
)


def find_refusal(
    state: states.State, change: membership.Change
) -> failure.Failure | None:
    """Returns why the leader can't change the membership now, or None."""
    # Nothing is committed without a standby that doesn't respond. Its removal
    # leaves the voters as they are, so it may overlap any other change.
    if change.kind is membership.ChangeKind.REMOVE_STANDBY:
        return None
    if state.memberships[-1].index > state.commit_index:
        return failure.Failure(
            "change-running",
            "the previous membership change isn't committed yet; retry later",
        )
    # Until an entry of its own term is committed, a leader may not know of a
    # change that its predecessor started, and the majorities before and after
    # the two changes need not overlap.
    if not replication.has_committed_in_term(state):
        return failure.Failure(
            "leader-starting", "the leader has just been elected; retry"
        )
    if state.own.incarnation in (change.incarnation, change.replaced):
        return failure.Failure(
            "is-leader", "the member leads; transfer the leadership first"
        )
    if change.kind in _CHANGES_OF_CAUGHT_UP:
        return _find_learner_lag(state, change.incarnation)
    return None


def _find_learner_lag(
    state: states.State, incarnation: str
) -> failure.Failure | None:
    progress = state.progress.get(incarnation)
    if progress is None:
        return None
    lag = state.log.last_index - progress.match_index
    if lag <= state.parameters.promotion_entries:
        return None
    return failure.Failure(
        "learner-behind",
        f"{progress.member.peer.host!r} is {lag} entries behind; retry later",
    )


def find_changed_membership(
    state: states.State, now_s: float, change: membership.Change
) -> membership.Membership | failure.Failure:
    """Returns the membership after a change.

    Args:
        state: State of the leader.
        now_s: Monotonic time in seconds.
        change: The change.

    Returns:
        The new membership, or why the change is refused: would-lose-quorum
        if no majority of the new voters has responded lately.
    """
    wanted = membership.apply_change(state.latest_membership, change)
    if isinstance(wanted, failure.Failure):
        return wanted
    if not replication.has_active_quorum(state, wanted, now_s):
        return failure.Failure(
            "would-lose-quorum",
            "no majority of the voters after the change responds; first restore"
            " or remove those that don't",
        )
    return wanted
