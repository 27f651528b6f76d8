"""Evacuation of failure domains: orders, their replication and new flows."""

import msgspec
import testtools
from testtools import matchers

from tamarack_core import documents
from tamarack_core import evacuations
from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import sync
from tamarack_core import target_announcement
from tamarack_core.internal.documents import state_machine as machines
from tests import cookie_host
from tests import group_network

ACKNOWLEDGED_S = 1.0
"""Time in which an order is acknowledged by a stable group, in seconds."""

APPLIED_S = 5.0
"""Time from the acknowledgment in which an order is in force, in seconds."""


def request(action, domain="zone-1"):
    """Returns the request of an order."""
    order = evacuations.Order(domain, evacuations.Action(action))
    return external_requests.OrderEvacuation(order)


def started(count=3, tolerated=1, seed=1):
    """Returns a settled group of control hosts."""
    network = group_network.GroupNetwork(count, tolerated, seed)
    network.start_all()
    network.publish(1)
    network.run(2.0)
    return network


class OrderTest(testtools.TestCase):
    """Orders at the control hosts, beside failures of hosts and links."""

    def in_force(self, network):
        """Returns the evacuated domains by running host."""
        return {host: network.evacuated(host) for host in network.nodes}

    def check_in_force(self, network, domains):
        """Checks the evacuated domains of all running hosts."""
        network.run(APPLIED_S)
        expected = dict.fromkeys(network.nodes, domains)
        self.assertEqual(expected, self.in_force(network))

    def test_an_order_is_acknowledged_soon_and_in_force_at_all_hosts(self):
        network = started(4)
        for action, domains in (("start", ("zone-1",)), ("end", ())):
            began_s = network.now_s
            network.order(action)
            took_s = network.now_s - began_s
            self.assertThat(took_s, matchers.LessThan(ACKNOWLEDGED_S))
            self.check_in_force(network, domains)

    def test_two_domains_are_evacuated_at_once(self):
        network = started()
        network.order("start")
        network.order("start", "zone-2")
        self.check_in_force(network, ("zone-1", "zone-2"))
        network.order("end")
        self.check_in_force(network, ("zone-2",))

    def test_a_repeated_order_is_acknowledged_at_each_host(self):
        network = started(4)
        network.order("start")
        for host in network.peers:
            response = network.try_at(host, request("start"))
            self.assertIsInstance(response, external_requests.EvacuationOrdered)
        self.check_in_force(network, ("zone-1",))

    def test_an_unknown_domain_is_refused_without_effect(self):
        network = started()
        for domain in ("zone-9", "zone%2D1", " ", "x" * 10_000):
            for host in network.peers:
                response = network.try_at(host, request("start", domain))
                self.assertIsInstance(response, external_requests.NotFound)
        self.check_in_force(network, ())

    # A follower that lags would acknowledge a repeat of an order that has been
    # reversed in the meantime.
    def test_a_follower_acknowledges_nothing_by_itself(self):
        network = started()
        network.order("start")
        network.run(1.0)
        follower = max(set(network.nodes) - network.leaders())
        network.isolate(follower)
        network.order("end")
        response = network.try_at(follower, request("start"))
        self.assertNotIsInstance(response, external_requests.EvacuationOrdered)

    def test_without_a_quorum_an_order_is_answered_as_unavailable(self):
        network = started()
        leader = min(network.leaders())
        network.isolate(leader)
        network.run(0.3)
        began_s = network.now_s
        response = network.try_at(leader, request("start"))
        self.assertIsInstance(response, external_requests.Unavailable)
        network.run(3.0)
        response = network.try_at(leader, request("start"))
        self.assertIsInstance(response, external_requests.Unavailable)
        self.assertThat(network.now_s - began_s, matchers.LessThan(5.0))
        self.assertEqual((), network.evacuated(leader))

    def test_a_leader_killed_at_any_point_of_an_order_loses_nothing(self):
        for delay_s in (0.0, 0.002, 0.004, 0.006, 0.01, 0.02):
            network = started(seed=int(delay_s * 1000) + 1)
            leader = min(network.leaders())
            network.ask(leader, request("start"))
            network.run(delay_s)
            network.kill(leader)
            network.order("start")
            network.start(leader)
            self.check_in_force(network, ("zone-1",))

    def test_orders_survive_a_loss_of_all_power_and_a_lost_disk(self):
        network = started(4)
        network.order("start")
        network.order("start", "zone-2")
        network.order("end", "zone-2")
        for host in list(network.nodes):
            network.kill(host, lose_disk=host == "c2")
        for host in sorted(network.peers):
            network.start(host)
        network.publish(2)
        self.check_in_force(network, ("zone-1",))

    def test_a_host_with_an_empty_disk_gets_the_state_with_the_snapshot(self):
        network = started()
        network.order("start")
        for number in range(2, 260):
            network.publish(number)
        network.kill("c2", lose_disk=True)
        network.run(0.5)
        network.start("c2")
        self.check_in_force(network, ("zone-1",))

    def test_a_replacement_at_a_new_address_holds_the_state(self):
        network = started()
        network.order("start")
        network.kill("c3", lose_disk=True)
        network.add(7)
        network.run(8.0)
        self.assertEqual(("zone-1",), network.evacuated("c7"))

    def test_opposite_orders_at_once_leave_one_state_everywhere(self):
        network = started()
        network.order("start")
        network.run(group_network.REPEAT_S)
        hosts = sorted(network.nodes)
        network.ask(hosts[0], request("end"))
        network.ask(hosts[1], request("start"))
        network.run(APPLIED_S)
        self.assertEqual(1, len(set(self.in_force(network).values())))


