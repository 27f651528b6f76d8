"""Reducer of a host: takes its state and an event, returns effects."""

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
    """Component of a host; it handles some of the events."""

    def handlers(self) -> dict[Key, Handler]:
        """Returns the event handlers by key.

        A key is an event type, a message type, a request type, or the name of
        a timer. A handler receives the whole event.
        """


class Node:
    """State of one host.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        handlers: Handlers by key, in the order of the components.
        datagram_handler: The only handler of datagrams.
    """

    __slots__ = ("context", "datagram_handler", "handlers")

    def __init__(
        self, context: context_lib.Context, components: tuple[Component, ...]
    ) -> None:
        """Initializes a host from its components.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            components: The components, in the order in which they handle an
                event.

        Raises:
            ValueError: More than one component handles datagrams.
        """
        self.context = context
        self.handlers: dict[Key, list[Handler]] = {}
        for component in components:
            for key, handler in component.handlers().items():
                self.handlers.setdefault(key, []).append(handler)
        datagram = self.handlers.get(events.DatagramArrived, [_ignore])
        if len(datagram) > 1:
            raise ValueError(
                "several components handle datagrams; pass only one of them"
            )
        self.datagram_handler: Handler = datagram[0]


def reduce(node: Node, event: events.Event) -> list[effects.Effect]:
    """Applies an event to the state of a host.

    Args:
        node: State of the host; changed in place.
        event: The event.

    Returns:
        The effects that the driver must carry out, in order.
    """
    # Datagrams outnumber all other events by far, so they are checked first.
    if type(event) is events.DatagramArrived:
        return node.datagram_handler(event)
    if isinstance(event, events.Started):
        node.context.start(event.now_s, event.wall_ms)
    handlers = node.handlers.get(_key(event), ())
    if not handlers and isinstance(event, events.RequestArrived):
        return [_refuse(event)]
    return [effect for handler in handlers for effect in handler(event)]


def _refuse(event: events.RequestArrived) -> effects.Effect:
    """Refuses a request that no component of the host handles."""
    refused = refusal.Refused(
        "wrong-role",
        "this host does not handle this kind of request; send it to a host "
        "with the role for it: flows to entry hosts, patches and members to "
        "control hosts, announcements and targets to either, depending on the "
        "deployment",
    )
    return effects.Respond(event.request_id, refused)


def _ignore(event: Any) -> list[effects.Effect]:
    """Handles an event that no component of the host handles."""
    return []


def _key(event: events.Event) -> Key:
    """Returns the key of the handlers of an event."""
    if isinstance(event, events.MessageArrived):
        return type(event.message)
    if isinstance(event, events.RequestArrived):
        return type(event.request)
    if isinstance(event, events.TimerFired):
        return event.timer
    return type(event)
