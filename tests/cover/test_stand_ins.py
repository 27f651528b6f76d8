"""Caller and target stand-ins, joined without an entry host between."""

import asyncio
import socket
import time

import msgspec
import testtools
from testtools import matchers

from tamarack_core import configuration
from tamarack_core import peers
from tamarack_core.packets import geneve
from tamarack_lab.caller import process as caller_process
from tamarack_lab.caller import settings as caller_settings
from tamarack_lab.deployment import http_client
from tamarack_lab.target import process as target_process
from tamarack_lab.target import server as servers
from tamarack_lab.target import settings as target_settings

LOOPBACK = "127.0.0.1"
ANY = peers.Endpoint(LOOPBACK, 0)
AGENDA, INFORME = "10.1.0.1", "10.1.0.2"
BOUNDED = configuration.Lifetime.BOUNDED
LONG_LIVED = configuration.Lifetime.LONG_LIVED
CLOSED_PORT = 9999
STALL_S = 1.3
"""Time for which a loaded machine keeps the loop from running; openings are
repeated after a second."""


class Wire(asyncio.DatagramProtocol):
    """Hands each datagram of one stand-in to the other."""

    def connection_made(self, transport):
        self.transport = transport
        self.ends = []
        self.lose = lambda packet: False

    def datagram_received(self, data, address):
        if not self.lose(geneve.decapsulate(data).packet):
            (other,) = [end for end in self.ends if end != address]
            self.transport.sendto(data, other)


class StallingWire:
    """Loses nothing, but keeps the loop from running at one packet."""

    def __init__(self, after):
        self.left = after

    def __call__(self, packet):
        self.left -= 1
        if self.left == 0:
            time.sleep(STALL_S)
        return False


