"""Command `tamarack capacity`."""

import json
import pathlib

import click
import msgspec

from tamarack_lab.capacity import bursts
from tamarack_lab.capacity import model
from tamarack_lab.capacity import page as page_lib
from tamarack_lab.capacity import render
from tamarack_lab.capacity import sizes
from tamarack_lab.capacity import slopes as slopes_lib

PLOT_NAME = "roles.png"


@click.command()
@click.option(
    "--targets-file",
    type=click.Path(exists=True, path_type=pathlib.Path),
    required=True,
    help="Sizes and budget in JSON, such as docs/capacity/sizes.json.",
)
@click.option(
    "--slopes-file",
    type=click.Path(exists=True, path_type=pathlib.Path),
    default=slopes_lib.DATA_FILE,
    help="Slopes in JSON. Default: the committed slopes.",
)
@click.option(
    "--page",
    "page_file",
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="Page whose tables and plot to update.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def capacity(
    targets_file: pathlib.Path,
    slopes_file: pathlib.Path,
    page_file: pathlib.Path | None,
    as_json: bool,
) -> None:
    """Computes the cost of each role at each size.

    Example: tamarack capacity --targets-file docs/capacity/sizes.json
    """
    try:
        sizes_file = sizes.load(targets_file)
        slopes = slopes_lib.load(slopes_file)
    except msgspec.DecodeError as error:
        raise click.UsageError(str(error)) from error
    if page_file is not None:
        tables = render.report(sizes_file, slopes)
        text = page_lib.replace_tables(page_file.read_text(), tables)
        page_file.write_text(text)
        page_lib.plot(sizes_file, slopes, targets_file.with_name(PLOT_NAME))
        return
    if not as_json:
        click.echo(render.report(sizes_file, slopes), nl=False)
        return
    values = slopes.values()
    document = {
        size.name: {
            "totals": model.totals(
                model.terms(size, values), sizes_file.budget
            ),
            "terms": model.terms(size, values),
            "bursts": bursts.bursts(size, sizes_file.budget, values),
        }
        for size in sizes_file.sizes
    }
    click.echo(json.dumps(msgspec.to_builtins(document), indent=2))
