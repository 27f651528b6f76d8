"""Bridges a TCP connection of the kernel and one of the lab's TCP stack."""

import asyncio
import socket
import struct

from tamarack_lab import attachment as attachments
from tamarack_lab.tcp import connection as connections

ConnectionEvent = connections.ConnectionEvent

# While more than this is unsent on the lab side, the kernel side is not read.
MAX_UNSENT_BYTES = 256 * 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_RESET_EVENTS = (
    ConnectionEvent.REFUSED,
    ConnectionEvent.RESET,
    ConnectionEvent.TIMED_OUT,
)


class ConnectionBridge(asyncio.Protocol):
    """Forwards payload, ends of stream and resets between the two sides.

    Attributes:
        attachment: Sends and receives the packets of the lab side.
        connection: Lab side, a connection of the lab's TCP stack; None
            before it is known.
        transport: Kernel side; None before it is connected and after it is
            lost.
    """

    __slots__ = (
        "_is_aborted",
        "_is_write_paused",
        "attachment",
        "connection",
        "transport",
    )

    def __init__(self, attachment: attachments.Attachment) -> None:
        """Initializes a bridge without connections.

        Args:
            attachment: Sends and receives the packets of the lab side.
        """
        self.attachment = attachment
        self.connection: connections.Connection | None = None
        self.transport: asyncio.Transport | None = None
        self._is_write_paused = False
        self._is_aborted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Attaches the kernel side."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.connection is None:
            # A server that sends first has to wait until the lab side is
            # known, because its data could not be forwarded before.
            transport.pause_reading()
        self._forward_payload()

    def data_received(self, data: bytes) -> None:
        """Forwards payload of the kernel side."""
        if self.connection is None or self.transport is None:
            return
        self.connection.write(data)
        if len(self.connection.sender.buffer) > MAX_UNSENT_BYTES:
            self.transport.pause_reading()
        self.attachment.flush_soon(self.connection)

    def eof_received(self) -> bool:
        """Forwards the end of the kernel side's stream.

        Returns:
            True to keep the transport open while the lab side still sends.
        """
        if self.connection is not None:
            self.connection.finish()
            self.attachment.flush_soon(self.connection)
        return not self._is_finished()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forwards the close or reset of the kernel side."""
        self.transport = None
        if exc is not None or self.connection is None:
            self.abort()
            return
        self.connection.finish()
        self.attachment.flush_soon(self.connection)

    def abort(self) -> None:
        """Resets the lab side, now or as soon as it is connected."""
        self._is_aborted = True
        if self.connection is not None:
            self.connection.abort()
            self.attachment.flush_soon(self.connection)

    def pause_writing(self) -> None:
        """Stops reading the lab side, which closes its receive window."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Resumes reading the lab side."""
        self._is_write_paused = False
        self._forward_payload()

    def notify(
        self, connection: connections.Connection, event: ConnectionEvent
    ) -> None:
        """Forwards an event of the lab side."""
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
        """Starts reading the kernel side once the lab side is connected."""
        if self._is_aborted:
            connection.abort()
        elif self.transport is not None:
            self.transport.resume_reading()

    def _is_finished(self) -> bool:
        """Returns True if the lab side has ended and all payload is read."""
        receiver = self.connection.receiver if self.connection else None
        return (
            receiver is not None
            and receiver.is_finished
            and not receiver.unread
        )

    def _forward_payload(self) -> None:
        """Writes the received payload of the lab side to the kernel side."""
        if self.connection is None or self.transport is None:
            return
        # A write may fill the transport's buffer and call pause_writing(). The
        # rest then stays unread.
        while not self._is_write_paused:
            data = self.connection.read()
            if not data:
                break
            self.transport.write(data)
        self.attachment.flush_soon(self.connection)
        self._forward_end()

    def _forward_end(self) -> None:
        """Ends the kernel side's stream after all payload is written to it."""
        transport = self.transport
        if transport is None or self.connection is None:
            return
        if not self._is_finished() or transport.is_closing():
            return
        transport.write_eof()
        if self.connection.sender.is_closing:
            transport.close()

    def _resume_reading(self, connection: connections.Connection) -> None:
        """Resumes reading the kernel side if the send buffer has room."""
        if self.transport is None or self.transport.is_closing():
            return
        if len(connection.sender.buffer) <= MAX_UNSENT_BYTES // 2:
            self.transport.resume_reading()

    def _reset_kernel_side(self) -> None:
        """Resets the kernel side."""
        if self.transport is None:
            return
        kernel_socket = self.transport.get_extra_info("socket")
        kernel_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        self.transport.abort()
