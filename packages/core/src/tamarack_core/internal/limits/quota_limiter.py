"""Admits openings within the shares that this host holds."""

import dataclasses

from tamarack_core import verdict
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.limits import quotas

RATE_BURST_S = 1.0
DEMAND_DECAY = 0.25
"""Factor on the count of wanted openings at each request for shares."""


@dataclasses.dataclass(slots=True)
class Usage:
    """Use of one limit at this host.

    Attributes:
        share: Leased share.
        expires_s: Time at which the lease ends, in seconds.
        used: Open connections that count towards the limit.
        wanted: Decayed count of openings that were tried.
        tokens: Openings that the rate admits at once.
        refilled_s: Time of the last refill, in seconds.
    """

    share: float = 0.0
    expires_s: float = float("-inf")
    used: float = 0.0
    wanted: float = 0.0
    tokens: float = 0.0
    refilled_s: float = 0.0

    def valid_quota(self, now_s: float) -> float:
        """Returns the share at a time in seconds; 0 after its lease."""
        return self.share if now_s < self.expires_s else 0.0


class QuotaLimiter:
    """Counts openings against the limits.

    Attributes:
        usages: Use by key of the limit.
    """

    __slots__ = ("usages",)

    def __init__(self) -> None:
        """Creates a gate without shares."""
        self.usages: dict[str, Usage] = {}

    def admit(
        self, now_s: float, port: lookup.ServicePort
    ) -> verdict.Verdict | None:
        """Counts an opening, or returns why it must be refused."""
        concurrent = self._want(
            port.settings.max_concurrent, quotas.concurrent_key(port)
        )
        rate = self._want(port.settings.max_opening_rate, quotas.rate_key(port))
        if concurrent and concurrent.used + 1.0 > concurrent.valid_quota(now_s):
            return verdict.not_run("concurrent-limit")
        if rate and not _take_token(rate, now_s):
            return verdict.not_run("rate-limit")
        self.add(port)
        return None

    def _want(self, limit: float, key: str) -> Usage | None:
        """Counts a wanted opening; returns the use if there is a limit."""
        if not limit:
            return None
        usage = self.usage(key)
        usage.wanted += 1.0
        return usage

    def add(self, port: lookup.ServicePort) -> None:
        """Counts a connection that this host now owns."""
        if port.settings.max_concurrent:
            self.usage(quotas.concurrent_key(port)).used += 1.0

    def remove(self, port: lookup.ServicePort) -> None:
        """Counts the end of a connection."""
        if port.settings.max_concurrent:
            usage = self.usage(quotas.concurrent_key(port))
            usage.used = max(0.0, usage.used - 1.0)

    def usage(self, key: str) -> Usage:
        """Returns the use of a limit."""
        return self.usages.setdefault(key, Usage())


def _take_token(usage: Usage, now_s: float) -> bool:
    """Takes a token of the bucket that a rate share refills."""
    share = usage.valid_quota(now_s)
    capacity = max(1.0, share * RATE_BURST_S)
    elapsed_s = max(0.0, now_s - usage.refilled_s)
    usage.tokens = min(capacity, usage.tokens + share * elapsed_s)
    usage.refilled_s = now_s
    if not share or usage.tokens < 1.0:
        return False
    usage.tokens -= 1.0
    return True
