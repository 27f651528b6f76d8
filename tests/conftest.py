"""Lets a run pass over the tests that KNOWN-RED.txt names, and prints them."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red():
    """Returns the node ids at the start of the unindented lines."""
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests/")}


def pytest_collection_modifyitems(items):
    """Expects the known red tests to fail; all others must pass."""
    names = known_red()
    for item in items:
        if item.nodeid in names:
            reason = "listed in KNOWN-RED.txt"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter):
    """Prints what became of the known red tests."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(
                f"known red, {outcome}: {report.nodeid}"
            )
