"""Asks a host whether it takes a TCP connection."""

import asyncio
import errno
import socket

from tamarack_core import effects


async def accepts_connection(probe: effects.ProbeTarget, local: str) -> bool:
    """Returns whether a target takes a connection in time.

    Further connections are asked for while none is taken, as a packet may be
    lost. A connection that is refused ends the probe at once.

    Args:
        probe: The target, and the time that it has.
        local: IP address to connect from.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + probe.timeout_s
    outcome: asyncio.Future[bool] = loop.create_future()
    tried: list[socket.socket] = []
    try:
        for _ in range(probe.attempts):
            tried.append(_begin(loop, probe, local, outcome))
            await asyncio.wait((outcome,), timeout=probe.spacing_s)
            if outcome.done():
                return outcome.result()
        await asyncio.wait((outcome,), timeout=end_s - loop.time())
        if outcome.done():
            return outcome.result()
        # This process may have paused, and the answer wait to be read.
        return any(_is_connected(connection) for connection in tried)
    finally:
        for connection in tried:
            loop.remove_writer(connection)
            connection.close()


def _begin(
    loop: asyncio.AbstractEventLoop,
    probe: effects.ProbeTarget,
    local: str,
    outcome: asyncio.Future[bool],
) -> socket.socket:
    """Begins to connect; the outcome is set once it is known."""
    family = socket.AF_INET6 if ":" in local else socket.AF_INET
    connection = socket.socket(family, socket.SOCK_STREAM)
    connection.setblocking(False)

    def conclude() -> None:
        loop.remove_writer(connection)
        error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        _settle(outcome, error)

    try:
        connection.bind((local, 0))
        endpoint = probe.endpoint
        error = connection.connect_ex((endpoint.address, endpoint.port))
    except OSError as failed:
        error = failed.errno or errno.EIO
    if error == errno.EINPROGRESS:
        loop.add_writer(connection, conclude)
    else:
        _settle(outcome, error)
    return connection


def _settle(outcome: asyncio.Future[bool], error: int) -> None:
    """Ends the probe, unless another connection has ended it."""
    if not outcome.done():
        outcome.set_result(error == 0)


def _is_connected(connection: socket.socket) -> bool:
    """Returns whether the other end has taken a connection."""
    try:
        connection.getpeername()
    except OSError:
        return False
    return True
