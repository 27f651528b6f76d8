"""Calls of operators, servers and routers over HTTP/1.1."""

import asyncio
import json


async def call(address, method, path, body=None, timeout_s=1.0):
    """Returns status, headers and body; raises OSError or TimeoutError."""
    async with asyncio.timeout(timeout_s):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else body
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode()
                + data
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = head.split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            size = int(headers.get("content-length", "0"))
            return (
                int(lines[0].split()[1]),
                headers,
                await reader.readexactly(size),
            )
        except (asyncio.IncompleteReadError, ValueError) as error:
            raise OSError(f"no whole answer: {error!r}") from error
        finally:
            writer.close()


class Operator:
    """Sends orders as the protocol says: any node, 307 twice, then the next."""

    def __init__(self, record, controls):
        self.record, self.controls = record, list(controls)

    async def send(self, method, path, body, tries=40):
        """Returns status, address and body of the first clear answer, or None."""
        for attempt in range(tries):
            address = self.controls[attempt % len(self.controls)]
            answer = await self._follow(address, method, path, body)
            if answer is not None:
                return answer
            await asyncio.sleep(min(0.1 * (attempt + 1), 0.5))
        return None

    async def _follow(self, address, method, path, body):
        """Calls one node and follows a 307 twice; None without clear answer."""
        for _ in range(3):
            try:
                status, headers, data = await call(address, method, path, body)
            except (OSError, TimeoutError):
                return None
            if status == 307:
                location = headers["location"].removeprefix("http://")
                address = location.split("/")[0]
            elif status >= 500 or status in (408, 429):
                return None
            else:
                return status, address, data
        return None

    async def publish(self, document):
        body = json.dumps(document).encode()
        result = await self.send("POST", "/config/replace", body)
        self.record(
            f"operator sends version {document['version']}: "
            + (
                "no clear answer"
                if result is None
                else f"{result[0]} by {result[1]}"
            )
        )
        return result


def document(version, services, routes, limits=None):
    """Returns a configuration; routes are (name, host, port, type, service)."""
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": host,
                "path-prefix": f"/{port}/",
                "type": kind,
                "timeout-ms": 1500,
                "target-latency-ms": 150,
                "priority": 2,
                "service": service,
                "max-attempts": 2,
            }
            for name, host, port, kind, service in routes
        ],
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-connections": 2000,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": limits
        or {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }
