"""TCP of the simulated callers and targets, over a faulty wire."""

import os
import random

import dpkt
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import testtools

from tamarack_core import failure
from tamarack_lab.tcp import connection as connections
from tamarack_lab.tcp import segment as segments
from tamarack_lab.tcp import sender as sending
from tamarack_lab.tcp import sequence
from tamarack_lab.tcp import stack as stacks

IS_SOAK = os.environ.get("TAMARACK_PROFILE") == "soak"
EXAMPLES = 300 if IS_SOAK else 25
STEP_S = 0.05
LIMIT_S = 300.0
ConnectionEvent = connections.ConnectionEvent
ADDRESSES = {
    4: (b"\x0a\0\0\1", b"\x0a\0\0\2"),
    6: (b"\xfd" + bytes(14) + b"\1", b"\xfd" + bytes(14) + b"\2"),
}


class Recorder:
    """Application that records events and data, and may echo the data."""

    def __init__(self, echoes: bool = False) -> None:
        self.events: list[ConnectionEvent] = []
        self.data = b""
        self.echoes = echoes

    def notify(self, connection, event):
        self.events.append(event)
        if event is ConnectionEvent.READABLE:
            data = connection.read()
            self.data += data
            if self.echoes:
                connection.write(data)
        elif event is ConnectionEvent.ENDED:
            connection.finish()


class Wire:
    """Two TCP stacks and a wire that may lose and reorder packets."""

    def __init__(self, seed: int, version: int = 4, loss=0.0, reorder=0.0):
        self.random = random.Random(seed)
        self.loss = loss
        self.reorder = reorder
        self.now_s = 0.0
        self.client = stacks.Stack(seed)
        self.server = stacks.Stack(seed + 1)
        self.server_application = Recorder(echoes=True)
        client, server = ADDRESSES[version]
        self.path = connections.FourTuple(client, 40000, server, 80)
        self.server.listeners[(server, 80)] = lambda *_: self.server_application
        self.application = Recorder()

    def connect(self):
        self.connection = self.client.connect(
            self.now_s, self.path, self.application
        )

    def step(self):
        """Advances the time by a step and delivers packets of both sides."""
        self.now_s += STEP_S
        for source_stack, peer_stack in (
            (self.client, self.server),
            (self.server, self.client),
        ):
            source_stack.expire(self.now_s)
            packets = source_stack.flush(self.now_s)
            if self.random.random() < self.reorder:
                self.random.shuffle(packets)
            for packet in packets:
                if self.random.random() >= self.loss:
                    peer_stack.receive(self.now_s, packet)

    def run(self, until):
        while not until() and self.now_s < LIMIT_S:
            self.step()


class TransferTest(testtools.TestCase):
    """Bytes arrive whole and in order."""

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=not IS_SOAK)
    @given(
        seed=st.integers(0, 2**32),
        size=st.integers(0, 100_000),
        loss=st.sampled_from([0.0, 0.01, 0.2]),
        reorder=st.sampled_from([0.0, 0.5, 1.0]),
        version=st.sampled_from([4, 6]),
    )
    def test_an_echo_comes_back_whole_and_both_sides_close(
        self, seed, size, loss, reorder, version
    ):
        wire = Wire(seed, version, loss, reorder)
        data = random.Random(seed).randbytes(size)
        wire.connect()
        wire.connection.write(data)
        wire.run(lambda: len(wire.application.data) >= size)
        wire.connection.finish()
        wire.client.mark_changed(wire.connection)
        wire.run(
            lambda: not (wire.client.connections or wire.server.connections)
        )
        self.assertEqual(size, len(wire.application.data))
        self.assertTrue(data == wire.application.data)
        self.assertEqual(ConnectionEvent.CLOSED, wire.application.events[-1])
        self.assertEqual(
            ConnectionEvent.CLOSED, wire.server_application.events[-1]
        )
        self.assertEqual({}, wire.client.unreadable)

    def test_a_lost_segment_is_retransmitted_before_the_timer(self):
        wire = Wire(seed=1)
        wire.connect()
        wire.run(lambda: ConnectionEvent.CONNECTED in wire.application.events)
        sender = wire.connection.sender
        wire.connection.write(bytes(sender.mss * 10))
        packets = [
            segments.encode(s) for s in wire.connection.flush(wire.now_s)
        ]
        for packet in packets[1:]:
            wire.server.receive(wire.now_s, packet)
        for packet in wire.server.flush(wire.now_s):
            wire.client.receive(wire.now_s, packet)
        self.assertEqual(9, sender.duplicates)
        self.assertEqual(1, sender.retransmitted)
        self.assertEqual(0, sender.retries)

    def test_a_reader_that_stops_closes_the_window_and_reopens_it(self):
        wire = Wire(seed=2)
        wire.connect()
        wire.run(lambda: ConnectionEvent.CONNECTED in wire.application.events)
        data = random.Random(2).randbytes(200_000)
        read = connections.Connection.read
        reader = wire.server_application
        reader.notify = lambda connection, event: None
        wire.connection.write(data)
        for _ in range(200):
            wire.step()
        (server,) = wire.server.connections.values()
        self.assertLess(server.receiver.window, wire.client.mss)
        received = b""
        while len(received) < len(data) and wire.now_s < LIMIT_S:
            received += read(server)
            wire.server.mark_changed(server)
            wire.step()
        self.assertEqual(len(data), len(received))
        self.assertTrue(data == received)


