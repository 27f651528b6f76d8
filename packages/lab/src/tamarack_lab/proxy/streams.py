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
# Pieces that wait for their delay; more are left in the sender's kernel.
_MOST_WAITING = 64
_PARTITION_POLL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class _Piece:
    """Data on its way.

    Attributes:
        leave_s: When it leaves, in seconds since the start of the proxy.
        data: The data; empty for the end of the stream.
    """

    leave_s: float
    data: bytes


class StreamLink:
    """Carries TCP connections between two endpoints.

    Attributes:
        link: Settings.
        channels: Both directions.
        listen: Where it listens, once started.
    """

    __slots__ = ("_server", "_tasks", "channels", "link", "listen")

    def __init__(
        self, link: proxy_settings.Link, channels: datagrams.ChannelPair
    ) -> None:
        """Creates a link that isn't started.

        Args:
            link: Settings.
            channels: Both directions.
        """
        self.link = link
        self.channels = channels
        self.listen = link.listen
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens.

        Raises:
            OSError: The endpoint can't be bound.
        """
        place = self.link.listen
        self._server = await asyncio.start_server(
            self._accept, place.address, place.port
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
        """Carries a new connection."""
        self._start_task(self._carry(reader, writer))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine and keeps it until it is done."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carries one connection until both directions have ended."""
        sender: str = writer.get_extra_info("peername")[0]
        await self._wait_open(self.channels.forward, sender)
        await self._wait_open(self.channels.back, sender)
        to = self.link.to
        with contextlib.suppress(OSError), contextlib.closing(writer):
            far_reader, far_writer = await asyncio.open_connection(
                to.address, to.port
            )
            with contextlib.closing(far_writer):
                async with asyncio.TaskGroup() as group:
                    group.create_task(
                        self._pump(
                            self.channels.forward, reader, far_writer, sender
                        )
                    )
                    group.create_task(
                        self._pump(
                            self.channels.back, far_reader, writer, sender
                        )
                    )

    async def _pump(
        self,
        channel: faults_lib.Channel,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: str,
    ) -> None:
        """Carries one direction; a reset is passed on as an end."""
        waiting: asyncio.Queue[_Piece] = asyncio.Queue(_MOST_WAITING)
        taking = asyncio.create_task(
            self._take(channel, reader, waiting, sender)
        )
        try:
            await self._give(channel, waiting, writer, sender)
        finally:
            taking.cancel()

    async def _take(
        self,
        channel: faults_lib.Channel,
        reader: asyncio.StreamReader,
        waiting: asyncio.Queue[_Piece],
        sender: str,
    ) -> None:
        """Reads pieces and decides when they leave."""
        while True:
            try:
                data = await reader.read(_READ_BYTES)
            except OSError:
                data = b""
            now_s = self.channels.clock()
            delay_s = self.channels.faults.stream_delay(channel, now_s, sender)
            await waiting.put(_Piece(now_s + delay_s, data))
            if not data:
                return

    async def _give(
        self,
        channel: faults_lib.Channel,
        waiting: asyncio.Queue[_Piece],
        writer: asyncio.StreamWriter,
        sender: str,
    ) -> None:
        """Writes pieces when they are due and the way is open."""
        while True:
            piece = await waiting.get()
            wait_s = piece.leave_s - self.channels.clock()
            if wait_s > 0.0:
                await asyncio.sleep(wait_s)
            await self._wait_open(channel, sender)
            try:
                await _write(writer, piece.data)
            except OSError:
                # The receiver is gone; closing its side ends the connection.
                writer.close()
                return
            if not piece.data:
                return

    async def _wait_open(
        self, channel: faults_lib.Channel, sender: str
    ) -> None:
        """Waits for the end of a partition."""
        channels = self.channels
        while channels.faults.is_partitioned(channel, channels.clock(), sender):
            await asyncio.sleep(_PARTITION_POLL_S)


async def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes data, or the end of the stream if there is none."""
    if not data:
        writer.write_eof()
        return
    writer.write(data)
    await writer.drain()
