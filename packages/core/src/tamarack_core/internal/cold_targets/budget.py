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
