"""Command `tamarack experiment`: its results and exit status."""

import dataclasses
import json
import pathlib
import tempfile

from click import testing
import testtools

from tamarack_lab.experiments import catalogue
from tamarack_lab.experiments import commands
from tamarack_lab.experiments import plans

MIN_EXPERIMENTS = 12


class ExperimentsTest(testtools.TestCase):
    """Runs of the command and their results."""

    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.output = pathlib.Path(directory.name) / "out"

    def invoke(self, *arguments):
        """Runs the command."""
        return testing.CliRunner().invoke(commands.experiment, arguments)

    def run_one(self, name):
        """Runs an experiment and returns exit status and result."""
        result = self.invoke("run", name, "--output", str(self.output))
        written = (self.output / "result.json").read_text()
        return result.exit_code, json.loads(written)

    def test_there_are_at_least_twelve(self):
        lines = self.invoke("list").output.splitlines()
        self.assertTrue(len(lines) >= MIN_EXPERIMENTS, lines)

    def test_a_run_writes_both_versions_side_by_side(self):
        status, result = self.run_one("target-death")
        self.assertEqual(0, status, result["broken"])
        self.assertEqual(set(result["tamarackford"]), set(result["naive"]))
        self.assertTrue(result["naive"]["completed"] > 0)
        self.assertTrue((self.output / "report.md").exists())
        self.assertTrue((self.output / "naive.png").stat().st_size > 0)

    def test_an_exceeded_bound_gives_a_failing_status(self):
        plan = catalogue.ALL["target-death"]
        impossible = plans.Bound("completed", least=1e9)
        self.addCleanup(catalogue.ALL.__setitem__, plan.name, plan)
        catalogue.ALL[plan.name] = dataclasses.replace(
            plan, bounds=(impossible,)
        )
        status, result = self.run_one("target-death")
        self.assertEqual(1, status)
        self.assertEqual("completed", result["broken"][0]["figure"])

    def test_a_joining_target_breaks_flows_of_the_naive_version_only(self):
        status, result = self.run_one("target-join")
        self.assertEqual(0, status, result["broken"])
        self.assertEqual(0, result["tamarackford"]["broken_flows"])
        self.assertTrue(result["naive"]["broken_flows"] > 0)
