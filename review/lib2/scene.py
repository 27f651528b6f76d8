"""A small deployment like agtag-visitas, with traffic, for one case."""

import asyncio
import os
import pathlib
import sys
import time

from lib2 import ends
from lib2 import http
from lib2 import platform
from lib2 import translator as translators

SETTLE_S = 12.0
"""Time from the start of the machines to that of the traffic, in seconds."""

PLACES = {
    "agenda": ("127.18.0.1", 8443),
    "informe": ("127.18.0.2", 8443),
}
SIZES = {"agenda": 7, "informe": 3}


class CannotRunError(Exception):
    """The case could not run; says nothing about the rule."""


class Scene:
    """Three control hosts, one entry host a zone, and servers with traffic."""

    def __init__(self, record, translated=0, delay_s=0.0):
        self.record = record
        self.outside, self.inside = platform.free_network()
        second = self.outside.split(".")[1]
        self.server_net = f"127.{second}.200."
        self.client_net = f"127.{second}.201."
        self.deployment = platform.Deployment(record)
        seeds = [f"{self.outside}{number}" for number in (10, 11, 12)]
        self.controls, self.entries = [], []
        self.translator = None
        for number, zone in zip((10, 11, 12), platform.ZONES, strict=True):
            address, named = f"{self.outside}{number}", seeds
            if number == translated:
                address = f"{self.inside}{number}"
                named = [
                    seed.replace(self.outside, self.inside) for seed in seeds
                ]
            self.controls.append(
                self.deployment.add(
                    f"core-{zone}-1", "control", zone, address, named
                )
            )
        for number, zone in zip((21, 22, 23), platform.ZONES, strict=True):
            self.entries.append(
                self.deployment.add(
                    f"frontend-{zone}-1",
                    "entry",
                    zone,
                    f"{self.outside}{number}",
                    seeds,
                )
            )
        if translated:
            self.translator = translators.Translator(
                record,
                self.outside,
                self.inside,
                translated,
                [n for n in (10, 11, 12, 21, 22, 23) if n != translated],
                delay_s,
            )
        self.addresses = [f"{seed}:{platform.CONTROL_PORT}" for seed in seeds]
        self.operator = http.Operator(record, self.addresses)
        self.servers, self.clients = [], []
        self.next_server = 10
        self.tasks = []

    def add_server(self, service, zone, name="", address="", port=8080):
        self.next_server += 1
        name = name or f"i-{os.urandom(5).hex()}"
        address = address or f"{self.server_net}{self.next_server}"
        server = ends.Server(
            self.record, name, service, zone, address, port, self.addresses
        )
        self.servers.append(server)
        return server

    async def start(self, per_s=20.0):
        if self.translator is not None:
            await self.translator.start()
        self.deployment.start()
        await asyncio.sleep(1.0)
        result = await self.operator.publish(
            http.document(
                1,
                tuple(SIZES),
                [
                    (f"r-{name}", *place, "idempotent", name)
                    for name, place in PLACES.items()
                ],
            )
        )
        if result is None or result[0] != 200:
            raise CannotRunError("the first configuration isn't accepted")
        for service, size in SIZES.items():
            for number in range(size):
                zone = platform.ZONES[number % len(platform.ZONES)]
                await self.add_server(service, zone).start()
        for number, zone in enumerate(platform.ZONES):
            local = [e.address for e in self.entries if e.zone == zone]
            clients = ends.Clients(
                self.record, zone, f"{self.client_net}{10 + number}", local
            )
            self.clients.append(clients)
            await clients.start()
        await asyncio.sleep(max(SETTLE_S - self.record.now(), 0))
        for clients in self.clients:
            if not clients.rotation:
                raise CannotRunError(
                    f"no entry host of {clients.zone} is ready"
                )
            self.tasks.append(
                asyncio.create_task(clients.load(per_s, list(PLACES.values())))
            )
        self.record("traffic starts")
        await asyncio.sleep(3.0)
        if sum(clients.served for clients in self.clients) < 3 * per_s:
            raise CannotRunError("the traffic isn't served")

    def summarize(self):
        sent = sum(clients.sent for clients in self.clients)
        served = sum(clients.served for clients in self.clients)
        self.record(f"{sent} requests sent, {served} served")
        if ended := self.deployment.ended():
            self.record(f"processes that ended: {', '.join(ended)}")

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for clients in self.clients:
            clients.close()
        for server in self.servers:
            if server.is_up:
                server.crash()
        if self.translator is not None:
            self.translator.close()
        self.deployment.close(os.environ.get("KEEP_LOGS"))


def late_openings(record, server, bound_s=platform.DRAIN_S):
    """Returns the openings that a server took too late after it left."""
    if server.drained is None:
        return []
    left_s, by = server.drained
    late = [
        opening for opening in server.openings if opening[0] > left_s + bound_s
    ]
    for at_s, key, source in late:
        record(
            f"DRAIN: server {server.name} took the opening of"
            f" {ends.text(key[0])}:{key[1]} through {source}"
            f" {at_s - left_s:.3f} s after {by} acknowledged that it leaves"
        )
    return late


def run(folder, play, has_trouble, translated=0, delay_s=0.0):
    """Runs a case and exits: 1 rule broken, 0 rule held, 2 could not run."""
    record = platform.Record(pathlib.Path(folder) / "record.txt")
    record(
        f"{time.strftime('%Y-%m-%d %H:%M:%S')}, "
        + ("with the disruption" if has_trouble else "without the disruption")
    )

    async def main():
        scene = Scene(record, translated, delay_s)
        try:
            async with asyncio.timeout(105):
                await scene.start()
                broken = await play(scene, has_trouble)
                scene.summarize()
                if ended := scene.deployment.ended():
                    raise CannotRunError(f"ended: {ended}")
                return 1 if broken else 0
        finally:
            await scene.close()

    try:
        code = asyncio.run(main())
    except (CannotRunError, OSError, TimeoutError) as error:
        record(f"the case could not run: {error!r}")
        code = 2
    record(("the rule held", "the rule was broken", "no result")[code])
    sys.exit(code)
