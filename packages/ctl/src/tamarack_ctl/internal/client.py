"""HTTP client that finds a host which answers."""

from collections.abc import Sequence
import http.client
import json
from typing import Any

from tamarack_core import failure
from tamarack_core import peers

CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 15.0


class Answer:
    """Answer of a host.

    Attributes:
        status: HTTP status code.
        body: Decoded JSON.
        endpoint: The host that answered.
    """

    __slots__ = ("body", "endpoint", "status")

    def __init__(
        self, status: int, body: Any, endpoint: peers.Endpoint
    ) -> None:
        """Holds an answer."""
        self.status = status
        self.body = body
        self.endpoint = endpoint


def ask(
    hosts: Sequence[peers.Endpoint],
    method: str,
    path: str,
    body: Any = None,
) -> Answer | failure.Failure:
    """Asks the hosts in order until one answers.

    Args:
        hosts: Endpoints to try.
        method: HTTP method.
        path: Path with query.
        body: Value to send as JSON; None for no body.

    Returns:
        The first answer; a failure that names what each host said.
    """
    problems = []
    for endpoint in hosts:
        answer = _ask_one(endpoint, method, path, body)
        if isinstance(answer, Answer):
            return answer
        problems.append(answer.detail)
    return failure.Failure("no-host-answers", "; ".join(problems))


def ask_all(
    hosts: Sequence[peers.Endpoint], path: str
) -> list[Answer | failure.Failure]:
    """Returns what each host answers to a GET, in order."""
    return [_ask_one(endpoint, "GET", path, None) for endpoint in hosts]


def _ask_one(
    endpoint: peers.Endpoint, method: str, path: str, body: Any
) -> Answer | failure.Failure:
    """Returns the answer of one host."""
    connection = http.client.HTTPConnection(
        endpoint.address, endpoint.port, timeout=CONNECT_TIMEOUT_S
    )
    data = None if body is None else json.dumps(body).encode()
    try:
        connection.connect()
        connection.sock.settimeout(ANSWER_TIMEOUT_S)
        connection.request(method, path, data)
        response = connection.getresponse()
        return Answer(response.status, json.load(response), endpoint)
    except (OSError, ValueError, http.client.HTTPException) as error:
        where = f"{endpoint.address}:{endpoint.port}"
        return failure.Failure("no-answer", f"{where}: {error}")
    finally:
        connection.close()
