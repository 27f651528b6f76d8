"""Which openings are admitted while targets are busy."""

import statistics

import hypothesis
from hypothesis import strategies as st
import testtools
from testtools import matchers

from tamarack_core import documents
from tamarack_core.internal.cookie import admission
from tests import cookie_host
from tests import return_wave

READ = documents.WorkKind.IDEMPOTENT
WRITE = documents.WorkKind.NON_IDEMPOTENT
ADMITTED = admission.Admission.ADMITTED
DEFERRED = admission.Admission.DEFERRED
REFUSED = admission.Admission.REFUSED
SEEDS = range(1, 6)


def decide(control, pending, now_s=0.0, kind=READ, *, again=False, share=2.0):
    """Returns the decision for an opening."""
    return control.decide(
        now_s, "web", kind, is_repeated=again, pending=pending, share=share
    )


class DecisionTest(testtools.TestCase):
    """Load: requests in progress at a service, by kind of the next one."""

    def setUp(self):
        super().setUp()
        self.control = admission.AdmissionControl()

    def test_repeated_openings_wait_first_then_new_ones(self):
        for pending, again, expected in (
            (4, True, ADMITTED),
            (5, True, DEFERRED),
            (9, False, ADMITTED),
            (10, False, DEFERRED),
        ):
            decision = decide(self.control, pending, again=again)
            self.assertEqual(expected, decision, (pending, again))

    def test_requests_that_must_not_be_repeated_have_more_room(self):
        self.assertEqual(DEFERRED, decide(self.control, 11))
        self.assertEqual(ADMITTED, decide(self.control, 11, kind=WRITE))

    def test_what_exceeds_full_queues_for_long_is_refused(self):
        times_s = (0.0, 1.5, 2.9, 3.1, 5.0)
        found = [decide(self.control, 20, now_s) for now_s in times_s]
        self.assertEqual([DEFERRED] * 3 + [REFUSED] * 2, found)

    def test_room_in_the_queues_ends_refusals(self):
        decide(self.control, 20, 0.0)
        self.assertEqual(REFUSED, decide(self.control, 20, 4.0))
        self.assertEqual(ADMITTED, decide(self.control, 5, 4.5))
        self.assertEqual(DEFERRED, decide(self.control, 20, 5.0))

    @hypothesis.given(
        st.lists(
            st.tuples(st.integers(0, 30), st.floats(0, 9), st.booleans()),
            max_size=30,
        ),
        st.sampled_from((READ, WRITE)),
        st.floats(0.01, 50.0),
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_no_repeated_opening_is_refused(self, openings, kind, share):
        # An earlier copy may have opened the flow through another host.
        control = admission.AdmissionControl()
        now_s = 0.0
        for pending, wait_s, again in openings:
            now_s += wait_s
            decision = decide(
                control, pending, now_s, kind, again=again, share=share
            )
            if again:
                self.assertNotEqual(REFUSED, decision)
            if pending <= admission.MIN_BUSY:
                self.assertEqual(ADMITTED, decision)


class HostTest(testtools.TestCase):
    """Load: a host with more requests in progress than its share of slots."""

    def start(self, entry_hosts, *, pending):
        """Returns a host with requests in progress at one of two targets."""
        host = cookie_host.CookieHost()
        host.update(
            cookie_host.target("t-1"),
            cookie_host.target("t-2", port=81),
            document=cookie_host.document(1),
            entry_hosts=entry_hosts,
        )
        for number in range(pending):
            host.send(number, "t-1")
            host.send(number, "t-1", payload_bytes=10)
        return host

    def test_openings_wait_without_a_reply(self):
        host = self.start(2, pending=12)
        self.assertEqual("", host.open(50))
        self.assertEqual("", host.open(50, copy_number=1))
        self.assertEqual([], host.resets)

    def test_all_are_admitted_while_the_number_of_hosts_is_unknown(self):
        host = self.start(0, pending=12)
        self.assertEqual("t-2", host.open(50))

    def test_an_opening_without_a_reply_of_its_target_goes_to_another(self):
        # It is not the load that makes its caller repeat it.
        host = self.start(2, pending=6)
        self.assertEqual("t-2", host.open(50))
        self.assertEqual("t-1", host.open(50, copy_number=1))

    def test_what_exceeds_full_queues_for_long_is_refused(self):
        # An opening that goes on to another target proves no room.
        host = self.start(2, pending=0)
        self.assertIn(host.open(90), ("t-1", "t-2"))
        for number in range(36):
            for flow in range(12):
                host.send(flow, "t-1", sequence=number * 10 + 1)
                host.send(
                    flow,
                    "t-1",
                    acknowledged=number,
                    sequence=number * 10 + 1,
                    payload_bytes=10,
                )
            answer = host.open(100 + number)
            host.open(90, copy_number=1)
            host.tick(0.1)
        self.assertEqual("reset", answer)
        (refusal,) = {
            (record.entry.reason, record.entry.verdict)
            for record in host.records
            if record.entry.name == "flow-refused"
        }
        self.assertEqual(("targets-busy", "not-run"), refusal)


class ReturnWaveTest(testtools.TestCase):
    """Load: twelve hosts return at once after two seconds; 62% busy targets."""

    def play(self, entry_hosts):
        """Returns the waves of all seeds after six seconds."""
        waves = []
        for seed in SEEDS:
            wave = return_wave.ReturnWave(seed, entry_hosts)
            wave.run(6.0)
            waves.append(wave)
        return waves

    def test_new_requests_are_answered_in_time_again_soon(self):
        # Without admission, requests of the first second and a half waited
        # behind those of the outage.
        without = self.play(0)
        waves = self.play(return_wave.HOSTS)

        def mean(played, *span):
            return statistics.mean(wave.in_time(*span) for wave in played)

        self.assertThat(
            mean(waves, 0.0, 1.5), matchers.GreaterThan(mean(without, 0, 1.5))
        )
        self.assertThat(mean(waves, 1.5, 3.0), matchers.GreaterThan(0.95))
        failed = [sum(wave.failed for wave in w) for w in (waves, without)]
        self.assertThat(failed[0], matchers.LessThan(failed[1]))
