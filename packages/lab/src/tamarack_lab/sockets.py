"""Non-blocking UDP sockets of the stand-ins."""

from collections.abc import Iterator
import contextlib
import socket

from tamarack_core import peers

BUFFER_BYTES = 4 << 20
_MAX_DATAGRAM_BYTES = 65535


def bind_datagram(endpoint: peers.Endpoint) -> socket.socket:
    """Returns a bound, non-blocking UDP socket.

    Args:
        endpoint: Local endpoint; port 0 selects a free port.

    Raises:
        OSError: The endpoint can't be bound.
    """
    family = socket.AF_INET6 if ":" in endpoint.address else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    sock.setblocking(False)
    # The kernel silently caps these sizes at its own limits.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    try:
        sock.bind((endpoint.address, endpoint.port))
    except OSError:
        sock.close()
        raise
    return sock


def endpoint_of(sock: socket.socket) -> peers.Endpoint:
    """Returns the endpoint that a socket is bound to."""
    address = sock.getsockname()
    return peers.Endpoint(address[0], address[1])


def receive_ready(sock: socket.socket, limit: int) -> Iterator[bytes]:
    """Yields the datagrams that are ready to be read.

    Args:
        sock: A non-blocking socket.
        limit: Most datagrams to read.
    """
    return (data for data, _ in receive_ready_with_source(sock, limit))


def receive_ready_with_source(
    sock: socket.socket, limit: int
) -> Iterator[tuple[bytes, tuple[str, int]]]:
    """Yields the datagrams that are ready, each with its source.

    Args:
        sock: A non-blocking socket.
        limit: Most datagrams to read.
    """
    for _ in range(limit):
        try:
            data, source = sock.recvfrom(_MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return
        except OSError:
            # An earlier datagram was sent to a closed port, and the kernel
            # reports that here. It says nothing about later datagrams.
            continue
        yield data, source[:2]


def send(
    sock: socket.socket, data: bytes, destination: tuple[str, int]
) -> None:
    """Sends a datagram; errors are ignored like the loss of a datagram."""
    with contextlib.suppress(OSError):
        sock.sendto(data, destination)
