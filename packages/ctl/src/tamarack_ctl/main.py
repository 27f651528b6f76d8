"""Entry point of `tamarack`."""

import click

from tamarack_ctl.internal import completion
from tamarack_ctl.internal import extensions
from tamarack_ctl.internal import patching
from tamarack_ctl.internal import services
from tamarack_ctl.internal import status
from tamarack_ctl.internal import timeline


@click.group(cls=extensions.ExtensibleGroup)
def main() -> None:
    """Operates the tamarackford load balancer."""


main.add_command(status.status)
main.add_command(services.services)
main.add_command(patching.patch)
main.add_command(timeline.timeline)
main.add_command(completion.completion)
