"""The platform: settings files, processes, addresses and the record."""

import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
"""The repository, with the result of the build of the deploy file."""

CONTROL_PORT, DATA_PORT, READY_PORT = 8166, 8172, 8167
INTERNAL_PORT, LAST_INTERNAL_PORT = 7720, 7735
HEARTBEAT_S = 1.2
DRAIN_S = 3.0
CONTACT_S = 4.0
GRACE_S = 6.0
ZONES = ("stgo-a", "stgo-b", "rancagua")


class Record:
    """Writes what was sent, answered and run, with the seconds since start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_s = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_s

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()


def free_network():
    """Returns two prefixes of loopback addresses that nothing uses."""
    while True:
        second = random.randint(100, 199)
        third = random.randint(100, 198)
        outside, inside = f"127.{second}.{third}.", f"127.{second}.{third + 1}."
        try:
            for prefix in (outside, inside):
                for port in (CONTROL_PORT, INTERNAL_PORT, READY_PORT):
                    with socket.socket() as probe:
                        probe.bind((prefix + "10", port))
            return outside, inside
        except OSError:
            continue


class Host:
    """One machine of the system with its settings and its process."""

    def __init__(self, folder, record, name, kind, zone, address, seeds):
        self.folder = folder / name
        self.folder.mkdir()
        self.record = record
        self.name, self.kind, self.zone = name, kind, zone
        self.address, self.seeds = address, seeds
        self.bootstrap = True
        self.process = None

    def write_settings(self):
        serves = "frontend" if self.kind == "entry" else "control"
        lines = [
            f"node-name={self.name}",
            f"role={self.kind}",
            f"machine-class={'frontend' if self.kind == 'entry' else 'core'}",
            f"serves={serves}",
            f"ip={self.address}",
            f"zone={self.zone}",
            "region=cl-centro",
            *(f"zones.{zone}=cl-centro" for zone in ZONES),
            f"internal-ports={INTERNAL_PORT},{LAST_INTERNAL_PORT}",
            "seeds="
            + ",".join(f"{seed}:{CONTROL_PORT}" for seed in self.seeds),
            f"bootstrap={'true' if self.bootstrap else 'false'}",
            f"in-tolerance={'false' if self.kind == 'entry' else 'true'}",
            "limits.cpu-share=0.645",
            "limits.cpu-cores=1",
            "limits.memory-mb=300",
            "limits.max-fds=4096",
            "discovery=registry",
            "entry-type=announce",
            f"heartbeat-ms={HEARTBEAT_S * 1000:.0f}",
            "contracts=base,drain,config,cost,recover,flows",
            "fault-tolerance.machines=1",
            "fault-tolerance.zones=1",
            "fault-tolerance.regions=0",
            "bounds.seed-lag-s=3",
            "bounds.addr-reuse-s=2",
            f"bounds.contact-ms={CONTACT_S * 1000:.0f}",
            "bounds.ack-timeout-ms=5000",
            "bounds.catch-up-s=4",
            f"bounds.drain-ms={DRAIN_S * 1000:.0f}",
            f"bounds.grace-s={GRACE_S:.0f}",
            "bounds.config-apply-ms=3000",
            "bounds.rollback-slack-ms=250",
            "bounds.reorder-ms=2000",
            "bounds.flow-max-s=60",
            "config_mode=highest",
            "hash=mod",
            "forwarding-mode=echo",
        ]
        if self.kind == "entry":
            lines += [
                f"listen-addrs.datagram-addr={self.address}:{DATA_PORT}",
                f"listen-addrs.ready={self.address}:{READY_PORT}",
            ]
        else:
            lines += [
                f"listen-addrs.control={self.address}:{CONTROL_PORT}",
                f"data-dir={self.folder / 'data'}",
                "limits.disk-mb=128",
            ]
        path = self.folder / "settings.conf"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def start(self):
        path = self.write_settings()
        self.bootstrap = False
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TAMARACKFORD_BOOT"] = str(path)
        module = f"tamarack_platform.{self.kind}"
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-P", "-S", "-m", module],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(f"{self.name} ({self.zone}, {self.address}) started")

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class Deployment:
    """All machines of a case; ends every process that it started."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.hosts = []

    def add(self, *arguments):
        host = Host(self.folder, self.record, *arguments)
        self.hosts.append(host)
        return host

    def start(self):
        for host in self.hosts:
            host.start()

    def ended(self):
        """Returns the names of processes that ended by themselves."""
        return [host.name for host in self.hosts if not host.is_running()]

    def close(self, keep=None):
        for host in self.hosts:
            if host.is_running():
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
        for host in self.hosts:
            if host.process is not None:
                host.process.wait()
        if keep:
            for host in self.hosts:
                shutil.copy(host.folder / "log", f"{keep}.{host.name}.log")
        shutil.rmtree(self.folder, ignore_errors=True)
