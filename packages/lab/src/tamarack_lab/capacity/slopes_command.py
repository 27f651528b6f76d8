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
    help="Output file in JSON.",
)
@click.option(
    "--commit",
    is_flag=True,
    help="Also update the committed slopes with the new values.",
)
def slopes(output: pathlib.Path, commit: bool) -> None:
    """Measures the marginal cost per unit for each role.

    Example: tamarack lab slopes --output out/slopes.json
    """
    fitted = [slope for probe in PROBES for slope in _run(probe)]
    slopes_lib.save(fitted, output)
    if commit:
        measured = {slope.name: slope for slope in fitted}
        known = {slope.name: slope for slope in slopes_lib.load().slopes}
        merged = {**known, **measured}
        slopes_lib.save(tuple(merged.values()), slopes_lib.DATA_FILE)


def _run(
    probe: Callable[[], list[slopes_lib.Slope]],
) -> list[slopes_lib.Slope]:
    """Runs a probe and prints its slopes."""
    fitted = probe()
    for slope in fitted:
        click.echo(
            f"{slope.name}: {slope.value:,.3f} {slope.unit}"
            f" ({slope.source}, sizes {list(slope.sizes)},"
            f" residual {slope.residual:.1%})"
        )
    return fitted
