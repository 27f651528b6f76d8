"""Checks before a leader changes the membership."""

from tamarack_core import failure
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import replication
from tamarack_core.internal.consensus import state as states


def find_refusal(
    state: states.State, change: membership.Change
) -> failure.Failure | None:
    """Returns why the leader can't make a change now, if so."""
    if state.memberships[-1].index > state.commit_index:
        return failure.Failure(
            "change-running", "the last membership change isn't committed"
        )
    # Without an entry of its own term a leader may miss a change that its
    # predecessor began, and then two majorities need not overlap.
    if not replication.has_committed_in_term(state):
        return failure.Failure(
            "leader-starting", "the leader has just been elected; retry"
        )
    if change.incarnation == state.own.incarnation:
        return failure.Failure("is-leader", "hand over the leadership first")
    if change.kind is membership.ChangeKind.PROMOTE:
        return _find_lag(state, change.incarnation)
    return None


def _find_lag(state: states.State, incarnation: str) -> failure.Failure | None:
    progress = state.progress.get(incarnation)
    if progress is None:
        return None
    lag = state.log.last_index - progress.match_index
    if lag <= state.parameters.promotion_entries:
        return None
    return failure.Failure(
        "learner-behind",
        f"{progress.member.peer.host!r} lacks {lag} entries; retry later",
    )


def find_membership(
    state: states.State, now_s: float, change: membership.Change
) -> membership.Membership | failure.Failure:
    """Returns the membership after a change, if its voters answer.

    Args:
        state: The leader.
        now_s: Monotonic time in seconds.
        change: The change.
    """
    wanted = membership.apply_change(state.latest_membership, change)
    if isinstance(wanted, failure.Failure):
        return wanted
    if not replication.membership_answers(state, wanted, now_s):
        return failure.Failure(
            "would-lose-quorum",
            "too few of the voters after the change answer; restore or remove"
            " those that don't first",
        )
    return wanted
