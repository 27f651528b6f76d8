"""Sends large envelopes with the small HTTP client."""

from tamarack_core import peers
from tamarack_node.internal import http1
from tamarack_node.internal import transport

POST_TIMEOUT_S = 2.0
"""Time for one envelope; what it held is sent again when it is asked for."""


class LightSender:
    """Sends each envelope on a connection of its own.

    Attributes:
        local: IP address to send from.
    """

    __slots__ = ("local",)

    def __init__(self) -> None:
        """Creates a sender that is not open."""
        self.local = ""

    def open(self, endpoint: peers.Endpoint) -> None:
        """Prepares to send from an address."""
        self.local = endpoint.address

    async def post(
        self, endpoint: peers.Endpoint, path: str, data: bytes
    ) -> None:
        """Sends one body; see `transport.LargeSender`."""
        try:
            await http1.post(
                endpoint.address,
                endpoint.port,
                path,
                data,
                self.local,
                POST_TIMEOUT_S,
            )
        except http1.HttpError as error:
            raise transport.SendError(error.reason) from error

    async def close(self) -> None:
        """Holds nothing open."""
