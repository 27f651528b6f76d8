"""Linearizable reads that wait for a confirmation of the leader."""

import msgspec


class Read(msgspec.Struct):
    """A read that the leader confirms.

    Attributes:
        requester: Incarnation of the replica that asks.
        number: Token of this replica's caller, or number of the request.
    """

    requester: str
    number: int


class LeaderReads:
    """Reads at the leader; those that wait share one round of heartbeats.

    Attributes:
        waiting: Reads that arrived since the running round began.
        running: Reads of the running round.
        round: Lowest round of a request whose answer confirms them.
        index: Commit index when the round began.
    """

    __slots__ = ("index", "round", "running", "waiting")

    def __init__(self) -> None:
        """Creates an empty queue."""
        self.waiting: list[Read] = []
        self.running: list[Read] = []
        self.round = 0
        self.index = 0

    def begin(self, first_round: int, index: int) -> None:
        """Moves the waiting reads into a round.

        Args:
            first_round: Number of the next request that is sent.
            index: Commit index now.
        """
        self.running = self.waiting
        self.waiting = []
        self.round = first_round
        self.index = index

    def take_all(self) -> list[Read]:
        """Returns all reads and forgets them."""
        reads = self.running + self.waiting
        self.running = []
        self.waiting = []
        return reads


class ForwardedRead(msgspec.Struct):
    """A read that a follower sent to the leader.

    Attributes:
        token: Token of the caller.
        deadline_s: Monotonic time at which the read fails.
        index: Read index, once the leader has answered.
    """

    token: int
    deadline_s: float
    index: int | None = None
