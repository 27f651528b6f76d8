"""Entry point of `tamarack`."""

import importlib.metadata

import click

from tamarack_ctl.internal import completion
from tamarack_ctl.internal import data
from tamarack_ctl.internal import declaring
from tamarack_ctl.internal import history
from tamarack_ctl.internal import members
from tamarack_ctl.internal import patching
from tamarack_ctl.internal import rollout
from tamarack_ctl.internal import services
from tamarack_ctl.internal import status
from tamarack_ctl.internal import timeline

COMMANDS_GROUP = "tamarack.commands"


@click.group()
def main() -> None:
    """Operates the tamarackford load balancer."""


main.add_command(status.status)
main.add_command(services.services)
main.add_command(patching.patch)
main.add_command(declaring.plan)
main.add_command(declaring.apply)
main.add_command(history.log)
main.add_command(history.diff)
main.add_command(data.data)
main.add_command(members.member)
main.add_command(rollout.rollout)
main.add_command(timeline.timeline)
main.add_command(completion.completion)

for _entry_point in importlib.metadata.entry_points(group=COMMANDS_GROUP):
    main.add_command(_entry_point.load(), _entry_point.name)
