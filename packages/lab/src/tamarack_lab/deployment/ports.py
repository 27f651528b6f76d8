"""Free loopback ports."""

import socket

from tamarack_core import peers

LOOPBACK = "127.0.0.1"


class Ports:
    """Finds free ports and gives out each once.

    Attributes:
        given: Ports given out so far, at any loopback address.
    """

    __slots__ = ("given",)

    def __init__(self) -> None:
        """Starts with no port given out."""
        self.given: set[int] = set()

    def take(self, address: str = LOOPBACK) -> peers.Endpoint:
        """Returns a loopback endpoint that is free for TCP and UDP.

        Another process may bind it before it is used.

        Args:
            address: Loopback address.
        """
        while True:
            port = _free_port(address)
            if port is not None and port not in self.given:
                self.given.add(port)
                return peers.Endpoint(address, port)


def _free_port(address: str) -> int | None:
    """Returns a port that is free for UDP; None if it isn't for TCP."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
    ):
        udp.bind((address, 0))
        port: int = udp.getsockname()[1]
        try:
            tcp.bind((address, port))
        except OSError:
            return None
        return port
