"""The control role of several hosts on a fake network."""

import json

import msgspec
import testtools

from tamarack_core import assembly
from tamarack_core import requests
from tests import fake_hosts

State = requests.PatchState


def patch(patch_id, base, *operations, **more):
    """Returns a patch request."""
    raw = msgspec.Raw(json.dumps(operations).encode())
    return requests.SubmitPatch(patch_id, base, raw, "ana", **more)


class ControlTest(testtools.TestCase):
    """Three control hosts give one verdict on each patch."""

    def setUp(self):
        super().setUp()
        self.create(3)

    def create(self, count):
        """Creates a network of control hosts that haven't started."""
        self.names = [f"c{number}" for number in range(count)]
        voters = tuple(fake_hosts.peer(name, name) for name in self.names)
        self.network = fake_hosts.Network(
            [
                assembly.Plan(
                    host=voter,
                    roles=frozenset([assembly.Role.CONTROL]),
                    seed=number,
                    sources=tuple(set(voters) - {voter}),
                    voters=voters,
                )
                for number, voter in enumerate(voters)
            ]
        )

    def part(self, name):
        """Returns the control part of a host."""
        handlers = self.network.nodes[name].handlers[requests.SubmitPatch]
        return handlers[0].__self__

    def leader(self):
        """Returns the name of the host that leads, or None."""
        leading = [
            name
            for name in self.network.nodes
            if self.part(name).replica.state.is_leader
        ]
        return leading[0] if len(leading) == 1 else None

    def found(self):
        """Starts all hosts and waits until all of them are voters."""
        for name in self.names:
            self.network.start(name)
        self.wait_for_voters(self.names)

    def wait_for_voters(self, names):
        """Waits until the hosts are voters and one of them leads."""
        self.network.run_until(
            lambda: (
                self.leader() in names
                and all(
                    self.part(name).replica.state.is_voter for name in names
                )
            ),
            20.0,
        )

    def followers(self):
        """Returns the running hosts that don't lead."""
        leader = self.leader()
        return [name for name in self.network.nodes if name != leader]

    def test_a_follower_hands_a_patch_to_the_leader(self):
        self.found()
        verdict = self.network.answer(self.followers()[0], patch("a", 0))
        self.assertEqual((State.ACCEPTED, 1), (verdict.state, verdict.version))
        self.network.run(2.0)
        for name in self.names:
            read = self.network.answer(name, requests.ReadConfiguration())
            self.assertEqual(1, read.numbered.version)

    def test_a_resend_to_another_host_gets_the_first_answer(self):
        self.found()
        one, other = self.followers()
        first = self.network.answer(one, patch("a", 0))
        self.network.answer(other, patch("b", 1))
        self.network.kill(self.leader())
        again = self.network.answer(other, patch("a", 0, is_resend=True))
        self.assertEqual(first, again)

    def test_a_host_without_a_leader_says_no_quorum(self):
        self.found()
        lonely = self.followers()[0]
        self.network.isolate(lonely)
        self.network.run(4.0)
        verdict = self.network.answer(lonely, patch("a", 0))
        self.assertEqual(State.NO_QUORUM, verdict.state)
        read = self.network.answer(lonely, requests.ReadConfiguration())
        self.assertEqual("no-quorum", read.reason)

    def test_a_read_whose_question_is_lost_is_asked_again(self):
        self.found()
        follower = self.followers()[0]
        self.network.cut = {(follower, self.leader())}
        number = self.network.ask(follower, requests.ReadConfiguration())
        self.network.cut = set()
        self.network.run_until(lambda: number in self.network.answers, 9.0)
        read = self.network.answers[number]
        self.assertIsInstance(read, requests.ConfigurationRead)

    def test_a_resend_without_a_leader_stays_unknown(self):
        self.found()
        lonely = self.followers()[0]
        self.network.isolate(lonely)
        self.network.run(4.0)
        verdict = self.network.answer(lonely, patch("a", 0, is_resend=True))
        self.assertEqual(State.UNKNOWN, verdict.state)

    def test_a_patch_in_the_log_of_an_isolated_leader_is_unknown(self):
        self.found()
        leader = self.leader()
        self.network.isolate(leader)
        verdict = self.network.answer(leader, patch("a", 0))
        self.assertEqual(State.UNKNOWN, verdict.state)

    def test_nothing_is_accepted_before_a_majority_takes_part(self):
        for name in self.names[:2]:
            self.network.start(name)
        verdict = self.network.answer("c0", patch("a", 0))
        self.assertEqual(State.NO_QUORUM, verdict.state)
        self.network.start("c2")
        self.wait_for_voters(self.names)
        verdict = self.network.answer("c0", patch("a", 0, is_resend=True))
        self.assertEqual(State.ACCEPTED, verdict.state)

    def test_a_founder_that_lost_its_disk_does_not_found_anew(self):
        self.found()
        self.network.answer("c1", patch("a", 0))
        self.network.kill("c0", lose_disk=True)
        self.network.start("c0")
        self.network.run(15.0)
        self.assertFalse(self.part("c0").replica.state.is_voter)
        verdict = self.network.answer("c1", patch("b", 1))
        self.assertEqual(2, verdict.version)

    def test_a_founder_that_lost_its_disk_early_does_not_found_anew(self):
        for name in self.names:
            self.network.start(name)
        self.network.run_until(
            lambda: (
                len(self.part("c0").replica.state.latest_membership.voters) > 1
            ),
            20.0,
        )
        self.network.kill("c0", lose_disk=True)
        self.network.start("c0")
        self.network.run(15.0)
        self.assertFalse(self.part("c0").replica.state.is_voter)

    def test_a_host_that_lost_its_disk_votes_again_once_removed(self):
        self.found()
        lost = self.followers()[0]
        before = self.part(lost).disk.incarnation
        self.network.kill(lost, lose_disk=True)
        self.network.start(lost)
        self.network.run(5.0)
        self.assertFalse(self.part(lost).replica.state.is_voter)
        request = requests.ChangeMember(requests.MemberAction.REMOVE, lost)
        refused = self.network.answer(self.followers()[0], request)
        self.assertEqual("not-leader", refused.reason)
        self.network.answer(self.leader(), request)
        self.wait_for_voters(self.names)
        read = self.network.answer(self.leader(), requests.ReadMembers())
        incarnations = [member.incarnation for member in read.members]
        self.assertEqual(3, len(incarnations))
        self.assertNotIn(before, incarnations)

    def test_five_and_seven_hosts_outlive_the_loss_of_a_minority(self):
        for count in (1, 5, 7):
            self.create(count)
            self.found()
            self.network.answer("c0", patch("a", 0))
            for _ in range(count // 2):
                self.network.kill(self.leader())
                self.network.run_until(self.leader, 10.0)
            alive = next(iter(self.network.nodes))
            verdict = self.network.answer(alive, patch("b", 1))
            self.assertEqual(State.ACCEPTED, verdict.state, count)
            first = self.network.answer(alive, patch("a", 0))
            self.assertEqual(1, first.version)

    def test_all_hosts_restart_from_their_disks(self):
        self.found()
        first = self.network.answer("c0", patch("a", 0))
        for name in self.names:
            self.network.kill(name)
        for name in self.names:
            self.network.start(name)
        self.wait_for_voters(self.names)
        self.assertEqual(first, self.network.answer("c2", patch("a", 0)))

    def test_a_planned_stop_hands_over_the_leadership(self):
        self.found()
        leader = self.leader()
        event = fake_hosts.events.StopRequested(self.network.now_s)
        self.network.handle(leader, event)
        self.assertIn(leader, self.network.stopped)
        self.network.kill(leader)
        self.network.run(1.0)
        self.assertIn(self.leader(), self.names)
