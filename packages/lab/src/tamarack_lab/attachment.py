"""Attaches a TCP stack to the fabric through one UDP socket."""

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

# A long batch would keep the loop from its timers and other sockets.
_BATCH_DATAGRAMS = 64


class Attachment:
    """Runs a stack on the loop.

    Attributes:
        stack: The stack.
        fabric: Endpoint of the fabric.
        endpoint: Own endpoint, once started.
        clock: Returns the monotonic time in seconds.
    """

    __slots__ = (
        "_flush_due",
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
        """Creates an attachment that isn't started.

        Args:
            stack: The stack to run.
            fabric: Endpoint of the fabric.
            endpoint: Own endpoint; port 0 takes a free port.
        """
        self.stack = stack
        self.fabric = fabric
        self.endpoint = endpoint
        self._loop = asyncio.get_running_loop()
        self.clock: Callable[[], float] = self._loop.time
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._flush_due = False

    def start(self) -> None:
        """Binds the socket.

        Raises:
            OSError: The endpoint can't be bound.
        """
        self._socket = sockets.bind_datagram(self.endpoint)
        self.endpoint = sockets.endpoint_of(self._socket)
        self._loop.add_reader(self._socket.fileno(), self._read)

    def close(self) -> None:
        """Closes the socket; connections end without a segment."""
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def connect(
        self,
        path: connections.FourTuple,
        application: connections.Application,
    ) -> connections.Connection:
        """Opens a connection; see `Stack.connect`."""
        connection = self.stack.connect(self.clock(), path, application)
        self.schedule_flush()
        return connection

    def send_datagram(
        self, path: connections.FourTuple, payload: bytes
    ) -> None:
        """Sends UDP payload; it may be lost."""
        self.stack.send_datagram(path, payload)
        self.schedule_flush()

    def flush_soon(self, connection: connections.Connection) -> None:
        """Sends what an application has queued outside of `notify`."""
        self.stack.mark_changed(connection)
        self.schedule_flush()

    def schedule_flush(self) -> None:
        """Flushes the stack in the next iteration of the loop."""
        if not self._flush_due:
            self._flush_due = True
            self._loop.call_soon(self._flush)

    def _read(self) -> None:
        """Reads the datagrams that have arrived."""
        if self._socket is None:
            return
        now_s = self.clock()
        for data in sockets.drain(self._socket, _BATCH_DATAGRAMS):
            inner = geneve.decapsulate(data)
            if not isinstance(inner, failure.Failure):
                self.stack.receive(now_s, inner.packet)
        self._flush()

    def _flush(self) -> None:
        """Sends what must leave and sets the timer."""
        self._flush_due = False
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
        """Handles the timers of the stack."""
        self._timer = None
        self.stack.expire(self.clock())
        self._flush()
