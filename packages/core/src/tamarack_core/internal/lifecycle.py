"""Records the start of a host and ends it when asked."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer


class Lifecycle:
    """Part that starts and ends the host.

    Attributes:
        context: Identity, chance, time and counters.
    """

    __slots__ = ("context",)

    def __init__(self, context: context_lib.Context) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
        """
        self.context = context

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {
            events.Started: self.handle_started,
            events.StopRequested: self.handle_stop,
        }

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Records the start."""
        return [self.context.record(event.now_s, "host-started")]

    def handle_stop(self, event: events.StopRequested) -> list[effects.Effect]:
        """Records the stop and ends the process."""
        return [
            self.context.record(event.now_s, "host-stopped"),
            effects.Stop(0, "stop requested"),
        ]
