"""Sender of large envelopes on aiohttp."""

import aiohttp

from tamarack_core import peers
from tamarack_node.internal import transport

POST_TIMEOUT_S = 5.0
"""Timeout of one envelope, in seconds."""


class AiohttpSender:
    """Sends all envelopes through one client session.

    Attributes:
        session: The client session; None before `open`.
    """

    __slots__ = ("session",)

    def __init__(self) -> None:
        """Initializes the sender; `open` creates the session."""
        self.session: aiohttp.ClientSession | None = None

    def open(self, endpoint: peers.Endpoint) -> None:
        """Creates a session that sends from an address."""
        timeout = aiohttp.ClientTimeout(total=POST_TIMEOUT_S)
        connector = aiohttp.TCPConnector(local_addr=(endpoint.address, 0))
        self.session = aiohttp.ClientSession(
            connector=connector, timeout=timeout
        )

    async def post(
        self, endpoint: peers.Endpoint, path: str, data: bytes
    ) -> None:
        """Posts one body; see `transport.LargeSender`."""
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
