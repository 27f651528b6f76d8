"""TCP probes of targets over real sockets."""

import asyncio
import errno
import resource
import socket
import struct
import threading
import time

import testtools
from testtools import matchers

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import peers
from tamarack_node.internal import tcp_probe

LOOPBACK = "127.0.0.1"


class TcpProbeTest(testtools.TestCase):
    """Results of a probe."""

    def setUp(self):
        super().setUp()
        self.listener = socket.socket()
        self.addCleanup(self.listener.close)
        self.listener.bind((LOOPBACK, 0))

    def probe(self, attempts=3):
        endpoint = peers.Endpoint(*self.listener.getsockname())
        return effects.ProbeTarget("t-1", endpoint, 0.25, attempts, 0.06)

    def run_probe(self, during=None):
        async def run():
            pending = tcp_probe.probe(self.probe(), LOOPBACK)
            task = asyncio.create_task(pending)
            if during is not None:
                await asyncio.sleep(0.03)
                during()
            return await task

        began_s = time.monotonic()
        return asyncio.run(run()), time.monotonic() - began_s

    def fill_backlog(self):
        """Fills the backlog of the listener, so that it drops further SYNs."""
        self.listener.listen(0)
        for _ in range(2):
            client = socket.socket()
            client.setblocking(False)
            self.addCleanup(client.close)
            client.connect_ex(self.listener.getsockname())

    def reset_next(self):
        """Accepts the next connection and resets it."""
        connection, _ = self.listener.accept()
        no_linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        connection.close()

    def test_a_listening_target_accepts(self):
        self.listener.listen(8)
        outcome, took_s = self.run_probe()
        self.assertEqual(events.ProbeOutcome.ACCEPTED, outcome)
        self.assertThat(took_s, matchers.LessThan(0.2))

    def test_a_refused_connection_fails_the_probe(self):
        self.assertEqual(events.ProbeOutcome.REFUSED, self.run_probe()[0])

    def test_an_unresponsive_target_fails_only_after_the_timeout(self):
        self.fill_backlog()
        outcome, took_s = self.run_probe()
        self.assertEqual(events.ProbeOutcome.UNANSWERED, outcome)
        self.assertThat(took_s, matchers.GreaterThan(0.24))

    def test_a_connection_that_the_target_resets_was_established(self):
        # The event loop is busy, so that it sees the reset first.
        self.listener.listen(8)
        thread = threading.Thread(target=self.reset_next)
        thread.start()
        self.addCleanup(thread.join)

        async def run():
            pending = tcp_probe.probe(self.probe(), LOOPBACK)
            task = asyncio.create_task(pending)
            asyncio.get_running_loop().call_soon(thread.join)
            return await task

        self.assertEqual(events.ProbeOutcome.RESET, asyncio.run(run()))

    def test_a_reset_not_yet_handled_at_the_deadline_is_a_reply(self):
        # The event loop hasn't handled the connection, as after a stall.
        self.listener.listen(8)
        thread = threading.Thread(target=self.reset_next)
        thread.start()
        self.addCleanup(thread.join)

        async def run():
            loop = asyncio.get_running_loop()
            loop.add_writer = lambda *_: None
            pending = tcp_probe.probe(self.probe(attempts=1), LOOPBACK)
            task = asyncio.create_task(pending)
            loop.call_soon(thread.join)
            return await task

        self.assertEqual(events.ProbeOutcome.RESET, asyncio.run(run()))

    def test_one_unreachable_message_of_a_router_does_not_fail_the_probe(self):
        # Linux ends a connection attempt at the first ICMP message.
        self.listener.listen(8)
        errors = [errno.EHOSTUNREACH]

        class Connection(socket.socket):
            """Socket whose first connection a router rejects."""

            def getsockopt(self, level, option, *size):
                found = super().getsockopt(level, option, *size)
                if option == socket.SO_ERROR and errors:
                    return errors.pop()
                return found

        self.patch(tcp_probe.socket, "socket", Connection)
        self.assertEqual(events.ProbeOutcome.ACCEPTED, self.run_probe()[0])
        self.assertEqual([], errors)

    def test_a_probe_without_a_free_descriptor_is_not_sent(self):
        self.listener.listen(8)
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)

        async def run():
            resource.setrlimit(resource.RLIMIT_NOFILE, (3, limits[1]))
            try:
                return await tcp_probe.probe(self.probe(), LOOPBACK)
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, limits)

        self.assertEqual(events.ProbeOutcome.NOT_SENT, asyncio.run(run()))

    def test_a_stall_of_this_process_does_not_fail_the_probe(self):
        self.listener.listen(8)
        outcome, _ = self.run_probe(during=lambda: time.sleep(0.4))
        self.assertEqual(events.ProbeOutcome.ACCEPTED, outcome)

    def test_a_probe_from_an_address_of_another_machine_is_not_sent(self):
        pending = tcp_probe.probe(self.probe(), "192.0.2.1")
        self.assertEqual(events.ProbeOutcome.NOT_SENT, asyncio.run(pending))

    def test_an_endpoint_that_no_socket_takes_is_not_probed(self):
        for address, port in ((LOOPBACK, 65536), (LOOPBACK, -1), ("a\0b", 80)):
            probe = effects.ProbeTarget(
                "t-1", peers.Endpoint(address, port), 0.25, 3, 0.06
            )
            pending = tcp_probe.probe(probe, LOOPBACK)
            self.assertEqual(events.ProbeOutcome.NOT_SENT, asyncio.run(pending))
