"""The capacity page shows the output of the capacity command."""

import pathlib

from click import testing
import testtools
from testtools import matchers

from tamarack_lab.capacity import command
from tamarack_lab.capacity import page

ROOT = pathlib.Path(__file__).parents[2]
SIZES = ROOT / "docs/capacity/sizes.json"


class CapacityPageTest(testtools.TestCase):
    """Tables of docs/CAPACITY.md."""

    def test_the_tables_equal_the_output_of_the_command(self):
        result = testing.CliRunner().invoke(
            command.capacity, ["--targets-file", str(SIZES)]
        )
        self.assertEqual(0, result.exit_code, result.output)
        text = (ROOT / "docs/CAPACITY.md").read_text()
        self.assertEqual(page.replace_tables(text, result.output), text)
        self.assertThat(text, matchers.Contains("## Totals"))
