"""TCP links of the proxy."""

import asyncio
from collections.abc import Coroutine
import contextlib
import dataclasses
from typing import Any

from tamarack_core import peers
from tamarack_lab.proxy import datagrams
from tamarack_lab.proxy import faults as faults_lib
from tamarack_lab.proxy import settings as proxy_settings

_READ_BYTES = 65536
# Chunks that wait for their departure. Beyond this number, reading stops and
# flow control keeps the data in the kernel of the sender.
_MAX_QUEUED = 64
_PARTITION_POLL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class _Chunk:
    """Stream data that waits for its departure.

    Attributes:
        departure_s: Departure time, in seconds since the start of the proxy.
        data: The data; empty for the end of the stream.
    """

    departure_s: float
    data: bytes


class StreamLink:
    """Forwards TCP connections between two endpoints.

    Attributes:
        link: Settings of the link.
        channels: Both directions.
        listen: Endpoint to listen at; the bound one after `start`.
    """

    __slots__ = ("_server", "_tasks", "channels", "link", "listen")

    def __init__(
        self, link: proxy_settings.Link, channels: datagrams.ChannelPair
    ) -> None:
        """Initializes a link that is not started.

        Args:
            link: Settings of the link.
            channels: Both directions.
        """
        self.link = link
        self.channels = channels
        self.listen = link.listen
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts to accept connections.

        Raises:
            OSError: The endpoint cannot be bound.
        """
        listen = self.link.listen
        self._server = await asyncio.start_server(
            self._accept, listen.address, listen.port
        )
        name = self._server.sockets[0].getsockname()
        self.listen = peers.Endpoint(name[0], name[1])

    async def close(self) -> None:
        """Closes the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Starts to forward an accepted connection."""
        self._start_task(self._forward(reader, writer))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine and keeps a reference to its task until it ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one connection until both directions have ended."""
        sender: str = writer.get_extra_info("peername")[0]
        await self._wait_partition_end(self.channels.forward, sender)
        await self._wait_partition_end(self.channels.back, sender)
        to = self.link.to
        with contextlib.suppress(OSError), contextlib.closing(writer):
            remote_reader, remote_writer = await asyncio.open_connection(
                to.address, to.port
            )
            with contextlib.closing(remote_writer):
                async with asyncio.TaskGroup() as group:
                    group.create_task(
                        self._forward_direction(
                            self.channels.forward, reader, remote_writer, sender
                        )
                    )
                    group.create_task(
                        self._forward_direction(
                            self.channels.back, remote_reader, writer, sender
                        )
                    )

    async def _forward_direction(
        self,
        channel: faults_lib.Channel,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: str,
    ) -> None:
        """Forwards one direction of a connection.

        A reset of the incoming side is forwarded as an end of stream.
        """
        queue: asyncio.Queue[_Chunk] = asyncio.Queue(_MAX_QUEUED)
        reading = asyncio.create_task(
            self._read_chunks(channel, reader, queue, sender)
        )
        try:
            await self._write_chunks(channel, queue, writer, sender)
        finally:
            reading.cancel()

    async def _read_chunks(
        self,
        channel: faults_lib.Channel,
        reader: asyncio.StreamReader,
        queue: asyncio.Queue[_Chunk],
        sender: str,
    ) -> None:
        """Reads chunks and queues them with their departure times."""
        while True:
            try:
                data = await reader.read(_READ_BYTES)
            except OSError:
                data = b""
            now_s = self.channels.clock()
            delay_s = self.channels.faults.stream_delay(channel, now_s, sender)
            await queue.put(_Chunk(now_s + delay_s, data))
            if not data:
                return

    async def _write_chunks(
        self,
        channel: faults_lib.Channel,
        queue: asyncio.Queue[_Chunk],
        writer: asyncio.StreamWriter,
        sender: str,
    ) -> None:
        """Writes each chunk once it is due and no partition blocks it."""
        while True:
            chunk = await queue.get()
            wait_s = chunk.departure_s - self.channels.clock()
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
            await self._wait_partition_end(channel, sender)
            try:
                await _write(writer, chunk.data)
            except OSError:
                # The receiver has closed the connection. Closing the writer
                # ends the other direction as well.
                writer.close()
                return
            if not chunk.data:
                return

    async def _wait_partition_end(
        self, channel: faults_lib.Channel, sender: str
    ) -> None:
        """Waits until no partition blocks a channel."""
        channels = self.channels
        while channels.faults.is_partitioned(channel, channels.clock(), sender):
            await asyncio.sleep(_PARTITION_POLL_S)


async def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes data, or ends the stream if the data is empty."""
    if not data:
        writer.write_eof()
        return
    writer.write(data)
    await writer.drain()
