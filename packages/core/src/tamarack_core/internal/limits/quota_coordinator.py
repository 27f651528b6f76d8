"""Keeper of the limits of a failure domain.

A keeper grants shares only while more than half of the entry hosts of the
failure domain promise to ask no other keeper. A new keeper renews what hosts
report to hold; it leases out the rest once all leases of an earlier keeper
have ended. So the sum of the shares stays within the limit through deaths
and partitions, without a disk.
"""

from tamarack_core import failure
from tamarack_core.internal.limits import ledger as ledger_lib
from tamarack_core.internal.limits import quotas
from tamarack_core.messages import limits

LEASE_S = 4.0
PROMISE_S = 4.0
CLOCK_DRIFT = 0.01
"""Greatest difference between the rates of two clocks."""


class QuotaCoordinator:
    """State of a host that others may ask for shares.

    Attributes:
        configured_hosts: Number of entry hosts of the failure domain.
        promises: Time at which the promise of each host ends, in seconds.
        ledgers: Ledger of each limit.
        numbers: Number of the last request of each host.
        since_s: Time since which this host has been the keeper without a
            break, in seconds; None while it is not.
        started_s: Time at which this host started, in seconds.
    """

    __slots__ = (
        "configured_hosts",
        "ledgers",
        "numbers",
        "promises",
        "since_s",
        "started_s",
    )

    def __init__(self, configured_hosts: int) -> None:
        """Creates the state of a host that has not been asked.

        Args:
            configured_hosts: Number of entry hosts of the failure domain.
        """
        self.configured_hosts = configured_hosts
        self.promises: dict[str, float] = {}
        self.ledgers: dict[str, ledger_lib.Ledger] = {}
        self.numbers: dict[str, int] = {}
        self.since_s: float | None = None
        self.started_s = 0.0

    def is_coordinator(self, now_s: float) -> bool:
        """Returns whether this host may grant shares."""
        promised = sum(until_s > now_s for until_s in self.promises.values())
        if 2 * promised <= self.configured_hosts:
            self.since_s = None
            return False
        if self.since_s is None:
            self.since_s = now_s
            self.ledgers.clear()
        return True

    def respond(
        self,
        now_s: float,
        host: str,
        request: limits.QuotaRequest,
        totals: dict[str, float],
    ) -> limits.QuotaResponse | failure.Failure:
        """Answers a request, or tells why it is out of date.

        Args:
            now_s: Time of this host in seconds.
            host: Name of the host that asks.
            request: The request.
            totals: This failure domain's part of each limit.
        """
        if request.number <= self.numbers.get(host, 0):
            return failure.Failure("late-request", f"of {host}")
        self.numbers[host] = request.number
        if self.started_s <= request.echo_s <= now_s:
            until_s = request.echo_s + PROMISE_S * (1.0 - CLOCK_DRIFT)
            self.promises[host] = until_s
        is_keeper = self.is_coordinator(now_s)
        shares: tuple[limits.QuotaLease, ...] = ()
        if is_keeper:
            shares = tuple(
                self._answer(now_s, host, claim, totals[claim.limit])
                for claim in request.claims
                if claim.limit in totals
            )
        return limits.QuotaResponse(request.number, now_s, is_keeper, shares)

    def _answer(
        self, now_s: float, host: str, claim: limits.Claim, total: float
    ) -> limits.QuotaLease:
        """Returns the share that answers a claim."""
        ledger = self.ledgers.setdefault(
            claim.limit,
            ledger_lib.Ledger(total, quotas.is_whole(claim.limit)),
        )
        ledger.total = total
        promised = (
            name for name, until_s in self.promises.items() if until_s > now_s
        )
        ledger.keep_needs(promised)
        ledger.demands[host] = ledger_lib.Demand(claim.used, claim.wanted)
        until_s = now_s + LEASE_S * (1.0 + CLOCK_DRIFT)
        assert self.since_s is not None
        if now_s - self.since_s <= LEASE_S * (1.0 + CLOCK_DRIFT):
            amount = ledger.renew(now_s, host, claim.held, until_s)
        else:
            amount = ledger.lease(now_s, host, claim.held, until_s)
        return limits.QuotaLease(claim.limit, amount)
