"""The one reducer: state and event in, effects out."""

from collections.abc import Callable
import random
from typing import Any

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import peers
from tamarack_core import timeline

Handler = Callable[["Node", Any], list[effects.Effect]]


class Node:
    """State of one host.

    Attributes:
        host: Identity and addresses of this host.
        random: Seeded generator; the only source of chance in the core.
        clock: Hybrid logical clock for the time line.
        handlers: Handler of each event type.
    """

    __slots__ = ("clock", "handlers", "host", "random")

    def __init__(self, host: peers.Peer, seed: int) -> None:
        """Creates the state of a host that has not started.

        Args:
            host: Identity and addresses of this host.
            seed: Seed of the generator.
        """
        self.host = host
        self.random = random.Random(seed)
        self.clock = timeline.HybridClock()
        self.handlers: dict[type, Handler] = {}


def reduce(node: Node, event: events.Event) -> list[effects.Effect]:
    """Applies an event to the state of a host.

    Args:
        node: State of the host; changed in place.
        event: What happened.

    Returns:
        What the driver must do, in order.
    """
    handler = node.handlers.get(type(event))
    if handler is None:
        return []
    return handler(node, event)
