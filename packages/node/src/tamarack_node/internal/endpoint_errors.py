"""Errors of endpoints that no socket can use.

The core checks endpoints before it uses them. One that reaches a socket all
the same, such as that of a host of another release, must not keep the driver
from executing the effects that follow.
"""

import logging

from tamarack_core import peers
from tamarack_node.internal import logs

UNUSABLE = (OverflowError, TypeError)
"""What a socket raises, beside `OSError`, for a port out of range and for an
address that can't be encoded."""


def log(endpoint: peers.Endpoint, error: Exception) -> None:
    """Logs that an endpoint can't be used.

    Args:
        endpoint: The endpoint.
        error: What the socket raised.
    """
    fields = {"endpoint": repr(endpoint), "reason": str(error)}
    logs.event("endpoint-unusable", logging.WARNING, fields)
