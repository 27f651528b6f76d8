"""Records the start of a host and ends it when asked."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer


class Lifecycle:
    """Part that starts and ends the host.

    Attributes:
        context: Identity, chance, time and counters.
        ends_at_once: Whether a stop request ends the process at once. On an
            entry host the membership ends it, after the handover of flows.
    """

    __slots__ = ("context", "ends_at_once")

    def __init__(
        self, context: context_lib.Context, ends_at_once: bool = True
    ) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            ends_at_once: Whether a stop request ends the process at once.
        """
        self.context = context
        self.ends_at_once = ends_at_once

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
        if not self.ends_at_once:
            return []
        return [
            self.context.record(event.now_s, "host-stopped"),
            effects.Stop(0, "stop requested"),
        ]
