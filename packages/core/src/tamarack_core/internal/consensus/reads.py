"""Linearizable reads that wait for confirmation by the leader."""

import msgspec


class Read(msgspec.Struct):
    """A read that the leader has to confirm.

    Attributes:
        requester: Incarnation of the replica that requests the read.
        number: Token of the read if the leader itself requests it, otherwise
            the number of the `ReadRequest`.
    """

    requester: str
    number: int


class LeaderReads:
    """Reads at the leader, batched so that many share one heartbeat round.

    Attributes:
        waiting: Reads that arrived since the current batch was started.
        running: Reads of the current batch.
        round: Lowest request round whose response confirms the batch.
        index: Commit index at the start of the batch.
    """

    __slots__ = ("index", "round", "running", "waiting")

    def __init__(self) -> None:
        """Initializes an empty queue."""
        self.waiting: list[Read] = []
        self.running: list[Read] = []
        self.round = 0
        self.index = 0

    def start_round(self, first_round: int, index: int) -> None:
        """Starts a batch with all waiting reads.

        Args:
            first_round: Round of the next request that is sent.
            index: Current commit index.
        """
        self.running = self.waiting
        self.waiting = []
        self.round = first_round
        self.index = index

    def drain(self) -> list[Read]:
        """Removes and returns all reads."""
        reads = self.running + self.waiting
        self.running = []
        self.waiting = []
        return reads


class ForwardedRead(msgspec.Struct):
    """A read that a follower sent to the leader.

    Attributes:
        token: Token passed to `read_index`.
        deadline_s: Monotonic time at which the read fails.
        index: Read index, once the leader has responded.
    """

    token: int
    deadline_s: float
    index: int | None = None
