"""Distribution of configurations from control hosts over relays to entry hosts.

Each host queries an upstream host and a peer of its failure domain in turn.
The queried host responds with the changes that are missing and then pushes
newer versions for a while. The next query repairs a lost push.
"""

from tamarack_core import configuration
from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import evacuations
from tamarack_core import events
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal import change_entries
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.distribution import subscribers
from tamarack_core.messages import distribution

QUERY_INTERVAL_S = 2.0
QUERY_JITTER_S = 0.5
# A host that has just started queries several hosts for the newest version.
INITIAL_QUERIES = 8
MAX_UNANSWERED_QUERIES = 2
_TIMER = "distribution-ask"


class ConfigurationDistributor:
    """Component that keeps the configuration of this host up to date.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        config_store: Configuration in force.
        upstream: Hosts that are nearer to the control hosts.
        fallback: Additional hosts to choose from when the selected upstream
            host is unresponsive.
        domain_peers: Peers of the failure domain.
        selected_upstream: Upstream host that is queried, if any.
        unanswered_queries: Queries to it since its last message.
        subscribers: Hosts that query this one.
        is_domain_peer_next: Whether the next query goes to a peer.
    """

    __slots__ = (
        "config_store",
        "context",
        "domain_peers",
        "fallback",
        "is_domain_peer_next",
        "selected_upstream",
        "subscribers",
        "unanswered_queries",
        "upstream",
    )

    def __init__(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        upstream: tuple[peers.Peer, ...],
        domain_peers: tuple[peers.Peer, ...],
        fallback: tuple[peers.Peer, ...] = (),
    ) -> None:
        """Initializes the configuration distributor.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            config_store: Configuration in force.
            upstream: Hosts that are nearer to the control hosts.
            domain_peers: Peers of the failure domain.
            fallback: Additional hosts to choose from when the selected
                upstream host is unresponsive.
        """
        self.context = context
        self.fallback = fallback
        self.config_store = config_store
        self.upstream = upstream
        self.domain_peers = domain_peers
        self.selected_upstream: peers.Peer | None = None
        self.unanswered_queries = 0
        self.subscribers = subscribers.Subscribers()
        self.is_domain_peer_next = False

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            events.Started: self.handle_started,
            _TIMER: self.handle_timer,
            distribution.VersionOffer: self.handle_offer,
            distribution.Delta: self.handle_delta,
            distribution.Snapshot: self.handle_snapshot,
            requests.ReadRollout: self.handle_read,
        }

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Queries several hosts for the newest version."""
        known = list({*self.upstream, *self.domain_peers})
        known.sort(key=lambda peer: peer.host)
        count = min(INITIAL_QUERIES, len(known))
        queried = self.context.random.sample(known, count)
        return [*map(self._query, queried), self._timer()]

    def handle_timer(self, event: events.TimerFired) -> list[effects.Effect]:
        """Queries the next host and removes expired subscribers."""
        self.subscribers.expire(event.now_s)
        receiver = self._next_receiver()
        if receiver is None:
            return [self._timer()]
        return [self._query(receiver), self._timer()]

    def handle_offer(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Responds to a query, or queries a host that holds a newer version."""
        offer = event.message
        assert isinstance(offer, distribution.VersionOffer)
        self._record_response(event.sender)
        held = self.config_store.numbered.version
        if offer.wants_answer:
            self.subscribers.subscribe(event.now_s, event.sender, offer)
            return [self._respond(event.sender, offer.version)]
        if offer.version > held:
            return [self._query(event.sender)]
        return []

    def handle_delta(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Puts a delta into force; queries the sender if it doesn't fit."""
        delta = event.message
        assert isinstance(delta, distribution.Delta)
        self._record_response(event.sender)
        if delta.base_version > self.config_store.numbered.version:
            return [self._query(event.sender)]
        return self.put_delta(event.now_s, delta)

    def handle_snapshot(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Puts a received configuration into force if it is newer."""
        message = event.message
        assert isinstance(message, distribution.Snapshot)
        self._record_response(event.sender)
        return self.put(event.now_s, message.numbered)

    def handle_read(self, event: events.RequestArrived) -> list[effects.Effect]:
        """Responds with the versions in force at the subscribers."""
        response = requests.RolloutRead(
            self.config_store.numbered.version,
            self.subscribers.report(event.now_s),
        )
        return [effects.Respond(event.request_id, response)]

    def put(
        self, now_s: float, numbered: configuration.VersionedConfiguration
    ) -> list[effects.Effect]:
        """Puts a configuration into force if it is newer.

        Args:
            now_s: Monotonic time in seconds.
            numbered: The configuration.
        """
        before = self._evacuated_domains()
        if not self.config_store.put(numbered, self.context.wall_ms(now_s)):
            return []
        return self._push(now_s, before)

    def put_delta(
        self, now_s: float, delta: distribution.Delta
    ) -> list[effects.Effect]:
        """Puts a delta into force if it fits and is newer.

        Args:
            now_s: Monotonic time in seconds.
            delta: The delta.
        """
        before = self._evacuated_domains()
        if not self.config_store.put_delta(delta, self.context.wall_ms(now_s)):
            return []
        return self._push(now_s, before)

    def _evacuated_domains(self) -> tuple[str, ...]:
        """Returns the domains that are evacuated by the version in force."""
        return self.config_store.numbered.configuration.evacuated_domains

    def _push(
        self, now_s: float, evacuated_before: tuple[str, ...]
    ) -> list[effects.Effect]:
        """Pushes a version that came into force to outdated subscribers.

        Args:
            now_s: Monotonic time in seconds.
            evacuated_before: Domains that were evacuated before it.
        """
        version = self.config_store.numbered.version
        result: list[effects.Effect] = [
            self.context.record(now_s, "version-in-force", version=version)
        ]
        evacuated = self._evacuated_domains()
        if evacuated != evacuated_before:
            state = evacuations.Evacuations(version, evacuated)
            result.append(
                change_entries.record_evacuations(self.context, now_s, state)
            )
        for subscriber in self.subscribers.outdated(now_s, version):
            message = self.config_store.newer_than(subscriber.assumed_version)
            subscriber.assumed_version = version
            result.append(effects.SendMessage(subscriber.peer, message))
        return result

    def _respond(self, peer: peers.Peer, version: int) -> effects.Effect:
        """Returns the response to a host that holds a version."""
        numbered = self.config_store.numbered
        if version < numbered.version:
            message = self.config_store.newer_than(version)
            return effects.SendMessage(peer, message)
        offer = distribution.VersionOffer(numbered.version)
        return effects.SendMessage(peer, offer)

    def _query(self, peer: peers.Peer) -> effects.Effect:
        """Returns a query to a host."""
        offer = distribution.VersionOffer(
            self.config_store.numbered.version,
            self.config_store.since_ms,
            wants_answer=True,
        )
        return effects.SendMessage(peer, offer)

    def _timer(self) -> effects.Effect:
        """Returns the effect that starts the timer of the next query."""
        jitter_s = self.context.random.uniform(-QUERY_JITTER_S, QUERY_JITTER_S)
        return effects.StartTimer(_TIMER, QUERY_INTERVAL_S + jitter_s)

    def _next_receiver(self) -> peers.Peer | None:
        """Returns the host to query: upstream and peers in turn."""
        self.is_domain_peer_next = not self.is_domain_peer_next
        if self.domain_peers and (
            self.is_domain_peer_next or not self.upstream
        ):
            return self.context.random.choice(self.domain_peers)
        if not self.upstream:
            return None
        is_unresponsive = self.unanswered_queries >= MAX_UNANSWERED_QUERIES
        if self.selected_upstream is None or is_unresponsive:
            fallback = self.fallback if is_unresponsive else ()
            choices = self.upstream + fallback
            self.selected_upstream = self.context.random.choice(choices)
            self.unanswered_queries = 0
        self.unanswered_queries += 1
        return self.selected_upstream

    def _record_response(self, sender: peers.Peer) -> None:
        """Records that a host is responsive."""
        if (
            self.selected_upstream is not None
            and sender.host == self.selected_upstream.host
        ):
            self.unanswered_queries = 0
