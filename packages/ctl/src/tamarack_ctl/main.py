"""Entry point of `tamarack`."""

import importlib.metadata

import click

COMMANDS_GROUP = "tamarack.commands"


@click.group()
def main() -> None:
    """Operates the tamarackford load balancer."""


for _entry_point in importlib.metadata.entry_points(group=COMMANDS_GROUP):
    main.add_command(_entry_point.load(), _entry_point.name)
