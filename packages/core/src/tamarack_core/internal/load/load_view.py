"""Load of services and weights of targets, as an entry host knows them."""

import collections

from tamarack_core import sync
from tamarack_core.internal.load import target_weights

MIN_PERCENT, MAX_PERCENT = 1, 400
"""Range of the weights that a host accepts, in percent."""

MAX_PER_S = 1e7
"""Most openings a second of a service that a host accepts."""

WEIGHTS_LIFETIME_S = 10.0
"""Time without a summary after which weights no longer count, in seconds."""

RATES_LIFETIME_S = 5.0
"""Time without a summary after which openings a second are unknown, in
seconds."""

OWN_WEIGHT = 0.3
"""Weight of the newest interval in the openings a second of this host."""

MIN_INTERVAL_S = 0.1
"""Shortest interval over which openings a second are computed, in seconds."""

MIN_PER_S = 0.01
"""Openings a second below which a service no longer counts as in use."""


class LoadView:
    """Load that control hosts summed up, and the openings at this host.

    Attributes:
        weights: Weights other than 100, in percent, by tag of the start of a
            target.
        ramped_up: Services whose new targets are ramped up.
        received_s: Time of the last summary, in seconds.
        rates: Openings a second over all entry hosts by service.
        own_rates: Openings a second at this host by service.
        openings: Openings at this host since the last report, by service.
        counted_s: Time since which they are counted, in seconds.
    """

    __slots__ = (
        "counted_s",
        "openings",
        "own_rates",
        "ramped_up",
        "rates",
        "received_s",
        "weights",
    )

    def __init__(self) -> None:
        """Initializes a view without any summary."""
        self.weights: dict[int, int] = {}
        self.ramped_up: frozenset[str] = frozenset()
        self.received_s = float("-inf")
        self.rates: dict[str, float] = {}
        self.own_rates: dict[str, float] = {}
        self.openings: collections.Counter[str] = collections.Counter()
        self.counted_s = float("inf")

    def put(self, now_s: float, summary: sync.LoadSummary) -> int:
        """Applies a summary; returns the number of values that are absurd.

        Args:
            now_s: Monotonic time in seconds.
            summary: The summary.
        """
        self.received_s = now_s
        self.ramped_up = frozenset(summary.ramped_up)
        self.weights = {
            tag: weight
            for tag, weight in summary.weights.items()
            if MIN_PERCENT <= weight <= MAX_PERCENT
        }
        skipped = len(summary.weights) - len(self.weights)
        self.weights = {
            tag: weight
            for tag, weight in self.weights.items()
            if weight != target_weights.FULL_PERCENT
        }
        self.rates = {
            service: rate
            for service, rate in summary.openings_per_s.items()
            if 0.0 <= rate <= MAX_PER_S
        }
        return skipped + len(summary.openings_per_s) - len(self.rates)

    def weights_at(self, now_s: float) -> dict[int, int]:
        """Returns the weights that count now; empty if all are 100."""
        if now_s - self.received_s > WEIGHTS_LIFETIME_S:
            return {}
        return self.weights

    def is_ramped_up(self, now_s: float, service: str) -> bool:
        """Returns whether new targets of a service are ramped up.

        Args:
            now_s: Monotonic time in seconds.
            service: Name of the service.
        """
        if now_s - self.received_s > WEIGHTS_LIFETIME_S:
            return False
        return service in self.ramped_up

    def opening_rates(self, now_s: float) -> dict[str, float]:
        """Returns openings a second over all entry hosts by service.

        The result is empty if they are unknown.
        """
        if now_s - self.received_s > RATES_LIFETIME_S:
            return {}
        return self.rates

    def observe_opening(self, service: str) -> None:
        """Records an opening of a caller; repeated ones don't count."""
        self.openings[service] += 1

    def take_openings(self, now_s: float) -> dict[str, int]:
        """Returns the openings since the last call by service."""
        elapsed_s = now_s - self.counted_s
        taken, self.openings = self.openings, collections.Counter()
        self.counted_s = now_s
        if elapsed_s < MIN_INTERVAL_S:
            return dict(taken)
        services = self.own_rates.keys() | taken.keys()
        rates = {
            service: (1 - OWN_WEIGHT) * self.own_rates.get(service, 0.0)
            + OWN_WEIGHT * taken[service] / elapsed_s
            for service in services
        }
        self.own_rates = {
            service: rate for service, rate in rates.items() if rate > MIN_PER_S
        }
        return dict(taken)
