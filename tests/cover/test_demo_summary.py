"""Problems that the summary of the demo reports."""

import msgspec
import testtools
from testtools import matchers

from tamarack_core import requests
from tamarack_lab.caller import report as reports
from tamarack_lab.demo import summary
from tamarack_lab.target import server as servers

LOAD = reports.LoadReport(
    service="agenda",
    work_class="routes",
    tried=9,
    opened=9,
    completed=9,
    open=0,
    broken={},
    refused={},
    requests=9,
    answers=9,
    wrong_service=0,
    mixed_up=0,
    latency_p50_s=0.0,
    latency_p99_s=0.0,
)
TARGET = servers.TargetReport(
    service="agenda",
    address="10.1.1.1",
    domain="a",
    state=requests.TargetState.READY,
    connections=0,
    opened={"routes": 9},
    refused=0,
    requests={"routes": 9},
    repeated=0,
    work=9.0,
    in_use=0.0,
)


def outcome(load=None, target=None, unreadable=None, **changes):
    """Returns an outcome without problems, with some changes."""
    fields = {
        "name": "demo",
        "callers": reports.CallerReport(
            (msgspec.structs.replace(LOAD, **(load or {})),), unreadable or {}
        ),
        "targets": [msgspec.structs.replace(TARGET, **(target or {}))],
        "version": 2,
        "versions": {"a": [2, 2]},
        "exit_statuses": {"entry-1": 0},
    }
    return summary.Outcome(**{**fields, **changes})


def late(after_s):
    """Returns a connection that a draining target accepted."""
    return servers.LateConnection("10.7.0.1:10000", "routes", after_s)


class SummaryTest(testtools.TestCase):
    """Each condition of a good outcome is checked."""

    def test_a_good_outcome_has_no_problem(self):
        self.assertEqual([], outcome().problems())

    def test_a_connection_soon_after_a_drain_is_no_problem(self):
        changed = outcome(target={"late": (late(2.9),)})
        self.assertEqual([], changed.problems())

    def test_each_fault_is_a_problem_of_its_own(self):
        faulty = {
            "broken": outcome(load={"broken": {"x": 1}}),
            "refused": outcome(load={"refused": {"x": 1}}),
            "did not end": outcome(load={"open": 1}),
            "wrong service": outcome(load={"wrong_service": 1}),
            "wrong request": outcome(load={"mixed_up": 1}),
            "no connection": outcome(load={"opened": 0}),
            "unreadable": outcome(unreadable={"transport-checksum": 1}),
            "ran twice": outcome(target={"repeated": 1}),
            "after its drain": outcome(target={"late": (late(3.1),)}),
            "versions": outcome(versions={"a": [2, 1]}),
            "exit status": outcome(exit_statuses={"entry-1": -9}),
        }
        for text, changed in faulty.items():
            (problem,) = changed.problems()
            self.assertThat(problem, matchers.Contains(text))

    def test_imbalance_is_the_peak_divided_by_the_mean(self):
        targets = [
            msgspec.structs.replace(TARGET, work=work, domain=domain)
            for work, domain in ((1.0, "a"), (1.0, "a"), (4.0, "b"))
        ]
        self.assertEqual(2.0, summary.imbalance(targets))
        self.assertEqual(1.0, summary.imbalance_in_domains(targets))
