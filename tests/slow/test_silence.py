"""Flows whose packets vanish between the two ends."""

import collections

import testtools
from testtools import matchers

from tests.slow import routing_network

FLOWS = 60
# A caller repeats its payload every 8 s, and half of the hosts see two of the
# first six repetitions.
FOUND_S = 44.0
# Shorter than the patience of the callers, longer than several repetitions.
CUT_S = 34.0


class SilenceTest(testtools.TestCase):
    """Which flows are reset, and which are left alone."""

    def setUp(self):
        super().setUp()
        self.network = routing_network.Network(seed=31)
        self.network.open_many(FLOWS)
        self.network.run(10.0)
        self.by_target = collections.defaultdict(list)
        for flow in self.network.all_flows:
            (target,) = self.network.received[flow.uid]
            self.by_target[target].append(flow)

    def resets(self):
        """Returns the recorded resets of silent flows."""
        return [
            entry
            for entry in self.network.records
            if entry.name == "flow-reset" and entry.reason == "silent-flow"
        ]

    def mute(self, flows):
        self.network.muted |= {flow.caller for flow in flows}

    def test_a_silent_flow_is_reset_while_the_others_stay(self):
        flows = max(self.by_target.values(), key=len)
        self.assertThat(len(flows), matchers.GreaterThan(2))
        self.mute(flows[:1])
        self.network.run(FOUND_S)
        self.assertEqual("broken", flows[0].state)
        self.assertThat(len(self.resets()), matchers.GreaterThan(0))
        self.assertEqual(
            {"may-have-run"}, {entry.verdict for entry in self.resets()}
        )
        self.assertEqual(FLOWS - 1, self.network.count("open"))

    def test_an_idle_flow_with_nothing_outstanding_is_left_alone(self):
        flows = max(self.by_target.values(), key=len)
        flows[0].idle = True
        self.network.run(5.0)
        self.mute(flows[:1])
        self.network.run(3 * FOUND_S)
        self.assertEqual([], self.resets())
        self.assertEqual(FLOWS, self.network.count("open"))

    def test_flows_of_a_target_that_is_cut_off_are_not_reset(self):
        flows = max(self.by_target.values(), key=len)
        self.mute(flows)
        self.network.run(CUT_S)
        self.assertEqual([], self.resets())
        self.network.muted.clear()
        self.network.run(20.0)
        self.assertEqual(FLOWS, self.network.count("open"))
