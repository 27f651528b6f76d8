"""A small HTTP/1.1 server and client on httptools, for the light driver.

Loading `aiohttp` takes more processor time than a host that the light driver
runs has in a second. This module replaces it there and supports only what the
host needs: bounded requests, keep-alive, and one request at a time on a
connection.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import socket

import httptools
import msgspec

from tamarack_node.internal import logs

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Largest body that is accepted; a document of 16,000 routes takes 4 MB."""

SMALL_BODY_BYTES = 16 * 1024
"""Bodies up to this size are always accepted, such as announcements."""

MAX_BUFFERED_BYTES = 32 * 1024 * 1024
"""Bytes of the larger bodies that a listener accepts at once over all
connections, until they have a response; one of any size is always accepted."""

CLOSE_TIMEOUT_S = 0.3
"""Time in which a closed listener sends its last responses, in seconds."""

CLOSE_POLL_S = 0.005

MAX_HEADER_BYTES = 16 * 1024
"""Largest total of the path and the header names and values of a request."""

IDLE_TIMEOUT_S = 20.0
"""Time after its opening or its last response at which a connection is closed,
in seconds."""

MAX_CONNECTIONS = 3_000
"""Most connections open at once; further ones are aborted. A host with 4,096
file descriptors can hold this many connections of targets that announce
themselves."""

KEEPALIVE_IDLE_S = 3
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3

BAD_REQUEST = 400
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
UNAVAILABLE = 503
_PHRASES = {
    200: "OK",
    307: "Temporary Redirect",
    BAD_REQUEST: "Bad Request",
    404: "Not Found",
    421: "Misdirected Request",
    BODY_TOO_LARGE: "Content Too Large",
    HEADERS_TOO_LARGE: "Request Header Fields Too Large",
    UNAVAILABLE: "Service Unavailable",
}


class HttpRequest(msgspec.Struct):
    """A complete request.

    Attributes:
        method: Method in upper case.
        path: Path with its query string.
        body: The body.
    """

    method: str
    path: str
    body: bytes


