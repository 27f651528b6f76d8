"""Replication progress of one other replica, as known to the leader."""

import collections

import msgspec

from tamarack_core.internal.consensus import log_parameters
from tamarack_core.internal.consensus import membership


class _Request(msgspec.Struct):
    last_index: int
    size_bytes: int


class SnapshotTransfer(msgspec.Struct):
    """Transfer of a snapshot to a replica.

    Attributes:
        index: Index of the last entry that the snapshot covers.
        data: The encoded snapshot.
        offset: Number of bytes that the replica is known to have received.
        sent_round: Round of the last chunk sent.
    """

    index: int
    data: bytes
    offset: int = 0
    sent_round: int = 0


class Progress:
    """Replication progress of one member.

    While the last matching index is unknown, the leader probes with one
    request at a time. Afterwards it pipelines requests, up to the window.

    Attributes:
        member: The other replica.
        match_index: Last index known to be synced by the replica.
        match_round: Round of the leader when `match_index` last increased.
        next_index: Index of the next entry to send.
        is_probing: Whether the last matching index is unknown.
        is_awaiting_probe: Whether a probe is in flight.
        barrier_round: Rejections of requests up to this round are stale.
        answered_round: Highest round to which the replica responded.
        answered_s: Monotonic time of the last response.
        snapshot_transfer: Snapshot transfer in progress, if any.
        is_refused: Whether the replica lost entries that it had synced; it no
            longer counts towards a quorum.
        expected_index: Index that a majority of the voters held at
            `expected_s`.
        expected_s: Monotonic time at which the replica was last known to hold
            what a majority had held before.
    """

    __slots__ = (
        "_requests",
        "answered_round",
        "answered_s",
        "barrier_round",
        "expected_index",
        "expected_s",
        "is_awaiting_probe",
        "is_probing",
        "is_refused",
        "match_index",
        "match_round",
        "member",
        "next_index",
        "snapshot_transfer",
    )

    def __init__(
        self, member: membership.Member, next_index: int, now_s: float
    ) -> None:
        """Initializes the progress with an unknown matching index.

        Args:
            member: The other replica.
            next_index: Index after the last entry of the leader.
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
        self.snapshot_transfer: SnapshotTransfer | None = None
        self.is_refused = False
        self.expected_index = 0
        self.expected_s = now_s
        self._requests: collections.deque[_Request] = collections.deque()

    @property
    def has_requests_in_flight(self) -> bool:
        """Whether a request with entries is in flight."""
        return bool(self._requests)

    def can_send(self, parameters: log_parameters.LogParameters) -> bool:
        """Returns whether another request with entries may be sent now."""
        if self.snapshot_transfer is not None or self.is_refused:
            return False
        if self.is_probing:
            return not self.is_awaiting_probe
        size_bytes = sum(request.size_bytes for request in self._requests)
        return (
            len(self._requests) < parameters.window_requests
            and size_bytes < parameters.window_bytes
        )

    def record_sent(self, last_index: int, size_bytes: int) -> None:
        """Records that a request with entries up to `last_index` was sent."""
        if self.is_probing:
            self.is_awaiting_probe = True
            return
        self.next_index = last_index + 1
        self._requests.append(_Request(last_index, size_bytes))

    def record_match(self, match_index: int, leader_round: int) -> None:
        """Records that the replica has synced its log up to `match_index`."""
        if match_index > self.match_index:
            self.match_index = match_index
            self.match_round = leader_round
        self.next_index = max(self.next_index, self.match_index + 1)
        self.is_probing = False
        self.is_awaiting_probe = False
        if (
            self.snapshot_transfer
            and self.snapshot_transfer.index <= self.match_index
        ):
            self.snapshot_transfer = None
        while self._requests and (
            self._requests[0].last_index <= self.match_index
        ):
            self._requests.popleft()

    def observe_majority(self, now_s: float, index: int) -> None:
        """Records what a majority holds, once the replica holds the earlier.

        Args:
            now_s: Monotonic time in seconds.
            index: Last index that a majority of the voters has synced.
        """
        if self.match_index >= self.expected_index:
            self.expected_index = index
            self.expected_s = now_s

    def lag_s(self, now_s: float) -> float:
        """Returns for how long the replica has lacked what a majority held."""
        if self.match_index >= self.expected_index:
            return 0.0
        return now_s - self.expected_s

    def record_rejection(self, hint_index: int, leader_round: int) -> None:
        """Returns to probing after a rejected request.

        Args:
            hint_index: Last index that may equal the leader's log.
            leader_round: Round of the last request sent to any replica.
        """
        self.next_index = max(
            self.match_index + 1, min(self.next_index - 1, hint_index + 1)
        )
        self.is_probing = True
        self.is_awaiting_probe = False
        self.barrier_round = leader_round
        self._requests.clear()

    def has_lost_synced_entries(
        self, last_index: int, request_round: int
    ) -> bool:
        """Returns whether the replica lost entries that it had synced.

        Args:
            last_index: Index of its last entry, from a rejection.
            request_round: Round of the rejected request.
        """
        return (
            last_index < self.match_index and request_round > self.match_round
        )
