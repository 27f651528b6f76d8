"""UDP sockets on the loop of a stand-in."""

from collections.abc import Iterator
import contextlib
import socket

from tamarack_core import peers

BUFFER_BYTES = 4 << 20
_LONGEST_DATAGRAM = 65535


def bind_datagram(endpoint: peers.Endpoint) -> socket.socket:
    """Returns a bound, non-blocking UDP socket.

    Args:
        endpoint: Where to bind; port 0 takes a free port.

    Raises:
        OSError: The endpoint can't be bound.
    """
    family = socket.AF_INET6 if ":" in endpoint.address else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_DGRAM)
    bound.setblocking(False)
    # The kernel grants as much of this as its own limit allows.
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    try:
        bound.bind((endpoint.address, endpoint.port))
    except OSError:
        bound.close()
        raise
    return bound


def endpoint_of(bound: socket.socket) -> peers.Endpoint:
    """Returns the endpoint that a socket is bound to."""
    name = bound.getsockname()
    return peers.Endpoint(name[0], name[1])


def drain(bound: socket.socket, limit: int) -> Iterator[bytes]:
    """Yields the datagrams that have arrived.

    Args:
        bound: A non-blocking socket.
        limit: Most datagrams to read.
    """
    return (data for data, _ in drain_with_source(bound, limit))


def drain_with_source(
    bound: socket.socket, limit: int
) -> Iterator[tuple[bytes, tuple[str, int]]]:
    """Yields the datagrams that have arrived, each with its source.

    Args:
        bound: A non-blocking socket.
        limit: Most datagrams to read.
    """
    for _ in range(limit):
        try:
            data, source = bound.recvfrom(_LONGEST_DATAGRAM)
        except BlockingIOError:
            return
        except OSError:
            # An earlier datagram met a closed port; that error isn't ours.
            continue
        yield data, source[:2]


def send(bound: socket.socket, data: bytes, to: tuple[str, int]) -> None:
    """Sends a datagram; like any datagram it may be lost."""
    with contextlib.suppress(OSError):
        bound.sendto(data, to)
