"""Connects a user-space TCP stack to the fabric through one UDP socket."""

import asyncio
from collections.abc import Callable
import socket

from tamarack_core import failure
from tamarack_core import peers
from tamarack_core.packets import geneve
from tamarack_lab import sockets
from tamarack_lab.tcp import connection as connections
from tamarack_lab.tcp import stack as stacks

ConnectionCallback = Callable[[connections.Connection], None]

# A longer batch would delay the timers and other sockets of the event loop.
_BATCH_DATAGRAMS = 64


class Attachment:
    """Runs a TCP stack on the event loop.

    Attributes:
        stack: The stack.
        fabric: Endpoint of the fabric.
        endpoint: Endpoint of the UDP socket; the bound one after `start`.
        clock: Returns the monotonic time in seconds.
    """

    __slots__ = (
        "_is_flush_scheduled",
        "_loop",
        "_socket",
        "_timer",
        "clock",
        "endpoint",
        "fabric",
        "stack",
    )

    def __init__(
        self,
        stack: stacks.Stack,
        fabric: peers.Endpoint,
        endpoint: peers.Endpoint,
    ) -> None:
        """Initializes an attachment that is not started.

        Args:
            stack: The stack to run.
            fabric: Endpoint of the fabric.
            endpoint: Endpoint to bind; port 0 selects a free port.
        """
        self.stack = stack
        self.fabric = fabric
        self.endpoint = endpoint
        self._loop = asyncio.get_running_loop()
        self.clock: Callable[[], float] = self._loop.time
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_flush_scheduled = False

    def start(self) -> None:
        """Binds the socket and starts reading from it.

        Raises:
            OSError: The endpoint cannot be bound.
        """
        self._socket = sockets.bind_datagram(self.endpoint)
        self.endpoint = sockets.endpoint_of(self._socket)
        self._loop.add_reader(self._socket.fileno(), self._read)

    def close(self) -> None:
        """Closes the socket without sending a FIN or RST to any peer."""
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def connect(
        self,
        four_tuple: connections.FourTuple,
        application: connections.Application,
    ) -> connections.Connection:
        """Opens a connection, see `Stack.connect`."""
        connection = self.stack.connect(self.clock(), four_tuple, application)
        self.schedule_flush()
        return connection

    def send_datagram(
        self, four_tuple: connections.FourTuple, payload: bytes
    ) -> None:
        """Sends a UDP datagram without any delivery guarantee."""
        self.stack.send_datagram(four_tuple, payload)
        self.schedule_flush()

    def flush_soon(self, connection: connections.Connection) -> None:
        """Schedules the sending of data queued outside of `notify`.

        Applications call this after they have used a connection in any other
        place than `Application.notify`.
        """
        self.stack.mark_changed(connection)
        self.schedule_flush()

    def schedule_flush(self) -> None:
        """Flushes the stack in the next iteration of the event loop."""
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _read(self) -> None:
        """Passes the next batch of received datagrams to the stack."""
        if self._socket is None:
            return
        now_s = self.clock()
        for data in sockets.receive_ready(self._socket, _BATCH_DATAGRAMS):
            inner = geneve.decapsulate(data)
            if not isinstance(inner, failure.Failure):
                self.stack.receive(now_s, inner.packet)
        self._flush()

    def _flush(self) -> None:
        """Sends all outgoing packets of the stack and sets the timer."""
        self._is_flush_scheduled = False
        if self._socket is None:
            return
        fabric = (self.fabric.address, self.fabric.port)
        for packet in self.stack.flush(self.clock()):
            sockets.send(self._socket, geneve.encapsulate(packet), fabric)
        self._set_timer()

    def _set_timer(self) -> None:
        """Sets the timer for the next deadline of the stack."""
        deadline_s = self.stack.next_deadline()
        if self._timer is not None:
            if deadline_s == self._timer.when():
                return
            self._timer.cancel()
            self._timer = None
        if deadline_s is not None:
            self._timer = self._loop.call_at(deadline_s, self._expire)

    def _expire(self) -> None:
        """Handles the expired timers of the stack."""
        self._timer = None
        self.stack.expire(self.clock())
        self._flush()
