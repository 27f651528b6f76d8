"""TCP probes of targets over real sockets."""

import asyncio
import socket
import time

import testtools
from testtools import matchers

from tamarack_core import effects
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
            pending = tcp_probe.accepts_connection(self.probe(), LOOPBACK)
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

    def test_a_listening_target_accepts(self):
        self.listener.listen(8)
        is_answered, took_s = self.run_probe()
        self.assertTrue(is_answered)
        self.assertThat(took_s, matchers.LessThan(0.2))

    def test_a_refused_connection_fails_the_probe(self):
        self.assertEqual(False, self.run_probe()[0])

    def test_an_unresponsive_target_fails_only_after_the_timeout(self):
        self.fill_backlog()
        is_answered, took_s = self.run_probe()
        self.assertFalse(is_answered)
        self.assertThat(took_s, matchers.GreaterThan(0.24))

    def test_a_stall_of_this_process_does_not_fail_the_probe(self):
        self.listener.listen(8)
        is_answered, _ = self.run_probe(during=lambda: time.sleep(0.4))
        self.assertTrue(is_answered)

    def test_an_address_of_another_machine_fails_the_probe(self):
        pending = tcp_probe.accepts_connection(self.probe(), "192.0.2.1")
        self.assertFalse(asyncio.run(pending))

    def test_an_endpoint_that_no_socket_takes_fails_the_probe(self):
        for address, port in ((LOOPBACK, 65536), (LOOPBACK, -1), ("a\0b", 80)):
            probe = effects.ProbeTarget(
                "t-1", peers.Endpoint(address, port), 0.25, 3, 0.06
            )
            pending = tcp_probe.accepts_connection(probe, LOOPBACK)
            self.assertFalse(asyncio.run(pending))
