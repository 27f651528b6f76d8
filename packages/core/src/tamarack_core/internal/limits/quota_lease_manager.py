"""Requests and renews quota leases, and grants them as the coordinator."""

from collections.abc import Callable
import dataclasses
import hashlib

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core.internal.balancing import owner_group
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.limits import quota_coordinator
from tamarack_core.internal.limits import quota_limiter
from tamarack_core.internal.limits import quotas
from tamarack_core.messages import limits

TIMER = "limit-shares"
INTERVAL_S = 1.0

_DIGEST_BYTES = 8


@dataclasses.dataclass(slots=True)
class Promise:
    """Promise of this host to query no other coordinator.

    Attributes:
        coordinator: Name of the coordinator; empty after a start, when an
            earlier process of this host may have made a promise.
        until_s: Time at which the promise ends, in seconds.
        echo_s: Last time that this coordinator reported, in seconds of its
            own clock; negative if none.
    """

    coordinator: str
    until_s: float
    echo_s: float = -1.0


class QuotaLeaseManager:
    """Component that keeps the quota of this host leased.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        config_store: Configuration in force.
        limiter: Admits openings within the leased quota.
        members: Returns the other live entry hosts of the failure domain.
        coordinator: State of this host as a coordinator.
        promise: Promise of this host.
        number: Number of the last request.
        sent_s: Time of the last request in seconds.
    """

    __slots__ = (
        "config_store",
        "context",
        "coordinator",
        "limiter",
        "members",
        "number",
        "promise",
        "sent_s",
    )

    def __init__(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        limiter: quota_limiter.QuotaLimiter,
        live_members: Callable[[], tuple[peers.Peer, ...]],
        configured_hosts: int,
    ) -> None:
        """Initializes the quota lease manager.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            config_store: Configuration in force.
            limiter: Admits openings within the leased quota.
            live_members: Returns the other live entry hosts of the failure
                domain.
            configured_hosts: Number of entry hosts of the failure domain by the
                settings, whether alive or not.
        """
        self.context = context
        self.config_store = config_store
        self.limiter = limiter
        self.members = live_members
        self.coordinator = quota_coordinator.QuotaCoordinator(configured_hosts)
        self.promise = Promise("", float("inf"))
        self.number = 0
        self.sent_s = 0.0

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            events.Started: self.handle_started,
            TIMER: self.handle_timer,
            limits.QuotaRequest: self.handle_request,
            limits.QuotaResponse: self.handle_response,
        }

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Waits out the promises of an earlier process of this host."""
        self.coordinator.started_s = event.now_s
        self.promise = Promise("", event.now_s + quota_coordinator.PROMISE_S)
        # Numbers must rise across restarts of this host, since the
        # coordinator remembers the last one.
        self.number = event.wall_ms
        delay_s = self.context.random.random() * INTERVAL_S
        return [effects.StartTimer(TIMER, delay_s)]

    def handle_timer(self, event: events.TimerFired) -> list[effects.Effect]:
        """Requests quota from the coordinator."""
        now_s = event.now_s
        result: list[effects.Effect] = [effects.StartTimer(TIMER, INTERVAL_S)]
        totals = self._quotas()
        if not totals:
            return result
        peer = self._choose_coordinator()
        if peer.host != self.promise.coordinator:
            if now_s < self.promise.until_s:
                return result
            self.promise = Promise(peer.host, now_s)
        self.promise.until_s = now_s + quota_coordinator.PROMISE_S
        self.number += 1
        self.sent_s = now_s
        request = limits.QuotaRequest(
            self.number, self.promise.echo_s, self._claims(now_s, totals)
        )
        if peer.host != self.context.host.host:
            return [*result, effects.SendMessage(peer, request)]
        response = self.coordinator.respond(now_s, peer.host, request, totals)
        if isinstance(response, limits.QuotaResponse):
            self._apply(peer.host, response)
        return result

    def handle_request(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Responds to another host as the coordinator."""
        request = event.message
        assert isinstance(request, limits.QuotaRequest)
        response = self.coordinator.respond(
            event.now_s, event.sender.host, request, self._quotas()
        )
        if isinstance(response, failure.Failure):
            self.context.counters[response.reason] += 1
            return []
        return [effects.SendMessage(event.sender, response)]

    def handle_response(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Applies the leases that the coordinator grants to this host."""
        response = event.message
        assert isinstance(response, limits.QuotaResponse)
        self._apply(event.sender.host, response)
        return []

    def _apply(self, coordinator: str, response: limits.QuotaResponse) -> None:
        """Applies the leases of a response, if it is to the last request."""
        if (
            coordinator != self.promise.coordinator
            or response.number != self.number
        ):
            return
        self.promise.echo_s = response.time_s
        if not response.is_keeper:
            return
        expires_s = self.sent_s + quota_coordinator.LEASE_S
        for lease in response.shares:
            usage = self.limiter.usage(lease.limit)
            usage.quota = lease.amount
            usage.expires_s = expires_s

    def _claims(
        self, now_s: float, totals: dict[str, float]
    ) -> tuple[limits.Claim, ...]:
        """Returns the claims of this host and decays its wanted amounts."""
        live = (self.context.host, *self.members())
        claims = []
        for limit in totals:
            usage = self.limiter.usage(limit)
            held = usage.valid_quota(now_s)
            wanted = round(usage.wanted, 2)
            usage.wanted *= quota_limiter.DEMAND_DECAY
            if held or usage.used or wanted or self._owns_service(limit, live):
                claim = limits.Claim(limit, held, usage.used, wanted)
                claims.append(claim)
        return tuple(claims)

    def _owns_service(self, limit: str, live: tuple[peers.Peer, ...]) -> bool:
        """Returns whether this host owns flows of the service of a limit."""
        name = quotas.service_of(limit)
        services = self.config_store.numbered.configuration.services
        group = owner_group.members(name, live, services[name].opening_hosts)
        return self.context.host in group

    def _quotas(self) -> dict[str, float]:
        """Returns the quota of this failure domain by key of the limit."""
        return quotas.totals(
            self.config_store.numbered.configuration, self.context.host.domain
        )

    def _choose_coordinator(self) -> peers.Peer:
        """Returns the live member with the highest rendezvous weight."""
        return max(
            (self.context.host, *self.members()),
            key=lambda peer: hashlib.blake2b(
                b"limits" + peer.host.encode(), digest_size=_DIGEST_BYTES
            ).digest(),
        )
