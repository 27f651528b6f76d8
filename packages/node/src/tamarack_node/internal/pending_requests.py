"""Requests that wait for the response of the core."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import itertools
import typing

import msgspec

if typing.TYPE_CHECKING:
    from tamarack_core import requests


class _Pending(msgspec.Struct):
    request: requests.Request
    response: asyncio.Future[requests.Response]


class PendingRequests:
    """Requests by number, until the core responds or the host stops.

    A planned stop responds to each request that was accepted, so that none of
    them ends with a closed connection.

    Attributes:
        stop_response: Returns the response to a request that the core can't
            respond to any more. It must not say that the request had no effect
            unless that is known.
        is_stopped: Whether the host has stopped.
    """

    __slots__ = ("_numbers", "_pending", "is_stopped", "stop_response")

    def __init__(
        self,
        stop_response: Callable[[requests.Request], requests.Response],
    ) -> None:
        """Initializes without requests.

        Args:
            stop_response: Returns the response to a request that the core
                can't respond to any more.
        """
        self.stop_response = stop_response
        self.is_stopped = False
        self._pending: dict[int, _Pending] = {}
        self._numbers = itertools.count(1)

    def __len__(self) -> int:
        """Returns the number of requests without a response."""
        return len(self._pending)

    async def handle(
        self,
        request: requests.Request,
        submit: Callable[[int, requests.Request], None],
    ) -> requests.Response:
        """Passes a request to the core and waits for the response.

        Args:
            request: The request.
            submit: Passes the request to the core, with its number.

        Returns:
            The response.
        """
        if self.is_stopped:
            return self.stop_response(request)
        number = next(self._numbers)
        loop = asyncio.get_running_loop()
        pending = _Pending(request, loop.create_future())
        self._pending[number] = pending
        try:
            submit(number, request)
            return await pending.response
        finally:
            del self._pending[number]

    def respond(self, number: int, response: requests.Response) -> None:
        """Sets the response to a request, unless it has one.

        Args:
            number: Number of the request.
            response: The response.
        """
        pending = self._pending.get(number)
        if pending is not None and not pending.response.done():
            pending.response.set_result(response)

    def stop(self) -> None:
        """Responds to all requests that wait, and to those that follow."""
        self.is_stopped = True
        for number, pending in self._pending.items():
            self.respond(number, self.stop_response(pending.request))
