"""Entry process under test and the socket that acts as its fabric."""

import json
import pathlib
import socket
import subprocess
import sys
import time
import urllib.request

SERVICE = {
    "addresses": ["10.9.0.1"],
    "target_networks": ["10.1.0.0/16"],
    "classes": {
        "routes": {"port": 80, "target_port": 8080, "lifetime": "long-lived"}
    },
}
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
RECEIVE_TIMEOUT_S = 2.0
POLL_S = 0.05
LEASE_S = 60.0
BUFFER_BYTES = 4 * 1024 * 1024
# Datagrams in flight; few enough that neither socket buffer overflows.
WINDOW_DATAGRAMS = 256
RECEIVE_BYTES = 65536
KIB = 1024


class EntryProcess:
    """Running entry host that is alone in its failure domain.

    Attributes:
        fabric: Socket that acts as the fabric.
        data: Address and port of the host's data socket.
        port: Port of the host's HTTP interface.
        process: The process.
        targets: Number of announced targets.
    """

    __slots__ = ("data", "fabric", "port", "process", "targets")

    def __init__(self, folder: pathlib.Path, targets: int) -> None:
        """Starts the host, creates its service and announces the targets.

        Args:
            folder: Folder for settings, log and state.
            targets: Number of targets to announce.
        """
        self.fabric = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.fabric.bind(("127.0.0.1", 0))
        self.fabric.settimeout(RECEIVE_TIMEOUT_S)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self.fabric.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        self.port = free_port()
        self.data = ("127.0.0.1", free_port())
        settings = {
            "host": "bench-1",
            "domain": "bench",
            "roles": ["entry", "control"],
            "control": ["127.0.0.1", self.port],
            "data": list(self.data),
            "fabric": list(self.fabric.getsockname()),
            "data_folder": str(folder / "state"),
            "seed": 1,
            "log_level": "error",
        }
        file = folder / "settings.json"
        file.write_text(json.dumps(settings))
        binary = pathlib.Path(sys.executable).parent / "tamarackd"
        self.process = subprocess.Popen([binary, "--settings", file])
        self.targets = targets
        self._configure()

    def call(self, method: str, path: str, body: object = None) -> bytes:
        """Sends an HTTP request and returns the body of the response.

        Raises:
            OSError: The host refuses the request or does not respond.
        """
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.port}{path}", data, method=method
        )
        with urllib.request.urlopen(
            request, timeout=START_TIMEOUT_S
        ) as response:
            received: bytes = response.read()
            return received

    def exchange(self, datagrams: list[bytes]) -> list[bytes]:
        """Sends datagrams with a bounded number in flight.

        Stops early when no datagram is received for `RECEIVE_TIMEOUT_S`.

        Args:
            datagrams: Datagrams to send, in order.

        Returns:
            Datagrams that the host sent to the fabric, in order.
        """
        received: list[bytes] = []
        sent = 0
        total = len(datagrams)
        while len(received) < total:
            while sent < total and sent - len(received) < WINDOW_DATAGRAMS:
                self.fabric.sendto(datagrams[sent], self.data)
                sent += 1
            try:
                received.append(self.fabric.recv(RECEIVE_BYTES))
            except TimeoutError:
                break
        return received

    def flows(self) -> int:
        """Returns the number of open flows that the host reports."""
        return int(json.loads(self.call("GET", "/v1/status"))["flows"])

    def resident_bytes(self) -> int:
        """Returns the resident memory of the process in bytes."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(
            line for line in status.splitlines() if line.startswith("VmRSS")
        )
        return int(line.split()[1]) * KIB

    def processor_s(self) -> float:
        """Returns the processor time of the process in seconds."""
        text = pathlib.Path(f"/proc/{self.process.pid}/schedstat").read_text()
        return int(text.split()[0]) / 1e9

    def close(self) -> None:
        """Ends the process and closes the socket."""
        self.process.terminate()
        self.process.wait(STOP_TIMEOUT_S)
        self.fabric.close()

    def _configure(self) -> None:
        """Waits for the start, creates the service, announces the targets.

        Raises:
            TimeoutError: The host accepts no patch in time.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while not self._submit_service():
            if time.monotonic() > deadline_s:
                raise TimeoutError(
                    f"entry process did not start within {START_TIMEOUT_S} s"
                )
            time.sleep(POLL_S)
        self.announce()

    def announce(self) -> None:
        """Announces all targets, which renews the leases of known ones."""
        for number in range(self.targets):
            high, low = divmod(number, 250)
            body = {"service": "agenda", "domain": "bench", "lease_s": LEASE_S}
            path = f"/v1/targets/10.1.{high}.{low + 1}"
            self.call("PUT", path, {**body, "connections": 1_000_000})

    def _submit_service(self) -> bool:
        """Submits the service; returns whether the host accepts the request."""
        patch = {
            "patch_id": "bench",
            "base_version": 0,
            "author": "bench",
            "operations": [
                {"op": "add", "path": "/services/agenda", "value": SERVICE}
            ],
        }
        try:
            self.call("POST", "/v1/patches", patch)
        except OSError:
            return False
        return True


def free_port() -> int:
    """Returns a free UDP port on the loopback address."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port
