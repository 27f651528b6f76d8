"""Driver of the light hosts: planned stops and unexpected errors.

Seen by operators of similar systems: a planned stop under load cut off requests
that had just been accepted, and one malformed message ended a process.
"""

import asyncio
import os
import socket
import time

import testtools
from testtools import matchers

from tamarack_core import context as context_lib
from tamarack_core import document_control
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_node import light_driver
from tamarack_node.internal import event_handling
from tamarack_node.internal import http1

ADDRESS = "127.4.{}.{}".format(*divmod(os.getpid() % 62_500, 250))
"""Differs between processes, as copies of this file may run side by side."""

INTERNAL, PUBLIC, DATA = 17720, 18166, 18172
OWN = peers.Peer("h1", "a", peers.Endpoint(ADDRESS, INTERNAL))
TIMEOUT_S = 5.0
TICK_S = 0.02


class Codec:
    """Translates each HTTP request to a read, and each response to a status."""

    def decode(self, request):
        return external_requests.ReadDocument()

    def encode(self, request, response):
        if isinstance(response, external_requests.Unavailable):
            return http1.HttpResponse(503, response.reason.encode())
        return http1.HttpResponse(200)


class Component:
    """Component that never responds to requests, and fails on demand.

    Attributes:
        ticks: Number of timer events.
        handled: Types of the other events, in order.
        failing: Whether all handlers but that of a stop fail.
        effects: Effects that the next datagram causes.
        probed: Results of probes, in order.
    """

    def __init__(self):
        self.ticks = 0
        self.handled = []
        self.failing = False
        self.effects = []
        self.probed = []

    def handlers(self):
        return {
            events.Started: self.handle_tick,
            events.StopRequested: self.handle_stop,
            events.DatagramArrived: self.handle_datagram,
            events.TargetProbed: self.handle_probed,
            "tick": self.handle_tick,
            sync.ControlHello: self.handle_other,
            external_requests.ReadDocument: self.handle_other,
        }

    def handle_tick(self, event):
        self.ticks += 1
        self.check()
        return [effects.StartTimer("tick", TICK_S)]

    def handle_other(self, event):
        self.check()
        self.handled.append(type(event))
        return []

    def handle_datagram(self, event):
        self.handle_other(event)
        caused, self.effects = self.effects, []
        return caused

    def handle_probed(self, event):
        self.probed.append((event.target, event.outcome, event.number))
        return []

    def handle_stop(self, event):
        return [effects.Stop(0, "stop requested")]

    def check(self):
        if self.failing:
            raise RuntimeError("injected")


class DriverCase(testtools.TestCase):
    """Base of tests with a driver on loopback."""

    def run_driver(self, play):
        """Runs a driver while a coroutine plays against it.

        Args:
            play: Called with the driver and the component.

        Returns:
            What `play` returned.
        """

        async def run():
            component = Component()
            context = context_lib.Context(OWN, 1)
            driver = light_driver.LightDriver(
                reducer.Node(context, (component,)),
                light_driver.Addresses(
                    OWN.control,
                    peers.Endpoint(ADDRESS, PUBLIC),
                    peers.Endpoint(ADDRESS, DATA),
                ),
                Codec(),
                document_control.CODEC,
            )
            running = asyncio.create_task(driver.run())
            async with asyncio.timeout(TIMEOUT_S):
                while not component.ticks:
                    await asyncio.sleep(0.005)
                result = await play(driver, component)
                driver.handle(events.StopRequested(time.monotonic()))
                await running
            return result

        return asyncio.run(run())

    async def request(self, *paths):
        """Sends requests on one connection; returns all that is received."""
        reader, writer = await asyncio.open_connection(ADDRESS, PUBLIC)
        for path in paths:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        try:
            return await reader.read()
        finally:
            writer.close()


class StopTest(DriverCase):
    """Load: requests without a response at the moment of a planned stop."""

    def test_accepted_requests_get_a_response(self):
        async def play(driver, component):
            callers = [
                asyncio.create_task(self.request("/a", "/b")) for _ in range(20)
            ]
            while len(component.handled) < len(callers):
                await asyncio.sleep(0.005)
            driver.handle(events.StopRequested(time.monotonic()))
            return await asyncio.gather(*callers)

        for received in self.run_driver(play):
            self.assertEqual(2, received.count(b"HTTP/1.1 503"), received)
            self.assertTrue(received.endswith(b"stopping"))


class MetricsTest(DriverCase):
    """What operators read at the metrics address."""

    # The gauges of the core were not shown at all.
    def test_gauges_of_the_core_are_shown(self):
        async def play(driver, component):
            driver.node.context.gauges["evacuated_domains"] = 2
            request = http1.HttpRequest("GET", "/metrics", b"")
            return await driver._handle_metrics(request)

        line = b'tamarackford_evacuated_domains{host="h1"} 2\n'
        self.assertIn(line, self.run_driver(play).body)


