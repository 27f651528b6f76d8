"""Free loopback ports."""

import random
import socket

from tamarack_core import peers

LOOPBACK = "127.0.0.1"
# The kernel gives out higher ports to outgoing connections, so that a port
# from there may be taken before it is bound.
FIRST_PORT = 15_000
LAST_PORT = 32_000


class PortAllocator:
    """Finds free ports and gives out each once.

    Attributes:
        given: Ports given out so far, at any loopback address.
        random: Chooses among ports, so that runs side by side differ.
    """

    __slots__ = ("given", "random")

    def __init__(self) -> None:
        """Starts with no port given out."""
        self.given: set[int] = set()
        self.random = random.SystemRandom()

    def allocate(self, address: str = LOOPBACK) -> peers.Endpoint:
        """Returns a loopback endpoint that is free for TCP and UDP.

        Another process may bind it before it is used.

        Args:
            address: Loopback address.
        """
        while True:
            port = self.random.randrange(FIRST_PORT, LAST_PORT)
            if port not in self.given and _is_free(address, port):
                self.given.add(port)
                return peers.Endpoint(address, port)


def _is_free(address: str, port: int) -> bool:
    """Returns True when a port can be bound for TCP and UDP."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
    ):
        try:
            udp.bind((address, port))
            tcp.bind((address, port))
        except OSError:
            return False
        return True
