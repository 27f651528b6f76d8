"""One TCP connection as a state machine without I/O (RFC 9293)."""

import enum
from typing import NamedTuple
from typing import Protocol

from tamarack_lab.tcp import receiver as receivers
from tamarack_lab.tcp import segment as segments
from tamarack_lab.tcp import sender as senders
from tamarack_lab.tcp import sequence

# Twice a maximum segment lifetime of 30 s.
TIME_WAIT_S = 60.0
# A window update is sent when a read increases the window to this size.
_WINDOW_UPDATE_BYTES = receivers.BUFFER_BYTES // 2


class FourTuple(NamedTuple):
    """Addresses and ports of a connection, seen from one end.

    Attributes:
        address: Own address in network byte order.
        port: Own port.
        remote_address: Address of the peer in network byte order.
        remote_port: Port of the peer.
    """

    address: bytes
    port: int
    remote_address: bytes
    remote_port: int


class State(enum.StrEnum):
    """State of a connection, by the names of RFC 9293."""

    CLOSED = "closed"
    SYN_SENT = "syn-sent"
    SYN_RECEIVED = "syn-received"
    ESTABLISHED = "established"
    FIN_WAIT_1 = "fin-wait-1"
    FIN_WAIT_2 = "fin-wait-2"
    CLOSE_WAIT = "close-wait"
    CLOSING = "closing"
    LAST_ACK = "last-ack"
    TIME_WAIT = "time-wait"


class ConnectionEvent(enum.StrEnum):
    """Event that an application is notified of.

    `READABLE` means that payload has arrived, `WRITABLE` that the peer has
    acknowledged something, `ENDED` that the peer has sent its FIN, and
    `CLOSED` that both sides have closed normally. `REFUSED` is a reset in
    response to the SYN, `RESET` a reset at any later time.
    """

    CONNECTED = "connected"
    READABLE = "readable"
    WRITABLE = "writable"
    ENDED = "ended"
    CLOSED = "closed"
    REFUSED = "refused"
    RESET = "reset"
    TIMED_OUT = "timed-out"


class Application(Protocol):
    """User of a connection."""

    def notify(self, connection: "Connection", event: ConnectionEvent) -> None:
        """Handles an event.

        Args:
            connection: The connection, which the call may use directly.
            event: The event.
        """


_AFTER_FIN_ACKNOWLEDGED = {
    State.FIN_WAIT_1: State.FIN_WAIT_2,
    State.CLOSING: State.TIME_WAIT,
    State.LAST_ACK: State.CLOSED,
}
_AFTER_FIN_RECEIVED = {
    State.ESTABLISHED: State.CLOSE_WAIT,
    State.FIN_WAIT_1: State.CLOSING,
    State.FIN_WAIT_2: State.TIME_WAIT,
}
_AFTER_FIN_SENT = {
    State.ESTABLISHED: State.FIN_WAIT_1,
    State.CLOSE_WAIT: State.LAST_ACK,
}


