"""A router between one control host and all others, which can cut one way.

The host behind it has addresses of its own (`inside`) and reaches every other
machine at an address there; the others reach it at an address of theirs
(`outside`). The router forwards datagrams and connections, and translates the
addresses in what hosts tell one another, as one that knows the protocol does.
Both prefixes have the same length, so that sizes stay as they are.
"""

import asyncio
import base64
import binascii
import json
import re
import struct
import zlib

from lib2 import ends
from lib2 import http
from lib2 import platform

_FRAGMENT = struct.Struct("!BQBB")
LARGE_BYTES = 65536


class Translator:
    """Forwards between a host and the others.

    Attributes:
        cut: Numbers of the machines that get nothing from the host.
        delay_s: Time that anything takes one way, in seconds.
    """

    def __init__(self, record, outside, inside, hidden, others, delay_s=0.0):
        self.record, self.outside, self.inside = record, outside, inside
        self.hidden, self.others = hidden, others
        self.delay_s = delay_s
        self.cut = frozenset()
        self.dropped = 0
        self._inward, self._outward = {}, {}
        self._unfinished = {}
        self._servers = []
        self._tasks = set()

    async def start(self):
        port = platform.INTERNAL_PORT
        # What others send to the host arrives at its outside address.
        self._face = await ends.bind(
            f"{self.outside}{self.hidden}", port, self._from_outside
        )
        for number in self.others:

            def receive(data, source, number=number):
                self._from_inside(number, data)

            self._inward[number] = await ends.bind(
                f"{self.inside}{number}", port, receive
            )
        pairs = [
            (
                f"{self.outside}{self.hidden}",
                f"{self.inside}{self.hidden}",
                None,
            )
        ]
        pairs += [
            (f"{self.inside}{number}", f"{self.outside}{number}", number)
            for number in self.others
        ]
        for listen, to, number in pairs:

            async def serve(reader, writer, to=to, number=number):
                await self._connect(reader, writer, to, number)

            self._servers.append(
                await asyncio.start_server(serve, listen, platform.CONTROL_PORT)
            )

            async def relay(reader, writer, number=number):
                await self._relay(reader, writer, number)

            self._servers.append(
                await asyncio.start_server(relay, listen, port, limit=1 << 23)
            )

    def close(self):
        self._face.close()
        for socket in self._inward.values():
            socket.close()
        for server in self._servers:
            server.close()

    def _from_outside(self, data, source):
        number = int(source[0].rpartition(".")[2])
        plain = self._plain(("in", number), data)
        if plain is None or number not in self._inward:
            return
        self._later(
            self._inward[number],
            translate(plain, self.outside, self.inside),
            (f"{self.inside}{self.hidden}", platform.INTERNAL_PORT),
        )

    def _from_inside(self, number, data):
        if number in self.cut:
            self.dropped += 1
            return
        plain = self._plain(("out", number), data)
        if plain is None:
            return
        self._later(
            self._face,
            translate(plain, self.inside, self.outside),
            (f"{self.outside}{number}", platform.INTERNAL_PORT),
        )

    def _later(self, socket, data, to):
        """Sends a datagram after the delay of the link."""
        if not self.delay_s:
            socket.sendto(data, to)
            return
        asyncio.get_running_loop().call_later(
            self.delay_s,
            lambda: None if socket.is_closing() else socket.sendto(data, to),
        )

    async def _relay(self, reader, writer, number):
        """Relays one large message, which comes over HTTP.

        Args:
            reader: Reads what the sender sends.
            writer: Answers the sender.
            number: The receiver behind the outside prefix; None for the host.
        """
        try:
            await asyncio.sleep(2 * self.delay_s)  # the handshake
            head = await reader.readuntil(b"\r\n\r\n")
            size = int(re.search(rb"(?i)content-length: *(\d+)", head)[1])
            data = await reader.readexactly(size)
            if number in self.cut:
                self.dropped += 1
                await asyncio.sleep(5)
                return
            plain = data if data[:1] == b"{" else zlib.decompress(data)
            if number is None:
                to, plain = (
                    f"{self.inside}{self.hidden}",
                    translate(plain, self.outside, self.inside),
                )
            else:
                to, plain = (
                    f"{self.outside}{number}",
                    translate(plain, self.inside, self.outside),
                )
            await asyncio.sleep(self.delay_s)
            status, _, _ = await http.call(
                f"{to}:{platform.INTERNAL_PORT}", "POST", "/v1/messages", plain
            )
            await asyncio.sleep(self.delay_s)
            writer.write(
                f"HTTP/1.1 {status} OK\r\nContent-Length: 0\r\n"
                "Connection: close\r\n\r\n".encode()
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record(f"a large message is lost: {error!r}")
        finally:
            writer.close()

    def _plain(self, way, data):
        """Returns a whole message without compression, or None."""
        if data[:1] == b"\x01":
            _, identifier, index, count = _FRAGMENT.unpack_from(data)
            pieces = self._unfinished.setdefault((way, identifier), {})
            pieces[index] = data[_FRAGMENT.size :]
            if len(pieces) < count:
                return None
            del self._unfinished[way, identifier]
            data = b"".join(pieces[place] for place in range(count))
        return data if data[:1] == b"{" else zlib.decompress(data)

    async def _connect(self, reader, writer, to, number):
        if number in self.cut:
            # Nothing answers behind a cut.
            await asyncio.sleep(5)
            writer.close()
            return
        try:
            other, sink = await asyncio.open_connection(
                to, platform.CONTROL_PORT
            )
        except OSError:
            writer.close()
            return

        async def copy(source, target):
            try:
                while data := await source.read(65536):
                    target.write(data)
                    await target.drain()
            except OSError:
                pass
            finally:
                target.close()

        await asyncio.gather(copy(reader, sink), copy(other, writer))


def translate(data, old, new):
    """Returns a message with all addresses of one prefix under another.

    Addresses inside encoded log entries occur in small messages only: a large
    one holds a single configuration, which names no machine.
    """
    if len(data) > LARGE_BYTES:
        return data.replace(old.encode(), new.encode())
    return json.dumps(
        _walk(json.loads(data), old, new), separators=(",", ":")
    ).encode()


def _walk(value, old, new):
    if isinstance(value, dict):
        return {
            _walk(k, old, new): _walk(v, old, new) for k, v in value.items()
        }
    if isinstance(value, list):
        return [_walk(item, old, new) for item in value]
    if not isinstance(value, str):
        return value
    if old in value:
        return value.replace(old, new)
    if len(value) >= 8 and len(value) % 4 == 0:
        # Entries of the replicated log are bytes; some hold addresses.
        try:
            raw = base64.b64decode(value, validate=True)
        except (binascii.Error, ValueError):
            return value
        if old.encode() in raw:
            raw = raw.replace(old.encode(), new.encode())
            return base64.b64encode(raw).decode()
    return value
