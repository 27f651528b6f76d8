"""Model checking of the replicated log on a simulated network.

Guards against violations of the Raft invariants under packet loss, partitions,
crashes, lost disks and membership changes, and against a log that does not
recover once the faults end.
"""

import itertools
import os
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import testtools
from testtools import matchers

from tamarack_core import failure
from tamarack_core.internal.consensus import log_parameters
from tamarack_core.internal.consensus import membership
from tamarack_lab.internal import replica_network
from tests.slow import consensus_checker

VOTERS = 5
SPARES = 2
MIN_VOTERS = 3
MAX_EVENTS = 60
CRASH_CHANCE = 0.2
HEAL_S = 60.0
SETTLE_S = 20.0
LOG_PARAMETERS = log_parameters.LogParameters(
    append_entries=3,
    append_bytes=64,
    window_requests=2,
    chunk_bytes=100,
    compaction_entries=8,
    retained_entries=3,
    promotion_entries=20,
)
IS_SOAK = os.environ.get("TAMARACK_PROFILE") == "soak"
CI_EXAMPLES = 40
STAND_IN_CI_EXAMPLES = 200
SOAK_EXAMPLES = 100
SOAK_RUNS = int(os.environ.get("TAMARACK_SOAK_RUNS", "20"))

NUMBERS = st.integers(0, 2**16)
HOSTS = st.integers(0, VOTERS + SPARES - 1)
CUT_ROUNDS = st.sampled_from([0, 4, 8, 16])
CHANCES = st.sampled_from([0.0, 0.03, 0.2])


