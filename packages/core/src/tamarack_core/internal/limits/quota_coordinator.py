"""Coordinator that leases the quotas of a failure domain to its hosts.

A coordinator grants leases only while more than half of the entry hosts of
the failure domain promise to query no other coordinator. A new coordinator
first only renews the quota that hosts report to hold. It leases out the rest
once all leases of an earlier coordinator have ended. So the sum of the
leased quotas stays within the limit in spite of host failures and
partitions, without persistent state.
"""

from tamarack_core import failure
from tamarack_core.internal.limits import ledger as ledger_lib
from tamarack_core.internal.limits import quotas
from tamarack_core.messages import limits

LEASE_S = 4.0
PROMISE_S = 4.0
CLOCK_DRIFT = 0.01
"""Maximum relative difference between the rates of two clocks."""


class QuotaCoordinator:
    """State of a host that others may query for quota.

    Attributes:
        configured_hosts: Number of entry hosts of the failure domain by the
            settings, whether alive or not.
        promises: Time at which the promise of each host ends, in seconds.
        ledgers: Ledger of each limit.
        last_numbers: Number of the last request of each host.
        since_s: Time since which this host has been the coordinator without
            interruption, in seconds; None while it is not.
        started_s: Time at which this host started, in seconds.
    """

    __slots__ = (
        "configured_hosts",
        "last_numbers",
        "ledgers",
        "promises",
        "since_s",
        "started_s",
    )

    def __init__(self, configured_hosts: int) -> None:
        """Initializes the coordinator without promises.

        Args:
            configured_hosts: Number of entry hosts of the failure domain by
                the settings, whether alive or not.
        """
        self.configured_hosts = configured_hosts
        self.promises: dict[str, float] = {}
        self.ledgers: dict[str, ledger_lib.Ledger] = {}
        self.last_numbers: dict[str, int] = {}
        self.since_s: float | None = None
        self.started_s = 0.0

    def is_coordinator(self, now_s: float) -> bool:
        """Returns whether a majority of promises lets this host grant quota."""
        promise_count = sum(
            until_s > now_s for until_s in self.promises.values()
        )
        if 2 * promise_count <= self.configured_hosts:
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
        """Returns the response to a request, or why the request is stale.

        Args:
            now_s: Monotonic time of this host in seconds.
            host: Name of the requesting host.
            request: The request.
            totals: Quota of this failure domain by key of the limit.
        """
        if request.number <= self.last_numbers.get(host, 0):
            return failure.Failure(
                "late-request", f"{host} has sent a later request"
            )
        self.last_numbers[host] = request.number
        if self.started_s <= request.echo_s <= now_s:
            until_s = request.echo_s + PROMISE_S * (1.0 - CLOCK_DRIFT)
            self.promises[host] = until_s
        is_coordinator = self.is_coordinator(now_s)
        leases: tuple[limits.QuotaLease, ...] = ()
        if is_coordinator:
            leases = tuple(
                self._grant(now_s, host, claim, totals[claim.limit])
                for claim in request.claims
                if claim.limit in totals
            )
        return limits.QuotaResponse(
            request.number, now_s, is_coordinator, leases
        )

    def _grant(
        self, now_s: float, host: str, claim: limits.Claim, total: float
    ) -> limits.QuotaLease:
        """Returns the lease that is granted for a claim."""
        ledger = self.ledgers.setdefault(
            claim.limit,
            ledger_lib.Ledger(total, quotas.is_whole(claim.limit)),
        )
        ledger.total = total
        promising = (
            name for name, until_s in self.promises.items() if until_s > now_s
        )
        ledger.retain_demands(promising)
        ledger.demands[host] = ledger_lib.Demand(claim.used, claim.wanted)
        until_s = now_s + LEASE_S * (1.0 + CLOCK_DRIFT)
        assert self.since_s is not None
        if now_s - self.since_s <= LEASE_S * (1.0 + CLOCK_DRIFT):
            amount = ledger.renew(now_s, host, claim.held, until_s)
        else:
            amount = ledger.lease(now_s, host, claim.held, until_s)
        return limits.QuotaLease(claim.limit, amount)
