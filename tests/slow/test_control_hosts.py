"""Control hosts as real processes under faults and concurrent patches.

Guards against accepted patches that are lost or applied twice, and against
stale reads, when hosts are killed, cut off or paused, packets and responses are
lost and keys are rotated.
"""

import itertools
import json
import pathlib
import random
import signal
import tempfile
import threading
import time

import testtools
from testtools import content as content_lib

from tamarack_core import peers
from tamarack_lab.proxy import settings as proxy_settings
from tamarack_lab.proxy import threaded_proxy
from tests import processes

PATCHES_PER_OPERATOR = 100
VOTERS = 3
SEED = 20261
LOST_RESPONSES = 0.2
SECRETS = {"old": "0a" * 16, "new": "0b" * 16}
RESEND_PAUSE_S = 0.05
DEADLINE_S = 120.0
PAUSE_S = 2.5
REFUSED = 503
"""Status of a read that can't be confirmed now; a retry succeeds later."""


BASE = proxy_settings.Fault(
    loss=0.03, delay_s=0.005, jitter_s=0.002, duplicate=0.02, reorder=0.02
)
# Longer than the longest election timeout.
CUT_S = 3.2
FAULTS = [
    ("kill",),
    ("cut",),
    ("one-way",),
    ("kill", "cut"),
    ("kill", "kill"),
    ("kill",),
]


def links(names, ports):
    """Returns a link for each pair of hosts and each protocol."""
    return [
        proxy_settings.Link(
            f"{sender}-{receiver}-{protocol}",
            protocol,
            peers.Endpoint("127.0.0.1", through),
            peers.Endpoint("127.0.0.1", ports[names.index(receiver)]),
        )
        for sender, receiver in itertools.permutations(names, 2)
        for through in [processes.free_port()]
        for protocol in proxy_settings.Protocol
    ]


def settings(names, ports, folder, all_links):
    """Returns the settings of the control hosts, which use the links."""
    through = {link.name: link.listen.port for link in all_links}
    return [
        {
            "host": name,
            "domain": f"d{index}",
            "roles": ["control"],
            "control": ["127.0.0.1", ports[index]],
            "peers": [
                {
                    "host": other,
                    "domain": f"d{number}",
                    "control": ["127.0.0.1", through[f"{name}-{other}-udp"]],
                }
                for number, other in enumerate(names)
                if other != name
            ],
            "voters": names,
            "data_folder": str(folder / name),
            "key_file": str(folder / "keys.json"),
            "seed": SEED + index,
        }
        for index, name in enumerate(names)
    ]


def service(number):
    """Returns a service whose addresses follow from its number."""
    return {
        "addresses": [f"10.1.{number // 250}.{number % 250 + 1}"],
        "classes": {"routes": {"port": 80, "target_port": 8080}},
        "target_networks": [f"10.2.{number // 250}.{number % 250 + 1}/32"],
    }


