"""Starts real processes of the system for tests."""

import json
import pathlib
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.05
BINARIES = pathlib.Path(sys.executable).parent


def free_port() -> int:
    """Returns a loopback port that is free for TCP and UDP."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            udp.bind(("127.0.0.1", 0))
            port = udp.getsockname()[1]
            with socket.socket() as tcp:
                try:
                    tcp.bind(("127.0.0.1", port))
                except OSError:
                    continue
                return port


def call(port: int, method: str, path: str, body=None):
    """Returns the status and the decoded JSON body of a response."""
    data = None if body is None else json.dumps(body).encode()
    url = f"http://127.0.0.1:{port}{path}"
    request = urllib.request.Request(url, data, method=method)
    try:
        with urllib.request.urlopen(
            request, timeout=START_TIMEOUT_S
        ) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)


def wait_until(condition, what: str, timeout_s: float = START_TIMEOUT_S):
    """Returns the first true value of `condition`.

    Raises:
        AssertionError: There was none within the timeout.
    """
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise AssertionError(f"not within {timeout_s} s: {what}")


class Daemon:
    """A running `tamarackd` process."""

    def __init__(self, folder: pathlib.Path, settings: dict):
        self.port = settings["control"][1]
        self.file = folder / f"{settings['host']}.json"
        self.file.write_text(json.dumps(settings))
        self.log_file = folder / f"{settings['host']}.log"
        self.start()

    def start(self) -> None:
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                [BINARIES / "tamarackd", "--settings", self.file], stderr=log
            )

    def wait_started(self) -> None:
        wait_until(self._is_healthy, f"{self.file} answers")

    def _is_healthy(self) -> bool:
        if self.process.poll() is not None:
            raise AssertionError(self.log_file.read_text())
        try:
            return call(self.port, "GET", "/v1/health")[0] == 200
        except OSError:
            return False

    def stop(self) -> int:
        """Stops the process gracefully and returns its exit status."""
        self.process.terminate()
        return self.process.wait(STOP_TIMEOUT_S)

    def kill(self) -> None:
        """Kills the process without a graceful stop."""
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)
