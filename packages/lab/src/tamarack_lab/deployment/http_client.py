"""HTTP client for the hosts and stand-ins of a deployment."""

import dataclasses
from typing import Any

import aiohttp
import msgspec

from tamarack_core import failure
from tamarack_core import peers

# Longer than a host may take to give a verdict on a patch.
_TIMEOUT = aiohttp.ClientTimeout(total=15.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Answer over HTTP.

    Attributes:
        status: Status code.
        body: Decoded JSON; None without any.
    """

    status: int
    body: Any


class HttpClient:
    """Sends JSON over HTTP.

    Attributes:
        session: Connections to the servers.
    """

    __slots__ = ("session",)

    def __init__(self) -> None:
        """Creates a client; needs a running loop."""
        self.session = aiohttp.ClientSession(timeout=_TIMEOUT)

    async def close(self) -> None:
        """Closes the connections."""
        await self.session.close()

    async def request(
        self, method: str, at: peers.Endpoint, path: str, body: object = None
    ) -> Response | failure.Failure:
        """Returns the answer to a request, or why there is none.

        Args:
            method: HTTP method.
            at: The server.
            path: Path with query.
            body: Value to send as JSON; None for none.
        """
        data = None if body is None else msgspec.json.encode(body)
        url = f"http://{at.address}:{at.port}{path}"
        try:
            async with self.session.request(method, url, data=data) as got:
                raw = await got.read()
                decoded = msgspec.json.decode(raw) if raw else None
                return Response(got.status, decoded)
        except (aiohttp.ClientError, TimeoutError) as error:
            return failure.Failure("no-answer", f"{url}: {error}")
        except msgspec.DecodeError as error:
            return failure.Failure("not-json", f"{url}: {error}")
