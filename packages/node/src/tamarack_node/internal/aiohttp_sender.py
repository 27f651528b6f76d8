"""Sends large envelopes with aiohttp."""

import aiohttp

from tamarack_core import peers
from tamarack_node.internal import transport

POST_TIMEOUT_S = 5.0


class AiohttpSender:
    """Sends with one session of aiohttp.

    Attributes:
        session: The HTTP client; None before `open`.
    """

    __slots__ = ("session",)

    def __init__(self) -> None:
        """Creates a sender that is not open."""
        self.session: aiohttp.ClientSession | None = None

    def open(self, endpoint: peers.Endpoint) -> None:
        """Prepares to send from an address."""
        timeout = aiohttp.ClientTimeout(total=POST_TIMEOUT_S)
        connector = aiohttp.TCPConnector(local_addr=(endpoint.address, 0))
        self.session = aiohttp.ClientSession(
            connector=connector, timeout=timeout
        )

    async def post(
        self, endpoint: peers.Endpoint, path: str, data: bytes
    ) -> None:
        """Sends one body; see `transport.LargeSender`."""
        assert self.session is not None
        url = f"http://{transport.format_endpoint(endpoint)}{path}"
        try:
            async with self.session.post(url, data=data) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise transport.SendError(type(error).__name__) from error

    async def close(self) -> None:
        """Closes the session."""
        if self.session is not None:
            await self.session.close()
