"""Operator commands against a real control host.

Guards against declarations that are applied twice or not recorded in the log,
and against a damaged log that `tamarack data inspect` or a start accepts.
"""

import json
import pathlib
import subprocess
import tempfile
import urllib.request

import testtools

from tests import processes

SERVICE = {
    "addresses": ["192.0.2.1"],
    "classes": {"routes": {"port": 80, "target_port": 8080}},
    "target_networks": ["10.0.0.0/24"],
}


class OperatorCommandTest(testtools.TestCase):
    """Declarations are applied once and recorded in the log and on disk."""

    def setUp(self):
        super().setUp()
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        self.folder = pathlib.Path(parent.name)
        self.port = processes.free_port()
        self.daemon = processes.Daemon(
            self.folder,
            {
                "host": "c1",
                "domain": "a",
                "roles": ["control"],
                "control": ["127.0.0.1", self.port],
                "data_folder": str(self.folder / "data"),
            },
        )
        self.addCleanup(self.daemon.kill)
        self.declared = self.folder / "services"
        self.declared.mkdir()
        (self.declared / "agenda.json").write_text(json.dumps(SERVICE))

    def tamarack(self, *arguments, expect=0, needs_host=True):
        """Runs a command and returns its output."""
        hosts = ["--host", f"127.0.0.1:{self.port}"] if needs_host else []
        completed = subprocess.run(
            [processes.BINARIES / "tamarack", *arguments, *hosts],
            capture_output=True,
            text=True,
            timeout=processes.START_TIMEOUT_S,
        )
        self.assertEqual(
            expect, completed.returncode, completed.stdout + completed.stderr
        )
        return completed.stdout + completed.stderr

    def test_declarations_are_applied_once_and_logged(self):
        self.daemon.wait_started()
        processes.wait_until(
            lambda: (
                processes.call(self.port, "GET", "/v1/configuration")[0] == 200
            ),
            "a leader",
        )
        self.assertIn("/services/agenda", self.tamarack("plan", self.declared))
        apply = ["apply", self.declared, "--author", "ana", "--note", "first"]
        self.assertIn("accepted", self.tamarack(*apply))
        self.assertIn("nothing to change", self.tamarack(*apply))
        changed = {**SERVICE, "addresses": ["192.0.2.2"]}
        (self.declared / "agenda.json").write_text(json.dumps(changed))
        self.tamarack(*apply)
        self.assertIn("first", self.tamarack("log", "--after", "1"))
        self.assertIn("voter", self.tamarack("member", "list"))
        refused = self.tamarack("member", "change", "remove", "c1", expect=1)
        self.assertIn("leader", refused)
        self.assertIn(
            "/services/agenda/addresses", self.tamarack("diff", "1", "2")
        )
        outdated = self.folder / "late.json"
        outdated.write_text("[]")
        patch = ["patch", "--on", "1", "--author", "bea", outdated]
        self.assertIn("conflict", self.tamarack(*patch, expect=3))
        clash = {**SERVICE, "target_networks": ["10.0.0.0/8"]}
        (self.declared / "informe.json").write_text(json.dumps(clash))
        self.assertIn("services/informe", self.tamarack(*apply, expect=1))
        self.daemon.stop()
        data = self.folder / "data"
        inspected = self.tamarack("data", "inspect", data, needs_host=False)
        self.assertIn("configuration version", inspected)
        exported = self.folder / "exported.json"
        self.tamarack("data", "export", data, exported, needs_host=False)
        numbered = json.loads(exported.read_text())
        self.assertEqual(2, numbered["version"])
        self.damage(data)
        self.assertIn(
            "damaged",
            self.tamarack("data", "inspect", data, expect=1, needs_host=False),
        )
        self.daemon.start()
        self.assertEqual(3, self.daemon.process.wait(20))
        self.assertIn("move the folder away", self.daemon.log_file.read_text())

    # A start from the disk alone must not return the targets to service.
    def test_an_evacuation_survives_a_restart_of_the_process(self):
        self.daemon.wait_started()
        processes.wait_until(
            lambda: (
                processes.call(self.port, "GET", "/v1/configuration")[0] == 200
            ),
            "a leader",
        )
        order = ["evacuate", "start", "a", "--author", "ana"]
        self.assertIn("accepted", self.tamarack(*order))
        self.daemon.kill()
        self.assertIn("nothing changed", self.tamarack(*order, expect=4))
        self.daemon.start()
        self.daemon.wait_started()
        processes.wait_until(
            lambda: (
                "in service" not in self.tamarack("evacuate", "status", "a")
            ),
            "the evacuation is in force",
        )
        events = self.tamarack("timeline", "--event", "evacuation-in-force")
        self.assertIn("version 1", events)
        url = f"http://127.0.0.1:{self.port}/metrics"
        with urllib.request.urlopen(url) as response:
            self.assertRegex(
                response.read().decode(),
                r"\ntamarackford_evacuated_domains\{[^}]*\} 1\.0\n",
            )

    def damage(self, data):
        """Flips one bit in the first frame of the newest log file."""
        log = max(data.glob("log-*"))
        content = bytearray(log.read_bytes())
        content[60] ^= 1
        log.write_bytes(content)
