"""Probes over real sockets of this machine."""

import asyncio
import socket
import time

import testtools
from testtools import matchers

from tamarack_core import effects
from tamarack_core import peers
from tamarack_node.internal import tcp_probe

LOOPBACK = "127.0.0.1"


class ConnectTest(testtools.TestCase):
    """What a probe says of a target."""

    def setUp(self):
        super().setUp()
        self.listener = socket.socket()
        self.addCleanup(self.listener.close)
        self.listener.bind((LOOPBACK, 0))

    def probe(self, attempts=3):
        endpoint = peers.Endpoint(*self.listener.getsockname())
        return effects.ProbeTarget("t-1", endpoint, 0.25, attempts, 0.06)

    def ask(self, during=None):
        async def run():
            asking = tcp_probe.accepts_connection(self.probe(), LOOPBACK)
            task = asyncio.create_task(asking)
            if during is not None:
                await asyncio.sleep(0.03)
                during()
            return await task

        began_s = time.monotonic()
        return asyncio.run(run()), time.monotonic() - began_s

    def fill(self):
        """Fills the queue of the listener; further openings are dropped."""
        self.listener.listen(0)
        for _ in range(2):
            waiting = socket.socket()
            waiting.setblocking(False)
            self.addCleanup(waiting.close)
            waiting.connect_ex(self.listener.getsockname())

    def test_a_target_that_listens_answers(self):
        self.listener.listen(8)
        is_answered, took_s = self.ask()
        self.assertTrue(is_answered)
        self.assertThat(took_s, matchers.LessThan(0.2))

    def test_a_target_that_refuses_does_not_answer(self):
        self.assertEqual(False, self.ask()[0])

    def test_a_silent_target_has_all_of_its_time(self):
        self.fill()
        is_answered, took_s = self.ask()
        self.assertFalse(is_answered)
        self.assertThat(took_s, matchers.GreaterThan(0.24))

    def test_a_pause_of_this_process_hides_no_answer(self):
        self.listener.listen(8)
        is_answered, _ = self.ask(during=lambda: time.sleep(0.4))
        self.assertTrue(is_answered)

    def test_an_address_that_is_not_ours_is_no_answer(self):
        asking = tcp_probe.accepts_connection(self.probe(), "192.0.2.1")
        self.assertFalse(asyncio.run(asking))
