"""HTTP client for the hosts and stand-ins of a deployment."""

import dataclasses
from typing import Any

import aiohttp
import msgspec

from tamarack_core import failure
from tamarack_core import peers

# Exceeds the time that a host may take to decide on a patch.
_TIMEOUT = aiohttp.ClientTimeout(total=15.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Response to an HTTP request.

    Attributes:
        status: Status code.
        body: Decoded JSON body; None if it is empty.
    """

    status: int
    body: Any


class HttpClient:
    """Client that sends and receives JSON over HTTP.

    Attributes:
        session: Session that pools the connections to the servers.
    """

    __slots__ = ("session",)

    def __init__(self) -> None:
        """Initializes the client; requires a running event loop."""
        self.session = aiohttp.ClientSession(timeout=_TIMEOUT)

    async def close(self) -> None:
        """Closes all pooled connections."""
        await self.session.close()

    async def request(
        self, method: str, at: peers.Endpoint, path: str, body: object = None
    ) -> Response | failure.Failure:
        """Sends a request and returns the response, or the failure.

        Args:
            method: HTTP method.
            at: Endpoint of the server.
            path: Path, including the query string.
            body: Value to send as JSON; None sends no body.
        """
        data = None if body is None else msgspec.json.encode(body)
        url = f"http://{at.address}:{at.port}{path}"
        try:
            async with self.session.request(method, url, data=data) as response:
                raw = await response.read()
                decoded = msgspec.json.decode(raw) if raw else None
                return Response(response.status, decoded)
        except (aiohttp.ClientError, TimeoutError) as error:
            return failure.Failure("no-answer", f"{url}: {error}")
        except msgspec.DecodeError as error:
            return failure.Failure("not-json", f"{url}: {error}")
