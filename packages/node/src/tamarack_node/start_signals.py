"""Signals that arrive while a process starts.

A program blocks them before it loads anything else, as their default action
would end it. They stay pending until there is a handler.
"""

import asyncio
from collections.abc import Callable
import signal


def handle(
    loop: asyncio.AbstractEventLoop,
    signals: tuple[signal.Signals, ...],
    callback: Callable[[], object],
) -> None:
    """Sets the handler of signals, and delivers those that are pending.

    Args:
        loop: The running event loop.
        signals: The signals.
        callback: Called on the loop for each of them.
    """
    for number in signals:
        loop.add_signal_handler(number, callback)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, signals)


def restore_defaults() -> None:
    """Delivers blocked signals to their default action."""
    signal.pthread_sigmask(
        signal.SIG_UNBLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    )
