"""Operator commands and failing starts, with real processes.

Guards against commands with a wrong exit status or output, and against a bad
configuration that does not stop the start with a clear message.
"""

import json
import pathlib
import socket
import subprocess
import tempfile

import testtools
from testtools import matchers

from tamarack_lab.bench import traffic
from tests import processes

SERVICE = {
    "addresses": ["10.9.0.1"],
    "target_networks": ["10.1.0.0/24"],
    "classes": {"routes": {"port": 80, "target_port": 8080}},
}
ADD_SERVICE = [{"op": "add", "path": "/services/agenda", "value": SERVICE}]
UNRESPONSIVE_HOST = "127.0.0.1:9"
COMMAND_TIMEOUT_S = 60


def run(program, *arguments):
    """Runs one of the two programs and returns the completed process."""
    return subprocess.run(
        [processes.BINARIES / program, *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )


class HostCase(testtools.TestCase):
    """Base of tests with a folder and settings of a host with both roles."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.settings = {
            "host": "both-1",
            "domain": "a",
            "roles": ["entry", "control"],
            "control": ["127.0.0.1", processes.free_port()],
            "data": ["127.0.0.1", processes.free_port()],
            "fabric": ["127.0.0.1", processes.free_port()],
            "data_folder": str(self.folder / "state"),
            "seed": 1,
        }

    def write(self, name, document):
        """Returns the path of a new JSON file."""
        path = self.folder / name
        path.write_text(json.dumps(document))
        return path

    def start(self):
        daemon = processes.Daemon(self.folder, self.settings)
        self.addCleanup(daemon.kill)
        daemon.wait_started()
        return daemon


class OperatorTest(HostCase):
    """Commands of an operator, with one host that does not respond."""

    def setUp(self):
        super().setUp()
        self.daemon = self.start()
        self.host = f"127.0.0.1:{self.daemon.port}"
        processes.wait_until(
            lambda: (
                run("tamarack", "services", "--host", self.host).returncode == 0
            ),
            "a leader",
        )

    def tamarack(self, command, *arguments):
        """Returns exit status, decoded output and error text."""
        hosts = ("--host", UNRESPONSIVE_HOST, "--host", self.host, "--json")
        completed = run("tamarack", command, *arguments, *hosts)
        document = json.loads(completed.stdout) if completed.stdout else None
        return completed.returncode, document, completed.stderr

    def patch(self, version, patch_id, operations):
        file = self.write("patch.json", operations)
        options = ("--on", version, "--id", patch_id, "--author", "ada")
        return self.tamarack("patch", file, *options)

    def test_a_patch_skips_an_unresponsive_host_and_a_resend_changes_nothing(
        self,
    ):
        first = self.patch(0, "p1", ADD_SERVICE)
        again = self.patch(0, "p1", ADD_SERVICE)
        self.assertEqual(
            (0, "accepted", 1),
            (first[0], first[1]["state"], first[1]["version"]),
        )
        self.assertEqual(first[:2], again[:2])
        code, numbered, _ = self.tamarack("services")
        self.assertEqual((0, 1), (code, numbered["version"]))
        self.assertEqual(
            ["agenda"], list(numbered["configuration"]["services"])
        )

    def test_each_verdict_has_its_exit_status(self):
        self.patch(0, "p1", ADD_SERVICE)
        remove = [{"op": "remove", "path": "/services/agenda"}]
        absent = [{"op": "remove", "path": "/services/informe"}]
        codes = [
            self.patch(0, "p2", remove)[0],
            self.patch(1, "p3", absent)[0],
            run(
                "tamarack",
                "patch",
                self.write("p", remove),
                "--on",
                1,
                "--author",
                "a",
                "--host",
                UNRESPONSIVE_HOST,
            ).returncode,
        ]
        self.assertEqual([3, 1, 5], codes)

    def test_status_names_the_host_that_does_not_answer(self):
        code, hosts, error = self.tamarack("status")
        self.assertEqual(
            (4, ["both-1"]), (code, [host["host"] for host in hosts])
        )
        self.assertThat(error, matchers.Contains(UNRESPONSIVE_HOST))

    def test_the_time_line_shows_what_changed_and_can_be_filtered(self):
        self.patch(0, "p1", ADD_SERVICE)
        self.patch(1, "p2", [{"op": "remove", "path": "/services/agenda"}])
        processes.wait_until(
            lambda: (
                processes.call(self.daemon.port, "GET", "/v1/status")[1][
                    "version"
                ]
                == 2
            ),
            "version 2 in force",
        )
        _, entries, _ = self.tamarack("timeline", "--event", "version-in-force")
        self.assertEqual([1, 2], [entry["version"] for entry in entries])
        stamps = [entry["stamp"] for entry in entries]
        self.assertEqual(sorted(stamps), stamps)
        _, entries, _ = self.tamarack(
            "timeline", "--version", 2, "--event", "version-in-force"
        )
        self.assertEqual([2], [entry["version"] for entry in entries])


class FailingStartTest(HostCase):
    """A failing start gives a clear error and a non-zero exit status."""

    def run_daemon(self):
        file = self.write("bad.json", self.settings)
        return run("tamarackd", "--settings", file)

    def test_each_bad_setting_is_named_with_path_value_and_fix(self):
        self.settings.update(colour="red", log_level="loud", roles=["guard"])
        del self.settings["domain"]
        file = self.write("bad.json", self.settings)
        completed = run("tamarackd", "check", "--settings", file)
        self.assertEqual(2, completed.returncode)
        for path in ("$.colour", "$.domain", "$.roles"):
            self.assertThat(completed.stderr, matchers.Contains(f"{path}: "))
        self.assertThat(completed.stderr, matchers.Contains("guard"))

    def test_values_that_do_not_fit_together_are_named(self):
        del self.settings["data"], self.settings["data_folder"]
        file = self.write("bad.json", self.settings)
        completed = run("tamarackd", "check", "--settings", file)
        self.assertEqual(2, completed.returncode)
        for path in ("$.data: ", "$.data_folder: "):
            self.assertThat(completed.stderr, matchers.Contains(path))

    def test_a_port_in_use_ends_the_second_process(self):
        self.start()
        self.settings["data_folder"] = str(self.folder / "other")
        completed = self.run_daemon()
        self.assertEqual(3, completed.returncode, completed.stderr)
        self.assertThat(
            completed.stderr, matchers.Contains("event=cannot-start")
        )

    def test_a_data_folder_that_is_a_file_ends_the_process(self):
        self.settings["data_folder"] = str(self.write("file", {}))
        completed = self.run_daemon()
        self.assertNotEqual(0, completed.returncode)
        lines = [
            line
            for line in completed.stderr.splitlines()
            if "level=error" in line
        ]
        self.assertEqual(1, len(lines), completed.stderr)
        self.assertThat(
            completed.stderr, matchers.Not(matchers.Contains("Traceback"))
        )

    def test_a_second_process_on_one_data_folder_is_refused(self):
        self.start()
        self.settings["control"][1] = processes.free_port()
        self.settings["data"][1] = processes.free_port()
        completed = self.run_daemon()
        self.assertNotEqual(0, completed.returncode)
        self.assertThat(
            completed.stderr, matchers.Not(matchers.Contains("Traceback"))
        )


class TrafficTest(HostCase):
    """Targets and flows in the output of the commands."""

    def setUp(self):
        super().setUp()
        self.fabric = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.fabric.close)
        self.fabric.bind(("127.0.0.1", 0))
        self.fabric.settimeout(COMMAND_TIMEOUT_S)
        self.settings["fabric"] = list(self.fabric.getsockname())
        self.daemon = self.start()
        patch = {
            "patch_id": "p1",
            "base_version": 0,
            "author": "ada",
            "operations": ADD_SERVICE,
        }
        processes.wait_until(
            lambda: (
                processes.call(self.daemon.port, "POST", "/v1/patches", patch)[
                    0
                ]
                == 200
            ),
            "the patch is accepted",
        )
        body = {"service": "agenda", "domain": "a", "lease_s": 30, "slots": 2}
        processes.call(self.daemon.port, "PUT", "/v1/targets/10.1.0.1", body)

    def read(self, command, *arguments):
        host = f"127.0.0.1:{self.daemon.port}"
        completed = run(
            "tamarack", command, "--host", host, "--json", *arguments
        )
        self.assertEqual(0, completed.returncode, completed.stderr)
        return json.loads(completed.stdout)

    def test_an_open_flow_is_shown_with_its_target(self):
        opening = traffic.Flow(0).opening()
        self.fabric.sendto(opening, tuple(self.settings["data"]))
        self.fabric.recv(65536)
        [flow] = self.read("flows", "--service", "agenda")
        self.assertEqual(
            ("tcp:10.16.0.0:1024>10.9.0.1:80", "10.1.0.1", "owner"),
            (flow["flow"], flow["target"], flow["role"]),
        )
        self.assertEqual([], self.read("flows", "--target", "10.1.0.2"))
        [target] = self.read("targets")
        self.assertEqual(
            (1, 2, "ready"),
            tuple(target[name] for name in ("owned_flows", "slots", "state")),
        )
        self.assertEqual([], self.read("targets", "--service", "informe"))
