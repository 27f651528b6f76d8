"""Several control hosts on a simulated network."""

import json

import msgspec
import testtools

from tamarack_core import assembly
from tamarack_core import requests
from tests import fake_hosts

State = requests.PatchState

SERVICE = {
    "addresses": ["192.0.2.1"],
    "classes": {"routes": {"port": 80, "target_port": 8080}},
    "target_networks": ["10.0.1.0/24"],
}


def patch(patch_id, base, *operations, **more):
    """Returns a patch request."""
    raw = msgspec.Raw(json.dumps(operations).encode())
    return requests.SubmitPatch(patch_id, base, raw, "ana", **more)


class ControlTest(testtools.TestCase):
    """Three control hosts agree on one verdict for each patch."""

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

    def component(self, name):
        """Returns the component of a host that handles patches."""
        handlers = self.network.nodes[name].handlers[requests.SubmitPatch]
        return handlers[0].__self__

    def leader(self):
        """Returns the name of the host that leads, or None."""
        leading = [
            name
            for name in self.network.nodes
            if self.component(name).replica.state.is_leader
        ]
        return leading[0] if len(leading) == 1 else None

    def bootstrap(self):
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
                    self.component(name).replica.state.is_voter
                    for name in names
                )
            ),
            20.0,
        )

    def followers(self):
        """Returns the running hosts that don't lead."""
        leader = self.leader()
        return [name for name in self.network.nodes if name != leader]

    def test_a_follower_forwards_a_patch_to_the_leader(self):
        self.bootstrap()
        verdict = self.network.answer(self.followers()[0], patch("a", 0))
        self.assertEqual((State.ACCEPTED, 1), (verdict.state, verdict.version))
        self.network.run(2.0)
        for name in self.names:
            read = self.network.answer(name, requests.ReadConfiguration())
            self.assertEqual(1, read.numbered.version)

    def test_a_resend_to_another_host_gets_the_first_verdict(self):
        self.bootstrap()
        one, other = self.followers()
        first = self.network.answer(one, patch("a", 0))
        self.network.answer(other, patch("b", 1))
        self.network.kill(self.leader())
        again = self.network.answer(other, patch("a", 0, is_resend=True))
        self.assertEqual(first, again)

    def test_a_host_without_a_leader_reports_no_quorum(self):
        self.bootstrap()
        isolated = self.followers()[0]
        self.network.isolate(isolated)
        self.network.run(4.0)
        verdict = self.network.answer(isolated, patch("a", 0))
        self.assertEqual(State.NO_QUORUM, verdict.state)
        read = self.network.answer(isolated, requests.ReadConfiguration())
        self.assertEqual("no-quorum", read.reason)

    def test_a_forwarded_read_that_is_lost_is_sent_again(self):
        self.bootstrap()
        follower = self.followers()[0]
        self.network.cut = {(follower, self.leader())}
        number = self.network.ask(follower, requests.ReadConfiguration())
        self.network.cut = set()
        self.network.run_until(lambda: number in self.network.answers, 9.0)
        read = self.network.answers[number]
        self.assertIsInstance(read, requests.ConfigurationRead)

    def test_a_resend_without_a_leader_stays_unknown(self):
        self.bootstrap()
        isolated = self.followers()[0]
        self.network.isolate(isolated)
        self.network.run(4.0)
        verdict = self.network.answer(isolated, patch("a", 0, is_resend=True))
        self.assertEqual(State.UNKNOWN, verdict.state)

    def test_a_patch_in_the_log_of_an_isolated_leader_is_unknown(self):
        self.bootstrap()
        leader = self.leader()
        self.network.isolate(leader)
        verdict = self.network.answer(leader, patch("a", 0))
        self.assertEqual(State.UNKNOWN, verdict.state)

    def test_no_patch_is_accepted_before_all_voters_have_started(self):
        for name in self.names[:2]:
            self.network.start(name)
        verdict = self.network.answer("c0", patch("a", 0))
        self.assertEqual(State.NO_QUORUM, verdict.state)
        self.network.start("c2")
        self.wait_for_voters(self.names)
        verdict = self.network.answer("c0", patch("a", 0, is_resend=True))
        self.assertEqual(State.ACCEPTED, verdict.state)

    def test_a_founder_that_lost_its_disk_does_not_bootstrap_again(self):
        self.bootstrap()
        self.network.answer("c1", patch("a", 0))
        self.network.kill("c0", lose_disk=True)
        self.network.start("c0")
        self.network.run(15.0)
        self.assertFalse(self.component("c0").replica.state.is_voter)
        verdict = self.network.answer("c1", patch("b", 1))
        self.assertEqual(2, verdict.version)

    def test_a_founder_that_lost_its_disk_early_does_not_bootstrap_again(self):
        for name in self.names:
            self.network.start(name)
        self.network.run_until(
            lambda: (
                len(self.component("c0").replica.state.latest_membership.voters)
                > 1
            ),
            20.0,
        )
        self.network.kill("c0", lose_disk=True)
        self.network.start("c0")
        self.network.run(15.0)
        self.assertFalse(self.component("c0").replica.state.is_voter)

    def test_a_host_that_lost_its_disk_votes_again_once_removed(self):
        self.bootstrap()
        lost = self.followers()[0]
        before = self.component(lost).disk.incarnation
        self.network.kill(lost, lose_disk=True)
        self.network.start(lost)
        self.network.run(5.0)
        self.assertFalse(self.component(lost).replica.state.is_voter)
        request = requests.ChangeMember(requests.MemberAction.REMOVE, lost)
        refused = self.network.answer(self.followers()[0], request)
        self.assertEqual("not-leader", refused.reason)
        self.network.answer(self.leader(), request)
        self.wait_for_voters(self.names)
        read = self.network.answer(self.leader(), requests.ReadMembers())
        incarnations = [member.incarnation for member in read.members]
        self.assertEqual(3, len(incarnations))
        self.assertNotIn(before, incarnations)

    def test_five_and_seven_hosts_survive_the_loss_of_a_minority(self):
        for count in (1, 5, 7):
            self.create(count)
            self.bootstrap()
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
        self.bootstrap()
        first = self.network.answer("c0", patch("a", 0))
        for name in self.names:
            self.network.kill(name)
        for name in self.names:
            self.network.start(name)
        self.wait_for_voters(self.names)
        self.assertEqual(first, self.network.answer("c2", patch("a", 0)))

    def test_an_odd_patch_ends_no_host_and_delays_no_other_patch(self):
        self.bootstrap()
        port = "/services/s1/classes/routes/port"
        for number, odd in enumerate(
            (
                {"op": "add", "path": port, "value": 10**400},
                {"op": ["add"], "path": port, "value": 1},
            )
        ):
            add = {"op": "add", "path": "/services/s1", "value": SERVICE}
            verdict = self.network.answer(
                "c1", patch(f"o{number}", 0, add, odd)
            )
            self.assertEqual(State.INVALID, verdict.state)
        accepted = self.network.answer("c2", patch("a", 0))
        self.assertEqual(State.ACCEPTED, accepted.state)
        for name in self.names:
            self.network.kill(name)
        for name in self.names:
            self.network.start(name)
        self.wait_for_voters(self.names)
        self.assertEqual(accepted, self.network.answer("c0", patch("a", 0)))

    def answer_later(self, later):
        """Returns the verdict on a patch with JSON text in an unused field."""
        text = f'[{{"op":"test","path":"/x","value":1,"later":{later}}}]'
        raw = msgspec.Raw(text.encode())
        request = requests.SubmitPatch(f"i{len(later)}", 0, raw, "ana")
        return self.network.answer(self.leader(), request)

    def test_a_deeply_nested_patch_is_refused_before_it_is_replicated(self):
        # Whether such a patch can be decoded depends on the depth of the stack,
        # so that the hosts could decide differently.
        self.bootstrap()
        for depth in (100, 900, 50_000):
            deep = "[" * depth + "]" * depth
            for later in (deep, f'["\\\\",{deep}]', f'{{"\\"]}}":{deep}}}'):
                verdict = self.answer_later(later)
                self.assertEqual(State.INVALID, verdict.state)
                self.assertIn("too-deep", verdict.reason)

    def test_brackets_in_a_string_of_a_patch_are_no_nesting(self):
        self.bootstrap()
        for later in (
            f'"{"[" * 900}"',
            f'"\\"{"{" * 900}\\\\"',
            "[]," * 99 + "[]",
        ):
            verdict = self.answer_later(f"[{later}]")
            self.assertIn("patch-failed", verdict.reason)

    def test_a_graceful_stop_transfers_the_leadership(self):
        self.bootstrap()
        leader = self.leader()
        event = fake_hosts.events.StopRequested(self.network.now_s)
        self.network.handle(leader, event)
        self.assertIn(leader, self.network.stopped)
        self.network.kill(leader)
        self.network.run(1.0)
        self.assertIn(self.leader(), self.names)
