"""Control hosts bootstrap, repair and replace the voters of their group."""

import itertools

import testtools

from tamarack_core import external_requests
from tamarack_core import refusal
from tamarack_core import target_announcement
from tests import group_network


def started(count=3, tolerated=1, seed=1):
    """Returns a network whose control hosts have published one document."""
    network = group_network.GroupNetwork(count, tolerated, seed)
    network.start_all()
    network.publish(1)
    return network


ACK_TIMEOUT_S = 5.0
"""Time in which a change has to be acknowledged, in seconds."""


class BootstrapTest(testtools.TestCase):
    """Bootstrap of the group at the first start of its hosts."""

    def test_three_seeds_bootstrap_one_group(self):
        network = started()
        self.assertEqual({"c1", "c2", "c3"}, network.voters("c1"))
        self.assertEqual(1, len(network.leaders()))

    def test_two_of_three_seeds_are_enough(self):
        network = group_network.GroupNetwork(3)
        network.start("c2", is_first_start=True)
        network.run(0.3)
        network.start("c3", is_first_start=True)
        network.publish(1)
        network.start("c1", is_first_start=True)
        network.run(3.0)
        self.assertEqual(1, network.read().number)
        self.assertEqual(1, len(network.leaders()))

    def test_one_seed_alone_bootstraps_no_group(self):
        network = group_network.GroupNetwork(3)
        network.start("c1", is_first_start=True)
        network.run(20.0)
        answer = network.try_at(
            "c1", external_requests.PublishDocument(group_network.document(1))
        )
        self.assertIsInstance(answer, external_requests.Unavailable)

    def test_hosts_that_restart_with_empty_disks_bootstrap_no_group(self):
        network = group_network.GroupNetwork(3)
        for host in network.peers:
            network.start(host, is_first_start=False)
        network.run(20.0)
        self.assertEqual(set(), network.leaders())

    def test_a_fourth_host_joins_without_a_vote(self):
        network = started(count=4)
        network.run(3.0)
        self.assertEqual(3, len(network.voters("c4")))
        self.assertEqual(
            1,
            network.try_at(
                "c4", external_requests.ReadDocument()
            ).document.number,
        )

    def test_five_hosts_vote_when_two_may_fail(self):
        network = started(count=6, tolerated=2)
        network.run(4.0)
        self.assertEqual(5, len(network.voters("c1")))
        voters = sorted(network.voters("c1"))
        network.kill(voters[0])
        network.kill(voters[1])
        network.publish(2)


class RepairTest(testtools.TestCase):
    """Lost hosts return, or other hosts replace them."""

    def test_a_host_that_lost_its_disk_votes_again(self):
        network = started()
        network.kill("c2", lose_disk=True)
        network.run(0.5)
        network.start("c2")
        network.run(5.0)
        self.assertEqual({"c1", "c2", "c3"}, network.voters("c2"))
        network.kill("c1")
        network.publish(2)

    def test_an_empty_disk_gets_no_vote_before_it_holds_the_document(self):
        # c2 holds the latest document but is down, c3 was partitioned off when
        # it was published, and c1 lost its disk. If the empty disk voted, c1
        # and c3 would elect a leader without the document.
        network = started()
        network.partition(["c3"], ["c1", "c2"])
        network.run(3.0)
        network.publish(2)
        network.kill("c1", lose_disk=True)
        network.kill("c2")
        network.cut.clear()
        network.start("c1")
        network.run(10.0)
        self.assertEqual(set(), network.leaders())
        network.start("c2")
        self.assertEqual(2, network.read().number)

    def test_a_host_at_a_new_address_replaces_a_lost_one(self):
        network = started()
        network.kill("c3", lose_disk=True)
        network.add(7)
        network.run(8.0)
        self.assertEqual({"c1", "c2", "c7"}, network.voters("c7"))
        network.kill("c1")
        network.publish(2)

    def test_a_replaced_host_that_returns_does_not_disrupt_the_group(self):
        network = started()
        network.kill("c3")
        network.add(7)
        network.run(8.0)
        network.start("c3")
        network.run(8.0)
        self.assertEqual({"c1", "c2", "c7"}, network.voters("c1"))
        self.assertEqual(1, len(network.leaders()))
        network.publish(2)
        self.assertEqual(2, network.read().number)

    def test_a_learner_replaces_a_lost_voter(self):
        network = started(count=4)
        network.run(3.0)
        lost = min(network.voters("c1") - network.leaders())
        network.kill(lost)
        network.run(6.0)
        self.assertIn("c4", network.voters("c4"))
        self.assertNotIn(lost, network.voters("c4"))

    def test_a_host_without_live_seeds_finds_its_group_in_its_log(self):
        network = started()
        for lost, new in ((1, 7), (2, 8), (3, 9)):
            network.kill(f"c{lost}", lose_disk=True)
            del network.peers[f"c{lost}"]
            network.add(new)
            network.run(8.0)
        for host in list(network.nodes):
            network.kill(host)
        network.run(1.0)
        for host in network.peers:
            # The settings files still name the first three hosts.
            network.seeds_of[host] = network.seeds
            network.start(host)
        network.publish(4)
        network.kill("c8", lose_disk=True)
        network.start("c8")
        network.seeds_of["c8"] = network.seeds
        network.run(6.0)
        network.kill("c7")
        network.publish(5)

    def test_all_hosts_restart_after_a_power_failure(self):
        network = started()
        network.publish(5)
        for host in list(network.nodes):
            network.kill(host)
        network.run(1.0)
        for host in network.peers:
            network.start(host)
        began_s = network.now_s
        self.assertEqual(5, network.read().number)
        self.assertThat(
            network.now_s - began_s, testtools.matchers.LessThan(2.0)
        )


