"""Sending half of a connection: buffer, retransmission, congestion control.

Loss recovery follows NewReno (RFC 6582). The retransmission timer follows RFC
6298.
"""

from collections.abc import Iterator
import dataclasses

INITIAL_RTO_S = 1.0
MIN_RTO_S = 0.2
MAX_RTO_S = 4.0
MAX_RETRIES = 14
INITIAL_WINDOW_SEGMENTS = 10
# A fabric that sprays packets over hosts reorders them. A few duplicate
# acknowledgments are therefore no sign of loss.
DUPLICATE_THRESHOLD = 8

_RTT_GAIN = 1 / 8
_VARIATION_GAIN = 1 / 4
_VARIATION_FACTOR = 4


@dataclasses.dataclass(slots=True)
class Chunk:
    """Payload of one segment to send.

    Attributes:
        sequence: Unbounded sequence number of the first byte.
        payload: The payload.
        is_last: Whether a FIN follows the payload.
    """

    sequence: int
    payload: bytes
    is_last: bool


class Sender:
    """Determines what to send and when to retransmit it.

    Attributes:
        mss: Maximum payload of a segment in bytes.
        buffer: Payload that is not acknowledged yet; starts at `base`.
        base: Sequence number of the first byte of `buffer`.
        unacknowledged: Lowest unacknowledged sequence number.
        next: Next sequence number to send.
        highest: Highest sequence number ever sent, plus one.
        window: Receive window of the peer in bytes.
        congestion_window: Congestion window in bytes.
        slow_start_threshold: Slow start threshold in bytes.
        duplicates: Number of consecutive duplicate acknowledgments.
        recovery_end: Sequence number whose acknowledgment ends fast recovery;
            None outside of fast recovery.
        is_closing: Whether a FIN follows the buffer.
        rtt_s: Smoothed round-trip time in seconds; None before a sample.
        rtt_variation_s: Variation of the round-trip time in seconds.
        rto_s: Retransmission timeout in seconds.
        deadline_s: Time at which the retransmission timer fires; None if it
            is stopped.
        retries: Number of consecutive timeouts without progress.
        timed_sequence: Sequence number whose round-trip time is measured;
            None if there is no measurement.
        timed_at_s: Time at which it was sent.
        retransmitted: Number of retransmitted segments.
    """

    __slots__ = (
        "base",
        "buffer",
        "congestion_window",
        "deadline_s",
        "duplicates",
        "highest",
        "is_closing",
        "mss",
        "next",
        "recovery_end",
        "retransmitted",
        "retries",
        "rto_s",
        "rtt_s",
        "rtt_variation_s",
        "slow_start_threshold",
        "timed_at_s",
        "timed_sequence",
        "unacknowledged",
        "window",
    )

    def __init__(self, initial: int, mss: int) -> None:
        """Initializes the sending half, before the SYN is sent.

        Args:
            initial: Initial sequence number.
            mss: Maximum payload of a segment in bytes.
        """
        self.mss = mss
        self.buffer = bytearray()
        self.base = initial + 1
        self.unacknowledged = initial
        self.next = initial
        self.highest = initial
        self.window = 0
        self.congestion_window = INITIAL_WINDOW_SEGMENTS * mss
        self.slow_start_threshold = 1 << 20
        self.duplicates = 0
        self.recovery_end: int | None = None
        self.is_closing = False
        self.rtt_s: float | None = None
        self.rtt_variation_s = 0.0
        self.rto_s = INITIAL_RTO_S
        self.deadline_s: float | None = None
        self.retries = 0
        self.timed_sequence: int | None = None
        self.timed_at_s = 0.0
        self.retransmitted = 0

    @property
    def end(self) -> int:
        """Sequence number after the buffer and the FIN, if there is one."""
        return self.base + len(self.buffer) + self.is_closing

    @property
    def in_flight(self) -> int:
        """Number of sequence numbers that are sent and unacknowledged."""
        return self.next - self.unacknowledged

    @property
    def is_all_acknowledged(self) -> bool:
        """Whether the peer has acknowledged everything, including a FIN."""
        return self.unacknowledged == self.end

    def open(self, now_s: float) -> None:
        """Records that the SYN is sent and starts its timer."""
        self.next = self.base
        self.highest = self.base
        self.timed_sequence = self.unacknowledged
        self.timed_at_s = now_s
        self.deadline_s = now_s + self.rto_s

    def take_sendable(self, now_s: float) -> Iterator[Chunk]:
        """Yields the chunks that the two windows allow to be sent.

        The windows are the peer's receive window and the congestion window.
        Each yielded chunk is recorded as sent.
        """
        limit = self.unacknowledged + min(self.window, self.congestion_window)
        while self.next < self.end:
            size = min(self.mss, limit - self.next)
            if size <= 0:
                break
            chunk = self._make_chunk(self.next, size)
            self._record_sent(now_s, chunk)
            yield chunk
        # While the window is closed, only the probe that the timer triggers
        # can detect that it has opened again.
        if self.deadline_s is None and self.next < self.end:
            self.deadline_s = now_s + self.rto_s

    def acknowledge(
        self, now_s: float, number: int, window: int, is_pure: bool
    ) -> list[Chunk]:
        """Handles an acknowledgment.

        Args:
            now_s: Monotonic time in seconds.
            number: Unbounded acknowledgment number.
            window: Receive window of the peer in bytes.
            is_pure: Whether the segment had neither payload nor FIN.

        Returns:
            Chunks to retransmit immediately.
        """
        same_window = window == self.window
        self.window = window
        if number > self.highest or number < self.unacknowledged:
            return []
        if number > self.unacknowledged:
            return self._acknowledge_new(now_s, number)
        if is_pure and same_window and self.in_flight:
            return self._acknowledge_duplicate(now_s)
        return []

    def expire(self, now_s: float) -> list[Chunk]:
        """Handles the expiry of the retransmission timer.

        Returns:
            Chunks to send immediately. `take_sendable` yields the rest.
        """
        self.retries += 1
        self.rto_s = min(MAX_RTO_S, self.rto_s * 2)
        self.deadline_s = now_s + self.rto_s
        self.timed_sequence = None
        if self.unacknowledged < self.base:
            return []
        if not self.window:
            return self._probe_window()
        self.slow_start_threshold = max(self.in_flight // 2, 2 * self.mss)
        self.congestion_window = self.mss
        self.recovery_end = None
        self.duplicates = 0
        chunk = self._make_chunk(self.unacknowledged, self.mss)
        self.next = self._end_of(chunk)
        self.highest = max(self.highest, self.next)
        self.retransmitted += 1
        return [chunk]

    def _probe_window(self) -> list[Chunk]:
        """Returns a window probe: one byte beyond the closed window."""
        chunk = self._make_chunk(self.unacknowledged, 1)
        # `next` does not include the probe. When the window opens, the byte is
        # sent again together with the payload after it.
        self.highest = max(self.highest, self._end_of(chunk))
        # A peer may keep its window closed indefinitely, so that probes must
        # not lead to a timeout.
        self.retries = 0
        return [chunk]

    def _acknowledge_new(self, now_s: float, number: int) -> list[Chunk]:
        """Handles an acknowledgment of new data."""
        acknowledged = number - self.unacknowledged
        self._sample_round_trip(now_s, number)
        data_end = self.base + len(self.buffer)
        del self.buffer[: max(0, number - self.base)]
        self.base = min(max(self.base, number), data_end)
        self.unacknowledged = number
        self.next = max(self.next, number)
        self.duplicates = 0
        self.retries = 0
        self.deadline_s = now_s + self.rto_s if self.in_flight else None
        return self._update_congestion_window(number, acknowledged)

    def _update_congestion_window(
        self, number: int, acknowledged: int
    ) -> list[Chunk]:
        """Increases the congestion window, or continues fast recovery.

        Args:
            number: Unbounded acknowledgment number.
            acknowledged: Number of newly acknowledged sequence numbers.

        Returns:
            Chunks to retransmit immediately.
        """
        if self.recovery_end is None:
            if self.congestion_window < self.slow_start_threshold:
                self.congestion_window += min(acknowledged, self.mss * 2)
            else:
                gain = self.mss * acknowledged // self.congestion_window
                self.congestion_window += max(1, gain)
            return []
        if number >= self.recovery_end:
            self.recovery_end = None
            self.congestion_window = self.slow_start_threshold
            return []
        # A partial acknowledgment means that the next segment is lost, too.
        return self._retransmit_first()

    def _acknowledge_duplicate(self, now_s: float) -> list[Chunk]:
        """Handles a duplicate acknowledgment.

        At `DUPLICATE_THRESHOLD`, fast recovery starts with a retransmission.
        """
        self.duplicates += 1
        if self.recovery_end is not None:
            self.congestion_window += self.mss
            return []
        if self.duplicates < DUPLICATE_THRESHOLD:
            return []
        self.slow_start_threshold = max(self.in_flight // 2, 2 * self.mss)
        self.congestion_window = self.slow_start_threshold
        self.recovery_end = self.next
        self.deadline_s = now_s + self.rto_s
        return self._retransmit_first()

    def _retransmit_first(self) -> list[Chunk]:
        """Returns the first unacknowledged chunk for retransmission."""
        self.timed_sequence = None
        self.retransmitted += 1
        return [self._make_chunk(self.unacknowledged, self.mss)]

    def _sample_round_trip(self, now_s: float, number: int) -> None:
        """Updates the estimated round-trip time and timeout (RFC 6298)."""
        if self.timed_sequence is None or number <= self.timed_sequence:
            return
        sample_s = now_s - self.timed_at_s
        self.timed_sequence = None
        if self.rtt_s is None:
            self.rtt_s = sample_s
            self.rtt_variation_s = sample_s / 2
        else:
            error_s = abs(self.rtt_s - sample_s)
            self.rtt_variation_s += _VARIATION_GAIN * (
                error_s - self.rtt_variation_s
            )
            self.rtt_s += _RTT_GAIN * (sample_s - self.rtt_s)
        rto_s = self.rtt_s + _VARIATION_FACTOR * self.rtt_variation_s
        self.rto_s = min(MAX_RTO_S, max(MIN_RTO_S, rto_s))

    def _make_chunk(self, sequence: int, size: int) -> Chunk:
        """Returns a chunk of the buffer."""
        start = sequence - self.base
        payload = bytes(self.buffer[start : start + size])
        is_last = self.is_closing and start + len(payload) == len(self.buffer)
        return Chunk(sequence, payload, is_last)

    def _end_of(self, chunk: Chunk) -> int:
        """Returns the sequence number after a chunk."""
        return chunk.sequence + len(chunk.payload) + chunk.is_last

    def _record_sent(self, now_s: float, chunk: Chunk) -> None:
        """Records that a chunk is sent and starts the timer if stopped."""
        if chunk.sequence < self.highest:
            self.retransmitted += 1
        elif self.timed_sequence is None:
            self.timed_sequence = chunk.sequence
            self.timed_at_s = now_s
        self.next = self._end_of(chunk)
        self.highest = max(self.highest, self.next)
        if self.deadline_s is None:
            self.deadline_s = now_s + self.rto_s
