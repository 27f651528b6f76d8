"""Sender of large envelopes of the light driver."""

from tamarack_core import peers
from tamarack_node.internal import http1
from tamarack_node.internal import transport

POST_TIMEOUT_S = 2.0
"""Timeout of one envelope, in seconds. A lost envelope is not sent again; the
receiver requests its contents again."""


class LightSender:
    """Sends each envelope on a new connection of the client in `http1`.

    Attributes:
        local_address: IP address to send from.
    """

    __slots__ = ("local_address",)

    def __init__(self) -> None:
        """Initializes the sender; `open` sets its address."""
        self.local_address = ""

    def open(self, endpoint: peers.Endpoint) -> None:
        """Sets the address to send from."""
        self.local_address = endpoint.address

    async def post(
        self, endpoint: peers.Endpoint, path: str, data: bytes
    ) -> None:
        """Posts one body; see `transport.LargeSender`."""
        try:
            await http1.post(
                endpoint.address,
                endpoint.port,
                path,
                data,
                self.local_address,
                POST_TIMEOUT_S,
            )
        except http1.HttpError as error:
            raise transport.SendError(error.reason) from error

    async def close(self) -> None:
        """Does nothing, as no connection stays open."""
