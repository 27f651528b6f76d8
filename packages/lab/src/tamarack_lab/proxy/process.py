"""The proxy, run by its own process or embedded in a test."""

import asyncio
from collections.abc import Sequence

from aiohttp import web

from tamarack_core import peers
from tamarack_lab import web_server
from tamarack_lab.proxy import datagrams
from tamarack_lab.proxy import faults as faults_lib
from tamarack_lab.proxy import settings as proxy_settings
from tamarack_lab.proxy import streams

Direction = proxy_settings.Direction


class Proxy:
    """Forwards the traffic of links and injects faults.

    Attributes:
        settings: Settings.
        faults: Fault injector; its schedule may change while running.
        links: Links by name.
        http: Endpoint of the HTTP interface, the bound one after `start`;
            None if it is disabled.
    """

    __slots__ = (
        "_loop",
        "_runner",
        "_started_s",
        "faults",
        "http",
        "links",
        "settings",
    )

    def __init__(self, settings: proxy_settings.Settings) -> None:
        """Initializes a proxy that is not started.

        Requires a running event loop.

        Args:
            settings: Settings.

        Raises:
            ValueError: A setting is invalid.
        """
        proxy_settings.check(settings)
        self.settings = settings
        self.faults = faults_lib.FaultInjector(settings.schedule)
        self.http = settings.http
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self._runner: web.AppRunner | None = None
        self.links = {link.name: self._build(link) for link in settings.links}

    async def start(self) -> None:
        """Binds all sockets and restarts the clock of the schedule.

        Raises:
            OSError: An endpoint cannot be bound.
        """
        for link in self.links.values():
            await link.start()
        if self.http is not None:
            served = await web_server.serve(self._application(), self.http)
            self._runner = served.runner
            self.http = served.endpoint
        self._started_s = self._loop.time()

    async def close(self) -> None:
        """Closes all sockets."""
        for link in self.links.values():
            await link.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def clock(self) -> float:
        """Returns the seconds since the start of the proxy."""
        return self._loop.time() - self._started_s

    def endpoint(self, name: str) -> peers.Endpoint:
        """Returns the endpoint at which a link listens."""
        return self.links[name].listen

    def set_faults(self, schedule: Sequence[proxy_settings.Fault]) -> None:
        """Replaces all faults.

        Args:
            schedule: The new faults, with times since the start of the proxy.
        """
        self.faults.schedule = list(schedule)

    def counters(self) -> dict[str, dict[str, int]]:
        """Returns the counters of each channel, by link and direction."""
        return {
            f"{channel.link}/{channel.direction}": {
                "passed": channel.passed,
                "lost": channel.lost,
                "duplicated": channel.duplicated,
                "reordered": channel.reordered,
            }
            for link in self.links.values()
            for channel in (link.channels.forward, link.channels.back)
        }

    def _build(
        self, link: proxy_settings.Link
    ) -> datagrams.DatagramLink | streams.StreamLink:
        """Returns a link by its protocol, with new channels."""
        seed = self.settings.seed
        channels = datagrams.ChannelPair(
            faults_lib.Channel(seed, link.name, Direction.FORWARD),
            faults_lib.Channel(seed, link.name, Direction.BACK),
            self.faults,
            self.clock,
        )
        if link.protocol is proxy_settings.Protocol.UDP:
            return datagrams.DatagramLink(link, channels)
        return streams.StreamLink(link, channels)

    def _application(self) -> web.Application:
        """Returns the application of the HTTP interface."""
        application = web.Application()
        application.router.add_get("/v1/state", self._read_state)
        application.router.add_put("/v1/faults", self._put_faults)
        return application

    async def _read_state(self, request: web.Request) -> web.Response:
        """Responds with the clock, the faults and the counters."""
        return web_server.json_response(
            {
                "now_s": self.clock(),
                "schedule": self.faults.schedule,
                "counters": self.counters(),
            }
        )

    async def _put_faults(self, request: web.Request) -> web.Response:
        """Replaces all faults."""
        form = tuple[proxy_settings.Fault, ...]
        self.set_faults(await web_server.read_json(request, form))
        return web_server.json_response({})
