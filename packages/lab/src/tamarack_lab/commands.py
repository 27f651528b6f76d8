"""Commands that the lab adds to `tamarack`."""

import click

from tamarack_lab.bench import command as bench


@click.group()
def lab() -> None:
    """Runs stand-ins, experiments and measurements."""


lab.add_command(bench.bench)
