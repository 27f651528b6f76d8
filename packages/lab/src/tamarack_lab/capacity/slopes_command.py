"""Command `tamarack lab slopes`."""

from collections.abc import Callable
import pathlib

import click

from tamarack_lab.capacity import slopes as slopes_lib
from tamarack_lab.capacity.probes import configurations
from tamarack_lab.capacity.probes import domains
from tamarack_lab.capacity.probes import relays

PROBES: tuple[Callable[[], list[slopes_lib.Slope]], ...] = (
    configurations.probe,
    domains.probe,
    relays.probe,
)


@click.command()
@click.option(
    "--output",
    type=click.Path(path_type=pathlib.Path),
    default=pathlib.Path("out/slopes.json"),
    help="File for the slopes.",
)
@click.option(
    "--commit",
    is_flag=True,
    help="Also replace the committed slopes that were measured.",
)
def slopes(output: pathlib.Path, commit: bool) -> None:
    """Measures what one more of something costs each role.

    Example: tamarack lab slopes --output out/slopes.json
    """
    found = [slope for probe in PROBES for slope in _run(probe)]
    slopes_lib.save(found, output)
    if commit:
        measured = {slope.name: slope for slope in found}
        known = {slope.name: slope for slope in slopes_lib.load().slopes}
        merged = {**known, **measured}
        slopes_lib.save(tuple(merged.values()), slopes_lib.DATA_FILE)


def _run(
    probe: Callable[[], list[slopes_lib.Slope]],
) -> list[slopes_lib.Slope]:
    """Runs a probe and prints its fits."""
    found = probe()
    for slope in found:
        click.echo(
            f"{slope.name}: {slope.value:,.3f} {slope.unit}"
            f" ({slope.source}, sizes {list(slope.sizes)},"
            f" residual {slope.residual:.1%})"
        )
    return found
