"""Time line entries survive being logged and parsed again."""

import json
import logging
import pathlib
import tempfile

from click import testing
import hypothesis
from hypothesis import strategies
import testtools

from tamarack_core import timeline
from tamarack_ctl import main as commands
from tamarack_ctl.internal import log_lines
from tamarack_node.internal import logs

TEXTS = strategies.text(max_size=30)


def line_of(entry):
    """Returns the line that a host logs for an entry."""
    lines = []

    class CapturingHandler(logging.Handler):
        def emit(self, record):
            lines.append(logs.KeyValueFormatter().format(record))

    handler = CapturingHandler()
    level = logs.logger.level
    logs.logger.addHandler(handler)
    logs.logger.setLevel(logging.INFO)
    try:
        logs.entry(entry)
    finally:
        logs.logger.removeHandler(handler)
        logs.logger.setLevel(level)
    (line,) = lines
    return line


class LogLineTest(testtools.TestCase):
    """Parsing of log lines."""

    @hypothesis.given(
        entry=strategies.builds(
            timeline.Entry,
            stamp=strategies.builds(
                timeline.Stamp,
                strategies.integers(0, 1 << 45),
                strategies.integers(0, 99),
            ),
            host=strategies.text(min_size=1, max_size=10),
            name=strategies.from_regex("[a-z][a-z-]{0,20}", fullmatch=True),
            service=TEXTS,
            target=TEXTS,
            flow=TEXTS,
            version=strategies.integers(0, 1 << 40),
            verdict=TEXTS,
            reason=TEXTS,
            detail=TEXTS,
        )
    )
    def test_any_entry_is_read_back_from_its_one_line(self, entry):
        line = line_of(entry)
        self.assertEqual(1, len(line.splitlines()))
        self.assertEqual(([entry], 0), log_lines.read([line + "\n"]))

    def test_the_prefix_of_a_log_collector_is_skipped(self):
        line = (
            "  46.9409 frontend-a-1 time=2026-08-11T18:37:40.120Z level=info"
            " event=flow-refused host=frontend-a-1 stamp=1786473460122.3"
            " flow=100.64.0.4:2323>198.18.0.5:8080 version=73"
            " verdict=not-run reason=no-route"
        )
        ((entry,), others) = log_lines.read([line])
        self.assertEqual(0, others)
        self.assertEqual(("flow-refused", 73), (entry.name, entry.version))
        self.assertEqual(timeline.Stamp(1786473460122, 3), entry.stamp)

    @hypothesis.given(strategies.text(max_size=80))
    def test_other_lines_are_counted(self, text):
        line = text.replace("\n", " ").replace("stamp", "")
        self.assertEqual(([], 1), log_lines.read([line]))


class CommandTest(testtools.TestCase):
    """`tamarack timeline --log`."""

    def run_command(self, *arguments):
        """Returns the result of a command."""
        arguments = ["timeline", *map(str, arguments)]
        return testing.CliRunner().invoke(commands.main, arguments)

    def write(self, *entries, more=""):
        """Returns a log file that holds some entries."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "day.log"
        path.write_text("\n".join([*map(line_of, entries), more]))
        return path

    def entry(self, host, wall_ms, name, **fields):
        """Returns an entry."""
        stamp = timeline.Stamp(wall_ms, 0)
        return timeline.Entry(stamp=stamp, host=host, name=name, **fields)

    def test_logs_of_several_hosts_are_merged_and_filtered(self):
        first = self.write(
            self.entry("a", 3, "flow-reset", flow="1.2.3.4:5>6.7.8.9:80"),
            self.entry("a", 9, "host-stopped"),
        )
        second = self.write(
            self.entry("b", 1, "flow-placed", flow="1.2.3.4:5>6.7.8.9:80"),
            more="Killed\n",
        )
        result = self.run_command(
            "--log", first, "--log", second, "--flow", "1.2.3.4:5", "--json"
        )
        self.assertEqual(0, result.exit_code, result.output)
        printed = json.loads(result.stdout)
        self.assertEqual(["b", "a"], [entry["host"] for entry in printed])

    def test_lines_without_an_entry_are_counted(self):
        path = self.write(self.entry("a", 3, "host-started"), more="Killed\n")
        result = self.run_command("--log", path)
        self.assertIn("1 lines without an entry", result.stderr)

    def test_all_files_of_a_folder_are_read(self):
        path = self.write(self.entry("a", 3, "version-in-force", version=7))
        other = path.with_name("other.log")
        other.write_text(
            line_of(self.entry("b", 2, "version-in-force", version=70))
        )
        (path.parent / "folder").mkdir()
        for version, hosts in ((0, ["b", "a"]), (7, ["a"]), (70, ["b"])):
            result = self.run_command(
                "--log", path.parent, "--version", version, "--json"
            )
            printed = json.loads(result.stdout)
            self.assertEqual(hosts, [entry["host"] for entry in printed])

    # The lines are those of a control host and an entry host.
    def test_the_lines_of_an_evacuation_are_read_in_order(self):
        path = self.write(
            self.entry("b", 5, "flow-refused", reason="domain-evacuated"),
            self.entry("b", 4, "evacuation-in-force", version=1, detail="z"),
            self.entry("a", 2, "evacuation-ordered", detail="start 'z'"),
        )
        result = self.run_command("--log", path, "--event", "evacuation")
        self.assertEqual(0, result.exit_code, result.output)
        [*_, ordered, in_force] = result.stdout.splitlines()
        self.assertIn("start 'z'", ordered)
        self.assertIn("version 1", in_force)

    def test_neither_hosts_nor_logs_is_a_usage_error(self):
        result = self.run_command()
        self.assertEqual(2, result.exit_code)
        self.assertIn("--log", result.output)
