"""A small deployment on loopback addresses: processes, settings, operator.

The programs are started with the commands of the deploy file. Each host has a
loopback address of its own. All ports are the same on all hosts, as on the
platform. Only the standard library is used.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMANDS = {
    "frontend": "python3 -P -S -m tamarack_platform.entry",
    "control": "python3 -P -S -m tamarack_platform.control",
}
# The same ports on all machines, drawn anew for each run and found free.
_FIRST_PORT = random.randrange(10_000, 30_000, 50)
CONTROL_PORT = _FIRST_PORT
READY_PORT = _FIRST_PORT + 1
DATAGRAM_PORT = _FIRST_PORT + 2
INTERNAL_PORT = _FIRST_PORT + 10
INTERNAL_PORTS = f"{INTERNAL_PORT},{INTERNAL_PORT + 15}"
RESTART_S = 0.3
GRACE_S = 6.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not run; it shows nothing."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._started_s = time.monotonic()
        self._lock = threading.Lock()

    def __call__(self, text):
        with self._lock:
            at_s = time.monotonic() - self._started_s
            self._file.write(f"{at_s:8.3f} {text}\n")
            self._file.flush()


def _is_free(address):
    for port in (CONTROL_PORT, READY_PORT, DATAGRAM_PORT, INTERNAL_PORT):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                if kind == socket.SOCK_STREAM:
                    probe.setsockopt(
                        socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                    )
                try:
                    probe.bind((address, port))
                except OSError:
                    return False
    return True


class Network:
    """Hands out loopback addresses that nothing else uses."""

    def __init__(self):
        for _ in range(200):
            self._prefix = f"127.{random.randint(10, 250)}"
            self._prefix += f".{random.randint(1, 250)}"
            if _is_free(f"{self._prefix}.10"):
                break
        else:
            raise CannotRunError("no free loopback addresses")
        self._next = 10

    def address(self):
        found = f"{self._prefix}.{self._next}"
        self._next += 1
        return found


class Host:
    """One machine with one process, which is restarted when it ends."""

    def __init__(self, deployment, name, role, zone, address, bootstrap):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.zone = zone
        self.address = address
        self.bootstrap = bootstrap
        self.is_wanted = False
        self.process = None
        self.data = deployment.folder / f"{name}-data"
        self._lock = threading.Lock()

    def _write_settings(self):
        lines = [
            f"node-name={self.name}",
            f"role={self.role}",
            f"machine-class={'core' if self.role == 'control' else 'frontend'}",
            f"serves={self.role}",
            f"ip={self.address}",
            f"zone={self.zone}",
            "region=region-1",
            "zones.zone-a=region-1",
            "zones.zone-b=region-1",
            "zones.zone-c=region-1",
            f"internal-ports={INTERNAL_PORTS}",
            "seeds="
            + ",".join(
                f"{address}:{CONTROL_PORT}"
                for address in self.deployment.seeds
            ),
            f"bootstrap={'true' if self.bootstrap else 'false'}",
            f"in-tolerance={'true' if self.role == 'control' else 'false'}",
            "limits.cpu-share=1.0",
            "limits.cpu-cores=1",
            "limits.memory-mb=300",
            "limits.max-fds=4100",
            "limits.link-mbps=1000.0",
            "discovery=registry",
            "entry-type=announce",
            "heartbeat-ms=1200",
            "contracts=base,drain,config,cost,recover,flows",
            "fault-tolerance.machines=1",
            "fault-tolerance.zones=1",
            "fault-tolerance.regions=0",
            "bounds.seed-lag-s=3",
            "bounds.addr-reuse-s=2",
            "bounds.contact-ms=4000",
            "bounds.ack-timeout-ms=5000",
            "bounds.catch-up-s=4",
            "bounds.drain-ms=3000",
            "bounds.grace-s=6",
            "bounds.loss-slack-ms=200",
            "bounds.config-apply-ms=3000",
            "bounds.rollback-slack-ms=250",
            "bounds.skew-max-ms=12000",
            "bounds.recovery-s=12",
            "bounds.reorder-ms=2000",
            "bounds.flow-max-s=60",
            "config_mode=highest",
            "hash=mod",
            "forwarding-mode=echo",
        ]
        if self.role == "control":
            lines += [
                f"listen-addrs.control={self.address}:{CONTROL_PORT}",
                "limits.disk-mb=128",
                f"data-dir={self.data}",
            ]
        else:
            lines += [
                f"listen-addrs.datagram-addr={self.address}:{DATAGRAM_PORT}",
                f"listen-addrs.ready={self.address}:{READY_PORT}",
                "limits.disk-mb=0",
            ]
        path = self.deployment.folder / f"{self.name}.conf"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start(self):
        with self._lock:
            self.data.mkdir(exist_ok=True)
            environment = {
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "TAMARACKFORD_BOOT": str(self._write_settings()),
            }
            with open(self.deployment.folder / f"{self.name}.log", "ab") as log:
                self.process = subprocess.Popen(
                    COMMANDS[self.role].split(),
                    cwd=ROOT,
                    env=environment,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                )
            self.is_wanted = True
        self.deployment.record(f"platform: starts {self.name} {self.address}")

    def restart_if_ended(self):
        """The platform starts a process again that ended by itself."""
        with self._lock:
            if not self.is_wanted or self.process.poll() is None:
                return
        status = self.process.returncode
        self.deployment.record(f"platform: {self.name} ended with {status}")
        time.sleep(RESTART_S)
        self.start()

    def terminate(self):
        """SIGTERM, then SIGKILL after `grace-s`; it is not started again."""
        with self._lock:
            self.is_wanted = False
            self.process.terminate()
        self.deployment.record(f"platform: SIGTERM to {self.name}")
        try:
            self.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.deployment.record(f"platform: {self.name} has ended")

    def kill(self):
        with self._lock:
            self.is_wanted = False
            self.process.kill()
            self.process.wait()
        self.deployment.record(f"platform: SIGKILL to {self.name}")

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)
        self.deployment.record(f"platform: freezes {self.name}")

    def thaw(self):
        self.process.send_signal(signal.SIGCONT)
        self.deployment.record(f"platform: thaws {self.name}")

    def wipe_disk(self):
        shutil.rmtree(self.data)
        self.data.mkdir()
        self.deployment.record(f"platform: the disk of {self.name} is lost")


class Deployment:
    """Hosts of one small deployment."""

    def __init__(self, folder):
        if not (ROOT / "target" / "deps" / "tamarack_platform").is_dir():
            raise CannotRunError("run the build of the deploy file first")
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = Network()
        self.seeds = []
        self.hosts = []
        self._is_closed = False
        self._supervisor = threading.Thread(target=self._supervise, daemon=True)
        self._supervisor.start()

    def _supervise(self):
        while not self._is_closed:
            for host in list(self.hosts):
                if host.process is not None:
                    host.restart_if_ended()
            time.sleep(0.05)

    def add(self, role, name, zone, address=None, bootstrap=True):
        host = Host(
            self, name, role, zone, address or self.network.address(), bootstrap
        )
        self.hosts.append(host)
        return host

    def start_core(self, count=3):
        """Starts the first control hosts, which are the seeds."""
        zones = ("zone-a", "zone-b", "zone-c")
        addresses = [self.network.address() for _ in range(count)]
        self.seeds = addresses[:3]
        core = [
            self.add("control", f"core-{i + 1}", zones[i % 3], address)
            for i, address in enumerate(addresses)
        ]
        for host in core:
            host.start()
        return core

    def close(self):
        self._is_closed = True
        self._supervisor.join(2.0)
        for host in self.hosts:
            host.is_wanted = False
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def http_call(method, address, port, path, body=None, timeout_s=1.0):
    """Returns status, headers and body; None without a response in time."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"} if data else {}
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Operator:
    """Calls the operator's API as PROTOCOL.md describes."""

    def __init__(self, record, hosts):
        self.record = record
        self.hosts = hosts
        self._turn = 0

    def _call(self, method, host, path, body=None):
        """One call that follows a 307 twice."""
        address, port = host.address, CONTROL_PORT
        for _ in range(3):
            answer = http_call(method, address, port, path, body)
            if answer is None or answer[0] != 307:
                return answer
            location = urllib.parse.urlsplit(answer[1].get("Location", ""))
            address, port = location.hostname, location.port
        return answer

    def publish(self, document, for_s):
        """Sends a configuration until it is acknowledged; returns if it was."""
        end_s = time.monotonic() + for_s
        pause_s = 0.1
        while time.monotonic() < end_s:
            self._turn += 1
            host = self.hosts[self._turn % len(self.hosts)]
            answer = self._call("POST", host, "/config/replace", document)
            status = answer[0] if answer else "none"
            self.record(
                f"operator: version {document['version']} to {host.name}:"
                f" {status}"
            )
            if status == 200:
                return True
            time.sleep(pause_s)
            pause_s = min(1.0, 1.5 * pause_s)
        return False

    def read(self, host):
        """Returns the version that a host answers with, or None."""
        answer = self._call("GET", host, "/config/get")
        status = answer[0] if answer else "none"
        version = None
        if status == 200:
            version = json.loads(answer[2])["version"]
        self.record(f"operator: read at {host.name}: {status} {version or ''}")
        return version


def document(version, routes, services, idle_timeout_ms=15000):
    """Returns a configuration.

    Args:
        version: Its number.
        routes: Pairs of address, port and service.
        services: Names of the services.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{index}",
                "host": address,
                "path-prefix": f"/{port}/",
                "type": "idempotent",
                "timeout-ms": 2500 + version,
                "target-latency-ms": 200,
                "priority": 1,
                "service": service,
                "max-attempts": 2,
            }
            for index, (address, port, service) in enumerate(routes)
        ],
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-connections": 2000,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": idle_timeout_ms,
        },
    }


def run(folder, case):
    """Runs a case, and exits with 1 if the rule was broken, 0 if it held."""
    deployment = None
    status = 2
    # A script that is stopped ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        deployment = Deployment(folder)
        deployment.record(f"trouble: {TROUBLE}")
        is_broken = case(deployment)
        status = 1 if is_broken else 0
        deployment.record(f"rule {'broken' if is_broken else 'held'}")
    except CannotRunError as error:
        print(f"cannot run: {error}")
        if deployment is not None:
            deployment.record(f"cannot run: {error}")
    except Exception:
        traceback.print_exc()
    finally:
        if deployment is not None:
            deployment.close()
    sys.exit(status)
