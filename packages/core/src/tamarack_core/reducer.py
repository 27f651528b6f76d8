"""The one reducer: state and event in, effects out."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import refusal

Handler = Callable[[Any], list[effects.Effect]]
Key = type | str


class Component(Protocol):
    """A part behind the reducer, with one job."""

    def handlers(self) -> dict[Key, Handler]:
        """Returns the handlers of this part.

        The key is an event type, a message type, a request type, or the name
        of a timer; the handler receives the whole event.
        """


class Node:
    """State of one host.

    Attributes:
        context: Identity, chance, time and counters.
        handlers: Handlers by key, in the order of the parts.
        datagram_handler: The handler of datagrams.
    """

    __slots__ = ("context", "datagram_handler", "handlers")

    def __init__(
        self, context: context_lib.Context, components: tuple[Component, ...]
    ) -> None:
        """Composes the parts of a host.

        Args:
            context: Identity, chance, time and counters.
            components: The components, in the order in which they see an event.
        """
        self.context = context
        self.handlers: dict[Key, list[Handler]] = {}
        for component in components:
            for key, handler in component.handlers().items():
                self.handlers.setdefault(key, []).append(handler)
        datagram = self.handlers.get(events.DatagramArrived, [_ignore])
        if len(datagram) > 1:
            raise ValueError("two parts handle datagrams; name one")
        self.datagram_handler: Handler = datagram[0]


def reduce(node: Node, event: events.Event) -> list[effects.Effect]:
    """Applies an event to the state of a host.

    Args:
        node: State of the host; changed in place.
        event: What happened.

    Returns:
        What the driver must do, in order.
    """
    # Datagrams outnumber all other events by far, so they go first.
    if type(event) is events.DatagramArrived:
        return node.datagram_handler(event)
    if isinstance(event, events.Started):
        node.context.start(event.now_s, event.wall_ms)
    handlers = node.handlers.get(_key(event), ())
    if not handlers and isinstance(event, events.RequestArrived):
        return [_refuse(event)]
    return [effect for handler in handlers for effect in handler(event)]


def _refuse(event: events.RequestArrived) -> effects.Effect:
    """Answers a request that no part of the host handles."""
    refused = refusal.Refused(
        "wrong-role",
        "this host lacks the role for the request; announcements, targets and "
        "flows are for entry hosts, patches and members for control hosts",
    )
    return effects.Respond(event.request_id, refused)


def _ignore(event: Any) -> list[effects.Effect]:
    """Handles an event that no part of the host reacts to."""
    return []


def _key(event: events.Event) -> Key:
    """Returns what selects the handlers of an event."""
    if isinstance(event, events.MessageArrived):
        return type(event.message)
    if isinstance(event, events.RequestArrived):
        return type(event.request)
    if isinstance(event, events.TimerFired):
        return event.timer
    return type(event)
