"""Command group that the lab package adds to `tamarack`."""

import click

from tamarack_lab import consensus_costs
from tamarack_lab import stand_in_commands
from tamarack_lab.bench import command as bench
from tamarack_lab.capacity import slopes_command
from tamarack_lab.demo import command as demo_command


@click.group()
def lab() -> None:
    """Runs stand-ins, experiments and measurements."""


lab.add_command(bench.bench)
lab.add_command(consensus_costs.consensus_costs)
lab.add_command(slopes_command.slopes)
lab.add_command(demo_command.demo)

lab.add_command(stand_in_commands.caller)
lab.add_command(stand_in_commands.fabric)
lab.add_command(stand_in_commands.gateway)
lab.add_command(stand_in_commands.target)
lab.add_command(stand_in_commands.proxy)
