"""HTTP client of the hosts' interface for operators."""

from collections.abc import Sequence
import http.client
import json
from typing import Any

from tamarack_core import failure
from tamarack_core import peers

CONNECT_TIMEOUT_S = 3.0
RESPONSE_TIMEOUT_S = 15.0


class Response:
    """HTTP response of a host.

    Attributes:
        status: HTTP status code.
        body: Decoded JSON; None for another body that `read` got.
        endpoint: The host that responded.
    """

    __slots__ = ("body", "endpoint", "status")

    def __init__(
        self, status: int, body: Any, endpoint: peers.Endpoint
    ) -> None:
        """Initializes the response."""
        self.status = status
        self.body = body
        self.endpoint = endpoint


def request(
    hosts: Sequence[peers.Endpoint],
    method: str,
    path: str,
    body: Any = None,
) -> Response | failure.Failure:
    """Sends a request to the hosts in order until one responds.

    Args:
        hosts: Endpoints to try.
        method: HTTP method.
        path: Path with query string.
        body: Value to send as JSON; None for no body.

    Returns:
        The first response, whatever its status; a failure with the error of
        each host if none responds.
    """
    errors = []
    for endpoint in hosts:
        response = _request_one(endpoint, method, path, body)
        if isinstance(response, Response):
            return response
        errors.append(response.detail)
    return failure.Failure("no-host-answers", "; ".join(errors))


def get_all(
    hosts: Sequence[peers.Endpoint], path: str
) -> list[Response | failure.Failure]:
    """Sends a GET request to every host and returns the results in order."""
    return [_request_one(endpoint, "GET", path, None) for endpoint in hosts]


def read(endpoint: peers.Endpoint, path: str) -> Response | failure.Failure:
    """Sends a GET request that the host may not know.

    Args:
        endpoint: The host.
        path: Path with query string.

    Returns:
        The response, also if its body isn't JSON; a failure that names the
        host if it doesn't respond.
    """
    return _request_one(endpoint, "GET", path, None, needs_json=False)


def _request_one(
    endpoint: peers.Endpoint,
    method: str,
    path: str,
    body: Any,
    *,
    needs_json: bool = True,
) -> Response | failure.Failure:
    """Returns the response of one host, or a failure that names the host."""
    connection = http.client.HTTPConnection(
        endpoint.address, endpoint.port, timeout=CONNECT_TIMEOUT_S
    )
    data = None if body is None else json.dumps(body).encode()
    try:
        connection.connect()
        connection.sock.settimeout(RESPONSE_TIMEOUT_S)
        connection.request(method, path, data)
        http_response = connection.getresponse()
        received = http_response.read()
        try:
            decoded = json.loads(received)
        except ValueError:
            if needs_json:
                raise
            decoded = None
        return Response(http_response.status, decoded, endpoint)
    except (OSError, ValueError, http.client.HTTPException) as error:
        where = f"{endpoint.address}:{endpoint.port}"
        return failure.Failure("no-answer", f"{where}: {error}")
    finally:
        connection.close()
