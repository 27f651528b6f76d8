"""Reports of the tests that KNOWN-RED.txt lists."""

import pathlib
import shutil
import subprocess
import sys
import tempfile

import testtools

CONFTEST = pathlib.Path(__file__).parent.parent / "conftest.py"
TIMEOUT_S = 60.0
LISTED = """\
import testtools
from testtools import content


class ListedTest(testtools.TestCase):
    def test_that_fails(self):
        self.addDetail("c1.log", content.text_content("event=" + "stopped"))
        self.fail("no " + "leader")
"""


class KnownRedTest(testtools.TestCase):
    """A run passes over a listed test that fails, and reports its failure."""

    def test_a_listed_failure_is_not_reported_without_its_logs(self):
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        root = pathlib.Path(parent.name)
        tests = root / "tests"
        tests.mkdir()
        shutil.copy(CONFTEST, tests)
        (tests / "test_listed.py").write_text(LISTED)
        name = "tests/test_listed.py::ListedTest::test_that_fails"
        (root / "KNOWN-RED.txt").write_text(f"{name}\n  issue: 1\n")
        (root / "pytest.ini").write_text("[pytest]\n")
        ended = subprocess.run(
            [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "tests"],
            cwd=root,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        self.assertEqual(0, ended.returncode, ended.stdout)
        self.assertIn(f"known red, xfailed: {name}", ended.stdout)
        self.assertIn("no leader", ended.stdout)
        self.assertIn("event=stopped", ended.stdout)
