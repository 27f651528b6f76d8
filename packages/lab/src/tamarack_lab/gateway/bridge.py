"""Joins one ordinary TCP connection to one of the stand-ins."""

import asyncio
import socket
import struct

from tamarack_lab import attachment as attachments
from tamarack_lab.tcp import connection as connections

ConnectionEvent = connections.ConnectionEvent

# Above this much unsent payload the ordinary side is not read any more.
MAX_UNSENT_BYTES = 256 * 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_RESET_EVENTS = (
    ConnectionEvent.REFUSED,
    ConnectionEvent.RESET,
    ConnectionEvent.TIMED_OUT,
)


class ConnectionBridge(asyncio.Protocol):
    """Passes payload, ends and resets from each side to the other.

    Attributes:
        attachment: Carries the packets.
        connection: Side of the stand-ins; None before it is known.
        transport: Ordinary side; None before it is connected.
    """

    __slots__ = (
        "_is_aborted",
        "_is_write_paused",
        "attachment",
        "connection",
        "transport",
    )

    def __init__(self, attachment: attachments.Attachment) -> None:
        """Creates a joint without sides.

        Args:
            attachment: Carries the packets.
        """
        self.attachment = attachment
        self.connection: connections.Connection | None = None
        self.transport: asyncio.Transport | None = None
        self._is_write_paused = False
        self._is_aborted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the ordinary side."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.connection is None:
            # A server that speaks first must wait for its caller.
            transport.pause_reading()
        self._forward_payload()

    def data_received(self, data: bytes) -> None:
        """Passes payload of the ordinary side on."""
        if self.connection is None or self.transport is None:
            return
        self.connection.write(data)
        if len(self.connection.sender.buffer) > MAX_UNSENT_BYTES:
            self.transport.pause_reading()
        self.attachment.flush_soon(self.connection)

    def eof_received(self) -> bool:
        """Passes the end of the ordinary side on; the other may go on."""
        if self.connection is not None:
            self.connection.finish()
            self.attachment.flush_soon(self.connection)
        return not self._is_finished()

    def connection_lost(self, exc: Exception | None) -> None:
        """Passes a reset of the ordinary side on."""
        self.transport = None
        if exc is not None or self.connection is None:
            self.abort()
            return
        self.connection.finish()
        self.attachment.flush_soon(self.connection)

    def abort(self) -> None:
        """Resets the side of the stand-ins, now or once it is known."""
        self._is_aborted = True
        if self.connection is not None:
            self.connection.abort()
            self.attachment.flush_soon(self.connection)

    def pause_writing(self) -> None:
        """Leaves payload unread, which closes the receive window."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Reads payload again."""
        self._is_write_paused = False
        self._forward_payload()

    def notify(
        self, connection: connections.Connection, event: ConnectionEvent
    ) -> None:
        """Passes an occurrence at the side of the stand-ins on."""
        self.connection = connection
        if event is ConnectionEvent.CONNECTED:
            self._start_reading(connection)
        elif event is ConnectionEvent.READABLE:
            self._forward_payload()
        elif event is ConnectionEvent.WRITABLE:
            self._resume_reading(connection)
        elif event is ConnectionEvent.ENDED:
            self._forward_end()
        elif event in _RESET_EVENTS:
            self._reset_kernel_side()
        elif event is ConnectionEvent.CLOSED and self.transport is not None:
            self.transport.close()

    def _start_reading(self, connection: connections.Connection) -> None:
        """Reads the ordinary side once both sides are known."""
        if self._is_aborted:
            connection.abort()
        elif self.transport is not None:
            self.transport.resume_reading()

    def _is_finished(self) -> bool:
        """Returns True when the stand-ins have ended and all is passed on."""
        receiver = self.connection.receiver if self.connection else None
        return (
            receiver is not None
            and receiver.is_finished
            and not receiver.unread
        )

    def _forward_payload(self) -> None:
        """Writes the payload of the stand-ins to the ordinary side."""
        if self.connection is None or self.transport is None:
            return
        # One write may fill the transport; the rest then stays unread.
        while not self._is_write_paused:
            data = self.connection.read()
            if not data:
                break
            self.transport.write(data)
        self.attachment.flush_soon(self.connection)
        self._forward_end()

    def _forward_end(self) -> None:
        """Ends the ordinary side once all payload has been written to it."""
        transport = self.transport
        if transport is None or self.connection is None:
            return
        if not self._is_finished() or transport.is_closing():
            return
        transport.write_eof()
        if self.connection.sender.is_closing:
            transport.close()

    def _resume_reading(self, connection: connections.Connection) -> None:
        """Reads the ordinary side again when there is room."""
        if self.transport is None or self.transport.is_closing():
            return
        if len(connection.sender.buffer) <= MAX_UNSENT_BYTES // 2:
            self.transport.resume_reading()

    def _reset_kernel_side(self) -> None:
        """Resets the ordinary side."""
        if self.transport is None:
            return
        kernel_socket = self.transport.get_extra_info("socket")
        kernel_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        self.transport.abort()
