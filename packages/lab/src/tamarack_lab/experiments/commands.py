"""Command `tamarack experiment`."""

import pathlib
import sys

import click

from tamarack_lab.experiments import catalogue
from tamarack_lab.experiments import packet_run
from tamarack_lab.experiments import packet_versions
from tamarack_lab.experiments import report
from tamarack_lab.experiments import run as run_lib
from tamarack_lab.experiments import versions

Runnable = run_lib.Run | packet_run.PacketRun


@click.group()
def experiment() -> None:
    """Runs scripted comparisons of tamarackford with the naive version."""


@experiment.command("list")
def list_experiments() -> None:
    """Lists the experiments."""
    for plan in catalogue.ALL.values():
        click.echo(f"{plan.name:24} {plan.summary}")


@experiment.command("run")
@click.argument("name", type=click.Choice(list(catalogue.ALL)))
@click.option(
    "--seed",
    default=1,
    show_default=True,
    help="Seed of the random generators.",
)
@click.option(
    "--output",
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    required=True,
    help="Directory for result.json, report.md and plots.",
)
def run_experiment(name: str, seed: int, output: pathlib.Path) -> None:
    """Runs an experiment; exits with 1 if a figure violates its bound."""
    outcome = run_plan(catalogue.ALL[name], seed, output)
    for broken in outcome.broken:
        click.echo(f"bound violated: {broken}", err=True)
    sys.exit(1 if outcome.broken else 0)


def run_plan(
    plan: catalogue.AnyPlan, seed: int, output: pathlib.Path
) -> report.Outcome:
    """Runs an experiment with both versions and writes the report.

    Args:
        plan: The experiment.
        seed: Seed of all random generators.
        output: Directory for the report.
    """
    tamarackford, naive = _runs(plan, seed)
    figures = tamarackford.execute()
    outcome = report.Outcome(
        plan.name,
        seed,
        figures,
        naive.execute(),
        report.check(figures, plan.bounds),
    )
    series = [_series("tamarackford", tamarackford), _series("naive", naive)]
    report.write(output, plan, outcome, series)
    return outcome


def _runs(plan: catalogue.AnyPlan, seed: int) -> tuple[Runnable, Runnable]:
    """Returns one run of tamarackford and one of the naive version."""
    if isinstance(plan, packet_run.PacketPlan):
        return (
            packet_run.PacketRun(
                plan, packet_versions.build_tamarackford, seed
            ),
            packet_run.PacketRun(plan, packet_versions.build_naive, seed),
        )
    return (
        run_lib.Run(plan, versions.Tamarackford(), seed),
        run_lib.Run(plan, versions.Naive(), seed),
    )


def _series(label: str, run: Runnable) -> report.Series:
    """Returns the work in flight of each target during a run."""
    times_s = [time_s for time_s, _ in run.timeline]
    return report.Series(label, times_s, [work for _, work in run.timeline])
