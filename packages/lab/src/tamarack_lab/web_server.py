"""HTTP servers of the stand-ins."""

from collections.abc import Mapping
import dataclasses
from typing import TypeVar

from aiohttp import web
import msgspec

from tamarack_core import peers

T = TypeVar("T")
_SHUTDOWN_S = 0.2


@dataclasses.dataclass(slots=True)
class RunningServer:
    """HTTP server that is listening.

    Attributes:
        runner: Its `cleanup` stops the server.
        endpoint: Endpoint that the server listens on.
    """

    runner: web.AppRunner
    endpoint: peers.Endpoint


async def serve(
    application: web.Application, endpoint: peers.Endpoint
) -> RunningServer:
    """Starts an HTTP server.

    Args:
        application: Application that handles the requests.
        endpoint: Endpoint to listen on; port 0 selects a free port.

    Raises:
        OSError: The endpoint can't be bound.
    """
    runner = web.AppRunner(
        application, access_log=None, shutdown_timeout=_SHUTDOWN_S
    )
    await runner.setup()
    site = web.TCPSite(runner, endpoint.address, endpoint.port)
    try:
        await site.start()
    except OSError:
        await runner.cleanup()
        raise
    bound = runner.addresses[0]
    return RunningServer(runner, peers.Endpoint(bound[0], bound[1]))


def json_response(body: Mapping[str, object] | msgspec.Struct) -> web.Response:
    """Returns a response with the body encoded as JSON."""
    return web.Response(
        body=msgspec.json.encode(body), content_type="application/json"
    )


async def read_json(request: web.Request, body_type: type[T]) -> T:
    """Returns the decoded JSON body of a request.

    Raises:
        web.HTTPBadRequest: The body is not JSON of this type.
    """
    try:
        return msgspec.json.decode(await request.read(), type=body_type)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