class Operator(threading.Thread):
    """Thread that adds services one by one and resends without a verdict.

    Attributes:
        ports: Ports of the control hosts.
        numbers: Numbers of the services to add.
        accepted: Version by service, from the verdicts.
        conflicts: Number of conflict verdicts.
        unknowns: Number of attempts without a verdict.
        resends: Number of patches resent after a response.
        error: Exception that ended the thread early, or None.
    """

    def __init__(self, name, ports, numbers, seed):
        super().__init__(name=name)
        self.ports = ports
        self.numbers = numbers
        self.random = random.Random(seed)
        self.accepted = {}
        self.conflicts = 0
        self.unknowns = 0
        self.resends = 0
        self.error = None
        self.end_s = time.monotonic() + DEADLINE_S

    def run(self):
        try:
            for number in self.numbers:
                self.add(number)
        except Exception as error:
            self.error = error

    def add(self, number):
        """Adds one service, retried on the newest version at a conflict."""
        base = len(self.accepted)
        for attempt in itertools.count():
            patch_id = f"{self.name}-{number}-{attempt}"
            verdict = self.send(patch_id, base, number)
            if self.random.random() < LOST_RESPONSES:
                # Simulates a lost response.
                self.resends += 1
                again = self.send(patch_id, base, number)
                assert again == verdict, (again, verdict)
            if verdict["state"] == "accepted":
                self.accepted[f"s{number}"] = verdict["version"]
                return
            assert verdict["state"] == "conflict", verdict
            self.conflicts += 1
            base = verdict["version"]

    def send(self, patch_id, base, number):
        """Sends a patch until it has a verdict."""
        body = {
            "patch_id": patch_id,
            "base_version": base,
            "author": self.name,
            "operations": [
                {
                    "op": "add",
                    "path": f"/services/s{number}",
                    "value": service(number),
                }
            ],
        }
        while time.monotonic() < self.end_s:
            port = self.random.choice(self.ports)
            try:
                _, verdict = processes.call(port, "POST", "/v1/patches", body)
            except (OSError, ValueError):
                verdict = {}
            state = verdict.get("state", "unknown")
            if state not in ("unknown", "no-quorum"):
                return verdict
            self.unknowns += 1
            body["is_resend"] = True
            time.sleep(RESEND_PAUSE_S)
        raise AssertionError(f"no verdict on {patch_id} within {DEADLINE_S} s")


