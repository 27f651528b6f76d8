"""Runs a stand-in as a process of its own."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import signal
from typing import Protocol

import click


class Process(Protocol):
    """A stand-in that can be started and closed."""

    async def start(self) -> None:
        """Binds the sockets; raises OSError when one can't be bound."""

    async def close(self) -> None:
        """Closes the sockets."""


def stop_event() -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set; needs a running loop."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event


@contextlib.asynccontextmanager
async def started(process: Process) -> AsyncIterator[None]:
    """Starts a stand-in and closes it at the end.

    Raises:
        click.ClickException: A socket can't be bound.
    """
    try:
        await process.start()
    except OSError as error:
        await process.close()
        raise click.ClickException(f"can't start: {error}") from error
    click.echo("ready", err=True)
    try:
        yield
    finally:
        await process.close()