class PublishingTest(testtools.TestCase):
    """Documents whose numbers operators choose."""

    def test_the_highest_number_wins_and_a_resend_is_acknowledged(self):
        network = started()
        self.assertEqual(7, network.publish(7).number)
        for host in network.peers:
            answer = network.try_at(
                host,
                external_requests.PublishDocument(group_network.document(3)),
            )
            self.assertEqual(7, answer.number)
        self.assertEqual(7, network.read().number)

    def test_other_content_under_a_known_number_changes_nothing(self):
        network = started()
        network.publish(4, content="first")
        network.publish(4, content="second")
        self.assertEqual("first", network.read().remainder)

    def test_two_concurrent_publish_requests_end_with_one_content(self):
        network = started()
        requests = [
            external_requests.PublishDocument(
                group_network.document(9, content=content)
            )
            for content in ("first", "second")
        ]
        leader = network.leaders().pop()
        numbers = [network.ask(leader, request) for request in requests]
        network.run(1.0)
        for number in numbers:
            self.assertEqual(9, network.answers[number].number)
        contents = {
            network.try_at(
                host, external_requests.ReadDocument()
            ).document.remainder
            for host in network.peers
        }
        self.assertEqual({"first"}, contents)

    def test_eight_concurrent_publish_requests_end_at_the_highest(self):
        network = started()
        leader = network.leaders().pop()
        numbers = [
            network.ask(
                leader,
                external_requests.PublishDocument(
                    group_network.document(number)
                ),
            )
            for number in (12, 15, 11, 18, 14, 13, 17, 16)
        ]
        network.run(1.0)
        for number in numbers:
            self.assertIsInstance(
                network.answers[number], external_requests.DocumentPublished
            )
        self.assertEqual(18, network.read().number)

    def test_a_minority_serves_no_read_and_no_publish_request(self):
        network = started()
        network.isolate("c1")
        network.run(2.0)
        read = network.try_at("c1", external_requests.ReadDocument())
        publish = network.try_at(
            "c1", external_requests.PublishDocument(group_network.document(2))
        )
        for answer in (read, publish):
            self.assertIsInstance(answer, external_requests.Unavailable | None)

    def test_an_isolated_host_serves_no_stale_read_after_its_return(self):
        network = started()
        network.isolate("c1")
        network.publish(6)
        network.cut.clear()
        answer = network.try_at("c1", external_requests.ReadDocument())
        if isinstance(answer, external_requests.DocumentRead):
            self.assertEqual(6, answer.document.number)

    def test_invalid_documents_are_refused_with_a_reason(self):
        network = started()
        good = group_network.route("a", 443)
        twice = group_network.route("b", 443)
        unknown = group_network.route("c", 80, service="none")
        for routes, reason in (
            ((good, twice), "repeated-place"),
            ((good, good), "repeated-place"),
            ((unknown,), "unknown-service"),
        ):
            answer = network.try_at(
                "c1",
                external_requests.PublishDocument(
                    group_network.document(2, *routes)
                ),
            )
            self.assertIsInstance(answer, refusal.Refused)
            self.assertEqual(reason, answer.reason)
        self.assertEqual(1, network.read().number)

    def test_a_document_is_read_back_as_it_was_published(self):
        network = started()
        ports = (443, 80, 8080, 9090)
        routes = [group_network.route(f"r{port}", port) for port in ports]
        for number, kept in ((2, routes), (3, routes[1:]), (4, routes[::-1])):
            network.publish(number, *kept)
            self.assertEqual(tuple(kept), network.read().routes)


