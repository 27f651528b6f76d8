"""A process that runs one or several callers."""

import asyncio
import ipaddress
import itertools
import random

from aiohttp import web

from tamarack_core import configuration
from tamarack_lab import attachment as attachments
from tamarack_lab import web_server
from tamarack_lab.caller import datagram_flow
from tamarack_lab.caller import report as reports
from tamarack_lab.caller import settings as caller_settings
from tamarack_lab.caller import stream_flow as flows
from tamarack_lab.tcp import connection as connections
from tamarack_lab.tcp import stack as stacks

FIRST_PORT = 10_000
LAST_PORT = 60_000
_POLL_S = 0.05
_PRUNE_EVERY = 1000
_FLOW_CLASSES: dict[
    configuration.Protocol,
    type[flows.StreamFlow] | type[datagram_flow.DatagramFlow],
] = {
    configuration.Protocol.TCP: flows.StreamFlow,
    configuration.Protocol.UDP: datagram_flow.DatagramFlow,
}


class CallerProcess:
    """Opens connections for a fixed duration and reports their outcome.

    Attributes:
        settings: Settings.
        attachment: Sends and receives packets through the fabric.
        counts: Counters of each load, in the order of the settings.
        http: Endpoint of the HTTP interface, the bound one after `start`;
            None if it is disabled.
    """

    __slots__ = (
        "_flows",
        "_random",
        "_runner",
        "_source_endpoints",
        "attachment",
        "counts",
        "http",
        "settings",
    )

    def __init__(self, settings: caller_settings.Settings) -> None:
        """Initializes callers that are not started.

        Requires a running event loop.

        Args:
            settings: Settings.

        Raises:
            ValueError: An address is malformed, or no caller has the IP
                version of a load.
        """
        self.settings = settings
        stack = stacks.Stack(settings.seed, settings.mss)
        self.attachment = attachments.Attachment(
            stack, settings.fabric, settings.listen
        )
        self.counts = [reports.Counts() for _ in settings.loads]
        self.http = settings.http
        self._random = random.Random(settings.seed)
        self._flows: list[flows.StreamFlow | datagram_flow.DatagramFlow] = []
        self._runner: web.AppRunner | None = None
        _check(settings)
        packed = [ipaddress.ip_address(a).packed for a in settings.addresses]
        self._source_endpoints = {
            size: itertools.cycle(
                itertools.product(
                    range(FIRST_PORT, LAST_PORT),
                    [address for address in packed if len(address) == size],
                )
            )
            for size in {len(address) for address in packed}
        }

    async def start(self) -> None:
        """Binds the sockets.

        Raises:
            OSError: An endpoint cannot be bound.
        """
        self.attachment.start()
        if self.http is not None:
            application = web.Application()
            application.router.add_get("/v1/report", self._read_report)
            served = await web_server.serve(application, self.http)
            self._runner = served.runner
            self.http = served.endpoint

    async def run(self) -> reports.CallerReport:
        """Opens connections for the set duration, then closes them.

        Returns:
            The final report. Connections that it counts as open did not
            finish within the grace period.
        """
        async with asyncio.TaskGroup() as group:
            for index, load in enumerate(self.settings.loads):
                group.create_task(self._generate(load, self.counts[index]))
        await self._finish()
        return self.report()

    async def close(self) -> None:
        """Closes the sockets."""
        if self._runner is not None:
            await self._runner.cleanup()
        self.attachment.close()

    def report(self) -> reports.CallerReport:
        """Returns the report so far."""
        loads = zip(self.settings.loads, self.counts, strict=True)
        return reports.CallerReport(
            tuple(
                counts.report(load.service, load.work_class)
                for load, counts in loads
            ),
            dict(self.attachment.stack.unreadable),
        )

    async def _generate(
        self, load: caller_settings.Load, counts: reports.Counts
    ) -> None:
        """Opens the connections of a load as a Poisson process."""
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        end_s = next_s + self.settings.duration_s
        while next_s < end_s:
            await asyncio.sleep(next_s - loop.time())
            if not load.most or counts.unfinished < load.most:
                self._open(load, counts)
            next_s += self._random.expovariate(load.rate)
        await asyncio.sleep(end_s - loop.time())

    def _open(self, load: caller_settings.Load, counts: reports.Counts) -> None:
        """Opens a connection, or sends a UDP request."""
        remote = ipaddress.ip_address(load.address).packed
        port, address = next(self._source_endpoints[len(remote)])
        four_tuple = connections.FourTuple(address, port, remote, load.port)
        name = f"{self.settings.seed}-{load.work_class}-{counts.tried}"
        flow_class = _FLOW_CLASSES[load.protocol]
        flow = flow_class(load, counts, self.attachment, name)
        flow.open(four_tuple)
        if not counts.tried % _PRUNE_EVERY:
            self._flows = [f for f in self._flows if not f.is_over]
        self._flows.append(flow)

    async def _finish(self) -> None:
        """Closes long-lived connections and waits for bounded ones.

        The wait ends after `settings.grace_s` at the latest.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self.settings.grace_s
        while any(not flow.is_over for flow in self._flows):
            for flow in self._flows:
                if flow.load.lifetime is configuration.Lifetime.LONG_LIVED:
                    flow.finish()
            if loop.time() > deadline_s:
                return
            await asyncio.sleep(_POLL_S)

    async def _read_report(self, request: web.Request) -> web.Response:
        """Responds with the report so far."""
        return web_server.json_response(self.report())


def _check(settings: caller_settings.Settings) -> None:
    """Checks that each load has a caller with its IP version.

    Raises:
        ValueError: No caller has the IP version of a load.
    """
    versions = {ipaddress.ip_address(a).version for a in settings.addresses}
    for index, load in enumerate(settings.loads):
        version = ipaddress.ip_address(load.address).version
        if version not in versions:
            raise ValueError(
                f"$.loads[{index}].address {load.address!r}: no caller has an "
                f"IPv{version} address; add one to $.addresses"
            )
