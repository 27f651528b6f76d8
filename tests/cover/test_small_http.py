"""HTTP listener of the hosts, over real sockets."""

import asyncio

import testtools

from tamarack_node.internal import http1

LOOPBACK = "127.0.0.1"


class ConnectionTest(testtools.TestCase):
    """Connections that are kept open or closed after a response."""

    def setUp(self):
        super().setUp()
        self.handled = []

    def exchange(self, *requests):
        """Sends requests; returns all bytes until the connection closes."""

        async def respond(request):
            self.handled.append(request.path)
            await asyncio.sleep(0.01)
            return http1.HttpResponse(200, request.path.encode())

        async def run():
            listener = http1.HttpListener(respond)
            await listener.open(LOOPBACK, 0)
            port = listener._server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(b"".join(requests))
            try:
                async with asyncio.timeout(2):
                    return await reader.read()
            finally:
                writer.close()
                await listener.close()

        return asyncio.run(run())

    def request(self, path, *headers, version="1.1"):
        lines = [f"GET {path} HTTP/{version}", "Host: h", *headers]
        return "\r\n".join([*lines, "\r\n"]).encode()

    def test_a_connection_closes_after_the_response_on_request(self):
        received = self.exchange(self.request("/a", "Connection: close"))
        self.assertIn(b"\r\nConnection: close\r\n", received)
        self.assertTrue(received.endswith(b"/a"))

    def test_pipelined_requests_are_answered_in_order(self):
        received = self.exchange(
            self.request("/a"),
            self.request("/b"),
            self.request("/c", "Connection: close"),
        )
        self.assertEqual(3, received.count(b"HTTP/1.1 200"))
        self.assertLess(received.index(b"/a"), received.index(b"/b"))
        self.assertTrue(received.endswith(b"/c"))

    def test_an_http_1_0_connection_closes_after_one_response(self):
        received = self.exchange(self.request("/a", version="1.0"))
        self.assertTrue(received.endswith(b"/a"))

    def test_a_very_long_path_is_refused(self):
        too_long = self.request("/" + "a" * http1.MAX_HEADER_BYTES)
        received = self.exchange(too_long)
        self.assertTrue(received.startswith(b"HTTP/1.1 431"))
        longest = "/" + "a" * (http1.MAX_HEADER_BYTES - 200)
        received = self.exchange(self.request(longest, "Connection: close"))
        self.assertTrue(received.startswith(b"HTTP/1.1 200"))

    def test_a_path_without_an_end_is_refused_and_not_kept(self):
        # The host closes while data arrives, so the response may be lost.
        try:
            received = self.exchange(b"GET /" + b"a" * 8_000_000)
        except ConnectionResetError:
            received = b""
        self.assertIn(received[:12], (b"", b"HTTP/1.1 431"))
        self.assertEqual([], self.handled)

    def test_a_refused_request_is_not_handled(self):
        large = "Large: " + "a" * http1.MAX_HEADER_BYTES
        received = self.exchange(self.request("/a", large), self.request("/b"))
        self.assertEqual(1, received.count(b"HTTP/1.1"))
        self.assertTrue(received.startswith(b"HTTP/1.1 431"))
        self.assertEqual([], self.handled)
