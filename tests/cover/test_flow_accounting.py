"""Which flows an entry host counts as work of its targets."""

import collections

import hypothesis
from hypothesis import strategies as st
import testtools
from testtools import matchers

from tamarack_core import target_announcement
from tamarack_core.internal import target_tags
from tamarack_core.internal.cookie import flow_state
from tamarack_core.internal.cookie import flow_tracker
from tamarack_core.internal.cookie import target_choice
from tests import cookie_host

TARGETS = ("t-1", "t-2", "t-3")


def start(*names):
    """Returns a host that knows some targets of one service."""
    host = cookie_host.CookieHost()
    host.update(
        *(
            cookie_host.target(name, port=80 + number)
            for number, name in enumerate(names)
        ),
        document=cookie_host.document(1),
    )
    return host


def request(host, number, name):
    """Accepts an opened flow, sends a request, and acknowledges its reply."""
    host.send(number, name, acknowledged=1)
    host.send(number, name, acknowledged=1, payload_bytes=10)
    host.send(number, name, acknowledged=900, sequence=11)


def close(host, number, name):
    """Sends the last packet of a flow, and the acknowledgement after it."""
    host.send(number, name, acknowledged=900, sequence=11, is_last=True)
    host.send(number, name, acknowledged=901, sequence=12)


def work_of(host, name):
    """Returns the open flows of a target and its requests in progress."""
    activity = host.tracker.targets.get(name)
    return (activity.flows, activity.work) if activity else (0, 0)


class PlacementTest(testtools.TestCase):
    """Load: short flows, a flow for each request."""

    def test_a_new_target_gets_its_share_of_flows_and_no_more(self):
        # While two of seven targets were replaced, an old target got 7 to 12
        # flows a second, and each new one up to 44 while it was still cold.
        old = [f"t-{number}" for number in range(1, 7)]
        host = start(*old)
        for number in range(120):
            name = host.open(number)
            request(host, number, name)
            close(host, number, name)
            host.tick(0.1)
        host.update(
            cookie_host.target("t-7", port=99, cold_ms=2000),
            base=1,
            position=2,
        )
        placed = collections.Counter()
        for number in range(200, 270):
            name = host.open(number)
            placed[name] += 1
            request(host, number, name)
            close(host, number, name)
            host.tick(0.05)
        self.assertThat(placed["t-7"], matchers.LessThan(70 / 7 * 1.3))
        self.assertThat(
            min(placed[name] for name in old), matchers.GreaterThan(7)
        )

    def test_equal_targets_take_turns(self):
        # At 60 hosts before 60 targets a host has rarely two requests in
        # progress, so that nearly all targets are equal to it.
        host = start("t-1", "t-2", "t-3", "t-4")
        names = []
        for number in range(40):
            names.append(host.open(number))
            request(host, number, names[-1])
            close(host, number, names[-1])
            host.tick(0.01)
        rounds = [set(names[at : at + 4]) for at in range(0, 40, 4)]
        self.assertEqual([set(names)] * 10, rounds)

    def test_idle_flows_count_less_than_requests_in_progress(self):
        # Long flows with pauses: a target with many idle flows has less to do
        # than one that is busy with requests.
        host = start("t-1", "t-2")
        for number in range(20):
            request(host, number, "t-1")
        for number in range(20, 24):
            host.send(number, "t-2")
            host.send(number, "t-2", payload_bytes=10)
        self.assertEqual("t-1", host.open(50))


