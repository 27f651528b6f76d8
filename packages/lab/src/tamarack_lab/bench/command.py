"""Command `tamarack lab bench`."""

import json
import pathlib

import click
import msgspec

from tamarack_lab.bench import measurements
from tamarack_lab.bench import profile as profile_lib

DEFAULT_RUNS = 5
# Largest number of targets of one service today.
DEFAULT_TARGETS = 7


@click.command()
@click.option(
    "--output",
    type=click.Path(path_type=pathlib.Path),
    default=pathlib.Path("out/bench.json"),
    help="Output file in JSON.",
)
@click.option(
    "--runs", default=DEFAULT_RUNS, help="Number of runs behind each median."
)
@click.option(
    "--targets",
    default=DEFAULT_TARGETS,
    help="Number of targets of the service.",
)
@click.option(
    "--profile", is_flag=True, help="Print a profile of the data path instead."
)
def bench(output: pathlib.Path, runs: int, targets: int, profile: bool) -> None:
    """Benchmarks one entry process on one core.

    Example: tamarack lab bench --output out/bench.json
    """
    if profile:
        click.echo(profile_lib.run(targets))
        return
    results = msgspec.to_builtins(measurements.run(runs, targets))
    output.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps(results, indent=2)
    output.write_text(text + "\n")
    click.echo(text)
