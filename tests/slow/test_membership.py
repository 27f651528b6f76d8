"""Membership under loss, cuts, slow hosts, failures and planned stops."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import testtools

from tamarack_core.messages import membership
from tests.slow import membership_network

BUDGET_BYTES_PER_S = 1024
JOIN_S = 15.0
QUIET_S = 60.0


class FailureDetectionTest(testtools.TestCase):
    """Which hosts are declared dead, and which are not."""

    def test_hosts_that_know_three_seeds_find_all_others(self):
        network = membership_network.Network(20, seed=1)
        network.run(JOIN_S)
        self.assertTrue(network.is_settled())

    def test_all_hosts_declare_a_dead_host_dead_and_no_other(self):
        network = membership_network.Network(7, seed=2)
        network.run(JOIN_S)
        network.kill(network.peers[4])
        network.run(10.0)
        self.assertEqual(
            {membership.State.DEAD}, network.states(network.peers[4])
        )
        self.assertTrue(network.is_settled())

    def test_a_cut_of_one_direction_between_two_hosts_kills_neither(self):
        network = membership_network.Network(7, seed=3)
        network.run(JOIN_S)
        network.cut(network.peers[0], network.peers[1])
        for _ in range(120):
            network.run(1.0)
            self.assertTrue(network.is_settled())

    def test_a_host_slower_than_the_timeout_is_not_declared_dead(self):
        network = membership_network.Network(7, seed=4)
        network.run(JOIN_S)
        network.extra_delay_s[network.peers[2].host] = 0.45
        for _ in range(120):
            network.run(1.0)
            self.assertTrue(network.is_settled())

    def test_a_host_that_can_send_but_not_receive_is_declared_dead(self):
        network = membership_network.Network(7, seed=5)
        network.run(JOIN_S)
        unreachable = network.peers[5]
        for peer in network.peers:
            network.cut(peer, unreachable)
        network.run(20.0)
        self.assertEqual({membership.State.DEAD}, network.states(unreachable))

    def test_both_sides_of_a_healed_cut_find_each_other(self):
        network = membership_network.Network(7, seed=6)
        network.run(JOIN_S)
        for left in network.peers[:3]:
            for right in network.peers[3:]:
                network.cut(left, right)
                network.cut(right, left)
        network.run(30.0)
        self.assertFalse(network.is_settled())
        network.cuts.clear()
        network.run(30.0)
        self.assertTrue(network.is_settled())

    def test_a_restarted_host_comes_back_under_its_name(self):
        network = membership_network.Network(7, seed=7)
        network.run(JOIN_S)
        network.kill(network.peers[0])
        network.run(10.0)
        network.start(network.peers[0])
        network.run(10.0)
        self.assertTrue(network.is_settled())

    def test_a_host_that_stops_owns_nothing_after_a_second(self):
        network = membership_network.Network(7, seed=8)
        network.run(JOIN_S)
        leaver = network.peers[3]
        node = network.detectors[leaver.host]
        network.carry_out(leaver, node.leave(network.now_s))
        network.run(1.0)
        self.assertEqual({membership.State.LEAVING}, network.states(leaver))
        network.run(4.0)
        network.kill(leaver)
        self.assertEqual({membership.State.LEFT}, network.states(leaver))
        self.assertTrue(network.is_settled())


class BudgetTest(testtools.TestCase):
    """Control traffic of membership."""

    def rate(self, network, duration_s):
        """Returns bytes a host and second while time passes."""
        before = network.sent_bytes
        network.run(duration_s)
        sent = network.sent_bytes - before
        return sent / duration_s / len(network.peers)

    def test_a_quiet_host_stays_within_the_budget_at_any_size(self):
        for count in (7, 150):
            network = membership_network.Network(count, seed=9)
            network.run(60.0)
            self.assertTrue(network.is_settled())
            self.assertLessEqual(self.rate(network, 30.0), BUDGET_BYTES_PER_S)

    def test_a_death_keeps_the_host_within_the_budget(self):
        for count in (7, 150):
            network = membership_network.Network(count, seed=10)
            network.run(60.0)
            network.kill(network.peers[5])
            self.assertLessEqual(self.rate(network, 20.0), BUDGET_BYTES_PER_S)


class RandomFaultsTest(testtools.TestCase):
    """Any mixture of faults, then a time without faults."""

    @settings(derandomize=True, database=None, deadline=None, max_examples=12)
    @given(data=strategies.data())
    def test_after_any_faults_all_views_agree_on_who_runs(self, data):
        network = membership_network.Network(
            6, seed=data.draw(strategies.integers(0, 2**32)), loss=0.1
        )
        network.run(JOIN_S)
        pairs = strategies.tuples(
            strategies.sampled_from(network.peers),
            strategies.sampled_from(network.peers),
        )
        for _ in range(data.draw(strategies.integers(1, 6))):
            first, second = data.draw(pairs)
            kind = data.draw(strategies.sampled_from(("cut", "kill", "start")))
            if kind == "cut":
                network.cut(first, second)
            elif kind == "kill" and len(network.detectors) > 3:
                network.detectors.pop(first.host, None)
            elif kind == "start" and first.host not in network.detectors:
                network.start(first)
            network.run(data.draw(strategies.floats(0.1, 8.0)))
        network.cuts.clear()
        network.loss = 0.0
        network.run(QUIET_S)
        self.assertTrue(network.is_settled())
