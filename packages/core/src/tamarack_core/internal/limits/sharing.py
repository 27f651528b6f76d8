"""Asks the keeper of the failure domain for shares, and answers as one."""

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
from tamarack_core.internal.distribution import holder
from tamarack_core.internal.limits import catalogue
from tamarack_core.internal.limits import gate as gate_lib
from tamarack_core.internal.limits import keeper as keeper_lib
from tamarack_core.messages import limits

TIMER = "limit-shares"
INTERVAL_S = 1.0

_DIGEST_BYTES = 8


@dataclasses.dataclass(slots=True)
class Promise:
    """Promise to ask no other keeper.

    Attributes:
        keeper: Name of the keeper; empty after a start, when an earlier
            process of this host may have made a promise.
        until_s: Time at which the promise ends, in seconds.
        echo_s: Last time that this keeper stated, in its own seconds.
    """

    keeper: str
    until_s: float
    echo_s: float = -1.0


class Sharing:
    """Part that keeps the shares of this host leased.

    Attributes:
        context: Identity, chance, time and counters.
        holder: Configuration in force.
        gate: Admits openings within the shares.
        members: Returns the other live entry hosts of the failure domain.
        keeper: State of this host as a keeper.
        promise: Promise of this host.
        number: Number of the last request.
        sent_s: Time of the last request in seconds.
    """

    __slots__ = (
        "context",
        "gate",
        "holder",
        "keeper",
        "members",
        "number",
        "promise",
        "sent_s",
    )

    def __init__(
        self,
        context: context_lib.Context,
        configuration_holder: holder.Holder,
        gate: gate_lib.Gate,
        live_members: Callable[[], tuple[peers.Peer, ...]],
        roster: int,
    ) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            configuration_holder: Configuration in force.
            gate: Admits openings within the shares.
            live_members: Returns the other live entry hosts of the failure
                domain.
            roster: Number of entry hosts of the failure domain by the
                settings, whether alive or not.
        """
        self.context = context
        self.holder = configuration_holder
        self.gate = gate
        self.members = live_members
        self.keeper = keeper_lib.Keeper(roster)
        self.promise = Promise("", float("inf"))
        self.number = 0
        self.sent_s = 0.0

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {
            events.Started: self.handle_started,
            TIMER: self.handle_timer,
            limits.ShareRequest: self.handle_request,
            limits.ShareResponse: self.handle_response,
        }

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Waits for promises of an earlier process of this host to end."""
        self.keeper.started_s = event.now_s
        self.promise = Promise("", event.now_s + keeper_lib.PROMISE_S)
        # Numbers must rise over restarts, since a keeper outlives this host.
        self.number = event.wall_ms
        delay_s = self.context.random.random() * INTERVAL_S
        return [effects.StartTimer(TIMER, delay_s)]

    def handle_timer(self, event: events.TimerFired) -> list[effects.Effect]:
        """Asks the keeper for shares."""
        now_s = event.now_s
        found: list[effects.Effect] = [effects.StartTimer(TIMER, INTERVAL_S)]
        totals = self._totals()
        if not totals:
            return found
        peer = self._choose_keeper()
        if peer.host != self.promise.keeper:
            if now_s < self.promise.until_s:
                return found
            self.promise = Promise(peer.host, now_s)
        self.promise.until_s = now_s + keeper_lib.PROMISE_S
        self.number += 1
        self.sent_s = now_s
        request = limits.ShareRequest(
            self.number, self.promise.echo_s, self._claims(now_s, totals)
        )
        if peer.host != self.context.host.host:
            return [*found, effects.SendMessage(peer, request)]
        response = self.keeper.respond(now_s, peer.host, request, totals)
        if isinstance(response, limits.ShareResponse):
            self._apply(peer.host, response)
        return found

    def handle_request(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Answers another host as a keeper."""
        request = event.message
        assert isinstance(request, limits.ShareRequest)
        response = self.keeper.respond(
            event.now_s, event.sender.host, request, self._totals()
        )
        if isinstance(response, failure.Failure):
            self.context.counters[response.reason] += 1
            return []
        return [effects.SendMessage(event.sender, response)]

    def handle_response(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Takes the shares that the keeper leases to this host."""
        response = event.message
        assert isinstance(response, limits.ShareResponse)
        self._apply(event.sender.host, response)
        return []

    def _apply(self, keeper: str, response: limits.ShareResponse) -> None:
        """Takes the shares of a response to the last request."""
        if keeper != self.promise.keeper or response.number != self.number:
            return
        self.promise.echo_s = response.time_s
        if not response.is_keeper:
            return
        expires_s = self.sent_s + keeper_lib.LEASE_S
        for share in response.shares:
            usage = self.gate.usage(share.limit)
            usage.share = share.amount
            usage.expires_s = expires_s

    def _claims(
        self, now_s: float, totals: dict[str, float]
    ) -> tuple[limits.Claim, ...]:
        """Returns the claims of this host and ages what it wants."""
        live = (self.context.host, *self.members())
        claims = []
        for limit in totals:
            usage = self.gate.usage(limit)
            held = usage.valid_share(now_s)
            wanted = round(usage.wanted, 2)
            usage.wanted *= gate_lib.DEMAND_DECAY
            if held or usage.used or wanted or self._owns(limit, live):
                claim = limits.Claim(limit, held, usage.used, wanted)
                claims.append(claim)
        return tuple(claims)

    def _owns(self, limit: str, live: tuple[peers.Peer, ...]) -> bool:
        """Returns whether this host opens the connections of a limit."""
        name = catalogue.service_of(limit)
        services = self.holder.numbered.configuration.services
        group = owner_group.members(name, live, services[name].opening_hosts)
        return self.context.host in group

    def _totals(self) -> dict[str, float]:
        """Returns this failure domain's part of each limit."""
        return catalogue.totals(
            self.holder.numbered.configuration, self.context.host.domain
        )

    def _choose_keeper(self) -> peers.Peer:
        """Returns the member with the highest weight."""
        return max(
            (self.context.host, *self.members()),
            key=lambda peer: hashlib.blake2b(
                b"limits" + peer.host.encode(), digest_size=_DIGEST_BYTES
            ).digest(),
        )
