"""Operators and target announcements, over HTTP to control hosts."""

import asyncio
import json
import random
import urllib.parse

from tests.soak import ends
from tests.soak import hosts as hosts_lib
from tests.soak import promises as promises_lib

CALL_S = 1.0
PAUSE_S = 0.35
ANNOUNCE_S = hosts_lib.ANNOUNCE_MS / 1000
LOST_RESPONSES = 0.15
PROBE_PORTS = (5000, 5999)
"""First and last port of the routes that are added and removed."""

KEPT_PROBE_ROUTES = 20
"""Number of documents for which such a route is kept."""


class Operator:
    """Publishes documents, reads them back and checks their effect.

    Attributes:
        sent: Documents by number, as they were sent.
        acknowledged_s: Times of acknowledgements by number, in seconds since
            the start of the run.
        acknowledged: Highest number that was acknowledged.
    """

    def __init__(self, hosts, promises, seed):
        self.addresses = [host.address for host in hosts.controls()]
        self.entries = hosts.entries()
        self.promises = promises
        self.random = random.Random(seed)
        self.sent = {}
        self.acknowledged_s = {}
        self.acknowledged = 0
        self.number = 1

    def document(self, number):
        """Returns a document with all services and the newest probe routes."""
        routes = [
            route(name, port, name) for name, port in ends.SERVICES.items()
        ]
        routes += [
            route(f"probe-{kept}", probe_port(kept), "agenda")
            for kept in [*self.sent, number][-KEPT_PROBE_ROUTES:]
        ]
        return {
            "version": number,
            "routes": routes,
            "services": [
                {"name": name, "health-path": "/health"}
                for name in ends.SERVICES
            ],
            "limits": {"idle-timeout-ms": 15000},
        }

    async def publish(self, until_s):
        """Publishes documents, each until it is acknowledged."""
        while self.promises.now_s < until_s:
            self.number += self.random.randint(1, 3)
            self.sent[self.number] = self.document(self.number)
            await self._send_until_acknowledged(self.number)
            await asyncio.sleep(self.random.uniform(0.05, 2 * PAUSE_S))

    async def _send_until_acknowledged(self, number):
        """Sends a document to any control host until it is acknowledged."""
        document = self.sent[number]
        while True:
            address = self.random.choice(self.addresses)
            if self.random.random() < LOST_RESPONSES:
                await send_and_reset(address, "/config/replace", document)
                continue
            response = await call_with_redirects(
                address, "POST", "/config/replace", document
            )
            status = 0 if response is None else response[0]
            if status == 200:
                self.acknowledged = max(self.acknowledged, number)
                self.acknowledged_s[number] = self.promises.now_s
                self.promises.counts["published"] += 1
                return
            if 400 <= status < 500:
                self.promises.record_violation(
                    f"document {number}: status {status}"
                )
                return
            await asyncio.sleep(PAUSE_S)

    async def read(self, until_s):
        """Reads repeatedly at random control hosts."""
        while self.promises.now_s < until_s:
            await self.read_once()
            await asyncio.sleep(PAUSE_S)

    async def read_once(self):
        """Reads once; returns the number, or None if the read was refused."""
        before = self.acknowledged
        address = self.random.choice(self.addresses)
        response = await ends.call(
            address, hosts_lib.CONTROL_PORT, "GET", "/config/get", CALL_S
        )
        if response is None or response[0] != 200 or not before:
            return None
        content = json.loads(response[2])
        self.promises.record_read(
            content["version"], before, content, self.sent
        )
        return content["version"]

    async def check_effects(self, caller, until_s):
        """Opens flows on added and on removed routes, in calm only."""
        while self.promises.now_s < until_s:
            await asyncio.sleep(PAUSE_S)
            if self.promises.is_calm(self.promises.now_s):
                for entry in self.entries:
                    await self._check_effect(caller, entry.address)

    async def _check_effect(self, caller, entry):
        """Opens a flow on an added and on a removed route of an entry host."""
        now_s = self.promises.now_s
        settled = [
            number
            for number, at_s in self.acknowledged_s.items()
            if now_s - at_s > promises_lib.APPLY_S
        ]
        if not settled:
            return
        newest, numbers = settled[-1], list(self.sent)
        # No document that was sent since may have removed the route.
        if newest in numbers[-KEPT_PROBE_ROUTES // 2 :]:
            await self._probe_route(caller, entry, newest, "opened")
        removed = max(0, numbers.index(newest) + 1 - KEPT_PROBE_ROUTES)
        for number in numbers[:removed][-1:]:
            await self._probe_route(caller, entry, number, "refused")

    async def _probe_route(self, caller, entry, number, expected):
        """Opens a flow on the probe route of a document."""
        outcome = await caller.try_open(entry, probe_port(number))
        self.promises.record_effect(number, entry, outcome, expected)

    async def read_back(self, until_s):
        """Reads until a read succeeds, which checks what was acknowledged."""
        while self.promises.now_s < until_s:
            if await self.read_once() is not None:
                return
            await asyncio.sleep(PAUSE_S)
        self.promises.record_violation("nobody answers a read at the end")


def probe_port(number):
    """Returns the port of the probe route of a document."""
    first, last = PROBE_PORTS
    return first + number % (last - first)


def route(name, port, service):
    """Returns a route to a service."""
    return {
        "name": name,
        "host": ends.SERVICE_ADDRESS,
        "path-prefix": f"/{port}/",
        "type": "non_idempotent",
        "timeout-ms": 2000,
        "service": service,
    }


async def call_with_redirects(address, method, path, body):
    """Sends an HTTP request and follows up to two redirects."""
    response = None
    for _ in range(3):
        response = await ends.call(
            address, hosts_lib.CONTROL_PORT, method, path, CALL_S, body
        )
        if response is None or response[0] != 307:
            return response
        address = urllib.parse.urlsplit(response[1]["location"]).hostname
    return response


async def send_and_reset(address, path, body):
    """Sends a request and resets the connection before the response."""
    data = json.dumps(body).encode()
    try:
        async with asyncio.timeout(CALL_S):
            _, writer = await asyncio.open_connection(
                address, hosts_lib.CONTROL_PORT
            )
            head = (
                f"POST {path} HTTP/1.1\r\nContent-Length: {len(data)}\r\n\r\n"
            )
            writer.write(head.encode() + data)
            await writer.drain()
    except (OSError, TimeoutError):
        return
    ends.reset_connection(writer)


class Announcer:
    """Announces a target as its own process would.

    Attributes:
        target: The target.
        preferred: Address that the last response named, or None.
    """

    def __init__(self, target, hosts, promises):
        self.target = target
        self.addresses = [host.address for host in hosts.controls()]
        self.promises = promises
        self.random = random.Random(target.index)
        self.preferred = None

    async def run(self):
        """Announces the target periodically while it is alive."""
        sequence, starts, born = 0, 0, 0
        while True:
            target = self.target
            if starts != target.starts:
                starts, sequence = target.starts, 0
                born = int(1000 * self.promises.now_s) + 1
            if target.is_alive:
                sequence += 1
                await self._announce(sequence, born)
            await asyncio.sleep(ANNOUNCE_S)

    async def _announce(self, sequence, born):
        """Announces the target to the first control host that responds."""
        target = self.target
        is_draining = target.is_draining
        body = {
            "service": target.service,
            "address": f"{target.address}:{target.port}",
            "zone": target.domain,
            "slots": 2,
            "state": "draining" if is_draining else "ready",
            "warmup-left-ms": 0,
            "sequence": sequence,
            "born": born,
        }
        order = self.random.sample(self.addresses, len(self.addresses))
        for address in [self.preferred, *order] if self.preferred else order:
            response = await ends.call(
                address,
                hosts_lib.CONTROL_PORT,
                "POST",
                f"/instances/{target.name}/heartbeat",
                CALL_S,
                body,
            )
            if response is not None and response[0] == 200:
                named = json.loads(response[2]).get("heartbeat-addr", "")
                self.preferred = named.rpartition(":")[0] or None
                if is_draining and target.drained_s is None:
                    target.drained_s = self.promises.now_s
                return
            self.preferred = None
