"""Entry point of the `tamarack` command line."""

import click

from tamarack_ctl.internal import completion
from tamarack_ctl.internal import data
from tamarack_ctl.internal import evacuate
from tamarack_ctl.internal import extensions
from tamarack_ctl.internal import history
from tamarack_ctl.internal import members
from tamarack_ctl.internal import patches
from tamarack_ctl.internal import plan_apply
from tamarack_ctl.internal import rollout
from tamarack_ctl.internal import services
from tamarack_ctl.internal import status
from tamarack_ctl.internal import timeline
from tamarack_ctl.internal import traffic


@click.group(cls=extensions.ExtensibleGroup)
def main() -> None:
    """Operates the tamarackford load balancer."""


main.add_command(status.status)
main.add_command(services.services)
main.add_command(patches.patch)
main.add_command(plan_apply.plan)
main.add_command(plan_apply.apply)
main.add_command(history.log)
main.add_command(history.diff)
main.add_command(data.data)
main.add_command(members.member)
main.add_command(rollout.rollout)
main.add_command(evacuate.evacuate)
main.add_command(traffic.targets)
main.add_command(traffic.flows)
main.add_command(timeline.timeline)
main.add_command(completion.completion)