class OverdueTest(testtools.TestCase):
    """Load: targets at 75% while a control host is cut off from the others.

    The announcements of a third of the targets go to that control host, so
    that the others hold them to be overdue.
    """

    def start_overdue(self):
        """Returns a host that knows two of its three targets as overdue."""
        host = start(*TARGETS)
        overdue = [
            target_announcement.KnownTarget(
                cookie_host.target(name, port=80 + number), True
            )
            for number, name in enumerate(TARGETS)
            if name != "t-3"
        ]
        host.update(*overdue, base=1, position=2)
        return host

    def test_overdue_targets_that_reply_keep_their_share(self):
        # Four of seven targets got all openings for 3 s: half of the requests
        # took over 0.22 s.
        host = self.start_overdue()
        placed = collections.Counter()
        for number, name in enumerate(TARGETS):
            request(host, number, name)
        for number in range(10, 40):
            name = host.open(number)
            placed[name] += 1
            request(host, number, name)
            close(host, number, name)
            host.tick(0.1)
        self.assertEqual(dict.fromkeys(TARGETS, 10), dict(placed))

    def test_overdue_targets_without_a_reply_get_no_openings(self):
        host = self.start_overdue()
        self.assertEqual({"t-3"}, {host.open(n) for n in range(10, 20)})

    def test_an_old_reply_does_not_outweigh_overdue_announcements(self):
        host = self.start_overdue()
        request(host, 1, "t-1")
        host.tick(target_choice.RECENT_REPLY_S + 0.5)
        self.assertEqual({"t-3"}, {host.open(n) for n in range(10, 20)})


class CountTest(testtools.TestCase):
    """Each way in which a flow begins, ends or moves."""

    def test_a_flow_ends_at_the_last_packet_of_its_caller(self):
        host = start("t-1")
        host.open(1)
        request(host, 1, "t-1")
        self.assertEqual((1, 0), work_of(host, "t-1"))
        close(host, 1, "t-1")
        self.assertEqual((0, 0), work_of(host, "t-1"))

    def test_a_last_packet_that_is_sent_again_opens_nothing(self):
        host = start("t-1")
        host.open(1)
        request(host, 1, "t-1")
        close(host, 1, "t-1")
        close(host, 1, "t-1")
        self.assertEqual((0, 0), work_of(host, "t-1"))

    def test_a_request_in_the_last_packet_counts_until_its_reply(self):
        host = start("t-1")
        host.open(1)
        host.send(1, "t-1")
        host.send(1, "t-1", payload_bytes=10, is_last=True)
        self.assertEqual((1, 1), work_of(host, "t-1"))
        host.send(1, "t-1", sequence=12, acknowledged=500)
        self.assertEqual((0, 0), work_of(host, "t-1"))

    def test_a_flow_opened_through_another_host_counts(self):
        host = start("t-1")
        host.send(1, "t-1", acknowledged=500)
        host.send(2, "t-1", payload_bytes=10)
        self.assertEqual((2, 1), work_of(host, "t-1"))

    def test_an_opening_that_no_target_accepts_is_forgotten(self):
        # A full target does not answer; its caller gives up after 1.4 s.
        host = start("t-1")
        host.open(1)
        self.assertEqual((1, 1), work_of(host, "t-1"))
        host.tick(flow_tracker.OPENING_TIMEOUT_S + 0.5)
        self.assertEqual((0, 0), work_of(host, "t-1"))

    def test_a_request_without_a_reply_stops_to_count_as_work(self):
        # Its caller gave up at its deadline, and sends nothing more.
        host = start("t-1")
        host.open(1)
        host.send(1, "t-1")
        host.send(1, "t-1", payload_bytes=10)
        host.tick(flow_tracker.REQUEST_TIMEOUT_S + 0.5)
        self.assertEqual((1, 0), work_of(host, "t-1"))

    def test_a_request_that_moved_to_another_host_stops_to_count(self):
        # After the loss of all hosts they become ready one after another, and
        # the fabric moves nearly all flows each time. 45 requests of a host
        # were answered through others and counted for 10 s: their targets got
        # 20 flows in 2 s, another one 130.
        host = start("t-1", "t-2")
        for number in range(10):
            host.send(number, "t-1")
            host.send(number, "t-1", payload_bytes=10)
        host.tick(0.1)
        request(host, 20, "t-1")
        self.assertEqual((11, 10), work_of(host, "t-1"))
        host.tick(flow_state.MIN_MOVED_S + 0.4)
        self.assertEqual((11, 0), work_of(host, "t-1"))

    def test_requests_at_a_target_that_does_not_reply_count_on(self):
        # It is slow or dead, and must not look idle.
        host = start("t-1", "t-2")
        host.open(1)
        host.send(1, "t-1")
        host.send(1, "t-1", payload_bytes=10)
        host.tick(flow_state.MIN_MOVED_S + 2.0)
        self.assertEqual((1, 1), work_of(host, "t-1"))

    def test_ports_used_again_count_as_a_new_flow(self):
        host = start("t-1")
        host.open(1)
        request(host, 1, "t-1")
        close(host, 1, "t-1")
        host.open(1)
        host.send(1, "t-1")
        self.assertEqual((1, 0), work_of(host, "t-1"))

    def test_the_memory_of_closed_flows_is_bounded(self):
        host = start("t-1")
        for number in range(50):
            host.send(number, "t-1", is_last=True)
        self.assertEqual(50, len(host.tracker.closed))
        host.tick(flow_tracker.CLOSED_RETENTION_S + 0.5)
        self.assertEqual({}, host.tracker.closed)


