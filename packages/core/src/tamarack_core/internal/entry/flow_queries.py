"""Queries to other hosts about flows that no owner or backup knows."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import peers
from tamarack_core.internal.entry import transit_packet as transit_lib
from tamarack_core.internal.membership import host_membership
from tamarack_core.messages import flows

# Rate limit of new and repeated queries. It bounds the traffic of a host after
# many flows are lost at once.
QUERIES_PER_S = 10.0
# In a larger failure domain a random sample of this size is queried.
MAX_QUERIED_HOSTS = 16
REPEAT_INTERVAL_S = 1.0
EXPIRY_S = 60.0


class PendingQuery:
    """Query about one flow.

    Attributes:
        waiting: Hosts that have not responded, by name.
        queried_s: Monotonic time at which the query was last sent.
    """

    __slots__ = ("queried_s", "waiting")

    def __init__(
        self, waiting: dict[str, peers.Peer], queried_s: float
    ) -> None:
        """Initializes the query."""
        self.waiting = waiting
        self.queried_s = queried_s


class FlowQueries:
    """Queries the other hosts, within a rate limit, and tracks the responses.

    The packet that triggers a query is dropped; its sender retransmits it.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        membership: Membership of this host.
        pending: Queries by flow key. Those that all hosts have answered with
            an unknown flow stay until they expire.
    """

    __slots__ = ("_tokens", "_tokens_s", "context", "membership", "pending")

    def __init__(
        self,
        context: context_lib.Context,
        membership: host_membership.HostMembership,
    ) -> None:
        """Initializes the queries of a host.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            membership: Membership of this host.
        """
        self.context = context
        self.membership = membership
        self.pending: dict[bytes, PendingQuery] = {}
        self._tokens = QUERIES_PER_S
        self._tokens_s = 0.0

    def is_exhausted(self, transit: transit_lib.TransitPacket) -> bool:
        """Returns whether no queried host knows the flow.

        A host that has left the failure domain since it was queried does not
        need to respond.

        Args:
            transit: A packet of the flow.
        """
        pending_query = self.pending.get(transit.key)
        if pending_query is None:
            return not self.membership.other_members()
        present = {peer.host for peer in self.membership.other_members()}
        return present.isdisjoint(pending_query.waiting)

    def query_hosts(
        self, transit: transit_lib.TransitPacket
    ) -> list[effects.Effect]:
        """Queries the hosts that have not responded yet.

        Sends nothing if the flow was queried less than `REPEAT_INTERVAL_S` ago
        or the rate limit is reached.

        Args:
            transit: A packet of the flow; it is dropped.
        """
        now_s = transit.now_s
        self.context.counters["dropped-asking"] += 1
        pending_query = self.pending.get(transit.key)
        if (
            pending_query is not None
            and now_s - pending_query.queried_s < REPEAT_INTERVAL_S
        ):
            return []
        if not self._take_token(now_s):
            return []
        if pending_query is None:
            pending_query = PendingQuery(self._hosts_to_query(), now_s)
            self.pending[transit.key] = pending_query
        pending_query.queried_s = now_s
        query = flows.FlowQuery(transit.key)
        return [
            effects.SendMessage(peer, query)
            for peer in pending_query.waiting.values()
        ]

    def handle_response(
        self, sender: peers.Peer, response: flows.FlowResponse
    ) -> bool:
        """Handles a response; returns whether its target is to be stored.

        The first response with a target ends the query.

        Args:
            sender: The host that responded.
            response: The response.
        """
        pending_query = self.pending.get(response.key)
        if pending_query is None:
            return False
        if response.target:
            del self.pending[response.key]
            return True
        pending_query.waiting.pop(sender.host, None)
        return False

    def expire(self, now_s: float) -> None:
        """Removes old queries.

        Args:
            now_s: Monotonic time in seconds.
        """
        self.pending = {
            key: pending_query
            for key, pending_query in self.pending.items()
            if now_s - pending_query.queried_s < EXPIRY_S
        }

    def _hosts_to_query(self) -> dict[str, peers.Peer]:
        """Returns the hosts to query by name: all, or a random sample."""
        others = self.membership.other_members()
        if len(others) > MAX_QUERIED_HOSTS:
            others = tuple(
                self.context.random.sample(others, MAX_QUERIED_HOSTS)
            )
        return {peer.host: peer for peer in others}

    def _take_token(self, now_s: float) -> bool:
        """Takes a token of the rate limit; returns whether there was one."""
        gained = (now_s - self._tokens_s) * QUERIES_PER_S
        self._tokens = min(self._tokens + gained, QUERIES_PER_S)
        self._tokens_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
