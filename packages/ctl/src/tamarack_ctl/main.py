"""Entry point of `tamarack`."""

import importlib.metadata

import click

from tamarack_ctl.internal import patching
from tamarack_ctl.internal import status

COMMANDS_GROUP = "tamarack.commands"


@click.group()
def main() -> None:
    """Operates the tamarackford load balancer."""


main.add_command(status.status)
main.add_command(patching.patch)

for _entry_point in importlib.metadata.entry_points(group=COMMANDS_GROUP):
    main.add_command(_entry_point.load(), _entry_point.name)
