"""Signals that reach a process at any moment of its start.

In a soak run, a SIGTERM 0.25 s after the start of a host ended it by the
default action, since its handler was not installed yet.
"""

import concurrent.futures
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import testtools

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
TIMEOUT_S = 20.0
PROGRAMS = ("entry", "control", "daemon")
WORKERS = 6
PLATFORM_SETTINGS = """\
node-name=h1
serves={serves}
ip={address}
zone=z1
listen-addrs.datagram-addr={address}:18172
listen-addrs.ready={address}:18167
listen-addrs.control={address}:18166
internal-ports=17720,17729
seeds={address}:18166
bootstrap=true
data-dir={folder}/disk
heartbeat-ms=600
fault-tolerance.machines=0
"""


@contextlib.contextmanager
def blocked_signals():
    """Blocks the signals; a process that is started inherits that.

    The interpreter itself takes some milliseconds before it runs the first
    line of a program, and no program can handle a signal in that time.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)


def is_blocking(process):
    """Returns whether a process blocks SIGTERM."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    mask = int(status.partition("SigBlk:")[2].split()[0], 16)
    return bool(mask & (1 << (signal.SIGTERM - 1)))


class StartSignalsTest(testtools.TestCase):
    """A stop during the start ends a process with status 0."""

    def setUp(self):
        super().setUp()
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        self.folder = pathlib.Path(parent.name)

    def start(self, program, number):
        """Starts a program with an address and settings of its own."""
        folder = self.folder / f"{program}-{number}"
        folder.mkdir()
        write_settings = getattr(self, f"write_{program}")
        command, variables = write_settings(folder, f"127.4.9.{number}")
        process = subprocess.Popen(
            [sys.executable, "-m", *command],
            env={**os.environ, **variables},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def write_entry(self, folder, address, serves="frontend"):
        """Writes settings; returns a command and its environment."""
        path = folder / "settings.conf"
        path.write_text(
            PLATFORM_SETTINGS.format(
                serves=serves, folder=folder, address=address
            )
        )
        variables = {"TAMARACKFORD_BOOT": str(path)}
        return ["tamarack_platform.entry"], variables

    def write_control(self, folder, address):
        """Writes settings; returns a command and its environment."""
        _, variables = self.write_entry(folder, address, "control")
        return ["tamarack_platform.control"], variables

    def write_daemon(self, folder, address):
        """Writes settings; returns a command and its environment."""
        settings = {
            "host": "h1",
            "domain": "d1",
            "roles": ["control"],
            "control": [address, 17730],
            "data_folder": str(folder / "state"),
            "seed": 1,
        }
        path = folder / "tamarackd.json"
        path.write_text(json.dumps(settings))
        return ["tamarack_node.program", "--settings", str(path)], {}

    def stop_after(self, case):
        """Stops a program some time after its start.

        Returns:
            The exit code, and the case.
        """
        program, number, delay_s = case
        with blocked_signals():
            process = self.start(program, number)
        time.sleep(delay_s)
        for signal_number in (signal.SIGHUP, signal.SIGTERM):
            process.send_signal(signal_number)
        return process.wait(TIMEOUT_S), case

    def test_a_stop_at_any_moment_of_the_start_ends_with_status_0(self):
        delays_ms = (*range(0, 40, 4), *range(40, 600, 40))
        cases = [
            (program, number, delay_ms / 1000)
            for program in PROGRAMS
            for number, delay_ms in enumerate(delays_ms, 1)
        ]
        with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
            results = list(pool.map(self.stop_after, cases))
        self.assertEqual([(0, case) for case in cases], results)

    def test_programs_block_signals_before_they_load(self):
        for program in PROGRAMS:
            process = self.start(program, 1)
            end_s = time.monotonic() + TIMEOUT_S
            while not is_blocking(process) and time.monotonic() < end_s:
                time.sleep(0.0005)
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            self.assertEqual(0, process.wait(TIMEOUT_S), program)
