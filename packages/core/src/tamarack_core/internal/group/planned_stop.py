"""Planned stop of a control host: it hands its vote over before it ends.

A host that is stopped may never return. If its vote ended with it, the group
would tolerate one loss fewer until the host is found unresponsive. So a voter
waits until the leader has replaced it, if a learner can take its place.
"""

import math

from tamarack_core.internal.consensus import state as states
from tamarack_core.internal.group import host_directory

MIN_STOP_S = 0.6
"""Time that a stopping host has to transfer the leadership and to respond to
pending requests, in seconds."""

MAX_STOP_S = 3.0
"""Longest time that a stopping voter waits to be replaced, in seconds. The
platform ends a process 6 s after it requested the stop."""


class PlannedStop:
    """Progress of the stop of this host.

    Attributes:
        requested_s: Time of the request in seconds; infinity before it.
        is_released: Whether this host is no longer a voter.
    """

    __slots__ = ("is_released", "requested_s")

    def __init__(self) -> None:
        """Initializes a stop that was not requested."""
        self.requested_s = math.inf
        self.is_released = False

    @property
    def is_requested(self) -> bool:
        """Whether the stop was requested."""
        return self.requested_s < math.inf

    def is_due(
        self,
        now_s: float,
        state: states.State,
        directory: host_directory.ControlHostDirectory,
        wanted_voters: int,
    ) -> bool:
        """Returns whether the process may end.

        Args:
            now_s: Monotonic time in seconds.
            state: State of the replicated log.
            directory: The known control hosts.
            wanted_voters: Number of voters needed to tolerate the configured
                number of lost hosts.
        """
        waited_s = now_s - self.requested_s
        if waited_s < MIN_STOP_S:
            return False
        if self.is_released or not state.is_voter or waited_s >= MAX_STOP_S:
            return True
        voters = state.latest_membership.voters
        return len(voters) <= wanted_voters and not _has_live_learner(
            now_s, state, directory
        )


def _has_live_learner(
    now_s: float,
    state: states.State,
    directory: host_directory.ControlHostDirectory,
) -> bool:
    """Returns whether a learner that doesn't stop itself responds."""
    learners = {
        member.incarnation
        for member in state.latest_membership.members.values()
        if not member.is_voter
    }
    return any(
        known.incarnation in learners
        and not known.is_stopping
        and now_s - known.seen_s <= host_directory.LIVENESS_TIMEOUT_S
        for known in directory.known_hosts.values()
    )
