"""Counters and histograms in the text form of Prometheus.

The OpenTelemetry SDK takes longer to load than a small entry host may take to
start; this is its nearest kin there, with the same names of instruments.
"""

import bisect
from collections.abc import Mapping

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

BOUNDS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0)
"""Upper bounds of the classes of a latency histogram, in seconds."""


class Histogram:
    """Latencies by class.

    Attributes:
        counts: Observations by class; the last class has no upper bound.
        total_s: Sum of all observations, in seconds.
    """

    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        """Creates an empty histogram."""
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.total_s = 0.0

    def observe(self, seconds: float) -> None:
        """Adds an observation."""
        self.counts[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds


def render(
    host: str,
    counters: Mapping[str, int],
    gauges: Mapping[str, float],
    histograms: Mapping[str, Histogram],
) -> bytes:
    """Returns all metrics as text.

    Args:
        host: Name of the host.
        counters: Counters by name of the event.
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
    """Returns the lines of one histogram."""
    full = f"tamarackford_{name}_seconds"
    lines = [f"# TYPE {full} histogram"]
    count = 0
    bounds = [*(f"{bound:g}" for bound in BOUNDS_S), "+Inf"]
    for bound, observed in zip(bounds, histogram.counts, strict=True):
        count += observed
        lines.append(f'{full}_bucket{{host="{host}",le="{bound}"}} {count}')
    lines.append(f'{full}_sum{{host="{host}"}} {histogram.total_s:.6f}')
    lines.append(f'{full}_count{{host="{host}"}} {count}')
    return lines