class HttpResponse(msgspec.Struct):
    """A response.

    Attributes:
        status: Status code.
        body: The body.
        content_type: Media type of the body.
        headers: Further headers.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpError(Exception):
    """A request to another host failed.

    Attributes:
        reason: Cause: a constant name, or the text of the operating system.
    """

    def __init__(self, reason: str) -> None:
        """Initializes the error.

        Args:
            reason: Cause: a constant name, or the text of the operating system.
        """
        super().__init__(reason)
        self.reason = reason


class _Buffered(msgspec.Struct):
    """Bytes of large bodies without a response, over all connections."""

    size_bytes: int = 0


class _Connection(asyncio.Protocol):
    """One connection from a client."""

    __slots__ = (
        "_body",
        "_buffered",
        "_declared_bytes",
        "_handler",
        "_header_bytes",
        "_idle_timer",
        "_is_closing",
        "_open_connections",
        "_parser",
        "_path",
        "_queue",
        "_reserved_bytes",
        "_transport",
        "_worker",
    )

    def __init__(
        self,
        handler: Handler,
        open_connections: set["_Connection"],
        buffered: _Buffered,
    ) -> None:
        self._handler = handler
        self._buffered = buffered
        self._declared_bytes = 0
        self._reserved_bytes = 0
        self._open_connections = open_connections
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._path = bytearray()
        self._body = bytearray()
        self._header_bytes = 0
        self._queue: list[tuple[HttpRequest, bool]] = []
        self._worker: asyncio.Task[None] | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._is_closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if len(self._open_connections) >= MAX_CONNECTIONS:
            transport.abort()
            return
        self._open_connections.add(self)
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._open_connections.discard(self)
        self._release()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._worker is not None:
            self._worker.cancel()
        self._transport = None

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(IDLE_TIMEOUT_S, self.abort)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._reject(BAD_REQUEST)

    def on_message_begin(self) -> None:
        self._path.clear()
        self._body.clear()
        self._declared_bytes = 0
        self._header_bytes = 0

    def on_url(self, url: bytes) -> None:
        self._path += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_header_bytes(len(name) + len(value))
        if name.lower() == b"content-length" and value.isdigit():
            self._declared_bytes = int(value)

    def _count_header_bytes(self, count: int) -> None:
        self._header_bytes += count
        if self._header_bytes > MAX_HEADER_BYTES:
            self._reject(HEADERS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        if self._declared_bytes > SMALL_BODY_BYTES:
            self._reserve(self._declared_bytes)

    def _reserve(self, count: int) -> None:
        """Counts bytes of a body in advance, or refuses the request."""
        others = self._buffered.size_bytes - self._reserved_bytes
        reserved_bytes = self._reserved_bytes + count
        if others and others + reserved_bytes > MAX_BUFFERED_BYTES:
            self._reject(UNAVAILABLE)
            return
        self._reserved_bytes = reserved_bytes
        self._buffered.size_bytes += count

    def _release(self) -> None:
        self._buffered.size_bytes -= self._reserved_bytes
        self._reserved_bytes = 0

    def on_body(self, body: bytes) -> None:
        self._body += body
        if not self._declared_bytes:
            self._reserve(len(body))
        if len(self._body) > MAX_BODY_BYTES:
            self._reject(BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        request = HttpRequest(
            self._parser.get_method().decode("latin-1"),
            self._path.decode("latin-1"),
            bytes(self._body),
        )
        self._body.clear()
        # The parser resets this flag with the next byte, so it is read here
        # and not when the response is sent.
        self._queue.append((request, self._parser.should_keep_alive()))
        if self._worker is None:
            loop = asyncio.get_running_loop()
            self._worker = loop.create_task(self._handle_requests())

    def _reject(self, status: int) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(_encode_response(HttpResponse(status), False))
            self._transport.close()

    async def _handle_requests(self) -> None:
        """Handles the queued requests in order and sends the responses."""
        try:
            while self._queue:
                request, keeps_alive = self._queue.pop(0)
                response = await self._respond(request)
                if not self._queue:
                    self._release()
                if self._is_closing and not self._queue:
                    keeps_alive = False
                if self._transport is None:
                    return
                self._transport.write(_encode_response(response, keeps_alive))
                if not keeps_alive:
                    self._transport.close()
                    return
                self._restart_idle_timer()
        finally:
            self._worker = None

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        """Returns the response of the handler; 500 if the handler fails."""
        try:
            return await self._handler(request)
        except Exception as error:
            fields = {"path": request.path, "detail": repr(error)}
            logs.event("request-failed", logging.ERROR, fields)
            return HttpResponse(500)

    def finish(self) -> None:
        """Closes the connection after the responses to its requests."""
        self._is_closing = True
        if self._worker is None and self._transport is not None:
            self._transport.close()


def _encode_response(response: HttpResponse, keeps_alive: bool) -> bytes:
    """Returns the encoded response."""
    lines = [
        f"HTTP/1.1 {response.status} {_PHRASES.get(response.status, '')}",
        f"Content-Type: {response.content_type}",
        f"Content-Length: {len(response.body)}",
        *(f"{name}: {value}" for name, value in response.headers),
        f"Connection: {'keep-alive' if keeps_alive else 'close'}",
    ]
    return "\r\n".join([*lines, "\r\n"]).encode("latin-1") + response.body


class HttpListener:
    """Serves HTTP on one address.

    Attributes:
        handler: Returns the response to a request.
        connections: Open connections.
    """

    __slots__ = ("_buffered", "_server", "connections", "handler")

    def __init__(self, handler: Handler) -> None:
        """Initializes the listener; `open` binds its address.

        Args:
            handler: Returns the response to a request.
        """
        self.handler = handler
        self.connections: set[_Connection] = set()
        self._buffered = _Buffered()
        self._server: asyncio.Server | None = None

    async def open(self, address: str, port: int) -> None:
        """Binds an address and starts to listen.

        Args:
            address: IP address.
            port: Port number.

        Raises:
            OSError: The address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self.handler, self.connections, self._buffered),
            address,
            port,
            backlog=256,
        )

    async def close(self) -> None:
        """Closes the listener and all connections.

        Requests that have arrived get their responses, within
        `CLOSE_TIMEOUT_S`.
        """
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.finish()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + CLOSE_TIMEOUT_S
        while self.connections and loop.time() < end_s:
            await asyncio.sleep(CLOSE_POLL_S)
        for connection in list(self.connections):
            connection.abort()


class _ResponseCallbacks:
    """Callbacks of the response parser."""

    __slots__ = ("is_complete",)

    def __init__(self) -> None:
        self.is_complete = False

    def on_message_complete(self) -> None:
        self.is_complete = True


async def post(
    host: str,
    port: int,
    path: str,
    body: bytes,
    local_address: str,
    timeout_s: float,
) -> int:
    """Sends a POST request on a new connection.

    Args:
        host: IP address of the receiver.
        port: Port of the receiver.
        path: Path of the request.
        body: The body.
        local_address: IP address to send from.
        timeout_s: Seconds until the request fails.

    Returns:
        The status code of the response.

    Raises:
        HttpError: The request failed, or no complete response arrived in
            time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _post(host, port, path, body, local_address)
    except TimeoutError as error:
        raise HttpError("timeout") from error
    except OSError as error:
        raise HttpError(error.strerror or "failed") from error


async def _post(
    host: str, port: int, path: str, body: bytes, local_address: str
) -> int:
    reader, writer = await asyncio.open_connection(
        host, port, local_addr=(local_address, 0)
    )
    try:
        set_keepalive(writer.get_extra_info("socket"))
        header = (
            f"POST {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        writer.write(header.encode("latin-1") + body)
        callbacks = _ResponseCallbacks()
        parser = httptools.HttpResponseParser(callbacks)
        while not callbacks.is_complete:
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
    """Enables TCP keep-alive, which detects a peer that is gone.

    Args:
        connection: A connected TCP socket.
    """
    level = socket.IPPROTO_TCP
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(level, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(level, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(level, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
