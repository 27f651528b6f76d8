"""Command line of `tamarackd`."""

import asyncio
import logging
import pathlib
import secrets
import sys

import click

from tamarack_node import settings as settings_lib
from tamarack_node import start_signals
from tamarack_node.internal import driver
from tamarack_node.internal import logs

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3
SEED_BITS = 64

_settings_option = click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=pathlib.Path),
    help="Settings file in JSON.",
)


@click.group(invoke_without_command=True)
@_settings_option
@click.pass_context
def main(context: click.Context, settings_file: pathlib.Path | None) -> None:
    """Runs one host of the tamarackford load balancer.

    Example: tamarackd --settings entry-a-1.json
    """
    if context.invoked_subcommand is not None:
        start_signals.restore_defaults()
        return
    if settings_file is None:
        raise click.UsageError("name a settings file with --settings FILE")
    settings = _load_or_exit(settings_file)
    logs.set_up(settings.log_level)
    seed = settings.seed
    if seed is None:
        seed = secrets.randbits(SEED_BITS)
    logs.event("starting", logging.INFO, {"host": settings.host, "seed": seed})
    stop = asyncio.run(driver.run(settings, seed))
    if isinstance(stop, driver.StartFailure):
        logs.event("cannot-start", logging.ERROR, {"reason": stop.reason})
        sys.exit(EXIT_CANNOT_START)
    fields = {"host": settings.host, "reason": stop.reason}
    logs.event("stopped", logging.INFO, fields)
    sys.exit(stop.exit_code)


@main.command()
@click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="Settings file in JSON.",
)
def check(settings_file: pathlib.Path) -> None:
    """Checks a settings file and lists each invalid setting.

    Example: tamarackd check --settings entry-a-1.json
    """
    _load_or_exit(settings_file)
    click.echo(f"{settings_file}: good")


def _load_or_exit(settings_file: pathlib.Path) -> settings_lib.Settings:
    """Returns the settings in a file; exits if they are invalid."""
    settings = settings_lib.load(settings_file)
    if isinstance(settings, settings_lib.Settings):
        return settings
    for problem in settings:
        click.echo(str(problem), err=True)
    sys.exit(EXIT_BAD_SETTINGS)
