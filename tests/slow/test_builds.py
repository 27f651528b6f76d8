"""Build folders that were carried over from another kind of machine."""

import os
import pathlib
import subprocess
import tempfile

import testtools

ROOT = pathlib.Path(__file__).parents[2]
PYTHON = """\
#!/bin/sh
case "$1 $2" in
  "-c import"*) echo "$MACHINE" ;;
  "-m pip") echo pip >> calls; mkdir -p target/deps ;;
esac
"""
"""Stand-in that reports a kind of machine, and installs nothing."""


class BuildTest(testtools.TestCase):
    """When `deploy/build.sh` and the Makefile install the libraries."""

    def setUp(self):
        super().setUp()
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        self.folder = pathlib.Path(parent.name)
        self.clone = self.folder / "clone"
        subprocess.run(
            ["git", "clone", "-q", "--depth", "1", f"file://{ROOT}", "clone"],
            cwd=self.folder,
            check=True,
        )
        for name in ("Makefile", "deploy/build.sh"):
            (self.clone / name).write_text((ROOT / name).read_text())
        python = self.folder / "python3"
        python.write_text(PYTHON)
        python.chmod(0o755)

    def run_on(self, machine, *command):
        """Runs a command as on a kind of machine; returns its output."""
        path = f"{self.folder}:{os.environ['PATH']}"
        return subprocess.run(
            command,
            cwd=self.clone,
            env={**os.environ, "PATH": path, "MACHINE": machine},
            check=True,
            capture_output=True,
            text=True,
        ).stdout

    def test_libraries_of_another_machine_are_installed_anew(self):
        installs = []
        for machine in ("x86_64 3.11.6", "x86_64 3.11.6", "aarch64 3.11.6"):
            self.run_on(machine, "bash", "deploy/build.sh")
            calls = (self.clone / "calls").read_text()
            installs.append(calls.count("pip"))
        self.assertEqual([1, 1, 2], installs)

    def test_the_environment_of_another_machine_is_made_anew(self):
        self.run_on("x86_64-3.11.6", "mkdir", ".venv")
        stamp = self.clone / ".venv/.installed-x86_64-3.11.6"
        stamp.touch()
        for machine, is_made in (
            ("x86_64-3.11.6", False),
            ("aarch64-3.11.6", True),
        ):
            planned = self.run_on(machine, "make", "-n", "setup")
            self.assertEqual(is_made, "venv --clear" in planned, planned)
