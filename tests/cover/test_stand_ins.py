"""Simulated callers and targets, connected without an entry host."""

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
"""Time for which the event loop is stalled, as on a loaded machine, in
seconds. It is longer than the second after which a caller retransmits its
opening."""


class Wire(asyncio.DatagramProtocol):
    """Forwards the datagrams of each end to the other end."""

    def connection_made(self, transport):
        self.transport = transport
        self.ends = []
        self.lose = lambda packet: False

    def datagram_received(self, data, address):
        if not self.lose(geneve.decapsulate(data).packet):
            (other,) = [end for end in self.ends if end != address]
            self.transport.sendto(data, other)


class StallingWire:
    """Loss rule that loses nothing but stalls the event loop at one packet."""

    def __init__(self, after):
        self.remaining = after

    def __call__(self, packet):
        self.remaining -= 1
        if self.remaining == 0:
            time.sleep(STALL_S)
        return False


class CallerTargetTest(testtools.TestCase):
    """Reports of callers and targets agree."""

    def run_load(self, *loads, during=None, connections=100):
        """Returns the reports of caller and targets after some load."""
        return asyncio.run(self.run_all(loads, during, connections))

    async def run_all(self, loads, during, connections):
        loop = asyncio.get_running_loop()
        transport, wire = await loop.create_datagram_endpoint(
            Wire, (LOOPBACK, 0)
        )
        wire_endpoint = peers.Endpoint(*transport.get_extra_info("sockname"))
        target = target_process.TargetProcess(
            target_settings.Settings(
                listen=ANY,
                fabric=wire_endpoint,
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
                fabric=wire_endpoint,
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
            (LOOPBACK, end.attachment.endpoint.port) for end in (target, caller)
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

    def test_bounded_requests_are_counted_alike_by_both_ends(self):
        report, targets = self.run_load(self.load(answer_bytes=5000))
        (load,) = report.loads
        self.assertThat(load.opened, matchers.GreaterThan(5))
        self.assertEqual(
            (load.opened, load.opened, {}, {}),
            (load.completed, load.answers, load.broken, load.refused),
        )
        self.assertEqual({"requests": load.opened}, targets[0].requests)
        self.assertEqual((0, 0), (targets[0].repeated, load.open))

    def test_long_lived_connections_close_gracefully_at_the_end(self):
        report, _ = self.run_load(
            self.load(lifetime=LONG_LIVED, request_interval_s=0.05, most=5)
        )
        (load,) = report.loads
        self.assertEqual((5, 5, {}), (load.opened, load.completed, load.broken))
        self.assertThat(load.answers, matchers.GreaterThan(5))

    def test_a_response_of_another_service_is_counted(self):
        report, _ = self.run_load(
            self.load(address=INFORME, answer_timeout_s=0.2)
        )
        (load,) = report.loads
        self.assertEqual((0, load.opened), (load.answers, load.wrong_service))

    def test_a_closed_port_is_reported_as_not_run(self):
        report, _ = self.run_load(self.load(port=CLOSED_PORT))
        (load,) = report.loads
        self.assertEqual(
            {"not-run: connection-refused": load.tried}, load.refused
        )

    def test_a_full_target_refuses_connections_as_not_run(self):
        report, targets = self.run_load(
            self.load(lifetime=LONG_LIVED), connections=3
        )
        (load,) = report.loads
        self.assertEqual(3, load.opened)
        self.assertEqual(
            {"not-run: connection-refused": targets[0].refused}, load.refused
        )

    def test_a_refusal_counts_once_after_a_stall_retransmits_its_opening(self):
        async def stall(target, wire):
            wire.lose = StallingWire(after=40)

        report, targets = self.run_load(
            self.load(lifetime=LONG_LIVED), connections=3, during=stall
        )
        (load,) = report.loads
        self.assertEqual(
            {"not-run: connection-refused": targets[0].refused}, load.refused
        )

    def test_long_lived_connections_close_gracefully_after_a_stall(self):
        async def stall(target, wire):
            wire.lose = StallingWire(after=40)

        report, _ = self.run_load(
            self.load(lifetime=LONG_LIVED, request_interval_s=0.05, most=5),
            during=stall,
        )
        (load,) = report.loads
        self.assertEqual((5, 5, {}), (load.opened, load.completed, load.broken))

    def test_requests_to_a_muted_target_end_without_a_response(self):
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

    def test_a_target_overrides_its_reports_and_drains_on_request(self):
        bodies = []

        async def override_and_drain(target, wire):
            client = http_client.HttpClient()
            path = f"/v1/targets/{AGENDA}"
            lie = servers.ReportOverride(healthy=False, load=7.5)
            await client.request("PUT", target.http, f"{path}/lie", lie)
            for name in ("health", "load"):
                response = await client.request(
                    "GET", target.http, f"{path}/{name}"
                )
                bodies.append(response.body)
            body = {"state": "draining"}
            await client.request("PUT", target.http, f"{path}/state", body)
            announced = target.targets[AGENDA].announcement(1.0, 0)
            bodies.append(msgspec.to_builtins(announced))
            await client.close()

        _, targets = self.run_load(self.load(), during=override_and_drain)
        self.assertThat(len(targets[0].late), matchers.GreaterThan(0))
        health, load, announced = bodies
        self.assertEqual(({"healthy": False}, {"load": 7.5}), (health, load))
        self.assertEqual(
            ("draining", False, 7.5),
            tuple(announced[k] for k in ("state", "healthy", "load")),
        )