OPEN, SEND, LAST, ABORT, WAIT = range(5)

STEPS = st.lists(
    st.tuples(
        st.sampled_from((OPEN, SEND, SEND, SEND, LAST, ABORT, WAIT)),
        st.integers(0, 4),
        st.sampled_from(TARGETS),
        st.integers(0, 3),
        st.sampled_from((0, 10)),
    ),
    max_size=60,
)


class CountPropertyTest(testtools.TestCase):
    """Counts equal the flows that are known, whatever packets arrive."""

    def apply(self, host, step):
        """Delivers the packet of a step, or lets time pass."""
        kind, number, name, at, payload_bytes = step
        if kind == WAIT:
            host.tick(0.3 + at * 1.1)
        elif kind == OPEN:
            host.open(number, copy_number=at)
        elif kind == ABORT:
            host.deliver(
                cookie_host.packet(
                    number,
                    is_reset=True,
                    cookie=target_tags.tag_of(name),
                )
            )
        else:
            host.send(
                number,
                name,
                sequence=at * 10,
                acknowledged=at,
                payload_bytes=payload_bytes,
                is_last=kind == LAST,
            )

    def check(self, tracker):
        """Compares the counts of each target with the known flows."""
        flows = tracker.flows
        for name, activity in tracker.targets.items():
            own = [f for f in flows.values() if f.target.target.name == name]
            self.assertEqual(len(own), activity.flows)
            linked = activity.all_flows()
            self.assertEqual(len(own), len(linked))
            self.assertEqual(
                {flow.key for flow in own}, {flow.key for flow in linked}
            )
            used = tracker.used.get(activity.domain, {})
            self.assertEqual(bool(own), name in used)
            self.assertEqual(
                sum(not flow.is_open for flow in own), activity.opening
            )
            self.assertEqual(
                sum(flow.pending_since_s is not None for flow in own),
                activity.pending,
            )
        self.assertEqual(
            {key for key, flow in flows.items() if not flow.is_open},
            set(tracker.opening),
        )
        self.assertEqual(
            {
                key
                for key, flow in flows.items()
                if flow.pending_since_s is not None
            },
            set(tracker.pending),
        )

    @hypothesis.settings(deadline=None)
    @hypothesis.given(steps=STEPS)
    def test_counts_equal_the_flows_and_end_at_zero(self, steps):
        host = start(*TARGETS)
        for step in steps:
            self.apply(host, step)
            self.check(host.tracker)
        host.tick(20.0)
        self.assertEqual({}, host.tracker.flows)
        self.assertEqual(
            [(0, 0)] * len(TARGETS), [work_of(host, name) for name in TARGETS]
        )