class FullDiskTest(testtools.TestCase):
    """Load: four changes a second while disks are full one after another."""

    def publish_for(self, network, seconds, numbers):
        """Publishes documents; each has to be acknowledged within 5 s."""
        end_s = network.now_s + seconds
        while network.now_s < end_s:
            network.publish(next(numbers), timeout_s=ACK_TIMEOUT_S)
            network.run(0.2)

    def check(self, count, tolerated, choose):
        """Fills one disk after another, and checks that changes go on.

        Args:
            count: Number of control hosts.
            tolerated: Number of hosts that may be lost at once.
            choose: Returns the host whose disk is full next, given the network
                and the number of the round.
        """
        network = group_network.GroupNetwork(count, tolerated)
        network.start_all()
        numbers = itertools.count(1)
        self.publish_for(network, 2.0, numbers)
        for turn in range(2 * count):
            host = choose(network, turn)
            network.fill_disk(host)
            self.publish_for(network, 3.0 + turn % 3, numbers)
            network.free_disk(host)
            network.run(0.1)
        self.publish_for(network, 5.0, numbers)
        newest = next(numbers) - 1
        network.run(1.0)
        for host in network.peers:
            control = network.component_of(
                host, external_requests.PublishDocument
            )
            self.assertEqual(newest, control.machine.document.number)
            self.assertEqual(0, len(control.publish_requests.pending))

    def test_changes_go_on_while_the_disk_of_each_host_is_full_in_turn(self):
        for count, tolerated in ((3, 1), (5, 2), (6, 2)):
            self.check(
                count,
                tolerated,
                lambda network, turn: sorted(network.peers)[
                    turn % len(network.peers)
                ],
            )

    def test_changes_go_on_while_the_disk_of_the_leader_is_full(self):
        for count, tolerated in ((3, 1), (5, 2), (6, 2)):
            self.check(
                count, tolerated, lambda network, _: min(network.leaders())
            )


