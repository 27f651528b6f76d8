"""Report of an experiment: result.json, report.md and plots."""

from collections.abc import Sequence
import pathlib

import matplotlib as mpl
from matplotlib import figure
import msgspec
import tabulate

from tamarack_lab.experiments import measurements
from tamarack_lab.experiments import packet_run
from tamarack_lab.experiments import plans

mpl.use("agg")

PLOT_INCHES = (9.0, 4.0)


class BrokenBound(msgspec.Struct):
    """A figure outside its permitted range.

    Attributes:
        figure: Name of the figure.
        value: Value of the figure.
        least: Smallest permitted value; None if there is none.
        most: Largest permitted value; None if there is none.
    """

    figure: str
    value: float
    least: float | None
    most: float | None


class Outcome(msgspec.Struct):
    """Results of both versions in one experiment.

    Attributes:
        name: Name of the experiment.
        seed: Seed of the runs.
        tamarackford: Figures of tamarackford.
        naive: Figures of the naive version.
        broken: Bounds that the figures of tamarackford violate.
    """

    name: str
    seed: int
    tamarackford: measurements.Figures
    naive: measurements.Figures
    broken: list[BrokenBound]


class Series(msgspec.Struct):
    """Time series of the work in flight of each target.

    Attributes:
        label: Name of the version.
        times_s: Times of the samples in seconds.
        work: Work units of each target, by sample.
    """

    label: str
    times_s: list[float]
    work: list[list[float]]


def check(
    figures: measurements.Figures, bounds: Sequence[plans.Bound]
) -> list[BrokenBound]:
    """Returns the bounds that the figures violate."""
    result = []
    for bound in bounds:
        value = float(getattr(figures, bound.figure))
        if bound.least <= value <= bound.most:
            continue
        least = bound.least if bound.least > float("-inf") else None
        most = bound.most if bound.most < float("inf") else None
        result.append(BrokenBound(bound.figure, value, least, most))
    return result


def write(
    directory: pathlib.Path,
    plan: plans.ExperimentPlan | packet_run.PacketPlan,
    outcome: Outcome,
    series: Sequence[Series],
) -> None:
    """Writes result.json, report.md and a plot of each version.

    Args:
        directory: Directory to write to; created if it doesn't exist.
        plan: Plan of the experiment.
        outcome: Figures of both versions.
        series: Work in flight of each version.
    """
    directory.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(outcome))
    (directory / "result.json").write_bytes(encoded + b"\n")
    for item in series:
        _plot(directory / f"{item.label}.png", item)
    (directory / "report.md").write_text(_text(plan, outcome, series))


def _text(
    plan: plans.ExperimentPlan | packet_run.PacketPlan,
    outcome: Outcome,
    series: Sequence[Series],
) -> str:
    """Returns the report as Markdown."""
    tamarackford = msgspec.structs.asdict(outcome.tamarackford)
    naive = msgspec.structs.asdict(outcome.naive)
    rows = [(name, tamarackford[name], naive[name]) for name in tamarackford]
    lines = [
        f"# Experiment {plan.name}, seed {outcome.seed}",
        "",
        plan.summary,
        "",
        tabulate.tabulate(
            rows,
            ("figure", "tamarackford", "naive version"),
            tablefmt="github",
            floatfmt=".4g",
        ),
        "",
        "## Promises",
        "",
    ]
    lines.extend(
        f"- not kept: {item.figure} is {item.value:g}, bound "
        f"{item.least if item.least is not None else item.most:g}"
        for item in outcome.broken
    )
    if not outcome.broken:
        lines.append(f"- all {len(plan.bounds)} kept")
    lines.append("")
    lines.extend(f"![{item.label}]({item.label}.png)" for item in series)
    return "\n".join(lines) + "\n"


def _plot(path: pathlib.Path, series: Series) -> None:
    """Plots the work in flight of each target over time."""
    canvas = figure.Figure(figsize=PLOT_INCHES)
    axes = canvas.subplots()
    for values in zip(*series.work, strict=True):
        axes.plot(series.times_s, values, linewidth=0.7)
    axes.set_xlabel("seconds")
    axes.set_ylabel("work units in flight at each target")
    axes.set_title(series.label)
    canvas.savefig(path)
