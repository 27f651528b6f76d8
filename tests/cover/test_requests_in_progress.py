"""Counts of flows and requests in progress, over random orders of packets."""

import collections

import hypothesis
from hypothesis import strategies as st
import testtools

from tamarack_core import peers
from tamarack_core import target_announcement
from tamarack_core.internal import target_tags
from tamarack_core.internal.cookie import flow_tracker
from tamarack_core.internal.cookie import target_table
from tests import cookie_host

FLOWS, TARGETS = 4, 3
NAMES = [f"t-{number}" for number in range(TARGETS)]

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("open", "again", "send", "copy", "ack", "last", "reset", "wait")
        ),
        st.integers(0, FLOWS - 1),
        st.integers(0, TARGETS - 1),
        st.sampled_from((0.0, 0.001, 0.3, 1.7, 4.0, 11.0, 16.0)),
    ),
    max_size=60,
)


class Caller:
    """Packets of one flow, as its caller numbers them."""

    def __init__(self):
        self.sequence, self.acknowledged, self.target = 1, 1, 0

    def sent(self, number, target, **fields):
        """Returns a packet of the flow."""
        data = cookie_host.packet(
            number,
            cookie=target_tags.tag_of(NAMES[target]),
            acknowledged=self.acknowledged,
            **fields,
        )
        return cookie_host.FakeCodec().decode(data)


def entries():
    """Returns the entries of the targets."""
    endpoint = peers.Endpoint("10.0.0.1", 80)
    table = target_table.TargetTable()
    for name in NAMES:
        announced = cookie_host.target(name)
        assert announced.endpoint == endpoint
        table.put(0.0, target_announcement.KnownTarget(announced))
    return [table.by_name[name] for name in NAMES]


class RequestsInProgressTest(testtools.TestCase):
    """Load: packets that are lost, repeated, late, or come from other hosts."""

    def check(self, tracker):
        """Compares all counts with the flows."""
        flows, opening, pending = (collections.Counter() for _ in range(3))
        for flow in tracker.flows.values():
            name = flow.target.target.name
            flows[name] += 1
            opening[name] += not flow.is_open
            pending[name] += flow.pending_since_s is not None
        for name, activity in tracker.targets.items():
            self.assertEqual(
                (flows[name], opening[name], pending[name]),
                (activity.flows, activity.opening, activity.pending),
            )
            self.assertEqual(flows[name], len(activity.all_flows()))
        self.assertEqual(sum(opening.values()), len(tracker.opening))
        self.assertEqual(sum(pending.values()), len(tracker.pending))
        self.assertEqual(
            sum(pending.values()),
            tracker.count_requests("web", float("-inf")),
        )
        used = {name for names in tracker.used.values() for name in names}
        self.assertEqual(set(+flows), used)
        since = [tracker.flows[k].pending_since_s for k in tracker.pending]
        self.assertEqual(sorted(since), since)

    def step(self, tracker, now_s, callers, known, step):
        """Carries out one step of a caller, or of the clock."""
        action, number, target, _ = step
        caller, entry = callers[number], known[target]
        key = cookie_host.flow(number)
        if action == "open":
            tracker.observe_opening(now_s, key, entry)
        elif action == "again":
            tracker.observe_repeated_opening(now_s, key)
        elif action == "reset":
            tracker.remove_flow(key)
        elif action == "wait":
            tracker.expire(now_s, 15.0)
            tracker.remove_targets(NAMES[:1])
        else:
            fields = {"sequence": caller.sequence}
            if action == "ack":
                caller.acknowledged += 900
            if action == "send":
                fields["payload_bytes"] = 10
                caller.sequence += 10
            if action == "copy" and caller.sequence > 1:
                fields = {"sequence": caller.sequence - 10, "payload_bytes": 10}
            fields["is_last"] = action == "last"
            packet = caller.sent(number, target, **fields)
            tracker.observe_packet(now_s, entry, packet)

    @hypothesis.given(STEPS)
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    def test_counts_equal_the_flows_and_end_with_them(self, steps):
        # A count that is too high makes openings wait at an idle service for
        # as long as the host runs; one that is too low fills the queues.
        tracker, known = flow_tracker.FlowTracker(), entries()
        callers = [Caller() for _ in range(FLOWS)]
        now_s = 100.0
        for step in steps:
            now_s += step[3]
            self.step(tracker, now_s, callers, known, step)
            self.check(tracker)
        for number, caller in enumerate(callers):
            caller.acknowledged += 900
            self.step(tracker, now_s, callers, known, ("last", number, 0, 0.0))
            self.step(tracker, now_s, callers, known, ("copy", number, 0, 0.0))
        self.check(tracker)
        self.assertEqual(({}, {}), (tracker.flows, tracker.pending))

    def test_a_late_copy_of_a_payload_after_the_end_is_no_request(self):
        # It counted as a request in progress for up to 10 s.
        tracker, known = flow_tracker.FlowTracker(), entries()
        tracker.observe_opening(100.0, cookie_host.flow(1), known[0])
        caller = Caller()
        request = caller.sent(1, 0, payload_bytes=10)
        tracker.observe_packet(100.0, known[0], request)
        caller.acknowledged = 901
        end = caller.sent(1, 0, sequence=11, is_last=True)
        tracker.observe_packet(100.1, known[0], end)
        tracker.observe_packet(100.2, known[0], request)
        self.assertEqual({}, tracker.pending)
        self.assertEqual({}, tracker.flows)

    def test_a_new_request_on_a_port_that_was_closed_counts(self):
        # The port may be used again before the closed flow is forgotten.
        tracker, known = flow_tracker.FlowTracker(), entries()
        caller = Caller()
        end = caller.sent(1, 0, sequence=11, is_last=True)
        tracker.observe_packet(100.0, known[0], end)
        for sequence in (11, 900_000, (1 << 32) - 900_000):
            tracker.observe_packet(100.0, known[0], end)
            new = caller.sent(1, 0, sequence=sequence, payload_bytes=10)
            tracker.observe_packet(100.2, known[0], new)
            self.assertEqual(1, len(tracker.pending), sequence)
            tracker.remove_flow(cookie_host.flow(1))
