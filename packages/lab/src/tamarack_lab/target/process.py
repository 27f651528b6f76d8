"""A process that runs one or several targets."""

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
    """Command that changes the announced state of a target.

    Attributes:
        state: State to announce from now on.
    """

    state: requests.TargetState


class MuteCommand(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Command that makes a target lose all TCP packets, or ends the loss.

    Attributes:
        muted: Whether all TCP packets from and to the target are lost from
            now on.
    """

    muted: bool


class TargetProcess:
    """Runs targets until closed.

    Attributes:
        settings: Settings.
        attachment: Sends and receives packets through the fabric.
        targets: Targets by address.
        announcer: Announces the targets and renews their leases.
        http: Endpoint of the HTTP interface, the bound one after `start`;
            None if it is disabled.
    """

    __slots__ = (
        "_announcer_task",
        "_runner",
        "announcer",
        "attachment",
        "http",
        "settings",
        "targets",
    )

    def __init__(self, settings: target_settings.Settings) -> None:
        """Initializes targets that are not started.

        Requires a running event loop.

        Args:
            settings: Settings.

        Raises:
            ValueError: A target names a service that is not in the settings.
        """
        self.settings = settings
        stack = stacks.Stack(settings.seed, settings.mss)
        self.attachment = attachments.Attachment(
            stack, settings.fabric, settings.listen
        )
        self.targets = {
            spec.address: self._build(spec) for spec in settings.targets
        }
        self.announcer = announcers.Announcer(
            list(self.targets.values()),
            settings.entries,
            settings.lease_s,
            int(time.time()),
        )
        self.http = settings.http
        self._runner: web.AppRunner | None = None
        self._announcer_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Binds the sockets and announces the targets.

        Raises:
            OSError: An endpoint cannot be bound.
        """
        self.attachment.start()
        for target in self.targets.values():
            target.listen()
        if self.http is not None:
            served = await web_server.serve(self._application(), self.http)
            self._runner = served.runner
            self.http = served.endpoint
        self._announcer_task = asyncio.create_task(self.announcer.run())

    async def drain(self) -> None:
        """Announces draining and waits until all connections have ended.

        The wait ends after `settings.drain_s` at the latest.
        """
        for target in self.targets.values():
            target.set_state(requests.TargetState.DRAINING)
        self.announcer.announce_now()
        deadline_s = time.monotonic() + self.settings.drain_s
        while time.monotonic() < deadline_s:
            if not any(target.open for target in self.targets.values()):
                return
            await asyncio.sleep(_POLL_S)

    async def close(self) -> None:
        """Stops the announcements and closes the sockets."""
        if self._announcer_task is not None:
            self._announcer_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        self.attachment.close()

    def reports(self) -> list[servers.TargetReport]:
        """Returns the report of each target."""
        return [target.report() for target in self.targets.values()]

    def _build(self, spec: target_settings.TargetSpec) -> servers.TargetServer:
        """Returns a target that is not started.

        Raises:
            ValueError: The service of the target is not in the settings.
        """
        service = self.settings.services.get(spec.service)
        if service is None:
            raise ValueError(
                f"target {spec.address}: service {spec.service!r} is not "
                "among $.services; add it there"
            )
        slots = work.Slots(service.slots, service.unit_s)
        return servers.TargetServer(spec, service, self.attachment, slots)

    def _application(self) -> web.Application:
        """Returns the application of the HTTP interface."""
        application = web.Application()
        router = application.router
        router.add_get("/v1/targets", self._read_targets)
        router.add_get("/v1/targets/{address}/health", self._read_health)
        router.add_get("/v1/targets/{address}/load", self._read_load)
        router.add_put("/v1/targets/{address}/lie", self._put_override)
        router.add_put("/v1/targets/{address}/state", self._put_state)
        router.add_put("/v1/targets/{address}/mute", self._put_mute)
        router.add_put("/v1/entries/{domain}", self._put_entries)
        return application

    def _target(self, request: web.Request) -> servers.TargetServer:
        """Returns the target named by the path of a request.

        Raises:
            web.HTTPNotFound: The process does not run the target.
        """
        target = self.targets.get(request.match_info["address"])
        if target is None:
            raise web.HTTPNotFound(text="no target has this address")
        return target

    async def _read_targets(self, request: web.Request) -> web.Response:
        """Responds with the reports of all targets."""
        return web_server.json_response({"targets": self.reports()})

    async def _read_health(self, request: web.Request) -> web.Response:
        """Responds with the health that a target reports."""
        return web_server.json_response(
            {"healthy": self._target(request).reported_health()}
        )

    async def _read_load(self, request: web.Request) -> web.Response:
        """Responds with the load that a target reports."""
        return web_server.json_response(
            {"load": self._target(request).reported_load()}
        )

    async def _put_override(self, request: web.Request) -> web.Response:
        """Sets or clears false values that a target reports."""
        target = self._target(request)
        target.override = await web_server.read_json(
            request, servers.ReportOverride
        )
        self.announcer.announce_now()
        return web_server.json_response({})

    async def _put_state(self, request: web.Request) -> web.Response:
        """Changes the state that a target announces."""
        target = self._target(request)
        change = await web_server.read_json(request, StateChange)
        target.set_state(change.state)
        self.announcer.announce_now()
        return web_server.json_response({})

    async def _put_mute(self, request: web.Request) -> web.Response:
        """Starts or ends the loss of all TCP packets of a target."""
        target = self._target(request)
        command = await web_server.read_json(request, MuteCommand)
        packed = ipaddress.ip_address(target.spec.address).packed
        muted = self.attachment.stack.muted
        if command.muted:
            muted.add(packed)
        else:
            muted.discard(packed)
        return web_server.json_response({})

    async def _put_entries(self, request: web.Request) -> web.Response:
        """Replaces the entry hosts that get the announcements of a domain."""
        form = tuple[peers.Endpoint, ...]
        endpoints = await web_server.read_json(request, form)
        self.announcer.entries[request.match_info["domain"]] = endpoints
        return web_server.json_response({})
