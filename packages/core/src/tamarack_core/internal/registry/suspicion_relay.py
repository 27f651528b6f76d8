"""Passes on which targets an entry host found dead.

The load that it answers: a target crashes without a word, and each of many
entry hosts would let a caller of its own wait to find out. Who is told asks the
target itself; nobody loses a flow for the word of another host.
"""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core.internal.registry import publisher as publishers

REPEAT_INTERVAL_S = 1.0
"""Time for which a target is not passed on again, in seconds; hosts that find
out by themselves do so within it."""


class SuspicionRelay:
    """Part of a control host that passes doubts on.

    Attributes:
        context: Identity, chance, time and counters.
        publisher: Knows the followers and the other control hosts.
        relayed_s: Times at which targets were passed on last, by name.
    """

    __slots__ = ("context", "publisher", "relayed_s")

    def __init__(
        self, context: context_lib.Context, publisher: publishers.Publisher
    ) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            publisher: Knows the followers and the other control hosts.
        """
        self.context = context
        self.publisher = publisher
        self.relayed_s: dict[str, float] = {}

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {sync.SuspectTargets: self.handle_suspects}

    def handle_suspects(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Tells followers and, unless one of them says it, control hosts."""
        message = event.message
        assert isinstance(message, sync.SuspectTargets)
        unrelayed = self._select_unrelayed(event.now_s, message.targets)
        if not unrelayed:
            return []
        notice = sync.SuspectTargets(unrelayed)
        controls = {peer.host for peer in self.publisher.controls}
        receivers = self.publisher.entry_subscribers(event.now_s)
        if event.sender.host not in controls:
            receivers += [
                peer
                for peer in self.publisher.controls
                if peer.host != self.context.host.host
            ]
        record = self.context.record(
            event.now_s,
            "targets-doubted",
            detail=f"{event.sender.host}: {' '.join(unrelayed)}",
        )
        return [
            record,
            *(
                effects.SendMessage(peer, notice)
                for peer in receivers
                if peer.host != event.sender.host
            ),
        ]

    def _select_unrelayed(
        self, now_s: float, names: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Returns the targets that were not passed on just now."""
        self.relayed_s = {
            name: at_s
            for name, at_s in self.relayed_s.items()
            if now_s - at_s < REPEAT_INTERVAL_S
        }
        unrelayed = tuple(name for name in names if name not in self.relayed_s)
        self.relayed_s.update(dict.fromkeys(unrelayed, now_s))
        return unrelayed