class UnexpectedErrorTest(DriverCase):
    """Faults: the handlers of all events fail for a while."""

    def test_a_delayed_probe_is_sent_later_and_ends_under_its_number(self):
        endpoint = peers.Endpoint(ADDRESS, PUBLIC)
        probe = effects.ProbeTarget("t-1", endpoint, 0.25, delay_s=0.1)
        probe.number = 7

        async def play(driver, component):
            component.effects = [probe]
            began_s = time.monotonic()
            driver.handle(events.DatagramArrived(began_s, b""))
            while not component.probed:
                await asyncio.sleep(0.005)
            return component.probed[0], time.monotonic() - began_s

        probed, took_s = self.run_driver(play)
        self.assertEqual(("t-1", events.ProbeOutcome.ACCEPTED, 7), probed)
        self.assertThat(took_s, matchers.GreaterThan(0.09))

    def test_a_probe_that_fails_unexpectedly_ends_nevertheless(self):
        # A target whose probe never ends is never probed again.
        endpoint = peers.Endpoint(ADDRESS, PUBLIC)

        async def fail(effect, local_address):
            raise RuntimeError("injected")

        self.patch(light_driver.tcp_probe, "probe", fail)

        async def play(driver, component):
            component.effects = [effects.ProbeTarget("t-1", endpoint, 0.25)]
            driver.handle(events.DatagramArrived(time.monotonic(), b""))
            while not component.probed:
                await asyncio.sleep(0.005)
            return component.probed

        probed = self.run_driver(play)
        self.assertEqual([("t-1", events.ProbeOutcome.NOT_SENT, 0)], probed)

    def test_the_host_goes_on(self):
        async def play(driver, component):
            component.failing = True
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.sendto(b"packet", (ADDRESS, DATA))
            answer = asyncio.create_task(self.request("/a"))
            driver.handle(
                events.MessageArrived(
                    time.monotonic(), OWN, sync.ControlHello("i-1")
                )
            )
            await asyncio.sleep(3 * TICK_S)
            failed = driver.node.context.counters["handler-failed"]
            component.failing = False
            ticks = component.ticks
            while component.ticks < ticks + 3:
                await asyncio.sleep(TICK_S)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.sendto(b"packet", (ADDRESS, DATA))
            while not component.handled:
                await asyncio.sleep(TICK_S)
            driver.handle(events.StopRequested(time.monotonic()))
            return failed, await answer

        failed, received = self.run_driver(play)
        # A datagram, a message, a request and a timer.
        self.assertEqual(4, failed)
        self.assertIn(b"HTTP/1.1 500", received)

    def test_a_failed_timer_fires_again(self):
        component = Component()
        component.failing = True
        node = reducer.Node(context_lib.Context(OWN, 1), (component,))
        result = event_handling.reduce(node, events.TimerFired(1.0, "tick"))
        self.assertEqual(
            [effects.StartTimer("tick", event_handling.TIMER_RETRY_S)], result
        )


class UnusableEndpointTest(DriverCase):
    """Faults: endpoints that a socket can't use, among others in one batch."""

    ODD = (
        peers.Endpoint("127.0.0.1", 65536),
        peers.Endpoint("127.0.0.1", -1),
        peers.Endpoint("127.0.0.1", 10**400),
        peers.Endpoint("a\0b", 80),
        peers.Endpoint("127.0.0.1", 0),
    )

    def receiver(self):
        """Returns a bound UDP socket and its endpoint."""
        receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(receiver.close)
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(1.0)
        return receiver, peers.Endpoint(*receiver.getsockname())

    def execute(self, *given):
        """Executes effects in one turn; returns the driver's counters."""

        async def play(driver, component):
            component.handle_other = lambda event: list(given)
            driver.node.handlers[sync.ControlHello] = [component.handle_other]
            driver.handle(
                events.MessageArrived(
                    time.monotonic(), OWN, sync.ControlHello("i-1")
                )
            )
            await asyncio.sleep(3 * TICK_S)
            return driver.node.context.counters

        return self.run_driver(play)

    def test_a_packet_after_those_to_unusable_endpoints_is_sent(self):
        receiver, endpoint = self.receiver()
        counters = self.execute(
            *(effects.SendDatagram(odd, b"lost") for odd in self.ODD),
            effects.SendDatagram(endpoint, b"sent"),
        )
        self.assertEqual(b"sent", receiver.recv(64))
        self.assertEqual(len(self.ODD), counters["data-send-failed"])

    def test_a_message_after_those_to_unusable_endpoints_is_sent(self):
        receiver, endpoint = self.receiver()
        message = sync.DocumentQuery(7)
        hosts = [
            peers.Peer(f"odd-{number}", "a", odd)
            for number, odd in enumerate(self.ODD)
        ]
        counters = self.execute(
            *(effects.SendMessage(host, message) for host in hosts),
            effects.SendMessage(peers.Peer("h2", "a", endpoint), message),
        )
        self.assertIn(b'"number":7', receiver.recv(4096))
        self.assertEqual(len(self.ODD), counters["control-send-failed"])
