"""Start and stop of a host."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer


class Lifecycle:
    """Component that records the start of the host and ends the process.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        stops_immediately: Whether a stop request ends the process immediately.
            On an entry host, the host membership ends it instead, after the
            flows were handed over to other hosts.
    """

    __slots__ = ("context", "stops_immediately")

    def __init__(
        self, context: context_lib.Context, stops_immediately: bool = True
    ) -> None:
        """Initializes the lifecycle component.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            stops_immediately: Whether a stop request ends the process
                immediately.
        """
        self.context = context
        self.stops_immediately = stops_immediately

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            events.Started: self.handle_started,
            events.StopRequested: self.handle_stop,
        }

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Records the start in the time line."""
        return [self.context.record(event.now_s, "host-started")]

    def handle_stop(self, event: events.StopRequested) -> list[effects.Effect]:
        """Records the stop and ends the process if that is immediate."""
        if not self.stops_immediately:
            return []
        return [
            self.context.record(event.now_s, "host-stopped"),
            effects.Stop(0, "stop requested"),
        ]