class AnnouncementTest(testtools.TestCase):
    """Targets announce themselves to any control host."""

    def known_announcement(self, network, host, name):
        """Returns the announcement that a host holds of a target."""
        component = network.component_of(host, external_requests.AnnounceTarget)
        record = component.registry.records.get(name)
        return None if record is None else record.target

    def announce(self, network, host, **changes):
        """Announces a target to a control host; returns the response."""
        changes.setdefault("name", "t-1")
        name = changes.pop("name")
        target = group_network.target(name, **changes)
        return network.try_at(host, external_requests.AnnounceTarget(target))

    def test_a_drain_reaches_all_control_hosts_at_once(self):
        network = started()
        self.announce(network, "c1")
        network.run(1.0)
        self.announce(
            network, "c2", sequence=2, phase=target_announcement.Phase.DRAINING
        )
        network.run(0.05)
        for host in network.peers:
            phase = self.known_announcement(network, host, "t-1").phase
            self.assertEqual(target_announcement.Phase.DRAINING, phase)

    def test_a_late_announcement_changes_nothing(self):
        network = started()
        self.announce(
            network, "c1", sequence=5, phase=target_announcement.Phase.DRAINING
        )
        network.run(1.0)
        self.announce(network, "c2", sequence=4)
        network.run(1.0)
        for host in network.peers:
            self.assertEqual(
                5, self.known_announcement(network, host, "t-1").sequence
            )

    def test_a_restart_of_a_target_supersedes_earlier_announcements(self):
        network = started()
        self.announce(
            network, "c1", sequence=90, phase=target_announcement.Phase.DRAINING
        )
        network.run(1.0)
        self.announce(network, "c1", sequence=1, born_ms=2000)
        network.run(1.0)
        for host in network.peers:
            known = self.known_announcement(network, host, "t-1")
            self.assertEqual((2000, 1), known.order)

    def test_a_target_whose_address_was_reused_stays_gone(self):
        network = started()
        network.publish(2, services=("web", "b"))
        self.announce(network, "c1")
        self.announce(network, "c1", name="t-2", born_ms=2000, service="b")
        network.run(1.0)
        self.announce(network, "c3", sequence=7)
        network.run(1.0)
        for host in network.peers:
            phase = self.known_announcement(network, host, "t-1").phase
            self.assertEqual(target_announcement.Phase.GONE, phase)

    def test_a_target_that_restarted_with_its_clock_set_back_drains(self):
        network = started()
        self.announce(network, "c1", born_ms=5000)
        network.run(1.0)
        sequence = 0
        for _ in range(10):
            sequence += 1
            self.announce(network, "c1", born_ms=3000, sequence=sequence)
            network.run(group_network.ANNOUNCE_INTERVAL_S)
        self.announce(
            network,
            "c1",
            born_ms=3000,
            sequence=sequence + 1,
            phase=target_announcement.Phase.DRAINING,
        )
        network.run(0.1)
        for host in network.peers:
            known = self.known_announcement(network, host, "t-1")
            self.assertEqual(3000, known.born_ms)
            self.assertEqual(target_announcement.Phase.DRAINING, known.phase)

    def test_an_unknown_service_ends_no_target_at_any_host(self):
        network = started()
        self.announce(network, "c1")
        self.announce(network, "c2", name="x", born_ms=2000, service="none")
        network.run(1.0)
        network.kill("c3", lose_disk=True)
        network.start("c3")
        network.run(3.0)
        for host in network.peers:
            known = self.known_announcement(network, host, "t-1")
            self.assertEqual(target_announcement.Phase.READY, known.phase)

    def test_a_target_that_precedes_its_service_reaches_all_hosts(self):
        network = started()
        self.announce(network, "c1")
        self.announce(network, "c2", born_ms=2000, service="b")
        network.run(1.0)
        network.publish(2, services=("web", "b"))
        network.run(1.0)
        for host in network.peers:
            known = self.known_announcement(network, host, "t-1")
            self.assertEqual("b", known.service)

    def test_a_target_without_announcements_is_overdue_until_the_next(self):
        network = started()
        self.announce(network, "c1")
        network.run(4.0)
        component = network.component_of("c2", external_requests.AnnounceTarget)
        self.assertTrue(component.registry.records["t-1"].is_overdue)
        self.announce(network, "c1", sequence=2)
        network.run(1.0)
        self.assertFalse(component.registry.records["t-1"].is_overdue)

    def announce_for(self, network, host, seconds):
        """Announces a target to one host in the usual interval."""
        sequence = 1
        end_s = network.now_s + seconds
        while network.now_s < end_s:
            sequence += 1
            self.announce(network, host, sequence=sequence)
            network.run(group_network.ANNOUNCE_INTERVAL_S)

    def test_a_target_announced_beside_a_long_partition_is_not_gone(self):
        # The hosts that hear nothing of it must not end it for all.
        network = started()
        self.announce(network, "c1")
        network.run(1.0)
        network.isolate("c1")
        self.announce_for(network, "c1", 75.0)
        network.cut.clear()
        self.announce_for(network, "c1", 6.0)
        for host in network.peers:
            known = self.known_announcement(network, host, "t-1")
            self.assertEqual(target_announcement.Phase.READY, known.phase)

    def test_a_target_that_was_forgotten_in_a_partition_is_known_after(self):
        network = started()
        self.announce(network, "c1")
        network.run(1.0)
        network.isolate("c1")
        self.announce_for(network, "c1", 130.0)
        self.assertIsNone(self.known_announcement(network, "c2", "t-1"))
        network.cut.clear()
        self.announce_for(network, "c1", 6.0)
        self.assertIsNotNone(self.known_announcement(network, "c2", "t-1"))
