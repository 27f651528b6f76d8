"""Figures of a run and the meters that compute them."""

from collections.abc import Sequence
import itertools
import math

import msgspec

from tamarack_lab.experiments import target_queue


class Figures(msgspec.Struct):
    """Figures of one run of one version.

    In packet-level runs the work in flight of a target is its number of open
    connections, and each request counts as one work unit.

    Attributes:
        openings: First attempts of callers to open a connection.
        attempts: All attempts, including retries.
        completed: Requests that got their response in time.
        refused: Attempts that were refused.
        broken_flows: Established connections that broke.
        imbalance_peak_over_mean: Highest mean work in flight of a target
            divided by the mean of all targets of its service; that of the
            worst service.
        imbalance_window_peak_over_mean: The same ratio as the mean over time
            windows.
        imbalance_spread_units: Standard deviation of the work in flight among
            the targets of a service, averaged over time, in work units.
        at_most_once_violations: Non-idempotent requests that ran twice.
        false_verdicts: Requests that ran although the verdict said that they
            did not run.
        late_new_flows: New flows at a draining target after the grace period.
        wrong_service: Flows that reached a target of another service.
        over_limit: Maximum number of connections in excess of a limit.
        hops_per_packet: Mean number of times that a packet is forwarded from
            one entry host to another.
        control_bytes_per_host_s: Control bytes per host and second.
        goodput_units_s: Work units of completed requests per second.
        wait_p99_s: 99th percentile of the time to the response, in seconds.
        ejected_share: Not measured; always 0.
        spilled_share: Share of attempts whose target was in another failure
            domain.
    """

    openings: int = 0
    attempts: int = 0
    completed: int = 0
    refused: int = 0
    broken_flows: int = 0
    imbalance_peak_over_mean: float = 0.0
    imbalance_window_peak_over_mean: float = 0.0
    imbalance_spread_units: float = 0.0
    at_most_once_violations: int = 0
    false_verdicts: int = 0
    late_new_flows: int = 0
    wrong_service: int = 0
    over_limit: int = 0
    hops_per_packet: float = 0.0
    control_bytes_per_host_s: float = 0.0
    goodput_units_s: float = 0.0
    wait_p99_s: float = 0.0
    ejected_share: float = 0.0
    spilled_share: float = 0.0


class BalanceMeter:
    """Samples the work in flight of the targets of one service.

    Attributes:
        targets: Targets of the service.
        samples: Integral of the work in flight of each target, by sample.
        spreads: Standard deviation of the work in flight, by sample.
    """

    __slots__ = ("samples", "spreads", "targets")

    def __init__(self, targets: Sequence[target_queue.TargetQueue]) -> None:
        """Initializes a meter for the targets of one service."""
        self.targets = list(targets)
        self.samples: list[list[float]] = []
        self.spreads: list[float] = []

    def sample(self) -> None:
        """Takes a sample; must be called at regular intervals."""
        for target in self.targets:
            target.update_integral()
        self.samples.append([target.integral for target in self.targets])
        work = [target.work for target in self.targets]
        self.spreads.append(deviation(work))

    def peak_over_mean(self) -> float:
        """Returns the peak-over-mean ratio of work, over all samples."""
        if len(self.samples) < 2:
            return 0.0
        return _peak_over_mean(self.samples[0], self.samples[-1])

    def window_peak_over_mean(self, window: int) -> float:
        """Returns the mean of the peak-over-mean ratios of time windows.

        Args:
            window: Length of a window in samples.
        """
        ratios = [
            _peak_over_mean(first, last)
            for first, last in itertools.pairwise(self.samples[::window])
        ]
        return sum(ratios) / len(ratios) if ratios else 0.0

    def spread(self) -> float:
        """Returns the mean standard deviation in work units."""
        return sum(self.spreads) / len(self.spreads) if self.spreads else 0.0


def _peak_over_mean(first: Sequence[float], last: Sequence[float]) -> float:
    """Returns the highest growth of the integrals over the mean growth."""
    growth = [b - a for a, b in zip(first, last, strict=True)]
    total = sum(growth)
    return max(growth) * len(growth) / total if total else 1.0


def deviation(values: Sequence[float]) -> float:
    """Returns the population standard deviation of values."""
    mean = sum(values) / len(values)
    variance = sum((value - mean) ** 2 for value in values) / len(values)
    return math.sqrt(variance)


def percentile(values: Sequence[float], share: float) -> float:
    """Returns a percentile of values, or 0 if there are none.

    Args:
        values: Values in any order.
        share: Percentile as a fraction from 0 to 1.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
