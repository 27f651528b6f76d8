"""Relays suspicions of dead targets between hosts.

When a target crashes without closing its flows, each of many entry hosts would
otherwise detect it only by a retransmission of one of its own callers. A host
that receives a suspicion probes the target itself, so that no flow is reset on
the report of another host alone.
"""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core.internal.registry import publisher as publishers

REPEAT_INTERVAL_S = 1.0
"""Time for which a suspicion of a target is not relayed again, in seconds.
Hosts that detect the failure on their own do so within it."""


class SuspicionRelay:
    """Component of a control host that relays suspicions.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        publisher: Knows the subscribers and the other control hosts.
        relayed_s: Time of the last relay of each target, in seconds.
    """

    __slots__ = ("context", "publisher", "relayed_s")

    def __init__(
        self, context: context_lib.Context, publisher: publishers.Publisher
    ) -> None:
        """Initializes the suspicion relay.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            publisher: Knows the subscribers and the other control hosts.
        """
        self.context = context
        self.publisher = publisher
        self.relayed_s: dict[str, float] = {}

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {sync.SuspectTargets: self.handle_suspects}

    def handle_suspects(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Relays suspect targets to subscribed entry hosts and control hosts.

        Control hosts are left out if the sender is one of them.
        """
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
        """Returns the targets that were not relayed recently."""
        self.relayed_s = {
            name: at_s
            for name, at_s in self.relayed_s.items()
            if now_s - at_s < REPEAT_INTERVAL_S
        }
        unrelayed = tuple(name for name in names if name not in self.relayed_s)
        self.relayed_s.update(dict.fromkeys(unrelayed, now_s))
        return unrelayed
