"""HTTP interfaces of the stand-ins."""

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
    """A running HTTP interface.

    Attributes:
        runner: Ends the interface with its `cleanup`.
        endpoint: Where it listens.
    """

    runner: web.AppRunner
    endpoint: peers.Endpoint


async def serve(
    application: web.Application, at: peers.Endpoint
) -> RunningServer:
    """Starts an HTTP interface.

    Args:
        application: What answers.
        at: Where to listen; port 0 takes a free port.

    Raises:
        OSError: The endpoint can't be bound.
    """
    runner = web.AppRunner(
        application, access_log=None, shutdown_timeout=_SHUTDOWN_S
    )
    await runner.setup()
    site = web.TCPSite(runner, at.address, at.port)
    try:
        await site.start()
    except OSError:
        await runner.cleanup()
        raise
    name = runner.addresses[0]
    return RunningServer(runner, peers.Endpoint(name[0], name[1]))


def json_response(body: Mapping[str, object] | msgspec.Struct) -> web.Response:
    """Returns a JSON response."""
    return web.Response(
        body=msgspec.json.encode(body), content_type="application/json"
    )


async def read_json(request: web.Request, form: type[T]) -> T:
    """Returns the JSON body of a request.

    Raises:
        web.HTTPBadRequest: The body is not of the form.
    """
    try:
        return msgspec.json.decode(await request.read(), type=form)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
