"""Fetches newer configurations from other hosts by comparing versions."""

from tamarack_core import configuration
from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core.internal.distribution import holder
from tamarack_core.messages import distribution

OFFER_INTERVAL_S = 1.0
_TIMER = "distribution-offer"


class Polling:
    """Part that offers its version to one source a period.

    Attributes:
        context: Identity, chance, time and counters.
        holder: Configuration in force.
        sources: Hosts to compare versions with.
    """

    __slots__ = ("context", "holder", "sources")

    def __init__(
        self,
        context: context_lib.Context,
        configuration_holder: holder.Holder,
        sources: tuple[peers.Peer, ...],
    ) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            configuration_holder: Configuration in force.
            sources: Hosts to compare versions with.
        """
        self.context = context
        self.holder = configuration_holder
        self.sources = sources

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {
            events.Started: self.handle_started,
            _TIMER: self.handle_timer,
            distribution.VersionOffer: self.handle_offer,
            distribution.VersionFetch: self.handle_fetch,
            distribution.Snapshot: self.handle_snapshot,
        }

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Starts to offer versions."""
        return self._offer()

    def handle_timer(self, event: events.TimerFired) -> list[effects.Effect]:
        """Offers the version to the next source."""
        return self._offer()

    def handle_offer(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Answers a host that is behind, or asks one that is ahead."""
        message = event.message
        assert isinstance(message, distribution.VersionOffer)
        version = self.holder.numbered.version
        if message.version < version:
            return [self._snapshot(event.sender)]
        if message.version > version:
            fetch = distribution.VersionFetch(version)
            return [effects.SendMessage(event.sender, fetch)]
        return []

    def handle_fetch(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Sends the configuration in force to a host that is behind."""
        message = event.message
        assert isinstance(message, distribution.VersionFetch)
        if message.version >= self.holder.numbered.version:
            return []
        return [self._snapshot(event.sender)]

    def handle_snapshot(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Puts a received configuration into force if it is newer."""
        message = event.message
        assert isinstance(message, distribution.Snapshot)
        return self.put(event.now_s, message.numbered)

    def put(
        self, now_s: float, numbered: configuration.Numbered
    ) -> list[effects.Effect]:
        """Puts a configuration into force if it is newer.

        Args:
            now_s: Monotonic time in seconds.
            numbered: The configuration.
        """
        if not self.holder.put(numbered, self.context.wall_ms(now_s)):
            return []
        record = self.context.record(
            now_s, "version-in-force", version=numbered.version
        )
        return [record]

    def _offer(self) -> list[effects.Effect]:
        """Sends an offer and starts the timer of the next."""
        timer = effects.StartTimer(_TIMER, OFFER_INTERVAL_S)
        if not self.sources:
            return [timer]
        source = self.context.random.choice(self.sources)
        offer = distribution.VersionOffer(self.holder.numbered.version)
        return [effects.SendMessage(source, offer), timer]

    def _snapshot(self, peer: peers.Peer) -> effects.SendMessage:
        """Returns the message that carries the configuration in force."""
        message = distribution.Snapshot(self.holder.numbered)
        return effects.SendMessage(peer, message)
