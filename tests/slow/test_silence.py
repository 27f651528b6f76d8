"""Detection of stalled flows, whose packets are lost on the way.

Guards against stalled flows that are never reset, and against resets of idle
flows or of all flows of a target that is cut off for a while.
"""

import collections

import testtools
from testtools import matchers

from tests.slow import routing_network

FLOWS = 60
# A caller retransmits its payload every 8 s, and half of the hosts see two of
# the first six retransmissions.
DETECTION_S = 44.0
# Shorter than the time-out of the callers, longer than several
# retransmissions.
CUT_S = 34.0


class SilenceTest(testtools.TestCase):
    """Only stalled flows of a working target are reset."""

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
        """Returns the recorded resets of stalled flows."""
        return [
            entry
            for entry in self.network.records
            if entry.name == "flow-reset" and entry.reason == "silent-flow"
        ]

    def mute(self, flows):
        self.network.muted |= {flow.caller for flow in flows}

    def test_a_stalled_flow_is_reset_while_the_others_stay(self):
        flows = max(self.by_target.values(), key=len)
        self.assertThat(len(flows), matchers.GreaterThan(2))
        self.mute(flows[:1])
        self.network.run(DETECTION_S)
        self.assertEqual("broken", flows[0].state)
        self.assertThat(len(self.resets()), matchers.GreaterThan(0))
        self.assertEqual(
            {"may-have-run"}, {entry.verdict for entry in self.resets()}
        )
        self.assertEqual(FLOWS - 1, self.network.count("open"))

    def test_an_idle_flow_with_nothing_outstanding_is_not_reset(self):
        flows = max(self.by_target.values(), key=len)
        flows[0].idle = True
        self.network.run(5.0)
        self.mute(flows[:1])
        self.network.run(3 * DETECTION_S)
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
