"""The soak: real processes under overlapping faults; see tests/soak.

Fifty fresh seeds by hand: `python -m tests.soak FIRST 50`. A seed that broke a
promise stays here as a case, with its cause.
"""

import os

import testtools

from tests.soak import plan
from tests.soak import promises
from tests.soak import run

IS_LONG = os.environ.get("TAMARACK_PROFILE") == "soak"
FIRST = int(os.environ.get("TAMARACK_SOAK_SEED", "20261204"))
RUNS = int(os.environ.get("TAMARACK_SOAK_RUNS", "5")) if IS_LONG else 1


class SoakTest(testtools.TestCase):
    """Callers, targets and operators get what they are promised."""

    def test_promises_hold_under_overlapping_faults(self):
        for seed in range(FIRST, FIRST + RUNS):
            print(f"soak seed {seed}")
            found = run.run(seed)
            self.assertEqual([], found.broken, f"seed {seed}")
            self.assertGreater(found.counts["served"], 0)
            self.assertGreater(found.counts["published"], 0)


class PromiseTest(testtools.TestCase):
    """Each promise is seen to break."""

    def start(self, at_s, *faults):
        """Returns promises at a time of the run."""
        found = promises.Promises(list(faults))
        found.began_s -= at_s
        return found

    def test_a_request_that_runs_twice(self):
        found = self.start(1.0)
        found.note_run("r-1", "t-1")
        self.assertEqual([], found.broken)
        found.note_run("r-1", "t-2")
        self.assertEqual(1, len(found.broken))

    def test_a_refusal_of_what_ran(self):
        found = self.start(1.0)
        found.note_refused(["r-1"])
        self.assertEqual([], found.broken)
        found.note_run("r-1", "t-1")
        found.note_refused(["r-1"])
        self.assertEqual(1, len(found.broken))

    def test_an_older_read_and_other_content(self):
        found = self.start(1.0)
        found.note_read(7, 7, "seven", {7: "seven"})
        self.assertEqual([], found.broken)
        found.note_read(6, 7, "six", {6: "six"})
        found.note_read(7, 7, "other", {7: "seven"})
        self.assertEqual(2, len(found.broken))

    def test_what_only_a_calm_system_promises(self):
        fault = plan.Fault("kill", "e0", 10.0, 1.0)
        for at_s, expected in ((5.0, 0), (9.9, 4), (12.0, 0), (18.1, 4)):
            found = self.start(at_s, fault)
            found.note_reset("f-1", "t-1", is_alive=False)
            found.note_reset("f-1", "t-1", is_alive=True)
            found.note_unserved("f-1", "unanswered", at_s)
            found.note_opening("t-1", at_s - 1.0)
            found.note_opening("t-1", at_s - 4.0)
            found.note_effect(7, "e0", "opened", "refused")
            self.assertEqual(expected, len(found.broken), at_s)


class PlanTest(testtools.TestCase):
    """Faults are what a seed says."""

    def test_a_seed_draws_the_same_faults(self):
        self.assertEqual(plan.draw(7), plan.draw(7))
        self.assertNotEqual(plan.draw(7), plan.draw(8))

    def test_all_faults_end_and_no_two_disks_are_lost(self):
        for seed in range(300):
            faults = plan.draw(seed)
            lost = [fault for fault in faults if fault.kind == plan.LOSES_DISK]
            self.assertLess(len(lost), 2)
            for fault in faults:
                self.assertIn(fault.kind, plan.KINDS)
                self.assertGreaterEqual(fault.from_s, plan.FAULTS_FROM_S)
                self.assertLess(fault.until_s, plan.END_S - plan.STOP_S)
