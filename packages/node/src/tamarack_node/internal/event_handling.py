"""Passes events to the core; an unexpected error ends no loop and no timer."""

import logging
import traceback

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_node.internal import logs

TIMER_RETRY_S = 0.5
"""Time after which a timer whose handler failed fires again, in seconds."""

MAX_EVENT_CHARACTERS = 400
"""Length to which an event is cut in the log."""


def reduce(node: reducer.Node, event: events.Event) -> list[effects.Effect]:
    """Applies an event to the state of a host.

    An unexpected error is logged with the event, and counted. The host goes on
    with its next event: one malformed message must not end it, and a timer
    that never fires again would end its component.

    Args:
        node: State of the host.
        event: The event.

    Returns:
        The effects that the driver must execute, in order.

    Raises:
        Exception: The handler of a request failed, and its caller has to be
            told; or the host can't start.
    """
    try:
        return reducer.reduce(node, event)
    except Exception as error:
        node.context.counters["handler-failed"] += 1
        frame = traceback.extract_tb(error.__traceback__)[-1]
        fields = {
            "reason": type(error).__name__,
            "detail": str(error),
            "place": f"{frame.filename}:{frame.lineno}",
            "input": repr(event)[:MAX_EVENT_CHARACTERS],
        }
        logs.event("handler-failed", logging.ERROR, fields)
        if isinstance(event, events.RequestArrived | events.Started):
            raise
        if isinstance(event, events.TimerFired):
            return [effects.StartTimer(event.timer, TIMER_RETRY_S)]
        return []