class DuplicateTest(testtools.TestCase):
    """A duplicate of an order arrives after the opposite order."""

    def setUp(self):
        super().setUp()
        self.network = started()
        self.network.order("start")
        self.network.run(1.0)
        self.network.order("end")

    def check_refused(self):
        """Sends a duplicate to each host; it must have no effect."""
        for host in sorted(self.network.nodes):
            response = self.network.try_at(host, request("start"))
            self.assertIsInstance(response, external_requests.Unavailable)
            self.assertThat(response.retry_after_s, matchers.GreaterThan(0.0))
        self.network.run(0.5)
        for host in self.network.nodes:
            self.assertEqual((), self.network.evacuated(host))

    def test_it_has_no_effect(self):
        self.check_refused()

    def test_it_has_no_effect_after_a_change_of_leader(self):
        self.network.kill(min(self.network.leaders()))
        self.network.run(2.0)
        self.check_refused()

    def test_it_has_no_effect_after_a_loss_of_all_power(self):
        for host in list(self.network.nodes):
            self.network.kill(host)
        for host in sorted(self.network.peers):
            self.network.start(host)
        self.network.run(2.0)
        self.check_refused()

    def test_a_new_order_is_obeyed_while_the_operator_repeats_it(self):
        began_s = self.network.now_s
        self.network.order("start", timeout_s=group_network.REPEAT_S)
        took_s = self.network.now_s - began_s
        self.assertThat(took_s, matchers.LessThan(group_network.REPEAT_S))

    def test_a_new_order_after_that_time_is_obeyed_at_once(self):
        self.network.run(group_network.REPEAT_S)
        began_s = self.network.now_s
        self.network.order("start")
        took_s = self.network.now_s - began_s
        self.assertThat(took_s, matchers.LessThan(ACKNOWLEDGED_S))

    def test_the_first_end_is_not_delayed(self):
        network = started()
        network.order("start")
        began_s = network.now_s
        network.order("end")
        took_s = network.now_s - began_s
        self.assertThat(took_s, matchers.LessThan(ACKNOWLEDGED_S))


class FormatTest(testtools.TestCase):
    """Logs and snapshots of earlier versions, and of later ones."""

    def test_a_snapshot_of_a_document_alone_is_read(self):
        document = group_network.document(7)
        machine = machines.DocumentStateMachine()
        machine.restore(msgspec.msgpack.encode(document))
        self.assertEqual(document, machine.document)
        self.assertEqual(0, machine.evacuations.state.revision)

    def test_a_command_of_a_change_alone_is_applied(self):
        document = group_network.document(7)
        change = documents.difference(documents.Document(0), document)
        machine = machines.DocumentStateMachine()
        machine.apply(1, msgspec.msgpack.encode(change))
        self.assertEqual(document, machine.document)

    def test_a_command_of_an_unknown_kind_changes_nothing(self):
        machine = machines.DocumentStateMachine()
        machine.apply(1, msgspec.msgpack.encode(("later", [1, {"a": 2}])))
        self.assertEqual(0, machine.document.number)
        self.assertEqual(0, machine.evacuations.state.revision)


def evacuated(revision, *domains):
    """Returns evacuations at a revision."""
    return evacuations.Evacuations(revision, domains)


