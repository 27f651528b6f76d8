"""Spreads versions from control hosts over relays to entry hosts and peers.

Each host asks one host upstream and one peer of its failure domain in turn.
Whoever is asked answers with what is missing, and pushes newer versions for a
while. A lost push is made good by the next question.
"""

from tamarack_core import configuration
from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.distribution import subscribers
from tamarack_core.messages import distribution

ASK_INTERVAL_S = 2.0
ASK_JITTER_S = 0.5
# A host that has just started asks several hosts for the newest version.
FIRST_QUESTIONS = 8
SILENT_QUESTIONS = 2
_TIMER = "distribution-ask"


class ConfigurationDistributor:
    """Part that keeps the configuration of this host up to date.

    Attributes:
        context: Identity, chance, time and counters.
        config_store: Configuration in force.
        upstream: Hosts that are nearer to the control hosts.
        fallback: Hosts to choose from as well when one upstream is silent.
        neighbours: Peers of the failure domain.
        chosen: The upstream host that is asked, if any.
        unanswered: Questions to it since it last answered.
        subscribers: Hosts that ask this one.
        is_neighbour_next: Whether the next question goes to a peer.
    """

    __slots__ = (
        "chosen",
        "config_store",
        "context",
        "fallback",
        "is_neighbour_next",
        "neighbours",
        "subscribers",
        "unanswered",
        "upstream",
    )

    def __init__(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        upstream: tuple[peers.Peer, ...],
        neighbours: tuple[peers.Peer, ...],
        fallback: tuple[peers.Peer, ...] = (),
    ) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            config_store: Configuration in force.
            upstream: Hosts that are nearer to the control hosts.
            neighbours: Peers of the failure domain.
            fallback: Hosts to choose from as well when one upstream is
                silent.
        """
        self.context = context
        self.fallback = fallback
        self.config_store = config_store
        self.upstream = upstream
        self.neighbours = neighbours
        self.chosen: peers.Peer | None = None
        self.unanswered = 0
        self.subscribers = subscribers.Subscribers()
        self.is_neighbour_next = False

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {
            events.Started: self.handle_started,
            _TIMER: self.handle_timer,
            distribution.VersionOffer: self.handle_offer,
            distribution.Delta: self.handle_delta,
            distribution.Snapshot: self.handle_snapshot,
            requests.ReadRollout: self.handle_read,
        }

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Asks several hosts for the newest version."""
        known = list({*self.upstream, *self.neighbours})
        known.sort(key=lambda peer: peer.host)
        count = min(FIRST_QUESTIONS, len(known))
        asked = self.context.random.sample(known, count)
        return [*map(self._ask, asked), self._timer()]

    def handle_timer(self, event: events.TimerFired) -> list[effects.Effect]:
        """Asks the next host."""
        self.subscribers.forget(event.now_s)
        receiver = self._next_receiver()
        if receiver is None:
            return [self._timer()]
        return [self._ask(receiver), self._timer()]

    def handle_offer(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Answers a question, or asks a host that holds a newer version."""
        offer = event.message
        assert isinstance(offer, distribution.VersionOffer)
        self._note_answer(event.sender)
        held = self.config_store.numbered.version
        if offer.wants_answer:
            self.subscribers.note(event.now_s, event.sender, offer)
            return [self._answer(event.sender, offer.version)]
        if offer.version > held:
            return [self._ask(event.sender)]
        return []

    def handle_delta(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Puts a delta into force; asks again if it doesn't fit."""
        delta = event.message
        assert isinstance(delta, distribution.Delta)
        self._note_answer(event.sender)
        if delta.base_version > self.config_store.numbered.version:
            return [self._ask(event.sender)]
        return self.put_delta(event.now_s, delta)

    def handle_snapshot(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Puts a received configuration into force if it is newer."""
        message = event.message
        assert isinstance(message, distribution.Snapshot)
        self._note_answer(event.sender)
        return self.put(event.now_s, message.numbered)

    def handle_read(self, event: events.RequestArrived) -> list[effects.Effect]:
        """Answers which version is in force at the hosts that ask this one."""
        answer = requests.RolloutRead(
            self.config_store.numbered.version,
            self.subscribers.report(event.now_s),
        )
        return [effects.Respond(event.request_id, answer)]

    def put(
        self, now_s: float, numbered: configuration.Numbered
    ) -> list[effects.Effect]:
        """Puts a configuration into force if it is newer.

        Args:
            now_s: Monotonic time in seconds.
            numbered: The configuration.
        """
        if not self.config_store.put(numbered, self.context.wall_ms(now_s)):
            return []
        return self._push(now_s)

    def put_delta(
        self, now_s: float, delta: distribution.Delta
    ) -> list[effects.Effect]:
        """Puts a delta into force if it fits and is newer.

        Args:
            now_s: Monotonic time in seconds.
            delta: The delta.
        """
        if not self.config_store.put_delta(delta, self.context.wall_ms(now_s)):
            return []
        return self._push(now_s)

    def _push(self, now_s: float) -> list[effects.Effect]:
        """Sends a version that came into force to those behind."""
        version = self.config_store.numbered.version
        found: list[effects.Effect] = [
            self.context.record(now_s, "version-in-force", version=version)
        ]
        for subscriber in self.subscribers.behind(now_s, version):
            message = self.config_store.newer_than(subscriber.assumed)
            subscriber.assumed = version
            found.append(effects.SendMessage(subscriber.peer, message))
        return found

    def _answer(self, peer: peers.Peer, version: int) -> effects.Effect:
        """Returns the answer to a host that holds a version."""
        numbered = self.config_store.numbered
        if version < numbered.version:
            message = self.config_store.newer_than(version)
            return effects.SendMessage(peer, message)
        offer = distribution.VersionOffer(numbered.version)
        return effects.SendMessage(peer, offer)

    def _ask(self, peer: peers.Peer) -> effects.Effect:
        """Returns a question to a host."""
        offer = distribution.VersionOffer(
            self.config_store.numbered.version,
            self.config_store.since_ms,
            wants_answer=True,
        )
        return effects.SendMessage(peer, offer)

    def _timer(self) -> effects.Effect:
        """Returns the timer of the next question."""
        jitter_s = self.context.random.uniform(-ASK_JITTER_S, ASK_JITTER_S)
        return effects.StartTimer(_TIMER, ASK_INTERVAL_S + jitter_s)

    def _next_receiver(self) -> peers.Peer | None:
        """Returns whom to ask: upstream and peers in turn."""
        self.is_neighbour_next = not self.is_neighbour_next
        if self.neighbours and (self.is_neighbour_next or not self.upstream):
            return self.context.random.choice(self.neighbours)
        if not self.upstream:
            return None
        is_silent = self.unanswered >= SILENT_QUESTIONS
        if self.chosen is None or is_silent:
            fallback = self.fallback if is_silent else ()
            choices = self.upstream + fallback
            self.chosen = self.context.random.choice(choices)
            self.unanswered = 0
        self.unanswered += 1
        return self.chosen

    def _note_answer(self, sender: peers.Peer) -> None:
        """Takes note that a host is reachable."""
        if self.chosen is not None and sender.host == self.chosen.host:
            self.unanswered = 0