class ControlHostsTest(testtools.TestCase):
    """The final configuration has exactly the accepted patches."""

    def setUp(self):
        super().setUp()
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        self.folder = pathlib.Path(parent.name)
        self.names = [f"c{number}" for number in range(VOTERS)]
        self.ports = [processes.free_port() for _ in self.names]
        self.write_keys("old")
        all_links = links(self.names, self.ports)
        self.proxy = threaded_proxy.ThreadedProxy(
            proxy_settings.Settings(tuple(all_links), SEED, (BASE,))
        )
        self.proxy.start()
        self.addCleanup(self.proxy.close)
        self.daemons = [
            processes.Daemon(self.folder, one)
            for one in settings(self.names, self.ports, self.folder, all_links)
        ]
        for daemon in self.daemons:
            self.addCleanup(daemon.kill)
        self.addOnException(self.attach_logs)

    def write_keys(self, *names):
        """Writes the key file that all hosts read."""
        encoded = [{"id": name, "secret": SECRETS[name]} for name in names]
        content = json.dumps({"keys": encoded})
        (self.folder / "keys.json").write_text(content)

    def rotate_keys(self):
        """Rotates the keys of the running hosts, one host at a time."""
        for names in (("old", "new"), ("new", "old"), ("new",)):
            self.write_keys(*names)
            for daemon in self.daemons:
                daemon.process.send_signal(signal.SIGHUP)

    def attach_logs(self, _):
        """Adds the logs of the hosts to the report of a failure."""
        for daemon in self.daemons:
            self.addDetail(
                daemon.log_file.name,
                content_lib.text_content(daemon.log_file.read_text()),
            )

    def read(self, path, port):
        """Returns the response of a host, or None without a success."""
        try:
            status, body = processes.call(port, "GET", path)
        except OSError:
            return None
        return body if status == 200 else None

    def read_confirmed(self, port):
        """Returns the configuration, retrying unconfirmed reads."""

        def attempt():
            status, body = processes.call(port, "GET", "/v1/configuration")
            self.assertIn(status, (200, REFUSED), body)
            return body if status == 200 else None

        return processes.wait_until(attempt, f"a confirmed read at port {port}")

    def wait_for_leader(self):
        """Waits until every host confirms reads."""
        for port in self.ports:
            processes.wait_until(
                lambda port=port: self.read("/v1/configuration", port),
                f"a confirmed read at port {port}",
            )

    def inject_faults(self, faults, generator):
        """Injects faults at different hosts and ends them."""
        hosts = generator.sample(range(VOTERS), len(faults))
        cuts = []
        for fault, host in zip(faults, hosts, strict=True):
            name = self.names[host]
            if fault == "kill":
                self.daemons[host].kill()
            else:
                cuts += [f"{name}-*"]
                cuts += [f"*-{name}-*"] if fault == "cut" else []
        if cuts:
            cut = proxy_settings.Fault(tuple(cuts), partition=True)
            self.proxy.set_faults(BASE, cut)
            time.sleep(CUT_S)
            self.proxy.set_faults(BASE)
        time.sleep(generator.uniform(0.0, 0.5))
        for fault, host in zip(faults, hosts, strict=True):
            if fault == "kill":
                self.daemons[host].start()

    def test_a_read_beside_paused_hosts_is_the_newest_or_refused(self):
        # A busy machine can suspend host processes for as long as this.
        self.wait_for_leader()
        operator = Operator("ana", self.ports, range(1), SEED)
        operator.run()
        self.assertIsNone(operator.error)
        statuses = set()
        for running in self.daemons:
            others = [one for one in self.daemons if one is not running]
            for paused in others:
                paused.process.send_signal(signal.SIGSTOP)
            end_s = time.monotonic() + PAUSE_S
            while time.monotonic() < end_s:
                status, body = processes.call(
                    running.port, "GET", "/v1/configuration"
                )
                statuses.add(status)
                self.assertIn(status, (200, REFUSED), body)
                if status == 200:
                    self.assertEqual(1, body["numbered"]["version"])
            for paused in others:
                paused.process.send_signal(signal.SIGCONT)
            self.assertEqual(
                1, self.read_confirmed(running.port)["numbered"]["version"]
            )
        self.assertIn(REFUSED, statuses)

    def test_faults_leave_exactly_the_accepted_patches(self):
        generator = random.Random(SEED)
        self.wait_for_leader()
        operators = [
            Operator(
                name,
                self.ports,
                range(first, first + PATCHES_PER_OPERATOR),
                SEED + first,
            )
            for name, first in (("ana", 0), ("bea", PATCHES_PER_OPERATOR))
        ]
        for operator in operators:
            operator.start()
        self.rotate_keys()
        highest = 0
        points = sorted(
            generator.sample(range(2 * PATCHES_PER_OPERATOR), len(FAULTS))
        )
        for point, faults in zip(points, FAULTS, strict=True):
            processes.wait_until(
                lambda point=point: (
                    sum(len(operator.accepted) for operator in operators)
                    >= point
                    or not any(operator.is_alive() for operator in operators)
                ),
                f"{point} accepted patches",
                DEADLINE_S,
            )
            self.inject_faults(faults, generator)
            read = self.read("/v1/configuration", generator.choice(self.ports))
            if read is not None:
                version = read["numbered"]["version"]
                self.assertTrue(version >= highest, (version, highest))
                highest = version
        accepted = {}
        for operator in operators:
            operator.join()
            self.assertIsNone(operator.error)
            accepted.update(operator.accepted)
        self.assertTrue(all(operator.resends for operator in operators))
        self.wait_for_leader()
        self.assertEqual(2 * PATCHES_PER_OPERATOR, len(accepted))
        self.assertEqual(
            list(range(1, 2 * PATCHES_PER_OPERATOR + 1)),
            sorted(accepted.values()),
        )
        for port in self.ports:
            counters = self.read("/v1/status", port)["counters"]
            self.assertEqual(0, counters.get("message-unsigned", 0))
            self.assertEqual(0, counters.get("message-bad-signature", 0))
        for port in self.ports:
            numbered = self.read_confirmed(port)["numbered"]
            services = numbered["configuration"]["services"]
            self.assertEqual(2 * PATCHES_PER_OPERATOR, numbered["version"])
            self.assertEqual(sorted(accepted), sorted(services))