class NewFlowsTest(testtools.TestCase):
    """New and open flows at an entry host while domains are evacuated."""

    def setUp(self):
        super().setUp()
        self.host = cookie_host.CookieHost()
        self.host.update(
            cookie_host.domain_target("t-1", "a"),
            cookie_host.domain_target("t-2", "b"),
            document=cookie_host.document(1),
        )
        self.numbers = iter(range(1, 1000))

    def chosen(self, count=12):
        """Returns the targets of several new flows."""
        return {self.host.open(next(self.numbers)) for _ in range(count)}

    def order(self, revision, *domains):
        """Delivers evacuations from the publisher."""
        self.host.update(
            base=1, position=1, evacuated=evacuated(revision, *domains)
        )

    def test_no_target_of_the_domain_gets_a_new_flow_until_the_end(self):
        self.assertEqual({"t-1", "t-2"}, self.chosen())
        self.order(1, "a")
        self.assertEqual({"t-2"}, self.chosen())
        self.order(2)
        self.assertIn("t-1", self.chosen())

    def test_an_open_flow_stays(self):
        number = next(
            number for number in self.numbers if self.host.open(number) == "t-1"
        )
        self.host.send(number, "t-1")
        self.order(1, "a")
        for sequence in (1, 101, 201):
            sent = self.host.send(
                number, "t-1", sequence=sequence, payload_bytes=100
            )
            self.assertEqual("t-1", sent)
        self.assertEqual([], self.host.resets)

    def test_a_repeated_opening_goes_elsewhere(self):
        number = next(
            number for number in self.numbers if self.host.open(number) == "t-1"
        )
        self.order(1, "a")
        self.host.tick(0.2)
        self.assertEqual("t-2", self.host.open(number, copy_number=1))

    def test_targets_that_announce_themselves_meanwhile_get_none(self):
        self.order(1, "a")
        restarted = msgspec.structs.replace(
            cookie_host.domain_target("t-1", "a"), born_ms=9000
        )
        moved = msgspec.structs.replace(
            cookie_host.domain_target("t-2", "a"), sequence=9
        )
        new = cookie_host.domain_target("t-3", "a")
        remaining = cookie_host.domain_target("t-4", "b")
        self.host.update(restarted, moved, new, remaining, base=1, position=2)
        self.assertEqual({"t-4"}, self.chosen())
        self.order(2)
        self.assertEqual({"t-1", "t-2", "t-3"}, self.chosen(9))

    def test_without_other_targets_an_opening_is_refused_at_once(self):
        self.order(1, "a", "b")
        self.assertEqual("reset", self.host.open(next(self.numbers)))
        reasons = [record.entry.reason for record in self.host.records]
        self.assertEqual("domain-evacuated", reasons[-1])

    # An earlier copy may have opened the flow before the evacuation; a reset
    # would break it.
    def test_a_repeated_opening_is_not_reset(self):
        number = next(self.numbers)
        self.host.open(number)
        self.order(1, "a", "b")
        self.assertEqual("", self.host.open(number, copy_number=1))
        self.assertEqual([], self.host.resets)

    def test_a_draining_target_stays_out_at_the_end(self):
        self.order(1, "a")
        draining = msgspec.structs.replace(
            cookie_host.domain_target("t-1", "a"),
            sequence=5,
            phase=target_announcement.Phase.DRAINING,
        )
        self.host.update(draining, base=1, position=2)
        self.order(2)
        self.assertEqual({"t-2"}, self.chosen())

    def test_an_older_revision_changes_nothing(self):
        self.order(5, "a")
        for revision in (5, 4, 0):
            self.order(revision)
            self.assertEqual({"t-2"}, self.chosen(4))

    def test_an_invalid_state_is_skipped_with_a_reason(self):
        for state in (
            evacuated(-1, "a"),
            evacuated(3, "x" * 10_000),
            evacuated(3, ""),
            evacuated(3, *(f"d{number}" for number in range(2000))),
        ):
            self.host.update(base=1, position=1, evacuated=state)
            self.assertEqual("evacuations-skipped", self.last_record())
        self.assertEqual({"t-1", "t-2"}, self.chosen())

    def last_record(self):
        """Returns the name of the last time line entry of an update."""
        names = [record.entry.name for record in self.host.records]
        return next(name for name in reversed(names) if "evacuat" in name)

    def test_a_starting_host_gets_the_state_with_its_first_targets(self):
        host = cookie_host.CookieHost()
        host.update(
            cookie_host.domain_target("t-1", "a"),
            cookie_host.domain_target("t-2", "b"),
            document=cookie_host.document(1),
            evacuated=evacuated(3, "a"),
        )
        self.assertEqual({"t-2"}, {host.open(number) for number in range(9)})

    def test_another_control_host_brings_a_newer_state(self):
        self.host.update(base=1, is_confirmed=False)
        self.host.tick(1.1)
        queries = [
            effect.message
            for effect in self.host.sent
            if isinstance(effect.message, sync.SyncRequest)
        ]
        self.assertEqual(0, queries[-1].revision)
        answer = sync.DocumentAnswer(True, evacuations=evacuated(4, "b"))
        peer = cookie_host.control("c2", "b")
        self.host.handle(events.MessageArrived(self.host.now_s, peer, answer))
        self.assertEqual({"t-1"}, self.chosen())
