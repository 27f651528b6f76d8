"""Load shedding: which openings are shed."""

import testtools

from tamarack_core.internal.admission import load_shedder as load_shedder_lib
from tamarack_core.internal.admission import retry_budget
from tamarack_core.internal.entry import lookup
from tamarack_lab.experiments import workloads

NOW_S = 100.0
SLOTS = 10.0


def port(name, settings):
    """Returns a service port."""
    return lookup.ServicePort(
        "agenda", name, settings, workloads.AGENDA.weights, b"", 444, 8444
    )


REPORT = port("report", workloads.AGENDA.classes["report"])
CERTIFICATE = port("certificate", workloads.INFORME.classes["certificate"])


class OverloadTest(testtools.TestCase):
    """A service of ten slots that replies within a second when unloaded."""

    def setUp(self):
        super().setUp()
        self.load_shedder = load_shedder_lib.LoadShedder()
        for opened in (REPORT, CERTIFICATE):
            self.load_shedder.record_reply(opened, 1.0, has_queue=False)

    def reply_slowly(self):
        """Records replies that take three times as long."""
        for _ in range(20):
            self.load_shedder.record_reply(CERTIFICATE, 3.0, has_queue=True)

    def sheds(self, opened, queue):
        """Returns whether an opening is shed at a queue length per slot."""
        return self.load_shedder.must_shed(NOW_S, opened, queue * SLOTS, SLOTS)

    def test_a_long_queue_with_quick_replies_is_no_overload(self):
        self.assertFalse(self.sheds(CERTIFICATE, 50.0))
        self.reply_slowly()
        self.assertTrue(self.sheds(CERTIFICATE, 50.0))

    def test_idempotent_work_is_shed_first(self):
        self.reply_slowly()
        between = load_shedder_lib.NON_IDEMPOTENT_QUEUE - 0.1
        self.assertTrue(self.sheds(CERTIFICATE, between))
        self.assertFalse(self.sheds(REPORT, between))
        self.assertTrue(self.sheds(REPORT, between + 0.2))

    def test_a_class_within_its_even_part_is_shed_last(self):
        self.reply_slowly()
        self.sheds(REPORT, 0.0)
        for _ in range(5):
            self.load_shedder.add(REPORT)
        between = load_shedder_lib.FAIR_QUEUE - 0.1
        self.assertFalse(self.sheds(CERTIFICATE, between))
        self.assertTrue(self.sheds(REPORT, between))

    def test_a_burst_at_two_slots_is_no_overload_but_a_long_queue_is(self):
        self.reply_slowly()
        shed = [
            self.load_shedder.must_shed(NOW_S, CERTIFICATE, active, 2.0)
            for active in (3.0, 4.0, 12.0)
        ]
        self.assertEqual([False, False, True], shed)

    def test_retries_stay_a_fraction_of_the_openings(self):
        budget = retry_budget.RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.add_opening()
            retries += budget.try_consume()
        self.assertTrue(90 <= retries <= 102, retries)
