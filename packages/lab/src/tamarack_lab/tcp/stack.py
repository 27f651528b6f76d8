"""TCP and UDP stack of one machine, or of several that share a process."""

from collections.abc import Callable
import heapq
import random

import dpkt

from tamarack_core import failure
from tamarack_lab.tcp import connection as connections
from tamarack_lab.tcp import segment as segments
from tamarack_lab.tcp import sequence

DEFAULT_MSS_BYTES = 1400

Listener = Callable[
    [connections.FourTuple, int], connections.Application | None
]
"""Called with the four-tuple of a new connection and the sequence number of
its SYN, which identifies retransmissions of the SYN."""
DatagramHandler = Callable[[connections.FourTuple, bytes], None]


class Stack:
    """Dispatches packets to connections and collects outgoing packets.

    Attributes:
        connections: Connections by four-tuple.
        listeners: Functions that return the application of a new connection,
            by address and port. A listener that returns None refuses the
            connection.
        datagram_handlers: Functions that handle UDP payload, by address and
            port.
        packets: Outgoing packets, oldest first.
        changed: Connections to flush, by four-tuple.
        timers: Heap of deadlines in seconds, each with a number and a
            connection.
        timer_number: Number of the latest timer, which orders timers with
            equal deadlines.
        random: Generator of initial sequence numbers.
        mss: Maximum TCP payload of a packet in bytes.
        muted: Local addresses that lose all TCP packets in both directions.
        unreadable: Number of dropped packets by reason.
    """

    __slots__ = (
        "changed",
        "connections",
        "datagram_handlers",
        "listeners",
        "mss",
        "muted",
        "packets",
        "random",
        "timer_number",
        "timers",
        "unreadable",
    )

    def __init__(self, seed: int, mss: int = DEFAULT_MSS_BYTES) -> None:
        """Initializes a stack without connections.

        Args:
            seed: Seed of the initial sequence numbers.
            mss: Maximum TCP payload of a packet in bytes.
        """
        self.connections: dict[
            connections.FourTuple, connections.Connection
        ] = {}
        self.listeners: dict[tuple[bytes, int], Listener] = {}
        self.datagram_handlers: dict[tuple[bytes, int], DatagramHandler] = {}
        self.packets: list[bytes] = []
        self.changed: dict[connections.FourTuple, connections.Connection] = {}
        self.timers: list[tuple[float, int, connections.Connection]] = []
        self.timer_number = 0
        self.random = random.Random(seed)
        self.mss = mss
        self.muted: set[bytes] = set()
        self.unreadable: dict[str, int] = {}

    def connect(
        self,
        now_s: float,
        four_tuple: connections.FourTuple,
        application: connections.Application,
    ) -> connections.Connection:
        """Opens a connection.

        Args:
            now_s: Monotonic time in seconds.
            four_tuple: Addresses and ports, which no other connection uses.
            application: User of the connection.
        """
        connection = self._create(four_tuple, application)
        connection.connect(now_s)
        return connection

    def mark_changed(self, connection: connections.Connection) -> None:
        """Marks a connection for the next flush.

        Required after a connection is used outside of `Application.notify`.
        """
        self.changed[connection.four_tuple] = connection

    def send_datagram(
        self, four_tuple: connections.FourTuple, payload: bytes
    ) -> None:
        """Sends a UDP datagram."""
        header = dpkt.udp.UDP(
            sport=four_tuple.port,
            dport=four_tuple.remote_port,
            ulen=dpkt.udp.UDP_HDR_LEN + len(payload),
            data=payload,
        )
        self.packets.append(
            segments.encode_packet(
                four_tuple.address,
                four_tuple.remote_address,
                dpkt.ip.IP_PROTO_UDP,
                header,
            )
        )

    def receive(self, now_s: float, packet: bytes) -> None:
        """Handles an IP packet; `flush` returns the resulting packets."""
        parsed = segments.decode(packet)
        if isinstance(parsed, segments.Segment):
            self._receive_segment(now_s, parsed)
        elif parsed.reason == "not-tcp":
            self._receive_datagram(packet)
        else:
            self._drop(parsed.reason)

    def flush(self, now_s: float) -> list[bytes]:
        """Removes and returns the outgoing packets."""
        while self.changed:
            batch = self.changed
            self.changed = {}
            for connection in batch.values():
                self._flush_connection(now_s, connection)
        packets = self.packets
        self.packets = []
        return packets

    def expire(self, now_s: float) -> None:
        """Handles all expired timers."""
        while self.timers and self.timers[0][0] <= now_s:
            at_s, _, connection = heapq.heappop(self.timers)
            if at_s != connection.timer_at_s:
                continue
            connection.timer_at_s = None
            deadline_s = connection.deadline_s
            if deadline_s is not None and deadline_s <= now_s:
                connection.expire(now_s)
            self.mark_changed(connection)

    def next_deadline(self) -> float | None:
        """Returns when `expire` is due, or None if no timer runs."""
        return self.timers[0][0] if self.timers else None

    def _create(
        self,
        four_tuple: connections.FourTuple,
        application: connections.Application,
    ) -> connections.Connection:
        """Adds a connection in the state CLOSED."""
        initial = self.random.getrandbits(32)
        connection = connections.Connection(
            four_tuple, initial, self.mss, application
        )
        self.connections[four_tuple] = connection
        self.mark_changed(connection)
        return connection

    def _receive_segment(self, now_s: float, segment: segments.Segment) -> None:
        """Passes a segment to its connection or listener."""
        four_tuple = connections.FourTuple(
            segment.destination,
            segment.destination_port,
            segment.source,
            segment.source_port,
        )
        if four_tuple.address in self.muted:
            return
        connection = self.connections.get(four_tuple)
        is_opening = segment.flags & (segments.SYN | segments.ACK) == (
            segments.SYN
        )
        if connection is not None and is_opening:
            connection = self._replace_time_wait(segment, connection)
        if connection is not None:
            connection.receive(now_s, segment)
            self.mark_changed(connection)
        elif is_opening:
            self._accept(now_s, four_tuple, segment)
        elif not segment.flags & segments.RST:
            self._reset(segment)

    def _replace_time_wait(
        self, segment: segments.Segment, connection: connections.Connection
    ) -> connections.Connection | None:
        """Decides whether a SYN replaces a connection in TIME_WAIT.

        Returns:
            None if the SYN opens a new incarnation, otherwise the connection.
        """
        receiver = connection.receiver
        if connection.state is not connections.State.TIME_WAIT or not receiver:
            return connection
        number = sequence.unwrap(segment.sequence, receiver.next)
        return None if number > receiver.next else connection

    def _accept(
        self,
        now_s: float,
        four_tuple: connections.FourTuple,
        syn: segments.Segment,
    ) -> None:
        """Opens a connection for a SYN, or refuses it."""
        listener = self.listeners.get((four_tuple.address, four_tuple.port))
        application = listener(four_tuple, syn.sequence) if listener else None
        if application is None:
            self._reset(syn)
            return
        self._create(four_tuple, application).accept(now_s, syn)

    def _reset(self, segment: segments.Segment) -> None:
        """Replies with a reset to a segment that belongs to no connection."""
        flags = segments.RST
        number = segment.acknowledgment
        if not segment.flags & segments.ACK:
            flags |= segments.ACK
            number = 0
        after = (segment.sequence + segment.length) & sequence.MASK
        reply = segments.Segment(
            segment.destination,
            segment.destination_port,
            segment.source,
            segment.source_port,
            number,
            after if flags & segments.ACK else 0,
            flags,
        )
        self.packets.append(segments.encode(reply))

    def _receive_datagram(self, packet: bytes) -> None:
        """Passes UDP payload to its handler."""
        parsed = segments.decode_packet(packet)
        if isinstance(parsed, failure.Failure):
            self._drop(parsed.reason)
            return
        header = parsed.data
        if not isinstance(header, dpkt.udp.UDP):
            self._drop("protocol")
            return
        four_tuple = connections.FourTuple(
            parsed.dst, header.dport, parsed.src, header.sport
        )
        handler = self.datagram_handlers.get(
            (four_tuple.address, four_tuple.port)
        )
        if handler is None:
            self._drop("udp-port")
            return
        handler(four_tuple, bytes(header.data))

    def _flush_connection(
        self, now_s: float, connection: connections.Connection
    ) -> None:
        """Collects the segments of a connection and sets its timer."""
        outgoing = connection.flush(now_s)
        if connection.four_tuple.address not in self.muted:
            self.packets.extend(segments.encode(s) for s in outgoing)
        if connection.state is connections.State.CLOSED:
            if self.connections.get(connection.four_tuple) is connection:
                del self.connections[connection.four_tuple]
            return
        deadline_s = connection.deadline_s
        if deadline_s is not None:
            self._schedule(deadline_s, connection)

    def _schedule(
        self, deadline_s: float, connection: connections.Connection
    ) -> None:
        """Adds a timer unless one with an equal or earlier deadline runs."""
        running_s = connection.timer_at_s
        if running_s is not None and running_s <= deadline_s:
            return
        connection.timer_at_s = deadline_s
        self.timer_number += 1
        heapq.heappush(self.timers, (deadline_s, self.timer_number, connection))

    def _drop(self, reason: str) -> None:
        """Counts a dropped packet."""
        self.unreadable[reason] = self.unreadable.get(reason, 0) + 1