class Connection:
    """One end of a TCP connection.

    Attributes:
        four_tuple: Addresses and ports.
        state: State by RFC 9293.
        sender: Sending half.
        receiver: Receiving half; None before the peer's SYN.
        application: User of the connection.
        outgoing: Segments to send, oldest first.
        mss: Maximum payload of a segment that this side accepts, in bytes.
        is_acknowledgment_due: Whether the next flush must send an ACK.
        time_wait_until_s: Time at which TIME_WAIT ends; None in other states.
        sent_payload: Whether any payload has been sent.
        timer_at_s: Time at which the stack's timer for this connection fires;
            None if there is no timer.
    """

    __slots__ = (
        "application",
        "four_tuple",
        "is_acknowledgment_due",
        "mss",
        "outgoing",
        "receiver",
        "sender",
        "sent_payload",
        "state",
        "time_wait_until_s",
        "timer_at_s",
    )

    def __init__(
        self,
        four_tuple: FourTuple,
        initial: int,
        mss: int,
        application: Application,
    ) -> None:
        """Initializes a closed connection.

        Args:
            four_tuple: Addresses and ports.
            initial: Initial sequence number, 32 bits.
            mss: Maximum payload of a segment that this side accepts, in bytes.
            application: User of the connection.
        """
        self.four_tuple = four_tuple
        self.state = State.CLOSED
        self.sender = senders.Sender(initial, mss)
        self.receiver: receivers.Receiver | None = None
        self.application = application
        self.outgoing: list[segments.Segment] = []
        self.mss = mss
        self.is_acknowledgment_due = False
        self.time_wait_until_s: float | None = None
        self.sent_payload = False
        self.timer_at_s: float | None = None

    @property
    def deadline_s(self) -> float | None:
        """Time at which `expire` must be called, or None if no timer runs."""
        if self.time_wait_until_s is not None:
            return self.time_wait_until_s
        return self.sender.deadline_s

    def connect(self, now_s: float) -> None:
        """Opens the connection actively by sending a SYN."""
        self.state = State.SYN_SENT
        self.sender.open(now_s)
        self._send_syn()

    def accept(self, now_s: float, syn: segments.Segment) -> None:
        """Opens the connection passively in response to a SYN."""
        self.state = State.SYN_RECEIVED
        self._create_receiver(syn)
        self.sender.open(now_s)
        self._send_syn()

    def write(self, data: bytes) -> None:
        """Queues payload for the next flush."""
        self.sender.buffer += data

    def read(self) -> bytes:
        """Removes and returns the payload received in order so far."""
        if self.receiver is None:
            return b""
        window_before = self.receiver.window
        data = self.receiver.read()
        if window_before < _WINDOW_UPDATE_BYTES <= self.receiver.window:
            self.is_acknowledgment_due = True
        return data

    def finish(self) -> None:
        """Closes the sending side after all queued payload has been sent."""
        if self.sender.is_closing or self.state is State.CLOSED:
            return
        self.sender.is_closing = True
        self.state = _AFTER_FIN_SENT.get(self.state, self.state)

    def abort(self) -> None:
        """Resets the connection without notifying the application."""
        if self.state is not State.CLOSED:
            self._queue_segment(self.sender.next, segments.RST | segments.ACK)
        self._close()

    def flush(self, now_s: float) -> list[segments.Segment]:
        """Returns all segments that may be sent now."""
        if self.state not in (State.CLOSED, State.SYN_SENT, State.SYN_RECEIVED):
            for chunk in self.sender.take_sendable(now_s):
                self._send_chunk(chunk)
        if self.is_acknowledgment_due and self.state is not State.CLOSED:
            self._queue_segment(self.sender.highest, segments.ACK)
        outgoing = self.outgoing
        self.outgoing = []
        return outgoing

    def expire(self, now_s: float) -> None:
        """Handles an expired timer."""
        if self.time_wait_until_s is not None:
            self._terminate(ConnectionEvent.CLOSED)
            return
        if self.sender.retries >= senders.MAX_RETRIES:
            self._terminate(ConnectionEvent.TIMED_OUT)
            return
        chunks = self.sender.expire(now_s)
        if self.state in (State.SYN_SENT, State.SYN_RECEIVED):
            self._send_syn()
        for chunk in chunks:
            self._send_chunk(chunk)

    def receive(self, now_s: float, segment: segments.Segment) -> None:
        """Handles a segment from the peer."""
        if self.state is State.SYN_SENT:
            self._receive_in_syn_sent(now_s, segment)
        elif self.receiver is not None:
            self._receive_synchronized(now_s, segment, self.receiver)

    def _receive_in_syn_sent(
        self, now_s: float, segment: segments.Segment
    ) -> None:
        """Handles the response to a SYN."""
        expected = self.sender.base & sequence.MASK
        has_ack = bool(segment.flags & segments.ACK)
        if has_ack and segment.acknowledgment != expected:
            self._reset_half_open(segment)
            return
        if not has_ack:
            return
        if segment.flags & segments.RST:
            self._terminate(ConnectionEvent.REFUSED)
        elif segment.flags & segments.SYN:
            self._create_receiver(segment)
            self.sender.acknowledge(
                now_s, self.sender.base, segment.window, False
            )
            self._establish()
            self.is_acknowledgment_due = True

    def _reset_half_open(self, segment: segments.Segment) -> None:
        """Resets a stale connection that the peer still has (half-open)."""
        if not segment.flags & segments.RST:
            self._queue_segment(segment.acknowledgment, segments.RST)

    def _receive_synchronized(
        self,
        now_s: float,
        segment: segments.Segment,
        receiver: receivers.Receiver,
    ) -> None:
        """Handles a segment once both initial sequence numbers are known."""
        number = sequence.unwrap(segment.sequence, receiver.next)
        if not self._is_acceptable(number, segment, receiver):
            if not segment.flags & segments.RST:
                self._queue_segment(self.sender.highest, segments.ACK)
            if self.state is State.TIME_WAIT and segment.flags & segments.FIN:
                self._start_time_wait(now_s)
            return
        if segment.flags & segments.RST:
            self._receive_reset(number, receiver)
            return
        if segment.flags & segments.SYN:
            # RFC 5961: a SYN in a synchronized state is answered with a
            # challenge ACK. A SYN retransmitted in SYN_RECEIVED lies outside
            # the window and is handled above.
            self._queue_segment(self.sender.highest, segments.ACK)
            return
        if not segment.flags & segments.ACK:
            return
        self._receive_acknowledgment(now_s, segment)
        if self.state is not State.CLOSED:
            self._receive_payload(now_s, number, segment, receiver)

    def _is_acceptable(
        self,
        number: int,
        segment: segments.Segment,
        receiver: receivers.Receiver,
    ) -> bool:
        """Returns True if a segment overlaps the receive window."""
        after = number + segment.length
        if segment.length and after <= receiver.next:
            return False
        # A keepalive segment carries no new data and may start one sequence
        # number before the expected one.
        return receiver.next - 1 <= after and (
            number <= receiver.next + receiver.window
        )

    def _receive_reset(self, number: int, receiver: receivers.Receiver) -> None:
        """Handles a reset.

        Only a reset with exactly the expected sequence number is accepted.
        Others are answered with a challenge ACK (RFC 5961).
        """
        if number != receiver.next:
            self._queue_segment(self.sender.highest, segments.ACK)
            return
        self._terminate(ConnectionEvent.RESET)

    def _receive_acknowledgment(
        self, now_s: float, segment: segments.Segment
    ) -> None:
        """Handles the acknowledgment number of a segment."""
        sender = self.sender
        number = sequence.unwrap(segment.acknowledgment, sender.unacknowledged)
        if self.state is State.SYN_RECEIVED:
            if number < sender.base or number > sender.highest:
                return
            self._establish()
        before = sender.unacknowledged
        was_finished = sender.is_closing and sender.is_all_acknowledged
        resent = sender.acknowledge(
            now_s, number, segment.window, not segment.length
        )
        for chunk in resent:
            self._send_chunk(chunk)
        if (
            sender.is_closing
            and sender.is_all_acknowledged
            and not was_finished
        ):
            self._receive_last_acknowledgment(now_s)
        elif sender.unacknowledged > before:
            self.application.notify(self, ConnectionEvent.WRITABLE)

    def _receive_last_acknowledgment(self, now_s: float) -> None:
        """Handles the acknowledgment of this side's FIN."""
        self.state = _AFTER_FIN_ACKNOWLEDGED.get(self.state, self.state)
        if self.state is State.TIME_WAIT:
            self._start_time_wait(now_s)
        elif self.state is State.CLOSED:
            self._terminate(ConnectionEvent.CLOSED)

    def _receive_payload(
        self,
        now_s: float,
        number: int,
        segment: segments.Segment,
        receiver: receivers.Receiver,
    ) -> None:
        """Handles the payload and the FIN of a segment."""
        if not segment.length:
            return
        before = receiver.next
        is_last = bool(segment.flags & segments.FIN)
        if receiver.accept(number, segment.payload, is_last):
            self.is_acknowledgment_due = True
        else:
            # Each out-of-order segment is acknowledged at once, so that the
            # peer can count duplicate acknowledgments.
            self._queue_segment(self.sender.highest, segments.ACK)
        if receiver.next == before:
            return
        if receiver.unread:
            self.application.notify(self, ConnectionEvent.READABLE)
        if receiver.is_finished:
            self._receive_fin(now_s)

    def _receive_fin(self, now_s: float) -> None:
        """Handles the peer's FIN after all payload before it has arrived."""
        after = _AFTER_FIN_RECEIVED.get(self.state)
        if after is None:
            return
        self.state = after
        if after is State.TIME_WAIT:
            self._start_time_wait(now_s)
        self.application.notify(self, ConnectionEvent.ENDED)

    def _create_receiver(self, syn: segments.Segment) -> None:
        """Creates the receiving half from the peer's SYN.

        The peer's maximum segment size limits the segments of this side.
        """
        self.receiver = receivers.Receiver(syn.sequence + 1)
        offered = syn.mss or segments.DEFAULT_MSS_BYTES
        self.sender.mss = min(self.sender.mss, offered)
        self.sender.window = syn.window

    def _establish(self) -> None:
        """Enters ESTABLISHED, or FIN_WAIT_1 when already closing."""
        self.state = State.ESTABLISHED
        if self.sender.is_closing:
            self.state = State.FIN_WAIT_1
        self.application.notify(self, ConnectionEvent.CONNECTED)

    def _start_time_wait(self, now_s: float) -> None:
        """Starts or restarts the timer of TIME_WAIT."""
        self.sender.deadline_s = None
        self.time_wait_until_s = now_s + TIME_WAIT_S

    def _terminate(self, event: ConnectionEvent) -> None:
        """Closes without sending a segment and notifies the application."""
        self._close()
        self.application.notify(self, event)

    def _close(self) -> None:
        """Enters CLOSED and stops all timers."""
        self.state = State.CLOSED
        self.sender.deadline_s = None
        self.time_wait_until_s = None

    def _send_syn(self) -> None:
        """Queues the SYN or SYN-ACK of this side."""
        flags = segments.SYN
        if self.receiver is not None:
            flags |= segments.ACK
        self._queue_segment(self.sender.base - 1, flags, mss=self.mss)

    def _send_chunk(self, chunk: senders.Chunk) -> None:
        """Queues a segment with payload, a FIN or both."""
        flags = segments.ACK
        if chunk.payload:
            flags |= segments.PSH
            self.sent_payload = True
        if chunk.is_last:
            flags |= segments.FIN
        self._queue_segment(chunk.sequence, flags, chunk.payload)

    def _queue_segment(
        self, number: int, flags: int, payload: bytes = b"", mss: int = 0
    ) -> None:
        """Queues an outgoing segment, which also carries a due ACK."""
        receiver = self.receiver
        four_tuple = self.four_tuple
        self.is_acknowledgment_due = False
        self.outgoing.append(
            segments.Segment(
                four_tuple.address,
                four_tuple.port,
                four_tuple.remote_address,
                four_tuple.remote_port,
                number & sequence.MASK,
                (receiver.next & sequence.MASK) if receiver else 0,
                flags,
                receiver.window if receiver else receivers.BUFFER_BYTES,
                mss,
                payload,
            )
        )
