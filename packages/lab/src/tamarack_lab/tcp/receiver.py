"""Receiving half of a connection: reassembly and the receive window."""

BUFFER_BYTES = 65535


class Receiver:
    """Reassembles the payload of a connection.

    Attributes:
        next: Next expected sequence number, unbounded.
        unread: In-order payload that the application has not read.
        out_of_order: Payload that arrived out of order, by sequence number.
        fin_sequence: Sequence number of the peer's FIN; None before it has
            arrived.
    """

    __slots__ = ("fin_sequence", "next", "out_of_order", "unread")

    def __init__(self, first: int) -> None:
        """Initializes the receiving half of a connection.

        Args:
            first: Sequence number of the first byte of payload.
        """
        self.next = first
        self.unread = bytearray()
        self.out_of_order: dict[int, bytes] = {}
        self.fin_sequence: int | None = None

    @property
    def window(self) -> int:
        """Receive window: number of bytes that the peer may send."""
        return max(0, BUFFER_BYTES - len(self.unread))

    @property
    def is_finished(self) -> bool:
        """Whether everything up to the peer's FIN has arrived."""
        return self.fin_sequence is not None and self.next > self.fin_sequence

    def accept(self, sequence: int, payload: bytes, is_last: bool) -> bool:
        """Stores the payload of a segment.

        Args:
            sequence: Unbounded sequence number of the first byte.
            payload: The payload; may be empty.
            is_last: Whether a FIN follows the payload.

        Returns:
            True if the segment starts at or before the next expected sequence
            number.
        """
        after = sequence + len(payload)
        if is_last:
            self.fin_sequence = after
        in_order = sequence <= self.next
        # Payload that ends beyond the window is discarded, because the peer
        # sent it despite the window.
        if after > self.next and after <= self.next + self.window:
            longest = self.out_of_order.get(sequence, b"")
            if len(payload) > len(longest):
                self.out_of_order[sequence] = payload
        self._reassemble()
        return in_order

    def read(self) -> bytes:
        """Removes and returns all in-order payload."""
        data = bytes(self.unread)
        self.unread.clear()
        return data

    def _reassemble(self) -> None:
        """Moves payload that is now in order to the unread bytes."""
        while self.out_of_order:
            payload = self.out_of_order.pop(self.next, None)
            if payload is None:
                payload = self._take_overlapping()
            if payload is None:
                break
            self.unread += payload
            self.next += len(payload)
        if self.fin_sequence is not None and self.next == self.fin_sequence:
            self.next += 1

    def _take_overlapping(self) -> bytes | None:
        """Removes out-of-order payload that overlaps the expected number.

        Returns:
            The part from the expected sequence number on, or None if no
            payload reaches it.
        """
        for sequence in [s for s in self.out_of_order if s < self.next]:
            payload = self.out_of_order.pop(sequence)[self.next - sequence :]
            if payload:
                return payload
        return None