class ConsensusModel(stateful.RuleBasedStateMachine):
    """Replicas under faults; the checker verifies every step.

    Attributes:
        voters: Number of initial voters.
    """

    voters = VOTERS

    @stateful.initialize(
        seed=NUMBERS, loss=CHANCES, duplication=CHANCES, straggling=CHANCES
    )
    def set_up(self, seed, loss, duplication, straggling):
        faults = replica_network.Faults(
            loss, duplication, straggling, sync_max_s=0.1
        )
        self.network = replica_network.ReplicaNetwork(
            seed, self.voters, SPARES, faults, LOG_PARAMETERS
        )
        self.checker = consensus_checker.Checker(self.network)
        self.names = list(self.network.hosts)
        self.proposed = 0
        self.lost = set()
        self.network.start()
        self.network.run_for(4.0)

    def host(self, number):
        return self.network.hosts[self.name(number)]

    def name(self, number):
        return self.names[number % len(self.names)]

    def leading(self):
        """Returns all hosts that believe to lead, old leaders included."""
        return [
            host
            for host in self.network.hosts.values()
            if host.is_up and host.replica.state.is_leader
        ]

    @stateful.rule(count=st.integers(1, MAX_EVENTS))
    def run_events(self, count):
        for _ in range(count):
            self.network.run_event()

    @stateful.rule(duration_s=st.sampled_from([0.02, 0.6, 2.0, 8.0]))
    def run_for(self, duration_s):
        self.network.run_for(duration_s)

    @stateful.rule(count=st.integers(1, 12))
    def propose(self, count):
        for host in self.leading():
            for _ in range(count):
                self.proposed += 1
                self.checker.propose(host, b"command-%d" % self.proposed)

    @stateful.rule(number=HOSTS)
    def read(self, number):
        if self.host(number).is_up:
            self.checker.read(self.host(number))

    @stateful.rule(rounds=st.integers(1, 12))
    def work(self, rounds):
        """Proposes everywhere and reads anywhere, while time passes."""
        for _ in range(rounds):
            self.propose(self.network.random.randint(1, 3))
            self.read(self.network.random.randrange(len(self.names)))
            for host in self.leading():
                self.checker.read(host)
            self.network.run_for(self.network.random.uniform(0.01, 1.0))

    @stateful.rule(rounds=st.integers(1, 12))
    def churn(self, rounds):
        """Works while members change and replicas restart."""
        generator = self.network.random
        for _ in range(rounds):
            number = generator.randrange(len(self.names))
            if generator.random() < CRASH_CHANCE:
                self.crash(number)
            self.restart(generator.randrange(len(self.names)))
            self.change_membership(generator.getrandbits(16))
            self.work(2)

    @stateful.rule(number=HOSTS)
    def crash(self, number):
        if self.host(number).is_up:
            self.network.crash(self.name(number))

    @stateful.rule()
    def crash_leader(self):
        for host in self.leading():
            self.network.crash(host.peer.host)

    @stateful.rule(number=HOSTS)
    def restart(self, number):
        if not self.host(number).is_up:
            refused = self.network.restart(self.name(number))
            consensus_checker.require(refused is None, refused)

    @stateful.rule(number=HOSTS)
    def lose_disk(self, number):
        host = self.host(number)
        if not self.leaves_quorum(self.lost | {host.incarnation}):
            return
        if host.is_up:
            self.network.crash(host.peer.host)
        self.lost.add(host.incarnation)
        self.network.replace_disk(host.peer.host)
        self.network.restart(host.peer.host)

    def leaves_quorum(self, lost):
        """Returns whether each membership in use keeps a quorum of disks."""
        return all(
            members.has_quorum(members.voters - lost)
            for members in self.checker.possible_memberships()
        )

    @stateful.rule(number=HOSTS, rounds=CUT_ROUNDS)
    def isolate(self, number, rounds):
        self.network.isolate(self.name(number))
        self.work_and_heal(rounds)

    @stateful.rule(rounds=CUT_ROUNDS)
    def isolate_leaders(self, rounds):
        for host in self.leading():
            self.network.isolate(host.peer.host)
        self.work_and_heal(rounds)

    @stateful.rule(sender=HOSTS, receiver=HOSTS, rounds=CUT_ROUNDS)
    def cut_one_way(self, sender, receiver, rounds):
        self.network.cuts.add((self.name(sender), self.name(receiver)))
        self.work_and_heal(rounds)

    @stateful.rule(size=st.integers(1, VOTERS + SPARES - 1), rounds=CUT_ROUNDS)
    def partition(self, size, rounds):
        left = set(self.names[:size])
        self.network.cuts.update(
            (sender, receiver)
            for sender in self.names
            for receiver in self.names
            if (sender in left) != (receiver in left)
        )
        self.work_and_heal(rounds)

    def work_and_heal(self, rounds):
        """Works during a cut and ends it, or leaves it as it is."""
        self.work(rounds)
        if rounds:
            self.heal()

    @stateful.rule()
    def heal(self):
        self.network.cuts.clear()

    @stateful.rule()
    def transfer(self):
        for host in self.leading():
            step = host.replica.transfer_leadership(self.network.now_s)
            if not isinstance(step, failure.Failure):
                self.network.carry_out(host, step)

    @stateful.rule(choice=NUMBERS)
    def change_membership(self, choice):
        for host in self.leading():
            changes = self.sensible_changes(host)
            if changes:
                self.change(host, changes[choice % len(changes)])

    def sensible_changes(self, leader):
        current = leader.replica.state.latest_membership
        kinds = membership.ChangeKind
        known = current.members
        changes = [
            membership.Change(kinds.ADD_LEARNER, host.incarnation, host.peer)
            for host in self.network.hosts.values()
            if host.incarnation not in known
        ]
        changes += [
            membership.Change(kinds.PROMOTE, incarnation)
            for incarnation, member in known.items()
            if not member.is_voter
        ]
        changes += [
            membership.Change(kinds.REPLACE, learner, replaced=voter)
            for learner, member in known.items()
            for voter in sorted(current.voters)
            if not member.is_voter
        ]
        changes += [
            membership.Change(
                kinds.REMOVE_STANDBY
                if member.is_standby
                else kinds.ADD_STANDBY,
                incarnation,
            )
            for incarnation, member in known.items()
            if not member.is_voter
        ]
        changes += [
            membership.Change(kinds.REMOVE, incarnation)
            for incarnation, member in known.items()
            if not member.is_voter or len(current.voters) > MIN_VOTERS
        ]
        return [item for item in changes if self.keeps_quorum(current, item)]

    def keeps_quorum(self, current, change):
        """Returns whether disks that remain hold a quorum after a change."""
        wanted = membership.apply_change(current, change)
        if isinstance(wanted, failure.Failure):
            return False
        return wanted.has_quorum(wanted.voters - self.lost)

    def change(self, host, change):
        state = host.replica.state
        committed_term = state.log.term_at(state.commit_index)
        is_settled = (
            committed_term == state.term
            and state.memberships[-1].index <= state.commit_index
        ) or change.kind is membership.ChangeKind.REMOVE_STANDBY
        result = host.replica.change_membership(self.network.now_s, change)
        if not isinstance(result, failure.Failure):
            consensus_checker.require(is_settled, "overlapping changes")
            self.network.carry_out(host, result.step)

    def teardown(self):
        if hasattr(self, "network"):
            self.check_recovery()

    def check_recovery(self):
        """After all faults end, a leader commits and all members agree."""
        self.network.cuts.clear()
        self.network.faults = replica_network.Faults()
        for number, _ in enumerate(self.names):
            self.restart(number)
        self.network.run_for(HEAL_S)
        self.remove_lost_standbys()
        leader = self.network.leader()
        consensus_checker.require(
            leader is not None, "no leader", self.checker.describe()
        )
        accepted = self.checker.propose(leader, b"last")
        consensus_checker.require(accepted, "leader refuses")
        self.network.run_for(SETTLE_S)
        consensus_checker.require(
            self.checker.applied[-1] == b"last", "not committed"
        )
        members = leader.replica.state.latest_membership.members
        behind = [
            host.incarnation
            for host in self.network.hosts.values()
            if host.incarnation in members
            and host.state_machine.commands != self.checker.applied
        ]
        consensus_checker.require(not behind, "behind", behind)

    def remove_lost_standbys(self):
        """Does what the owner of a log does if a standby doesn't respond."""
        for host in self.leading():
            for standby in host.replica.state.latest_membership.standbys:
                if standby in self.lost:
                    kind = membership.ChangeKind.REMOVE_STANDBY
                    self.change(host, membership.Change(kind, standby))
        self.network.run_for(SETTLE_S)


