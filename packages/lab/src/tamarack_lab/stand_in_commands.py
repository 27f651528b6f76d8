"""Commands that each run one stand-in process."""

import asyncio
import pathlib

import click
import msgspec

from tamarack_lab import fabric as fabric_lib
from tamarack_lab import process_lifecycle
from tamarack_lab import settings as settings_lib
from tamarack_lab.caller import process as caller_process
from tamarack_lab.caller import settings as caller_settings
from tamarack_lab.gateway import process as gateway_process
from tamarack_lab.gateway import settings as gateway_settings
from tamarack_lab.proxy import process as proxy_process
from tamarack_lab.proxy import settings as proxy_settings
from tamarack_lab.target import process as target_process
from tamarack_lab.target import settings as target_settings

settings_option = click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="Settings file in JSON; docs/lab.md describes it.",
)


@click.command()
@settings_option
def fabric(settings_file: pathlib.Path) -> None:
    """Distributes packets over entry hosts until stopped.

    Example: tamarack lab fabric --settings fabric.json
    """
    settings = settings_lib.load(settings_file, fabric_lib.Settings)
    asyncio.run(_run_fabric(settings))


@click.command()
@settings_option
def target(settings_file: pathlib.Path) -> None:
    """Runs targets until SIGTERM, then drains them and exits.

    Example: tamarack lab target --settings targets.json
    """
    settings = settings_lib.load(settings_file, target_settings.Settings)
    asyncio.run(_run_target(settings))


@click.command()
@settings_option
def caller(settings_file: pathlib.Path) -> None:
    """Opens connections for a set time and prints a report in JSON.

    Example: tamarack lab caller --settings caller.json
    """
    settings = settings_lib.load(settings_file, caller_settings.Settings)
    report = asyncio.run(_run_caller(settings))
    click.echo(msgspec.json.encode(report).decode())


@click.command()
@settings_option
def gateway(settings_file: pathlib.Path) -> None:
    """Connects ordinary TCP clients to the stand-ins until stopped.

    Example: tamarack lab gateway --settings gateway.json
    """
    settings = settings_lib.load(settings_file, gateway_settings.Settings)
    asyncio.run(_run_gateway(settings))


@click.command()
@settings_option
def proxy(settings_file: pathlib.Path) -> None:
    """Relays the links between processes and injects faults into them.

    Example: tamarack lab proxy --settings proxy.json
    """
    settings = settings_lib.load(settings_file, proxy_settings.Settings)
    asyncio.run(_run_proxy(settings))


async def _run_fabric(settings: fabric_lib.Settings) -> None:
    """Runs the fabric until SIGTERM or SIGINT."""
    stop = process_lifecycle.stop_event()
    with settings_lib.report_value_errors():
        process = fabric_lib.Fabric(settings)
    async with process_lifecycle.started(process):
        await stop.wait()


async def _run_target(settings: target_settings.Settings) -> None:
    """Runs targets until SIGTERM or SIGINT, then drains them."""
    stop = process_lifecycle.stop_event()
    with settings_lib.report_value_errors():
        process = target_process.TargetProcess(settings)
    async with process_lifecycle.started(process):
        await stop.wait()
        await process.drain()


async def _run_gateway(settings: gateway_settings.Settings) -> None:
    """Runs the gateway until SIGTERM or SIGINT."""
    stop = process_lifecycle.stop_event()
    with settings_lib.report_value_errors():
        process = gateway_process.GatewayProcess(settings)
    async with process_lifecycle.started(process):
        await stop.wait()


async def _run_proxy(settings: proxy_settings.Settings) -> None:
    """Runs the proxy until SIGTERM or SIGINT."""
    stop = process_lifecycle.stop_event()
    with settings_lib.report_value_errors():
        process = proxy_process.Proxy(settings)
    async with process_lifecycle.started(process):
        await stop.wait()


async def _run_caller(
    settings: caller_settings.Settings,
) -> msgspec.Struct:
    """Runs callers until they finish, or until SIGTERM or SIGINT.

    Returns:
        The report of the callers, also after a signal.
    """
    stop = process_lifecycle.stop_event()
    with settings_lib.report_value_errors():
        process = caller_process.CallerProcess(settings)
    async with process_lifecycle.started(process):
        run_task = asyncio.create_task(process.run())
        stop_task = asyncio.create_task(stop.wait())
        await asyncio.wait(
            (run_task, stop_task), return_when=asyncio.FIRST_COMPLETED
        )
        stop_task.cancel()
        run_task.cancel()
        return process.report()
