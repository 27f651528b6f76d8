"""A process with one or several targets."""

import asyncio
import ipaddress
import time

from aiohttp import web
import msgspec

from tamarack_core import peers
from tamarack_core import requests
from tamarack_lab import attachment as attachments
from tamarack_lab import web_server
from tamarack_lab.target import announcer as announcers
from tamarack_lab.target import server as servers
from tamarack_lab.target import settings as target_settings
from tamarack_lab.target import work
from tamarack_lab.tcp import stack as stacks

_POLL_S = 0.1


class StateChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Order to a target.

    Attributes:
        state: State to announce from now on.
    """

    state: requests.TargetState


class MuteCommand(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Order to a target.

    Attributes:
        muted: Whether it loses every packet from now on.
    """

    muted: bool


class TargetProcess:
    """Runs targets until closed.

    Attributes:
        settings: Settings.
        attachment: Carries the packets.
        targets: Targets by address.
        announcer: Renews the leases.
        http: Endpoint of the HTTP interface, once started; None for none.
    """

    __slots__ = (
        "_announcing",
        "_runner",
        "announcer",
        "attachment",
        "http",
        "settings",
        "targets",
    )

    def __init__(self, settings: target_settings.Settings) -> None:
        """Creates targets that aren't started; needs a running loop.

        Args:
            settings: Settings.

        Raises:
            ValueError: A target names a service that isn't in the settings.
        """
        self.settings = settings
        stack = stacks.Stack(settings.seed, settings.mss)
        self.attachment = attachments.Attachment(
            stack, settings.fabric, settings.listen
        )
        self.targets = {
            member.address: self._build(member) for member in settings.targets
        }
        self.announcer = announcers.Announcer(
            list(self.targets.values()),
            settings.entries,
            settings.lease_s,
            int(time.time()),
        )
        self.http = settings.http
        self._runner: web.AppRunner | None = None
        self._announcing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Binds the sockets and announces the targets.

        Raises:
            OSError: An endpoint can't be bound.
        """
        self.attachment.start()
        for target in self.targets.values():
            target.listen()
        if self.http is not None:
            served = await web_server.serve(self._application(), self.http)
            self._runner = served.runner
            self.http = served.endpoint
        self._announcing = asyncio.create_task(self.announcer.run())

    async def drain(self) -> None:
        """Announces draining and waits until all connections have ended."""
        for target in self.targets.values():
            target.enter(requests.TargetState.DRAINING)
        self.announcer.announce_now()
        deadline_s = time.monotonic() + self.settings.drain_s
        while time.monotonic() < deadline_s:
            if not any(target.open for target in self.targets.values()):
                return
            await asyncio.sleep(_POLL_S)

    async def close(self) -> None:
        """Closes the sockets."""
        if self._announcing is not None:
            self._announcing.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        self.attachment.close()

    def reports(self) -> list[servers.TargetReport]:
        """Returns what each target has done."""
        return [target.report() for target in self.targets.values()]

    def _build(self, member: target_settings.TargetSpec) -> servers.TargetServer:
        """Returns a target."""
        service = self.settings.services.get(member.service)
        if service is None:
            raise ValueError(
                f"target {member.address}: service {member.service!r} is not "
                "among $.services; add it there"
            )
        slots = work.Slots(service.slots, service.unit_s)
        return servers.TargetServer(member, service, self.attachment, slots)

    def _application(self) -> web.Application:
        """Returns the HTTP interface."""
        application = web.Application()
        router = application.router
        router.add_get("/v1/targets", self._read_targets)
        router.add_get("/v1/targets/{address}/health", self._read_health)
        router.add_get("/v1/targets/{address}/load", self._read_load)
        router.add_put("/v1/targets/{address}/lie", self._put_lie)
        router.add_put("/v1/targets/{address}/state", self._put_state)
        router.add_put("/v1/targets/{address}/mute", self._put_mute)
        router.add_put("/v1/entries/{domain}", self._put_entries)
        return application

    def _target(self, request: web.Request) -> servers.TargetServer:
        """Returns the target that a request names."""
        target = self.targets.get(request.match_info["address"])
        if target is None:
            raise web.HTTPNotFound(text="no such target")
        return target

    async def _read_targets(self, request: web.Request) -> web.Response:
        """Answers with the reports of all targets."""
        return web_server.json_response({"targets": self.reports()})

    async def _read_health(self, request: web.Request) -> web.Response:
        """Answers with the health that a target states."""
        return web_server.json_response(
            {"healthy": self._target(request).stated_health()}
        )

    async def _read_load(self, request: web.Request) -> web.Response:
        """Answers with the load that a target states."""
        return web_server.json_response({"load": self._target(request).stated_load()})

    async def _put_lie(self, request: web.Request) -> web.Response:
        """Makes a target lie, or tell the truth again."""
        target = self._target(request)
        target.override = await web_server.read_json(request, servers.ReportOverride)
        self.announcer.announce_now()
        return web_server.json_response({})

    async def _put_state(self, request: web.Request) -> web.Response:
        """Changes the state that a target announces."""
        target = self._target(request)
        change = await web_server.read_json(request, StateChange)
        target.enter(change.state)
        self.announcer.announce_now()
        return web_server.json_response({})

    async def _put_mute(self, request: web.Request) -> web.Response:
        """Makes a target lose all packets, or hear them again."""
        target = self._target(request)
        order = await web_server.read_json(request, MuteCommand)
        packed = ipaddress.ip_address(target.member.address).packed
        muted = self.attachment.stack.muted
        if order.muted:
            muted.add(packed)
        else:
            muted.discard(packed)
        return web_server.json_response({})

    async def _put_entries(self, request: web.Request) -> web.Response:
        """Replaces the entry hosts to announce to in a failure domain."""
        form = tuple[peers.Endpoint, ...]
        endpoints = await web_server.read_json(request, form)
        self.announcer.entries[request.match_info["domain"]] = endpoints
        return web_server.json_response({})
