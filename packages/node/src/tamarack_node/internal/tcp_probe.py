"""TCP probe: checks whether a target accepts a connection."""

import asyncio
import errno
import socket

from tamarack_core import effects
from tamarack_core import events
from tamarack_node.internal import endpoint_errors

_OUTCOMES = {
    0: events.ProbeOutcome.ACCEPTED,
    errno.ECONNREFUSED: events.ProbeOutcome.REFUSED,
    errno.ECONNRESET: events.ProbeOutcome.RESET,
}
"""What a connection attempt that ended shows about the target, by error. Others
come from routers, and show nothing about it."""

_OUTCOMES_BY_WEIGHT = (
    events.ProbeOutcome.ACCEPTED,
    events.ProbeOutcome.RESET,
    events.ProbeOutcome.REFUSED,
)
"""What may be found, the strongest evidence that the target serves first."""


async def probe(
    effect: effects.ProbeTarget, local_address: str
) -> events.ProbeOutcome:
    """Returns what a probe of a target found before the timeout.

    While no connection is accepted, further ones are attempted, as a packet may
    be lost, or a router may reject it while routes change. A connection that is
    refused ends the probe at once. An error of this host's own sockets says
    nothing about the target.

    Args:
        effect: The target, the timeout and the number of attempts.
        local_address: IP address to connect from.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + effect.timeout_s
    outcome: asyncio.Future[events.ProbeOutcome] = loop.create_future()
    connections: list[socket.socket] = []
    try:
        for _ in range(effect.attempts):
            connection = _start_connecting(loop, effect, local_address, outcome)
            if connection is not None:
                connections.append(connection)
            elif not connections:
                return events.ProbeOutcome.NOT_SENT
            await asyncio.wait((outcome,), timeout=effect.spacing_s)
            if outcome.done():
                return outcome.result()
        await asyncio.wait((outcome,), timeout=deadline_s - loop.time())
        if outcome.done():
            return outcome.result()
        # After a stall of this process, a connection may be established, or
        # have ended, although the event loop hasn't handled it yet.
        found = {_outcome_of(connection) for connection in connections}
        for known in _OUTCOMES_BY_WEIGHT:
            if known in found:
                return known
        return events.ProbeOutcome.UNANSWERED
    finally:
        for connection in connections:
            loop.remove_writer(connection)
            connection.close()


def _start_connecting(
    loop: asyncio.AbstractEventLoop,
    effect: effects.ProbeTarget,
    local_address: str,
    outcome: asyncio.Future[events.ProbeOutcome],
) -> socket.socket | None:
    """Starts to connect; sets the outcome once it is known.

    Returns:
        The connection; None if this host can't open one.
    """
    family = socket.AF_INET6 if ":" in local_address else socket.AF_INET
    endpoint = effect.endpoint
    try:
        connection = socket.socket(family, socket.SOCK_STREAM)
    except OSError:
        return None
    connection.setblocking(False)

    def handle_writable() -> None:
        loop.remove_writer(connection)
        error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error in _OUTCOMES:
            _set_outcome(outcome, _OUTCOMES[error])

    try:
        connection.bind((local_address, 0))
        error = connection.connect_ex((endpoint.address, endpoint.port))
    except OSError as os_error:
        error = os_error.errno or errno.EIO
    except endpoint_errors.UNUSABLE as unusable:
        endpoint_errors.log(effect.endpoint, unusable)
        error = errno.EINVAL
    if error == errno.EINPROGRESS:
        loop.add_writer(connection, handle_writable)
    elif error in _OUTCOMES:
        _set_outcome(outcome, _OUTCOMES[error])
    else:
        connection.close()
        return None
    return connection


def _set_outcome(
    outcome: asyncio.Future[events.ProbeOutcome], found: events.ProbeOutcome
) -> None:
    """Sets the outcome, unless another connection has set it."""
    if not outcome.done():
        outcome.set_result(found)


def _outcome_of(connection: socket.socket) -> events.ProbeOutcome:
    """Returns what a connection attempt shows about the target so far."""
    error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        return _OUTCOMES.get(error, events.ProbeOutcome.UNANSWERED)
    try:
        connection.getpeername()
    except OSError:
        return events.ProbeOutcome.UNANSWERED
    return events.ProbeOutcome.ACCEPTED
