"""What the leader knows of one other replica."""

import collections

import msgspec

from tamarack_core.internal.consensus import log_parameters
from tamarack_core.internal.consensus import membership


class _Request(msgspec.Struct):
    last_index: int
    size_bytes: int


class Transfer(msgspec.Struct):
    """A snapshot on its way to a replica.

    Attributes:
        index: Index that the snapshot covers.
        data: The encoded snapshot.
        offset: Bytes that the replica is known to hold.
        sent_round: Round of the last chunk sent.
    """

    index: int
    data: bytes
    offset: int = 0
    sent_round: int = 0


class Progress:
    """Replication to one member.

    While the common prefix is unknown the leader probes with one request at a
    time; then it sends requests in a row, up to the window.

    Attributes:
        member: The other replica.
        match_index: Last index that the replica has synced.
        match_round: Round of the leader when `match_index` last rose.
        next_index: Index of the next entry to send.
        is_probing: Whether the common prefix is unknown.
        is_awaiting_probe: Whether a probe is unanswered.
        barrier_round: Rejections of rounds up to here are out of date.
        answered_round: Highest round that the replica answered.
        answered_s: Monotonic time of its last answer.
        transfer: Snapshot on its way, if any.
        is_refused: The replica's disk has gone back; it is not counted.
    """

    __slots__ = (
        "_requests",
        "answered_round",
        "answered_s",
        "barrier_round",
        "is_awaiting_probe",
        "is_probing",
        "is_refused",
        "match_index",
        "match_round",
        "member",
        "next_index",
        "transfer",
    )

    def __init__(
        self, member: membership.Member, next_index: int, now_s: float
    ) -> None:
        """Starts with an unknown common prefix.

        Args:
            member: The other replica.
            next_index: Index after the leader's last entry.
            now_s: Monotonic time in seconds.
        """
        self.member = member
        self.match_index = 0
        self.match_round = 0
        self.next_index = next_index
        self.is_probing = True
        self.is_awaiting_probe = False
        self.barrier_round = 0
        self.answered_round = 0
        self.answered_s = now_s
        self.transfer: Transfer | None = None
        self.is_refused = False
        self._requests: collections.deque[_Request] = collections.deque()

    @property
    def is_awaiting_answer(self) -> bool:
        """Whether a request with entries is unanswered."""
        return bool(self._requests)

    def can_send(self, parameters: log_parameters.LogParameters) -> bool:
        """Returns whether the window has room for another request."""
        if self.transfer is not None or self.is_refused:
            return False
        if self.is_probing:
            return not self.is_awaiting_probe
        size_bytes = sum(request.size_bytes for request in self._requests)
        return (
            len(self._requests) < parameters.window_requests
            and size_bytes < parameters.window_bytes
        )

    def note_sent(self, last_index: int, size_bytes: int) -> None:
        """Takes note of a request with entries up to `last_index`."""
        if self.is_probing:
            self.is_awaiting_probe = True
            return
        self.next_index = last_index + 1
        self._requests.append(_Request(last_index, size_bytes))

    def accept(self, match_index: int, leader_round: int) -> None:
        """Takes note that the replica has synced up to `match_index`."""
        if match_index > self.match_index:
            self.match_index = match_index
            self.match_round = leader_round
        self.next_index = max(self.next_index, self.match_index + 1)
        self.is_probing = False
        self.is_awaiting_probe = False
        if self.transfer and self.transfer.index <= self.match_index:
            self.transfer = None
        while self._requests and (
            self._requests[0].last_index <= self.match_index
        ):
            self._requests.popleft()

    def reject(self, hint_index: int, leader_round: int) -> None:
        """Goes back to probing after a rejection.

        Args:
            hint_index: Last index that may equal the leader's log.
            leader_round: Round of the last request that was sent.
        """
        self.next_index = max(
            self.match_index + 1, min(self.next_index - 1, hint_index + 1)
        )
        self.is_probing = True
        self.is_awaiting_probe = False
        self.barrier_round = leader_round
        self._requests.clear()

    def has_gone_back(self, last_index: int, request_round: int) -> bool:
        """Returns whether the replica lost entries that it had synced.

        Args:
            last_index: Index of its last entry, as of a rejection.
            request_round: Round of the rejected request.
        """
        return (
            last_index < self.match_index and request_round > self.match_round
        )
