"""Soak test of real processes under overlapping faults; see tests/soak.

Guards against requests that run twice or are lost, and against documents that
are lost, when faults overlap. `python -m tests.soak FIRST 50` runs fifty new
seeds. A seed that broke a promise is kept here as a test, with its cause.
"""

import itertools
import os

import testtools

from tests.soak import plan
from tests.soak import promises
from tests.soak import run

IS_LONG = os.environ.get("TAMARACK_PROFILE") == "soak"
FIRST = int(os.environ.get("TAMARACK_SOAK_SEED", "20261204"))
RUNS = int(os.environ.get("TAMARACK_SOAK_RUNS", "5")) if IS_LONG else 1


class SoakTest(testtools.TestCase):
    """Promises to callers, targets and operators hold under faults."""

    def test_promises_hold_under_overlapping_faults(self):
        for seed in range(FIRST, FIRST + RUNS):
            print(f"soak seed {seed}")
            checks = run.run(seed)
            self.assertEqual([], checks.broken, f"seed {seed}")
            self.assertGreater(checks.counts["served"], 0)
            self.assertGreater(checks.counts["published"], 0)
            self.assertGreater(checks.counts["orders"], 0)

    def test_promises_hold_while_voters_are_stopped_and_replaced(self):
        for seed in range(FIRST, FIRST + RUNS):
            print(f"soak seed {seed}, with a learner")
            checks = run.run(seed, layout=plan.WITH_LEARNER)
            self.assertEqual([], checks.broken, f"seed {seed}")
            self.assertGreater(checks.counts["served"], 0)
            self.assertGreater(checks.counts["published"], 0)

    def test_a_host_cut_off_and_frozen_learns_of_new_documents_again(self):
        # A host that was frozen while it followed no control host asked none
        # for the rest of its life.
        self.assertEqual([], run.run(31033).broken)


class PromiseTest(testtools.TestCase):
    """Violations of each promise are detected."""

    def start(self, at_s, *faults):
        """Returns checks whose run started `at_s` seconds ago."""
        checks = promises.Promises(list(faults))
        checks.started_s -= at_s
        return checks

    def test_a_request_that_runs_twice(self):
        checks = self.start(1.0)
        checks.record_run("r-1", "t-1")
        self.assertEqual([], checks.broken)
        checks.record_run("r-1", "t-2")
        self.assertEqual(1, len(checks.broken))

    def test_a_refusal_of_what_ran(self):
        checks = self.start(1.0)
        checks.record_refused(["r-1"])
        self.assertEqual([], checks.broken)
        checks.record_run("r-1", "t-1")
        checks.record_refused(["r-1"])
        self.assertEqual(1, len(checks.broken))

    def test_an_older_read_and_other_content(self):
        checks = self.start(1.0)
        checks.record_read(7, 7, "seven", {7: "seven"})
        self.assertEqual([], checks.broken)
        checks.record_read(6, 7, "six", {6: "six"})
        checks.record_read(7, 7, "other", {7: "seven"})
        self.assertEqual(2, len(checks.broken))

    def test_a_flow_at_a_target_of_an_evacuated_domain(self):
        cut = plan.Fault("cut", "e1", 12.0, 1.0)
        freezes = [plan.Fault("freeze", f"c{n}", 20.0, 1.0) for n in (0, 1)]
        for at_s, entry, expected in (
            (9.9, "e0", 0),
            (10.1, "e0", 1),
            (13.0, "e0", 1),
            (13.0, "e1", 0),
            (18.1, "e1", 1),
            (21.0, "e0", 0),
            (26.1, "e0", 1),
        ):
            checks = self.start(at_s, cut, *freezes)
            checks.evacuated_s["z0"] = 5.0
            checks.entries = {"10.0.0.1": entry}
            checks.record_domain("t-1", "z1", "10.0.0.1")
            self.assertEqual([], checks.broken)
            checks.record_domain("t-0", "z0", "10.0.0.1")
            self.assertEqual(expected, len(checks.broken), (at_s, entry))

    def test_an_order_that_is_not_acknowledged_in_time(self):
        for took_s, expected in ((5.9, 0), (6.1, 1)):
            checks = self.start(30.0, plan.Fault("kill", "c0", 5.0, 1.0))
            checks.record_order("start z0", checks.now_s - took_s)
            self.assertEqual(expected, len(checks.broken))

    def test_what_only_a_calm_system_promises(self):
        fault = plan.Fault("kill", "e0", 10.0, 1.0)
        for at_s, expected in ((5.0, 0), (9.9, 4), (12.0, 0), (18.1, 4)):
            checks = self.start(at_s, fault)
            checks.record_reset("f-1", "t-1", is_alive=False)
            checks.record_reset("f-1", "t-1", is_alive=True)
            checks.record_unserved("f-1", "unanswered", at_s)
            checks.record_opening("t-1", at_s - 1.0)
            checks.record_opening("t-1", at_s - 4.0)
            checks.record_effect(7, "e0", "opened", "refused")
            self.assertEqual(expected, len(checks.broken), at_s)


class PlanTest(testtools.TestCase):
    """The plan of faults follows from the seed."""

    def test_a_seed_draws_the_same_faults(self):
        self.assertEqual(plan.draw(7), plan.draw(7))
        self.assertNotEqual(plan.draw(7), plan.draw(8))

    def test_all_faults_end_and_no_two_disks_are_lost(self):
        for seed, layout in itertools.product(
            range(300), plan.LAYOUTS.values()
        ):
            faults = plan.draw(seed, layout)
            lost = [fault for fault in faults if fault.kind == plan.LOSES_DISK]
            self.assertLess(len(lost), 2)
            for fault in faults:
                self.assertIn(fault.kind, layout.kinds)
                self.assertGreaterEqual(fault.from_s, plan.FAULTS_FROM_S)
                self.assertLess(fault.until_s, plan.END_S - plan.STOP_S)
