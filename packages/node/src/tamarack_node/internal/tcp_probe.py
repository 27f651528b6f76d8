"""TCP probe: checks whether a target accepts a connection."""

import asyncio
import errno
import socket

from tamarack_core import effects
from tamarack_node.internal import endpoint_errors


async def accepts_connection(
    probe: effects.ProbeTarget, local_address: str
) -> bool:
    """Returns whether a target accepts a connection before the timeout.

    While none is accepted, further connections are attempted, as a packet may
    be lost. A connection that is refused ends the probe at once.

    Args:
        probe: The target, the timeout and the number of attempts.
        local_address: IP address to connect from.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + probe.timeout_s
    outcome: asyncio.Future[bool] = loop.create_future()
    connections: list[socket.socket] = []
    try:
        for _ in range(probe.attempts):
            connections.append(
                _start_connecting(loop, probe, local_address, outcome)
            )
            await asyncio.wait((outcome,), timeout=probe.spacing_s)
            if outcome.done():
                return outcome.result()
        await asyncio.wait((outcome,), timeout=deadline_s - loop.time())
        if outcome.done():
            return outcome.result()
        # After a stall of this process, a connection may be established
        # although the event loop has not handled it yet.
        return any(_is_connected(connection) for connection in connections)
    finally:
        for connection in connections:
            loop.remove_writer(connection)
            connection.close()


def _start_connecting(
    loop: asyncio.AbstractEventLoop,
    probe: effects.ProbeTarget,
    local_address: str,
    outcome: asyncio.Future[bool],
) -> socket.socket:
    """Starts to connect; sets the outcome once it is known."""
    family = socket.AF_INET6 if ":" in local_address else socket.AF_INET
    connection = socket.socket(family, socket.SOCK_STREAM)
    connection.setblocking(False)

    def handle_writable() -> None:
        loop.remove_writer(connection)
        error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        _set_outcome(outcome, error)

    try:
        connection.bind((local_address, 0))
        endpoint = probe.endpoint
        error = connection.connect_ex((endpoint.address, endpoint.port))
    except OSError as os_error:
        error = os_error.errno or errno.EIO
    except endpoint_errors.UNUSABLE as unusable:
        endpoint_errors.log(probe.endpoint, unusable)
        error = errno.EINVAL
    if error == errno.EINPROGRESS:
        loop.add_writer(connection, handle_writable)
    else:
        _set_outcome(outcome, error)
    return connection


def _set_outcome(outcome: asyncio.Future[bool], error: int) -> None:
    """Sets the outcome, unless another connection has set it."""
    if not outcome.done():
        outcome.set_result(error == 0)


def _is_connected(connection: socket.socket) -> bool:
    """Returns whether a connection is established."""
    try:
        connection.getpeername()
    except OSError:
        return False
    return True
