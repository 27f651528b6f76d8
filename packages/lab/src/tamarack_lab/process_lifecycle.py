"""Start, signal handling and shutdown of a stand-in process."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import signal
from typing import Protocol

import click


class Process(Protocol):
    """Stand-in that can be started and closed."""

    async def start(self) -> None:
        """Binds the sockets.

        Raises:
            OSError: A socket can't be bound.
        """

    async def close(self) -> None:
        """Closes the sockets."""


def stop_event() -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set.

    Must be called inside a running event loop.
    """
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, event.set)
    return event


@contextlib.asynccontextmanager
async def started(process: Process) -> AsyncIterator[None]:
    """Starts a stand-in and closes it when the context ends.

    Prints "ready" to standard error after the start.

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
