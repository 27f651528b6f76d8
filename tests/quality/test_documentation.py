"""Links and names in the documentation are valid."""

import itertools
import pathlib
import re

import testtools
from testtools import matchers

ROOT = pathlib.Path(__file__).parents[2]
LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)(?:#[^)]*)?\)")


def pages():
    """Returns the paths of all documentation pages."""
    return sorted(
        itertools.chain(
            ROOT.glob("*.md"),
            ROOT.glob("docs/**/*.md"),
            ROOT.glob("guides/*.md"),
        )
    )


class DocumentationTest(testtools.TestCase):
    """Links and names in the pages."""

    def test_each_relative_link_leads_to_a_file(self):
        missing = [
            f"{page.relative_to(ROOT)}: {link}"
            for page in pages()
            for link in LINK.findall(page.read_text())
            if "://" not in link and not (page.parent / link).exists()
        ]
        self.assertEqual([], missing)

    def test_the_pages_are_found(self):
        names = {page.name for page in pages()}
        self.assertThat(names, matchers.Contains("README.md"))

    def test_no_committed_file_names_a_registry_or_a_path_of_the_machine(self):
        pattern = re.compile(
            r"/wo" + r"rk/|files\.pyth" + r"onhosted|/ro" + r"ot/"
        )
        bad = [
            str(path.relative_to(ROOT))
            for path in itertools.chain(
                pages(),
                ROOT.glob("packages/*/src/**/*.py"),
                ROOT.glob("tests/**/*.py"),
                ROOT.glob("*.txt"),
                ROOT.glob("Makefile"),
            )
            if pattern.search(path.read_text())
        ]
        self.assertEqual([], bad)
