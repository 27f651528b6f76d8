"""Commands that the lab adds to `tamarack`."""

import click


@click.group()
def lab() -> None:
    """Runs stand-ins, experiments and measurements."""