class StandInModel(ConsensusModel):
    """Three voters and a standby; a voter is gone while another one is lost.

    Attributes:
        elections: Number of leaders that were elected with a stand-in.
    """

    voters = 3
    elections = 0

    @stateful.rule()
    def add_standby(self):
        """Makes the first host that is no voter a standby."""
        kinds = membership.ChangeKind
        for host in self.leading():
            current = host.replica.state.latest_membership
            learners = sorted(set(current.members) - current.voters)
            if current.standbys:
                continue
            if learners:
                self.change(
                    host, membership.Change(kinds.ADD_STANDBY, learners[0])
                )
                continue
            for spare in self.network.hosts.values():
                if spare.is_up and spare.incarnation not in current.members:
                    self.change(
                        host,
                        membership.Change(
                            kinds.ADD_LEARNER, spare.incarnation, spare.peer
                        ),
                    )
        self.network.run_for(1.0)

    @stateful.rule(
        gone=HOSTS,
        lost=HOSTS,
        gap_s=st.floats(0.0, 3.0),
        down_s=st.floats(0.0, 4.5),
        rounds=st.integers(0, 4),
    )
    def lose_disk_beside_crash(self, gone, lost, gap_s, down_s, rounds):
        """Crashes a voter, then takes the disk of another one."""
        # Two changes make a spare host a standby.
        self.add_standby()
        self.add_standby()
        voters = [
            host
            for host in self.network.hosts.values()
            if any(
                host.incarnation
                in leader.replica.state.latest_membership.voters
                for leader in self.leading()
            )
        ]
        if len(voters) < self.voters:
            return
        first = voters.pop(gone % len(voters))
        second = voters.pop(lost % len(voters))
        if not self.leaves_quorum(self.lost | {second.incarnation}):
            return
        if first.is_up:
            self.network.crash(first.peer.host)
        self.work(rounds)
        self.network.run_for(gap_s)
        if second.is_up:
            self.network.crash(second.peer.host)
        self.lost.add(second.incarnation)
        self.network.replace_disk(second.peer.host)
        self.network.run_for(down_s)
        self.network.restart(second.peer.host)
        self.work(rounds)
        self.network.run_for(4.0)

    @stateful.rule(
        order=st.permutations(range(3)),
        is_gone_cut=st.booleans(),
        removal_s=st.floats(0.0, 1.0),
        gap_s=st.sampled_from([0.0, 0.1, 0.5, 2.0, 2.5, 3.5, 4.0, 4.5, 6.0]),
        down_s=st.floats(0.0, 2.0),
    )
    def go_on_without_standby(
        self, order, is_gone_cut, removal_s, gap_s, down_s
    ):
        """Cuts off the standby and a voter while the others go on.

        Then one of those is gone, the other one loses its disk, and only the
        standby and its voter are left for a while.
        """
        self.heal()
        self.add_standby()
        self.add_standby()
        leader = self.network.leader()
        if leader is None:
            return
        members = leader.replica.state.latest_membership
        running = {
            host.incarnation: host
            for host in self.network.hosts.values()
            if host.is_up
        }
        if (
            not members.standbys
            or len(members.voters) != self.voters
            or not running.keys() >= members.members.keys()
        ):
            return
        voters = sorted(members.voters)
        beside, gone, lost = (running[voters[place]] for place in order)
        if not self.leaves_quorum(self.lost | {lost.incarnation}):
            return
        cut = [beside, *(running[standby] for standby in members.standbys)]
        self.cut_between(cut, [gone, lost])
        self.network.run_for(removal_s)
        for host, standby in itertools.product(
            self.leading(), members.standbys
        ):
            kind = membership.ChangeKind.REMOVE_STANDBY
            self.change(host, membership.Change(kind, standby))
        self.propose(3)
        self.network.run_for(gap_s)
        self.propose(3)
        self.network.run_for(0.1)
        self.heal()
        if is_gone_cut:
            self.network.isolate(gone.peer.host)
        else:
            self.network.crash(gone.peer.host)
        self.network.crash(lost.peer.host)
        self.lost.add(lost.incarnation)
        self.network.replace_disk(lost.peer.host)
        self.network.run_for(down_s)
        self.network.restart(lost.peer.host)
        self.network.run_for(6.0)
        self.heal()
        self.restart(self.names.index(gone.peer.host))
        self.network.run_for(4.0)

    def cut_between(self, one_side, other_side):
        """Cuts all links between two sets of hosts."""
        for one, other in itertools.product(one_side, other_side):
            names = (one.peer.host, other.peer.host)
            self.network.cuts.update([names, names[::-1]])

    def teardown(self):
        super().teardown()
        if hasattr(self, "checker"):
            StandInModel.elections += self.checker.elected_with_stand_in


