"""Runs a platform program with injected faults.

Messages to other hosts go through the links of the fault proxy. Files in the
folder of the host, which the soak test writes and removes, shift its wall
clock, fill its disk and slow down its disk.
"""

import signal

# As in the programs themselves: signals wait until there is a handler.
signal.pthread_sigmask(
    signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
)

import errno  # noqa: E402
import importlib  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
import typing  # noqa: E402

from tamarack_core import peers  # noqa: E402
from tamarack_node import light_driver  # noqa: E402

CLOCK, FULL, SLOW = "clock-offset", "disk-full", "disk-slow"
STANDARD_ERROR = 2


class RoutedDriver(light_driver.LightDriver):
    """Driver whose messages go through the fault proxy."""

    __slots__ = ()
    routes: typing.ClassVar[dict[str, peers.Endpoint]] = {}

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.transport.routes = self.routes


def read(path):
    """Returns the text of a file, or None if there is none."""
    try:
        return path.read_text()
    except FileNotFoundError:
        return None


def install_faults(folder):
    """Patches clock and disk calls to follow the fault files of a folder."""
    wall_s, write, sync = time.time, os.write, os.fsync

    def shifted_wall_s():
        return wall_s() + float(read(folder / CLOCK) or 0.0)

    def full_write(descriptor, data):
        if descriptor > STANDARD_ERROR and (folder / FULL).exists():
            raise OSError(errno.ENOSPC, "no space left on device")
        return write(descriptor, data)

    def slow_sync(descriptor):
        time.sleep(float(read(folder / SLOW) or 0.0))
        sync(descriptor)

    time.time, os.write, os.fsync = shifted_wall_s, full_write, slow_sync


def main():
    """Runs the program that the arguments name."""
    program, folder = sys.argv[1], pathlib.Path(sys.argv[2])
    stored = json.loads((folder / "routes.json").read_text())
    RoutedDriver.routes = {
        name: peers.Endpoint(*endpoint) for name, endpoint in stored.items()
    }
    light_driver.LightDriver = RoutedDriver
    install_faults(folder)
    importlib.import_module(f"tamarack_platform.{program}").main()


if __name__ == "__main__":
    main()
