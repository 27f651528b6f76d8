"""Counters, gauges and histograms in the text format of Prometheus.

It replaces the OpenTelemetry SDK on hosts that the light driver runs, where
the SDK takes longer to load than the host may take to start. The counter of
events has the same name.
"""

import bisect
from collections.abc import Mapping

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

BUCKET_BOUNDS_S = (
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
)
"""Upper bounds of the buckets of a latency histogram, in seconds."""


class Histogram:
    """Histogram of latencies.

    Attributes:
        counts: Observations by bucket; the last bucket has no upper bound.
        total_s: Sum of all observations, in seconds.
    """

    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        """Initializes an empty histogram."""
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total_s = 0.0

    def observe(self, seconds: float) -> None:
        """Adds an observation in seconds."""
        self.counts[bisect.bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.total_s += seconds


def render(
    host: str,
    counters: Mapping[str, int],
    gauges: Mapping[str, float],
    histograms: Mapping[str, Histogram],
) -> bytes:
    """Returns all metrics in the text format.

    Args:
        host: Name of the host.
        counters: Counts of events by event name.
        gauges: Values by name.
        histograms: Latencies by name.
    """
    lines = ["# TYPE tamarackford_events_total counter"]
    lines += [
        f'tamarackford_events_total{{host="{host}",name="{name}"}} {count}'
        for name, count in sorted(counters.items())
    ]
    for name, value in sorted(gauges.items()):
        lines.append(f"# TYPE tamarackford_{name} gauge")
        lines.append(f'tamarackford_{name}{{host="{host}"}} {value:g}')
    for name, histogram in sorted(histograms.items()):
        lines += _render_histogram(host, name, histogram)
    return ("\n".join(lines) + "\n").encode()


def _render_histogram(host: str, name: str, histogram: Histogram) -> list[str]:
    """Returns the lines of one histogram, with cumulative counts."""
    full = f"tamarackford_{name}_seconds"
    lines = [f"# TYPE {full} histogram"]
    count = 0
    bounds = [*(f"{bound:g}" for bound in BUCKET_BOUNDS_S), "+Inf"]
    for bound, observed in zip(bounds, histogram.counts, strict=True):
        count += observed
        lines.append(f'{full}_bucket{{host="{host}",le="{bound}"}} {count}')
    lines.append(f'{full}_sum{{host="{host}"}} {histogram.total_s:.6f}')
    lines.append(f'{full}_count{{host="{host}"}} {count}')
    return lines