def settings(examples, is_same_each_time):
    """Returns settings without shrinking, which would take minutes."""
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=40,
        derandomize=is_same_each_time,
        database=None,
        phases=[hypothesis.Phase.generate],
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


class ConsensusModelTest(testtools.TestCase):
    """The replicated log keeps its invariants under faults."""

    def test_no_fault_breaks_an_invariant(self):
        stateful.run_state_machine_as_test(
            ConsensusModel, settings=settings(CI_EXAMPLES, True)
        )

    def test_no_stand_in_breaks_an_invariant(self):
        StandInModel.elections = 0
        stateful.run_state_machine_as_test(
            StandInModel, settings=settings(STAND_IN_CI_EXAMPLES, True)
        )
        self.assertThat(StandInModel.elections, matchers.GreaterThan(10))

    @testtools.skipUnless(IS_SOAK, "runs under TAMARACK_PROFILE=soak only")
    def test_no_fault_breaks_an_invariant_in_a_deep_run(self):
        first = os.environ.get("TAMARACK_SOAK_SEED")
        seed = int(first) if first else random.SystemRandom().randrange(10**9)
        for number in range(SOAK_RUNS):
            print(f"consensus soak seed {seed + number}", flush=True)
            for kind in (ConsensusModel, StandInModel):
                model = hypothesis.seed(seed + number)(kind)
                stateful.run_state_machine_as_test(
                    model, settings=settings(SOAK_EXAMPLES, False)
                )