class StandInTest(testtools.TestCase):
    """Counts of both ends."""

    def run_load(self, *loads, during=None, connections=100):
        """Returns the reports of caller and targets after some load."""
        return asyncio.run(self.run_all(loads, during, connections))

    async def run_all(self, loads, during, connections):
        loop = asyncio.get_running_loop()
        transport, wire = await loop.create_datagram_endpoint(
            Wire, (LOOPBACK, 0)
        )
        place = peers.Endpoint(*transport.get_extra_info("sockname"))
        target = target_process.TargetProcess(
            target_settings.Settings(
                listen=ANY,
                fabric=place,
                http=ANY,
                services={
                    name: target_settings.Service(
                        ports=(target_settings.Port("requests", 80),),
                        connections=connections,
                        unit_s=0.001,
                    )
                    for name in ("agenda", "informe")
                },
                targets=(
                    target_settings.TargetSpec("agenda", AGENDA, "a"),
                    target_settings.TargetSpec("informe", INFORME, "a"),
                ),
            )
        )
        caller = caller_process.CallerProcess(
            caller_settings.Settings(
                listen=ANY,
                fabric=place,
                addresses=("10.7.0.1",),
                loads=loads,
                duration_s=0.5,
                grace_s=60.0,
                seed=1,
            )
        )
        await target.start()
        await caller.start()
        wire.ends = [
            (LOOPBACK, side.attachment.endpoint.port)
            for side in (target, caller)
        ]
        running = asyncio.create_task(caller.run())
        try:
            if during is not None:
                await during(target, wire)
            return await running, target.reports()
        finally:
            await caller.close()
            await target.close()
            transport.close()

    def load(self, service="agenda", address=AGENDA, port=80, **settings):
        settings = {"rate": 60.0, **settings}
        return caller_settings.Load(
            service, "requests", address, port, **settings
        )

    def test_bounded_requests_are_answered_and_counted_alike(self):
        report, targets = self.run_load(self.load(answer_bytes=5000))
        (load,) = report.loads
        self.assertThat(load.opened, matchers.GreaterThan(5))
        self.assertEqual(
            (load.opened, load.opened, {}, {}),
            (load.completed, load.answers, load.broken, load.refused),
        )
        self.assertEqual({"requests": load.opened}, targets[0].requests)
        self.assertEqual((0, 0), (targets[0].repeated, load.open))

    def test_long_lived_connections_end_in_order_at_the_end(self):
        report, _ = self.run_load(
            self.load(lifetime=LONG_LIVED, request_interval_s=0.05, most=5)
        )
        (load,) = report.loads
        self.assertEqual((5, 5, {}), (load.opened, load.completed, load.broken))
        self.assertThat(load.answers, matchers.GreaterThan(5))

    def test_an_answer_of_another_service_is_seen(self):
        report, _ = self.run_load(
            self.load(address=INFORME, answer_timeout_s=0.2)
        )
        (load,) = report.loads
        self.assertEqual((0, load.opened), (load.answers, load.wrong_service))

    def test_a_closed_port_is_a_refusal_that_means_not_run(self):
        report, _ = self.run_load(self.load(port=CLOSED_PORT))
        (load,) = report.loads
        self.assertEqual(
            {"not-run: connection-refused": load.tried}, load.refused
        )

    def test_a_full_target_sheds_before_anything_runs(self):
        report, targets = self.run_load(
            self.load(lifetime=LONG_LIVED), connections=3
        )
        (load,) = report.loads
        self.assertEqual(3, load.opened)
        self.assertEqual(
            {"not-run: connection-refused": targets[0].refused}, load.refused
        )

    def test_a_refusal_counts_once_when_a_late_loop_repeats_its_opening(self):
        async def stall(target, wire):
            wire.lose = StallingWire(after=40)

        report, targets = self.run_load(
            self.load(lifetime=LONG_LIVED), connections=3, during=stall
        )
        (load,) = report.loads
        self.assertEqual(
            {"not-run: connection-refused": targets[0].refused}, load.refused
        )

    def test_long_lived_connections_end_in_order_on_a_late_loop(self):
        async def stall(target, wire):
            wire.lose = StallingWire(after=40)

        report, _ = self.run_load(
            self.load(lifetime=LONG_LIVED, request_interval_s=0.05, most=5),
            during=stall,
        )
        (load,) = report.loads
        self.assertEqual((5, 5, {}), (load.opened, load.completed, load.broken))

    def test_a_muted_target_is_seen_as_missing_answers(self):
        async def mute(target, wire):
            await asyncio.sleep(0.2)
            target.attachment.stack.muted.add(socket.inet_aton(AGENDA))

        report, _ = self.run_load(
            self.load(
                lifetime=LONG_LIVED,
                rate=20.0,
                most=1,
                request_interval_s=0.05,
                answer_timeout_s=0.3,
            ),
            during=mute,
        )
        (load,) = report.loads
        self.assertEqual({"may-have-run: no-answer": 1}, load.broken)

    def test_a_target_lies_and_drains_when_told_to(self):
        seen = []

        async def order(target, wire):
            client = http_client.HttpClient()
            path = f"/v1/targets/{AGENDA}"
            lie = servers.ReportOverride(healthy=False, load=7.5)
            await client.request("PUT", target.http, f"{path}/lie", lie)
            for name in ("health", "load"):
                found = await client.request(
                    "GET", target.http, f"{path}/{name}"
                )
                seen.append(found.body)
            body = {"state": "draining"}
            await client.request("PUT", target.http, f"{path}/state", body)
            announced = target.targets[AGENDA].announcement(1.0, 0)
            seen.append(msgspec.to_builtins(announced))
            await client.close()

        _, targets = self.run_load(self.load(), during=order)
        self.assertThat(len(targets[0].late), matchers.GreaterThan(0))
        health, load, announced = seen
        self.assertEqual(({"healthy": False}, {"load": 7.5}), (health, load))
        self.assertEqual(
            ("draining", False, 7.5),
            tuple(announced[k] for k in ("state", "healthy", "load")),
        )
