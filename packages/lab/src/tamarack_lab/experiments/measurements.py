"""What a run is measured by."""

from collections.abc import Sequence
import itertools
import math

import msgspec

from tamarack_lab.experiments import target_queue


class Figures(msgspec.Struct):
    """Result of one run of one version.

    Attributes:
        openings: Connections that callers opened for the first time.
        attempts: Openings with those that were tried again.
        completed: Connections that ended as their callers wanted, in time.
        refused: Attempts that were refused.
        broken_flows: Established connections that broke.
        imbalance_peak_over_mean: Highest mean work in flight of a target over
            the mean of all targets of its service; the worst service.
        imbalance_window_peak_over_mean: The same, as the mean over windows.
        imbalance_spread_units: Time-weighted standard deviation of the work
            in flight between the targets of a service, in work units.
        at_most_once_violations: Non-idempotent requests that ran twice.
        false_verdicts: Requests that ran though their verdict was not run.
        late_new_flows: New flows at a draining target after the grace period.
        wrong_service: Flows that reached a target of another service.
        over_limit: Greatest number of connections above a limit.
        hops_per_packet: Mean number of hand-overs between hosts.
        control_bytes_per_host_s: Control bytes a host and second.
        goodput_units_s: Work units a second of completed connections.
        wait_p99_s: 99th percentile of the wait for an answer, in seconds.
        ejected_share: Greatest share of targets ejected at one host.
        spilled_share: Share of attempts that left their failure domain.
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
        machines: Targets of the service that count.
        samples: Integral of work in each target at each sample.
        spreads: Standard deviation of the work in flight at each sample.
    """

    __slots__ = ("machines", "samples", "spreads")

    def __init__(self, machines: Sequence[target_queue.TargetQueue]) -> None:
        """Creates a meter over the targets of one service."""
        self.machines = list(machines)
        self.samples: list[list[float]] = []
        self.spreads: list[float] = []

    def sample(self) -> None:
        """Takes a sample; the caller takes them at even intervals."""
        for target in self.machines:
            target.settle()
        self.samples.append([target.integral for target in self.machines])
        work = [target.work for target in self.machines]
        self.spreads.append(deviation(work))

    def peak_over_mean(self) -> float:
        """Returns the highest over the mean work, over the whole run."""
        if len(self.samples) < 2:
            return 0.0
        return _peak_over_mean(self.samples[0], self.samples[-1])

    def window_peak_over_mean(self, window: int) -> float:
        """Returns the mean peak over mean of windows of samples."""
        found = [
            _peak_over_mean(first, last)
            for first, last in itertools.pairwise(self.samples[::window])
        ]
        return sum(found) / len(found) if found else 0.0

    def spread(self) -> float:
        """Returns the time-weighted spread in work units."""
        return sum(self.spreads) / len(self.spreads) if self.spreads else 0.0


def _peak_over_mean(first: Sequence[float], last: Sequence[float]) -> float:
    """Returns the highest over the mean growth of the integrals."""
    grown = [b - a for a, b in zip(first, last, strict=True)]
    total = sum(grown)
    return max(grown) * len(grown) / total if total else 1.0


def deviation(values: Sequence[float]) -> float:
    """Returns the standard deviation of values."""
    mean = sum(values) / len(values)
    variance = sum((value - mean) ** 2 for value in values) / len(values)
    return math.sqrt(variance)


def percentile(values: Sequence[float], share: float) -> float:
    """Returns a percentile of values, 0 for none.

    Args:
        values: The values in any order.
        share: From 0 to 1.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
