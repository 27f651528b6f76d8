"""HTTP interface of a host for targets, operators and other hosts."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math
from typing import TypeVar

from aiohttp import web
import msgspec

from tamarack_core import requests
from tamarack_core import timeline
from tamarack_node.internal import metrics as metrics_lib
from tamarack_node.internal import transport as transport_lib

REQUEST_TIMEOUT_S = 10.0
RETRY_AFTER_S = 1.0
"""Delay before a request that timed out is worth repeating, in seconds."""

MAX_BODY_BYTES = 64 * 1024 * 1024
DEFAULT_FLOWS = 100
MAX_FLOWS = 10_000
JSON_TYPE = "application/json"

_STATUS_CODES = {
    requests.PatchState.ACCEPTED: 200,
    requests.PatchState.CONFLICT: 409,
    requests.PatchState.INVALID: 422,
    requests.PatchState.NO_QUORUM: 503,
    requests.PatchState.UNKNOWN: 504,
}

_Posted = TypeVar(
    "_Posted", requests.Announce, requests.SubmitPatch, requests.ChangeMember
)

RequestHandler = Callable[[requests.Request], Awaitable[requests.Response]]


class HttpServer:
    """Serves the HTTP interface.

    Attributes:
        handle_request: Passes a request to the reducer and returns the
            response.
        transport: Receives envelopes posted by other hosts.
        metrics: Metrics to scrape.
        entries: Returns the entries of the time line since a time in ms.
        runner: The running server; None before `open`.
    """

    __slots__ = ("entries", "handle_request", "metrics", "runner", "transport")

    def __init__(
        self,
        handle_request: RequestHandler,
        transport: transport_lib.Transport,
        metrics: metrics_lib.Metrics,
        entries: Callable[[int], list[timeline.Entry]],
    ) -> None:
        """Initializes the server; `open` starts to listen.

        Args:
            handle_request: Passes a request to the reducer and returns the
                response.
            transport: Receives envelopes posted by other hosts.
            metrics: Metrics to scrape.
            entries: Returns the entries of the time line since a time in ms.
        """
        self.handle_request = handle_request
        self.transport = transport
        self.metrics = metrics
        self.entries = entries
        self.runner: web.AppRunner | None = None

    async def open(self, address: str, port: int) -> None:
        """Binds the address and starts to listen.

        Args:
            address: IP address to listen on.
            port: Port to listen on.

        Raises:
            OSError: The endpoint can't be bound.
        """
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.add_routes(
            [
                web.put("/v1/targets/{address}", self.put_target),
                web.post("/v1/patches", self.post_patch),
                web.get("/v1/configuration", self.get_configuration),
                web.get("/v1/log", self.get_log),
                web.get("/v1/rollout", self.get_rollout),
                web.get("/v1/members", self.get_members),
                web.post("/v1/members", self.post_member),
                web.get("/v1/status", self.get_status),
                web.get("/v1/targets", self.get_targets),
                web.get("/v1/flows", self.get_flows),
                web.get("/v1/timeline", self.get_timeline),
                web.get("/v1/health", self.get_health),
                web.get("/metrics", self.get_metrics),
                web.post(transport_lib.MESSAGES_PATH, self.post_messages),
            ]
        )
        self.runner = web.AppRunner(application, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, address, port).start()

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def put_target(self, request: web.Request) -> web.Response:
        """Handles the announcement of a target."""
        fields = await _read_json(request)
        fields["address"] = request.match_info["address"]
        return await self._handle(_convert(fields, requests.Announce))

    async def post_patch(self, request: web.Request) -> web.Response:
        """Handles a patch of an operator."""
        fields = await _read_json(request)
        if "operations" in fields:
            encoded = msgspec.json.encode(fields["operations"])
            fields["operations"] = msgspec.Raw(encoded)
        return await self._handle(_convert(fields, requests.SubmitPatch))

    async def get_configuration(self, request: web.Request) -> web.Response:
        """Handles a read of the configuration."""
        return await self._handle(requests.ReadConfiguration())

    async def get_log(self, request: web.Request) -> web.Response:
        """Handles a read of the accepted patches."""
        after = request.query.get("after", "0")
        if not after.isdecimal():
            refused = requests.Refused(
                "bad-request", f"after {after!r} is not a version"
            )
            return _encode_response(refused)
        return await self._handle(requests.ReadLog(int(after)))

    async def get_rollout(self, request: web.Request) -> web.Response:
        """Handles a read of the versions that the hosts downstream apply."""
        return await self._handle(requests.ReadRollout())

    async def get_members(self, request: web.Request) -> web.Response:
        """Handles a read of the members of the replicated log."""
        return await self._handle(requests.ReadMembers())

    async def post_member(self, request: web.Request) -> web.Response:
        """Handles a change of one member."""
        fields = await _read_json(request)
        return await self._handle(_convert(fields, requests.ChangeMember))

    async def get_status(self, request: web.Request) -> web.Response:
        """Handles a read of the state of this host."""
        return await self._handle(requests.ReadStatus())

    async def get_targets(self, request: web.Request) -> web.Response:
        """Handles a read of the targets."""
        service = request.query.get("service", "")
        return await self._handle(requests.ReadTargets(service))

    async def get_flows(self, request: web.Request) -> web.Response:
        """Handles a read of the open flows."""
        limit = request.query.get("limit", str(DEFAULT_FLOWS))
        if not limit.isdecimal() or int(limit) > MAX_FLOWS:
            refused = requests.Refused(
                "bad-request",
                f"limit {limit!r} is not a number up to {MAX_FLOWS}",
            )
            return _encode_response(refused)
        read = requests.ReadFlows(
            request.query.get("service", ""),
            request.query.get("target", ""),
            int(limit),
        )
        return await self._handle(read)

    async def get_timeline(self, request: web.Request) -> web.Response:
        """Handles a read of the time line of this host."""
        since = request.query.get("since_ms", "0")
        if not since.isdecimal():
            refused = requests.Refused(
                "bad-request", f"since_ms {since!r} is not a time in ms"
            )
            return _encode_response(refused)
        data = timeline.encode(self.entries(int(since)))
        return web.Response(body=data, content_type=JSON_TYPE)

    async def get_health(self, request: web.Request) -> web.Response:
        """Handles a health check; a response shows that the loop runs."""
        return web.json_response({"healthy": True})

    async def get_metrics(self, request: web.Request) -> web.Response:
        """Handles a scrape of the metrics."""
        headers = {"Content-Type": metrics_lib.CONTENT_TYPE}
        return web.Response(body=self.metrics.scrape(), headers=headers)

    async def post_messages(self, request: web.Request) -> web.Response:
        """Handles an envelope from another host."""
        self.transport.handle_bytes(await request.read())
        return web.Response(status=204)

    async def _handle(
        self, request: requests.Request | requests.Refused
    ) -> web.Response:
        """Passes a request to the core and returns the HTTP response."""
        if isinstance(request, requests.Refused):
            return _encode_response(request)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                return _encode_response(await self.handle_request(request))
        except TimeoutError:
            return _encode_response(_timeout_response(request))


def _timeout_response(request: requests.Request) -> requests.Response:
    """Returns the response to a request that timed out."""
    detail = f"no response within {REQUEST_TIMEOUT_S:g} s"
    if isinstance(request, requests.SubmitPatch):
        return requests.PatchVerdict(
            requests.PatchState.UNKNOWN,
            reason=f"{detail}; send the patch again with the same id",
        )
    return requests.Refused("timeout", detail, RETRY_AFTER_S)


def _encode_response(response: requests.Response) -> web.Response:
    """Returns the HTTP response for a response of the core."""
    status = 200
    headers = {}
    if isinstance(response, requests.Refused):
        status = 400
        if response.retry_after_s:
            status = 503
            headers["Retry-After"] = str(math.ceil(response.retry_after_s))
    elif isinstance(response, requests.PatchVerdict):
        status = _STATUS_CODES[response.state]
    data = msgspec.json.encode(response)
    return web.Response(
        body=data, status=status, headers=headers, content_type=JSON_TYPE
    )


async def _read_json(request: web.Request) -> dict[str, object]:
    """Returns the JSON object in the body, or an empty one if invalid."""
    try:
        document = msgspec.json.decode(await request.read())
    except (msgspec.DecodeError, RecursionError):
        return {}
    return document if isinstance(document, dict) else {}


def _convert(
    fields: dict[str, object],
    kind: type[_Posted],
) -> _Posted | requests.Refused:
    """Returns the request with the decoded fields, or a refusal."""
    try:
        return msgspec.convert(fields, kind)
    except msgspec.ValidationError as error:
        return requests.Refused("bad-request", str(error))
