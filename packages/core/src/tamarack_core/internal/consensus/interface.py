"""The public face of the replicated log."""

from collections.abc import Sequence
from typing import Protocol

from tamarack_core import failure
from tamarack_core import peers
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.messages import consensus

TIMER = "consensus"


class ReplicatedLog(Protocol):
    """What `replica.Replica` offers to the part above it.

    Times are monotonic seconds. Nothing is acknowledged to another replica,
    or counted towards a quorum, before the `WriteCompleted` for it.
    """

    def recover(
        self, snapshot: bytes | None, encoded: Sequence[bytes]
    ) -> failure.Failure | None:
        """Takes over what the disk holds; call it before `start`.

        Args:
            snapshot: Data of the last completed `SaveSnapshot`, if any.
            encoded: Its records and those of each `Persist` since, in order.

        Returns:
            Why the disk can't be read, or None.
        """

    def start(self, now_s: float) -> outputs.Step:
        """Starts to take part."""

    def handle_message(
        self, now_s: float, sender: peers.Peer, message: consensus.Message
    ) -> outputs.Step:
        """Handles a message of another replica."""

    def handle_timer(self, now_s: float) -> outputs.Step:
        """Handles the timer named `TIMER`."""

    def handle_write_completed(
        self, now_s: float, sequence: int
    ) -> outputs.Step:
        """Handles the end of a `Persist` or `SaveSnapshot`, in order."""

    def propose(
        self, now_s: float, command: bytes
    ) -> outputs.Proposal | failure.Failure:
        """Appends a command; only the leader can.

        Returns:
            The place in the log, or one of the reasons not-leader,
            transferring, busy, too-large and halted. After a failure the
            command is not in the log.
        """

    def read_index(self, now_s: float, token: int) -> outputs.Step:
        """Asks for a linearizable read, on any replica.

        A `ReadCompleted` or `ReadFailed` with the token follows, in this step
        or in a later one.
        """

    def transfer_leadership(
        self, now_s: float
    ) -> outputs.Step | failure.Failure:
        """Hands the leadership to the voter that is most up to date.

        A `LeaderChanged` follows. Without one after an election timeout the
        replica goes on leading.
        """

    def change_membership(
        self, now_s: float, change: membership.Change
    ) -> outputs.Proposal | failure.Failure:
        """Changes one member; only the leader can, one change at a time."""
