"""A standby stands in for a voter while nothing is committed without it."""

import hypothesis
from hypothesis import strategies as st
import testtools
from testtools import matchers

from tamarack_core import failure
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import standing
from tamarack_core.messages import consensus
from tamarack_lab.internal import replica_network

STAND_IN = consensus.StandIn("control-0.0", "control-3.0")


class TermTest(testtools.TestCase):
    """Quorums of the two kinds of election need not share a voter."""

    @hypothesis.given(st.integers(0, 10_000), st.integers(0, 10_000))
    def test_no_term_is_that_of_both_kinds_of_election(self, one, other):
        first = standing.next_term(one, None)
        second = standing.next_term(other, STAND_IN)
        assert first > one
        assert second > other
        assert first != second


class ReleaseTest(testtools.TestCase):
    """Faults: the standby and a voter are cut off."""

    def setUp(self):
        super().setUp()
        self.network = replica_network.ReplicaNetwork(1, 3, 1)
        self.network.start()
        self.network.run_for(6.0)
        self.leader = self.network.leader()
        spare = self.network.hosts["control-3"]
        for kind in ("ADD_LEARNER", "ADD_STANDBY"):
            self.change(
                membership.Change(
                    membership.ChangeKind[kind], spare.incarnation, spare.peer
                )
            )
            self.network.run_for(1.0)
        self.standby = spare
        self.followers = [
            host
            for host in self.network.hosts.values()
            if host not in (self.leader, spare)
        ]
        self.parameters = self.network.parameters

    def change(self, change):
        result = self.leader.replica.change_membership(
            self.network.now_s, change
        )
        assert not isinstance(result, failure.Failure), result
        self.network.carry_out(self.leader, result.step)

    def propose(self):
        """Proposes a command; returns its index."""
        result = self.leader.replica.propose(self.network.now_s, b"command")
        assert not isinstance(result, failure.Failure), result
        self.network.carry_out(self.leader, result.step)
        return result.index

    def remove_standby(self):
        """Cuts off the standby and a voter, and removes the standby."""
        self.network.isolate(self.standby.peer.host)
        self.network.isolate(self.followers[0].peer.host)
        self.change(
            membership.Change(
                membership.ChangeKind.REMOVE_STANDBY, self.standby.incarnation
            )
        )

    def committed(self):
        return self.leader.replica.state.commit_index

    def test_nothing_is_committed_before_the_standing_has_ended(self):
        self.remove_standby()
        index = self.propose()
        self.network.run_for(self.parameters.standing_s)
        self.assertThat(self.committed(), matchers.LessThan(index))
        self.network.run_for(1.0)
        self.assertEqual(index, self.committed())

    def test_all_voters_release_a_standby_at_once(self):
        self.network.isolate(self.standby.peer.host)
        index = self.propose()
        self.network.run_for(0.5)
        self.assertThat(self.committed(), matchers.LessThan(index))
        self.change(
            membership.Change(
                membership.ChangeKind.REMOVE_STANDBY, self.standby.incarnation
            )
        )
        self.network.run_for(0.5)
        self.assertEqual(index + 1, self.committed())

    # The voter that held the removal may have lost its disk meanwhile, and the
    # standby may stand in for it.
    def test_a_majority_has_to_respond_after_the_standing_has_ended(self):
        self.remove_standby()
        self.network.run_for(0.1)
        self.network.run_for(self.parameters.release_s - 0.3)
        self.network.isolate(self.followers[1].peer.host)
        self.network.run_for(0.4)
        before = self.committed()
        self.propose()
        self.network.run_for(0.3)
        self.assertTrue(self.leader.replica.state.is_leader)
        self.assertEqual(before, self.committed())

    # What was granted before says nothing of what was committed meanwhile.
    def test_a_standby_that_becomes_one_again_starts_without_standing(self):
        state = self.standby.replica.state
        state.stand_in = consensus.StandIn(
            self.leader.incarnation, self.standby.incarnation
        )
        self.assertEqual(3, len(state.standing.granted_s))
        for kind in ("REMOVE_STANDBY", "ADD_STANDBY"):
            changed_s = self.network.now_s
            self.change(
                membership.Change(
                    membership.ChangeKind[kind], self.standby.incarnation
                )
            )
            self.network.run_for(0.05)
        self.assertIsNone(state.stand_in)
        for granted_s in state.standing.granted_s.values():
            self.assertThat(granted_s, matchers.GreaterThan(changed_s))
        self.network.run_for(1.0)
        self.assertEqual(3, len(state.standing.granted_s))

    def test_a_voter_that_holds_the_removal_grants_no_standing(self):
        self.remove_standby()
        self.network.run_for(0.1)
        voter = self.followers[1].replica.state
        self.assertFalse(standing.is_standby(voter, self.standby.incarnation))
        self.assertTrue(
            standing.is_standby(
                self.followers[0].replica.state, self.standby.incarnation
            )
        )


class TwoStandbysTest(testtools.TestCase):
    """Faults: two standbys and a voter are down."""

    # The leader tracks the release of one removed standby at a time, and starts
    # anew whenever it turns to the other one.
    def test_two_standbys_are_released_beside_a_silent_voter(self):
        network = replica_network.ReplicaNetwork(1, 3, 2)
        network.start()
        network.run_for(6.0)
        leader = network.leader()
        spares = [network.hosts["control-3"], network.hosts["control-4"]]
        kinds = membership.ChangeKind

        def change(kind, host):
            wanted = membership.Change(kind, host.incarnation, host.peer)
            result = leader.replica.change_membership(network.now_s, wanted)
            assert not isinstance(result, failure.Failure), result
            network.carry_out(leader, result.step)

        for kind in (kinds.ADD_LEARNER, kinds.ADD_STANDBY):
            for host in spares:
                change(kind, host)
                network.run_for(0.5)
        follower = next(
            host
            for host in network.hosts.values()
            if host not in (leader, *spares)
        )
        for host in (*spares, follower):
            network.crash(host.peer.host)
        for host in spares:
            change(kinds.REMOVE_STANDBY, host)
        last_index = leader.replica.state.log.last_index
        network.run_for(15.0)
        self.assertEqual(last_index, leader.replica.state.commit_index)
