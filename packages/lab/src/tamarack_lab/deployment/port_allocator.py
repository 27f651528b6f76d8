"""Allocator of free loopback ports."""

import random
import socket

from tamarack_core import peers

LOOPBACK = "127.0.0.1"
# The kernel assigns higher ports to outgoing connections, so a port of that
# range could be taken before the process that it was allocated to binds it.
FIRST_PORT = 15_000
LAST_PORT = 32_000


class PortAllocator:
    """Finds free ports and returns each port only once.

    Attributes:
        allocated: Ports returned so far, for any loopback address.
        random: Draws the ports, so that concurrent runs get different ones.
    """

    __slots__ = ("allocated", "random")

    def __init__(self) -> None:
        """Initializes the allocator without allocated ports."""
        self.allocated: set[int] = set()
        self.random = random.SystemRandom()

    def allocate(self, address: str = LOOPBACK) -> peers.Endpoint:
        """Returns a loopback endpoint that is free for TCP and UDP.

        The endpoint isn't reserved: another process may bind it first.

        Args:
            address: Loopback address of the endpoint.
        """
        while True:
            port = self.random.randrange(FIRST_PORT, LAST_PORT)
            if port not in self.allocated and _is_free(address, port):
                self.allocated.add(port)
                return peers.Endpoint(address, port)


def _is_free(address: str, port: int) -> bool:
    """Returns whether a port can be bound for both TCP and UDP."""
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
