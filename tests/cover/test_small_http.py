"""The small HTTP listener over real sockets."""

import asyncio

import testtools

from tamarack_node.internal import http1

LOOPBACK = "127.0.0.1"


class ConnectionTest(testtools.TestCase):
    """When a connection is kept."""

    def exchange(self, *requests):
        """Sends requests, and returns all that comes until the end."""

        async def answer(request):
            await asyncio.sleep(0.01)
            return http1.HttpResponse(200, request.path.encode())

        async def run():
            listener = http1.HttpListener(answer)
            await listener.open(LOOPBACK, 0)
            port = listener._server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(b"".join(requests))
            try:
                async with asyncio.timeout(2):
                    return await reader.read()
            finally:
                writer.close()
                listener.close()

        return asyncio.run(run())

    def request(self, path, *headers, version="1.1"):
        lines = [f"GET {path} HTTP/{version}", "Host: h", *headers]
        return "\r\n".join([*lines, "\r\n"]).encode()

    def test_a_connection_ends_after_the_answer_if_the_caller_says_so(self):
        found = self.exchange(self.request("/a", "Connection: close"))
        self.assertIn(b"\r\nConnection: close\r\n", found)
        self.assertTrue(found.endswith(b"/a"))

    def test_requests_before_the_last_are_answered_in_order(self):
        found = self.exchange(
            self.request("/a"),
            self.request("/b"),
            self.request("/c", "Connection: close"),
        )
        self.assertEqual(3, found.count(b"HTTP/1.1 200"))
        self.assertLess(found.index(b"/a"), found.index(b"/b"))
        self.assertTrue(found.endswith(b"/c"))

    def test_a_caller_of_the_old_version_gets_one_answer(self):
        found = self.exchange(self.request("/a", version="1.0"))
        self.assertTrue(found.endswith(b"/a"))
