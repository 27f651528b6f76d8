"""Admission of connections within the quota leased to this host."""

import dataclasses

from tamarack_core import verdict
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.limits import quotas

RATE_BURST_S = 1.0
DEMAND_DECAY = 0.25
"""Factor on the count of attempted openings at each quota request."""


@dataclasses.dataclass(slots=True)
class Usage:
    """Use of one limit at this host.

    Attributes:
        quota: Leased quota.
        expires_s: Time at which the lease ends, in seconds.
        used: Open connections that count towards the limit.
        wanted: Decayed count of attempted openings.
        tokens: Tokens in the bucket of a rate limit; an opening takes one.
        refilled_s: Time of the last refill, in seconds.
    """

    quota: float = 0.0
    expires_s: float = float("-inf")
    used: float = 0.0
    wanted: float = 0.0
    tokens: float = 0.0
    refilled_s: float = 0.0

    def valid_quota(self, now_s: float) -> float:
        """Returns the leased quota, or 0 after the end of the lease.

        Args:
            now_s: Monotonic time in seconds.
        """
        return self.quota if now_s < self.expires_s else 0.0


class QuotaLimiter:
    """Limits the connections of this host to its leased quota.

    Attributes:
        usages: Use by key of the limit.
    """

    __slots__ = ("usages",)

    def __init__(self) -> None:
        """Initializes the limiter without quota."""
        self.usages: dict[str, Usage] = {}

    def admit(
        self, now_s: float, port: lookup.ServicePort
    ) -> verdict.Verdict | None:
        """Counts an opening, or returns the verdict that refuses it."""
        concurrent = self._record_demand(
            port.settings.max_concurrent, quotas.concurrent_key(port)
        )
        rate = self._record_demand(
            port.settings.max_opening_rate, quotas.rate_key(port)
        )
        if concurrent and concurrent.used + 1.0 > concurrent.valid_quota(now_s):
            return verdict.not_run("concurrent-limit")
        if rate and not _consume_token(rate, now_s):
            return verdict.not_run("rate-limit")
        self.add(port)
        return None

    def _record_demand(self, limit: float, key: str) -> Usage | None:
        """Counts an attempt; returns the usage, or None without a limit."""
        if not limit:
            return None
        usage = self.usage(key)
        usage.wanted += 1.0
        return usage

    def add(self, port: lookup.ServicePort) -> None:
        """Counts an open connection that this host now owns."""
        if port.settings.max_concurrent:
            self.usage(quotas.concurrent_key(port)).used += 1.0

    def remove(self, port: lookup.ServicePort) -> None:
        """Removes a connection that has ended."""
        if port.settings.max_concurrent:
            usage = self.usage(quotas.concurrent_key(port))
            usage.used = max(0.0, usage.used - 1.0)

    def usage(self, key: str) -> Usage:
        """Returns the usage of a limit by its key."""
        return self.usages.setdefault(key, Usage())


def _consume_token(usage: Usage, now_s: float) -> bool:
    """Consumes a token of the bucket; the rate quota refills the bucket."""
    quota = usage.valid_quota(now_s)
    capacity = max(1.0, quota * RATE_BURST_S)
    elapsed_s = max(0.0, now_s - usage.refilled_s)
    usage.tokens = min(capacity, usage.tokens + quota * elapsed_s)
    usage.refilled_s = now_s
    if not quota or usage.tokens < 1.0:
        return False
    usage.tokens -= 1.0
    return True
