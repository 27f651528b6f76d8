"""Interface of the replicated log."""

from collections.abc import Sequence
from typing import Protocol

from tamarack_core import failure
from tamarack_core import peers
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.messages import consensus

TIMER = "consensus"


class ReplicatedLog(Protocol):
    """Calls that `replica.Replica` offers to the component that owns it.

    Times are monotonic seconds. A record is acknowledged to other replicas
    and counted towards a quorum only after its `WriteCompleted` event.
    """

    def recover(
        self, snapshot: bytes | None, encoded: Sequence[bytes]
    ) -> failure.Failure | None:
        """Restores the state from disk; must be called before `start`.

        Args:
            snapshot: Data of the last completed `SaveSnapshot`, if any.
            encoded: The records of that effect and of each later `Persist`, in
                order.

        Returns:
            Why the contents of the disk can't be read, or None.
        """

    def start(self, now_s: float) -> outputs.Step:
        """Starts to take part in elections and replication."""

    def handle_message(
        self, now_s: float, sender: peers.Peer, message: consensus.Message
    ) -> outputs.Step:
        """Handles a message of another replica."""

    def handle_timer(self, now_s: float) -> outputs.Step:
        """Handles the timer named `TIMER`."""

    def handle_write_completed(
        self, now_s: float, sequence: int
    ) -> outputs.Step:
        """Handles the completion of a `Persist` or `SaveSnapshot`, in order."""

    def propose(
        self, now_s: float, command: bytes
    ) -> outputs.Proposal | failure.Failure:
        """Appends a command to the log; only the leader can.

        Returns:
            The index and term of the entry, or a failure with the reason
            not-leader, transferring, busy, too-large or halted. After a
            failure the command is not in the log.
        """

    def read_index(self, now_s: float, token: int) -> outputs.Step:
        """Requests a linearizable read, at any replica.

        A `ReadCompleted` or `ReadFailed` output with the token follows, in
        this step or in a later one.
        """

    def transfer_leadership(
        self, now_s: float
    ) -> outputs.Step | failure.Failure:
        """Transfers the leadership to the most up-to-date voter.

        A `LeaderChanged` output follows. If none follows within the election
        timeout, this replica remains the leader.
        """

    def change_membership(
        self, now_s: float, change: membership.Change
    ) -> outputs.Proposal | failure.Failure:
        """Changes one member; only the leader can, one change at a time.

        Returns:
            The index and term of the entry, or the reason of the refusal.
        """