class EndingTest(testtools.TestCase):
    """Refusal, reset and timeout give different events."""

    def test_a_port_without_listener_refuses(self):
        wire = Wire(seed=3)
        wire.server.listeners.clear()
        wire.connect()
        wire.run(lambda: not wire.client.connections)
        self.assertEqual([ConnectionEvent.REFUSED], wire.application.events)

    def test_a_peer_without_the_connection_resets_it(self):
        wire = Wire(seed=4)
        wire.connect()
        wire.run(lambda: ConnectionEvent.CONNECTED in wire.application.events)
        wire.server.connections.clear()
        wire.connection.write(b"lost")
        wire.client.mark_changed(wire.connection)
        wire.run(lambda: not wire.client.connections)
        self.assertEqual(ConnectionEvent.RESET, wire.application.events[-1])

    def test_a_reset_with_a_guessed_number_does_not_end_a_connection(self):
        wire = Wire(seed=5)
        wire.connect()
        wire.run(lambda: ConnectionEvent.CONNECTED in wire.application.events)
        path = wire.path
        guessed = segments.Segment(
            path.remote_address,
            path.remote_port,
            path.address,
            path.port,
            (wire.connection.receiver.next + 9) & sequence.MASK,
            0,
            segments.RST,
        )
        wire.client.receive(wire.now_s, segments.encode(guessed))
        self.assertIs(connections.State.ESTABLISHED, wire.connection.state)

    def test_an_unresponsive_peer_gives_a_timeout_after_all_retries(self):
        wire = Wire(seed=6, loss=1.0)
        wire.connect()
        wire.run(lambda: not wire.client.connections)
        self.assertEqual([ConnectionEvent.TIMED_OUT], wire.application.events)
        self.assertEqual(sending.MAX_RETRIES, wire.connection.sender.retries)

    def test_a_late_segment_of_an_earlier_incarnation_is_not_delivered(self):
        wire = Wire(seed=7)
        wire.connect()
        wire.run(lambda: ConnectionEvent.CONNECTED in wire.application.events)
        wire.connection.write(b"old")
        (late,) = (segments.encode(s) for s in wire.connection.flush(0.0))
        wire.server.connections.clear()
        wire.client.connections.clear()
        wire.application = Recorder()
        wire.server_application.data = b""
        wire.connect()
        wire.run(lambda: ConnectionEvent.CONNECTED in wire.application.events)
        wire.server.receive(wire.now_s, late)
        wire.step()
        self.assertEqual(b"", wire.server_application.data)
        self.assertIs(connections.State.ESTABLISHED, wire.connection.state)


class CodecTest(testtools.TestCase):
    """Encoding of segments and datagrams."""

    @given(st.binary(max_size=120))
    def test_any_bytes_decode_or_give_a_failure(self, data):
        result = segments.decode(data)
        self.assertIsInstance(result, segments.Segment | failure.Failure)

    @given(st.sampled_from([4, 6]), st.integers(0, 99), st.integers(1, 255))
    def test_a_changed_byte_of_the_transport_is_seen(self, version, at, change):
        source, destination = ADDRESSES[version]
        segment = segments.Segment(
            source, 1, destination, 2, 3, 4, segments.ACK, 5, 0, bytes(100)
        )
        packet = bytearray(segments.encode(segment))
        self.assertEqual(segment, segments.decode(bytes(packet)))
        packet[-1 - at] ^= change
        self.assertEqual(
            failure.Failure("transport-checksum"),
            segments.decode(bytes(packet)),
        )

    def test_udp_payload_reaches_its_handler(self):
        wire = Wire(seed=8)
        seen = []
        path = wire.path
        wire.server.datagram_handlers[(path.remote_address, 80)] = (
            lambda path, data: seen.append((path, data))
        )
        wire.client.send_datagram(path, b"hello")
        wire.step()
        swapped = connections.FourTuple(
            path.remote_address, 80, path.address, path.port
        )
        self.assertEqual([(swapped, b"hello")], seen)
        self.assertEqual(dpkt.ip.IP_PROTO_UDP, 17)
