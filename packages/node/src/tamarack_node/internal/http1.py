"""A small HTTP/1.1 server and client on httptools, for hosts that start often.

`aiohttp` takes more processor time to load than a small entry host has in a
second; this module serves the same purpose there with what is needed: bounded
requests, keep-alive, and one request at a time on a connection.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket

import httptools
import msgspec

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Largest body that is taken; a document of 16,000 routes has 4 MB."""

MAX_HEADER_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 20.0
"""Time after which a connection without a whole request is closed."""

MAX_CONNECTIONS = 3_000
"""Connections at once; further ones are closed at once. A host of 4,096
descriptors takes the announcements of as many targets."""

KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3

BAD_REQUEST = 400
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
_PHRASES = {
    200: "OK",
    307: "Temporary Redirect",
    BAD_REQUEST: "Bad Request",
    404: "Not Found",
    BODY_TOO_LARGE: "Content Too Large",
    HEADERS_TOO_LARGE: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


class HttpRequest(msgspec.Struct):
    """A request that arrived whole.

    Attributes:
        method: Method in capitals.
        path: Path with its query.
        body: The body.
    """

    method: str
    path: str
    body: bytes


class HttpResponse(msgspec.Struct):
    """An answer.

    Attributes:
        status: Status code.
        body: The body.
        content_type: Type of the body.
        headers: Further headers.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpError(Exception):
    """A request over HTTP failed.

    Attributes:
        reason: Constant name of the cause.
    """

    def __init__(self, reason: str) -> None:
        """Creates the error.

        Args:
            reason: Constant name of the cause.
        """
        super().__init__(reason)
        self.reason = reason


class _Connection(asyncio.Protocol):
    """One connection of a caller."""

    __slots__ = (
        "_body",
        "_busy",
        "_handler",
        "_header_bytes",
        "_idle",
        "_open",
        "_parser",
        "_path",
        "_queue",
        "_transport",
    )

    def __init__(self, handler: Handler, opened: set["_Connection"]) -> None:
        self._handler = handler
        self._open = opened
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._path = bytearray()
        self._body = bytearray()
        self._header_bytes = 0
        self._queue: list[tuple[HttpRequest, bool]] = []
        self._busy: asyncio.Task[None] | None = None
        self._idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if len(self._open) >= MAX_CONNECTIONS:
            transport.abort()
            return
        self._open.add(self)
        self._await_request()

    def connection_lost(self, exc: Exception | None) -> None:
        self._open.discard(self)
        if self._idle is not None:
            self._idle.cancel()
        if self._busy is not None:
            self._busy.cancel()
        self._transport = None

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _await_request(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
        loop = asyncio.get_running_loop()
        self._idle = loop.call_later(IDLE_TIMEOUT_S, self.abort)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._refuse(BAD_REQUEST)

    def on_message_begin(self) -> None:
        self._path.clear()
        self._body.clear()
        self._header_bytes = 0

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            self._refuse(HEADERS_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self._refuse(BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        request = HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self._path.decode("latin-1"),
            bytes(self._body),
        )
        # The parser forgets what a request says of the connection with the
        # next byte, so that the answer can't ask for it.
        self._queue.append((request, self._parser.should_keep_alive()))
        if self._busy is None:
            loop = asyncio.get_running_loop()
            self._busy = loop.create_task(self._answer_all())

    def _refuse(self, status: int) -> None:
        if self._transport is not None:
            self._transport.write(_encode_reply(HttpResponse(status), False))
            self._transport.close()

    async def _answer_all(self) -> None:
        """Answers requests in their order."""
        try:
            while self._queue:
                request, is_kept = self._queue.pop(0)
                reply = await self._handler(request)
                if self._transport is None:
                    return
                self._transport.write(_encode_reply(reply, is_kept))
                if not is_kept:
                    self._transport.close()
                    return
                self._await_request()
        finally:
            self._busy = None


def _encode_reply(reply: HttpResponse, is_kept: bool) -> bytes:
    """Returns the bytes of an answer."""
    lines = [
        f"HTTP/1.1 {reply.status} {_PHRASES.get(reply.status, '')}",
        f"Content-Type: {reply.content_type}",
        f"Content-Length: {len(reply.body)}",
        *(f"{name}: {value}" for name, value in reply.headers),
        f"Connection: {'keep-alive' if is_kept else 'close'}",
    ]
    return "\r\n".join([*lines, "\r\n"]).encode("latin-1") + reply.body


class HttpListener:
    """Serves HTTP on one address.

    Attributes:
        handler: Answers a request.
        connections: Connections that are open.
    """

    __slots__ = ("_server", "connections", "handler")

    def __init__(self, handler: Handler) -> None:
        """Creates a listener that is not open.

        Args:
            handler: Answers a request.
        """
        self.handler = handler
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def open(self, address: str, port: int) -> None:
        """Binds the address.

        Args:
            address: IP address.
            port: Port number.

        Raises:
            OSError: The address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self.handler, self.connections),
            address,
            port,
            backlog=256,
        )

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()


class _Response:
    """Callbacks of the parser of an answer."""

    __slots__ = ("is_complete",)

    def __init__(self) -> None:
        self.is_complete = False

    def on_message_complete(self) -> None:
        self.is_complete = True


async def post(
    host: str, port: int, path: str, body: bytes, local: str, timeout_s: float
) -> int:
    """Sends a POST request on a connection of its own.

    Args:
        host: IP address of the receiver.
        port: Port of the receiver.
        path: Path of the request.
        body: The body.
        local: IP address to send from.
        timeout_s: Seconds until it fails.

    Returns:
        The status of the answer.

    Raises:
        HttpError: There was no whole answer in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _post(host, port, path, body, local)
    except TimeoutError as error:
        raise HttpError("timeout") from error
    except OSError as error:
        raise HttpError(error.strerror or "failed") from error


async def _post(
    host: str, port: int, path: str, body: bytes, local: str
) -> int:
    reader, writer = await asyncio.open_connection(
        host, port, local_addr=(local, 0)
    )
    try:
        set_keepalive(writer.get_extra_info("socket"))
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode("latin-1") + body)
        response = _Response()
        parser = httptools.HttpResponseParser(response)
        while not response.is_complete:
            data = await reader.read(MAX_HEADER_BYTES)
            if not data:
                raise HttpError("answer-cut-short")
            try:
                parser.feed_data(data)
            except httptools.HttpParserError as error:
                raise HttpError("bad-answer") from error
        return int(parser.get_status_code())
    finally:
        writer.close()


def set_keepalive(connection: socket.socket) -> None:
    """Lets the system find a connection whose other end is gone.

    Args:
        connection: A connected TCP socket.
    """
    level = socket.IPPROTO_TCP
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(level, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(level, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(level, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
