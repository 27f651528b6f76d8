"""Number of entry hosts that may open flows to one cold target.

Load pattern: a target starts while there is traffic, and each of about 80 entry
hosts prefers it, as it has no request in progress. Each host that may open
flows sends at most one opening in any second (see `limiter`), so the number of
these hosts bounds the openings in any second.
"""

import math

import msgspec

MAX_HOSTS = 1_000
"""Most hosts that one allotment names, which bounds its size."""

MIN_SPACING_S = 1.3
"""Least time between two openings of one host to a cold target, in seconds: a
second, and a margin of 0.3 s for differing delays, so that both can't arrive
within one second."""

MAX_SPACING_S = 60.0
"""Longest time between two openings of one host to a cold target, in seconds.
Openings older than that need not be remembered."""


class Tolerance(msgspec.Struct, frozen=True):
    """By how much openings may exceed the rate that a service states.

    Attributes:
        overrun_factor: Factor of the rate.
        slack_requests: Requests in any second beyond that.
    """

    overrun_factor: float = 1.0
    slack_requests: float = 0.0


def host_count(cold_requests_per_s: float, tolerance: Tolerance) -> int:
    """Returns how many hosts may open flows to one cold target.

    Args:
        cold_requests_per_s: Requests a second that it can serve; 0 or less if
            no rate is stated, and then no host is to be named.
        tolerance: By how much openings may exceed that.
    """
    if cold_requests_per_s <= 0:
        return 0
    limit = (
        cold_requests_per_s * tolerance.overrun_factor
        + tolerance.slack_requests
    )
    return max(math.floor(min(limit, MAX_HOSTS)), 0)


def spacing_s(cold_requests_per_s: float, hosts: int) -> float:
    """Returns the time between two openings of one host to a cold target.

    The overrun and the slack allow for short bursts only: while all targets are
    cold, the hosts together send what the target can serve, so that its queue
    does not grow.

    Args:
        cold_requests_per_s: Requests a second that the target can serve,
            positive.
        hosts: Number of hosts that may open flows to it.

    Returns:
        The time in seconds.
    """
    steady_s = min(hosts / cold_requests_per_s, MAX_SPACING_S)
    return max(steady_s, MIN_SPACING_S)
