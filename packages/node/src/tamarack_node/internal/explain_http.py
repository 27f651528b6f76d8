"""HTTP form of requests to explain where a new flow would go.

The light driver loads this module when it is first asked.
"""

from __future__ import annotations

import ipaddress
import typing
import urllib.parse

import msgspec

from tamarack_core import external_requests
from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import refusal
from tamarack_node.internal import http1

if typing.TYPE_CHECKING:
    from tamarack_core import requests

MAX_COPY_NUMBER = 9
"""Highest number of an opening packet; callers send three."""

BAD_REQUEST = 400
WRONG_ROLE = 421
UNAVAILABLE = 503


def decode(
    path: str,
) -> external_requests.ExplainFlow | http1.HttpResponse:
    """Returns the request of a path, or the response that refuses it.

    Args:
        path: Path with the query string
            `address=A&port=P&from=CALLER:PORT[&copy=N]`.
    """
    _, _, query = path.partition("?")
    fields = urllib.parse.parse_qs(query, keep_blank_values=True)
    values = {name: found[-1] for name, found in fields.items()}
    service = _endpoint(values.get("address", ""), values.get("port", ""))
    if isinstance(service, failure.Failure):
        return _refuse("invalid-address", f"address and port: {service.detail}")
    address, _, port = values.get("from", "").rpartition(":")
    caller = _endpoint(address, port)
    if isinstance(caller, failure.Failure):
        return _refuse("invalid-caller", f"from: {caller.detail}")
    copy_number = _number(values.get("copy", "0"), 0, MAX_COPY_NUMBER)
    if copy_number is None:
        return _refuse("invalid-copy", f"copy must be 0 to {MAX_COPY_NUMBER}")
    return external_requests.ExplainFlow(service, caller, copy_number)


def encode(response: requests.Response) -> http1.HttpResponse:
    """Returns the HTTP response for a response of the core."""
    if isinstance(response, external_requests.FlowExplained):
        return http1.HttpResponse(
            200, msgspec.json.encode(response.explanation)
        )
    status = UNAVAILABLE
    if (
        isinstance(response, refusal.Refused)
        and response.reason == "wrong-role"
    ):
        status = WRONG_ROLE
    return http1.HttpResponse(status, msgspec.json.encode(response))


def _endpoint(address: str, port: str) -> peers.Endpoint | failure.Failure:
    """Returns the endpoint with an IPv4 address and a port, or why not."""
    try:
        ipaddress.IPv4Address(address)
    except ValueError:
        return failure.Failure("address", "an IPv4 address is needed")
    number = _number(port, 1, peers.MAX_PORT)
    if number is None:
        return failure.Failure("port", f"a port of 1 to {peers.MAX_PORT}")
    return peers.Endpoint(address, number)


def _number(text: str, smallest: int, largest: int) -> int | None:
    """Returns a decimal number within limits, or None."""
    if not (text.isascii() and text.isdigit() and len(text) <= len("65535")):
        return None
    return int(text) if smallest <= int(text) <= largest else None


def _refuse(reason: str, detail: str) -> http1.HttpResponse:
    """Returns the response that refuses a malformed request."""
    refused = refusal.Refused(reason, detail)
    return http1.HttpResponse(BAD_REQUEST, msgspec.json.encode(refused))
