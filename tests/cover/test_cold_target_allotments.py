"""Allotments of cold targets at control hosts, beside failures."""

import testtools
from testtools import matchers

from tamarack_core import evacuations
from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import peers
from tamarack_core import sync
from tamarack_core.internal.cold_targets import allotment as allotment_lib
from tests import group_network

WARM_UP_S = 5.0
RATE = 4.0
BUDGET = 8
ENTRIES = 30


def entry(number):
    """Returns an entry host, one of those of three failure domains."""
    endpoint = peers.Endpoint(f"10.8.0.{number + 1}", 7000)
    domain = f"zone-{number % 3 + 1}"
    return peers.Peer(f"entry-{number}", domain, endpoint)


class ColdNetwork(group_network.GroupNetwork):
    """Control hosts with subscribed entry hosts, and all allotments seen.

    Attributes:
        seen: All allotments that any host had in force, by key.
    """

    def __init__(self, count=3, seed=1, warm_up=(WARM_UP_S, RATE)):
        super().__init__(count, seed=seed)
        self.seen = {}
        self.start_all()
        self.publish(1, warm_up=warm_up)
        self.subscribe(3.0)

    def subscribe(self, seconds):
        """Runs while each entry host requests updates once a second."""
        for _ in range(round(seconds)):
            for number in range(ENTRIES):
                host = f"c{number % 3 + 1}"
                request = sync.SyncRequest("", 0, 1)
                self.handle(
                    host,
                    events.MessageArrived(self.now_s, entry(number), request),
                )
            self.run(1.0)

    def announce(self, name, host="c1", **changes):
        """Announces a target at a host."""
        target = group_network.target(name, **changes)
        self.ask(host, external_requests.AnnounceTarget(target))

    def publisher(self, host):
        """Returns the publisher of a host."""
        return self.component_of(host, sync.SyncRequest)

    def held(self, host):
        """Returns the hosts of each allotment at a control host, by key."""
        by_key = self.publisher(host).allotments.by_key
        return {key: item.allotment.hosts for key, item in by_key.items()}

    def _step(self):
        super()._step()
        for host in self.nodes:
            for key, hosts in self.held(host).items():
                if self.seen.setdefault(key, hosts) != hosts:
                    raise AssertionError(f"{key} allotted twice")


class AllotmentTest(testtools.TestCase):
    """Which control host allots what, and whether it stays."""

    def the_allotment(self, network, key=None):
        """Checks that all hosts hold one allotment, and returns its hosts."""
        key = key or allotment_lib.Key("t-1", 1000)
        held = {host: network.held(host).get(key) for host in network.nodes}
        self.assertEqual(1, len(set(held.values())), held)
        hosts = next(iter(held.values()))
        self.assertIsNotNone(hosts)
        self.assertEqual(BUDGET, len(set(hosts)))
        return hosts

    def test_a_cold_target_is_allotted_to_hosts_of_all_domains(self):
        network = ColdNetwork(4)
        network.announce("t-1", cold_ms=5000)
        network.announce("t-2")
        network.run(1.0)
        hosts = self.the_allotment(network)
        self.assertEqual(1, len(network.held("c1")))
        domains = {entry(int(name.split("-")[1])).domain for name in hosts}
        self.assertThat(len(domains), matchers.GreaterThan(1))

    def test_without_a_rate_nothing_is_allotted(self):
        for warm_up in ((0, 0), (WARM_UP_S, 0)):
            network = ColdNetwork(warm_up=warm_up)
            network.announce("t-1", cold_ms=5000)
            network.order("start")
            network.order("end")
            network.run(1.0)
            self.assertEqual({}, network.held("c1"))

    # The entry may or may not be in force at the next leader, which must then
    # keep it.
    def test_a_leader_killed_between_append_and_commit_allots_once(self):
        for delay_ms in (0, 2, 4, 6, 8, 12, 16, 25):
            network = ColdNetwork(seed=delay_ms + 1)
            leader = min(network.leaders())
            replicator = network.component_of(
                leader, external_requests.PublishDocument
            )
            network.announce("t-1", host=leader, cold_ms=9000)
            network.run_until(lambda r=replicator: r.allotments.pending, 1.0)
            self.assertEqual({}, network.held(leader))
            network.run(delay_ms / 1000)
            network.kill(leader)
            network.run(2.0)
            network.subscribe(2.0)
            network.start(leader)
            network.run(3.0)
            self.the_allotment(network)

    def test_without_a_quorum_nothing_is_allotted(self):
        network = ColdNetwork()
        leader = min(network.leaders())
        network.isolate(leader)
        network.announce("t-1", host=leader, cold_ms=9000)
        network.run(2.0)
        self.assertEqual({}, network.held(leader))
        network.cut.clear()
        network.run(3.0)
        network.announce("t-1", host=leader, sequence=2, cold_ms=5000)
        network.subscribe(2.0)
        self.the_allotment(network)

    def test_allotments_survive_a_loss_of_power_a_disk_and_a_snapshot(self):
        network = ColdNetwork(4)
        network.announce("t-1", cold_ms=5000)
        network.run(1.0)
        before = self.the_allotment(network)
        for number in range(2, 260):
            network.publish(number, warm_up=(WARM_UP_S, RATE))
        self.assertIsNotNone(network.disks["c1"].snapshot)
        for host in list(network.nodes):
            network.kill(host, lose_disk=host == "c2")
        for host in sorted(network.peers):
            network.start(host)
        network.run(4.0)
        self.assertEqual(before, self.the_allotment(network))

    def test_an_entry_host_is_told_of_its_allotments_alone(self):
        network = ColdNetwork()
        network.announce("t-1", cold_ms=5000)
        network.run(1.0)
        hosts = self.the_allotment(network)
        publisher = network.publisher("c1")
        for number in range(ENTRIES):
            peer = entry(number)
            publisher.handle_request(
                events.MessageArrived(
                    network.now_s, peer, sync.SyncRequest("", 0, 1)
                )
            )
            subscriber = publisher.subscribers[peer.host]
            self.assertEqual(1, subscriber.allotment)
            subscriber.allotment = 0
            update = publisher._allotments_since(subscriber)
            named = [(item.target, item.position) for item in update.targets]
            expected = (
                [("t-1", hosts.index(peer.host))] if peer.host in hosts else []
            )
            self.assertEqual(expected, named)


class RepeatedColdTest(testtools.TestCase):
    """Targets that become cold again, by a renewal or an evacuation."""

    def test_a_target_keeps_its_hosts_after_a_restart(self):
        network = ColdNetwork()
        network.announce("t-1", cold_ms=5000)
        network.subscribe(2.0)
        network.announce("t-1", born_ms=9000, cold_ms=5000)
        network.run(1.0)
        held = network.held("c1")
        self.assertEqual(2, len(held))
        self.assertEqual(1, len(set(held.values())))

    def test_the_end_of_an_evacuation_is_allotted_under_its_revision(self):
        network = ColdNetwork()
        network.announce("t-1")
        network.announce("t-2", host="c2", domain="zone-2")
        network.order("start")
        network.subscribe(1.0)
        self.assertEqual({}, network.held("c1"))
        network.order("end")
        network.run(1.0)
        key = allotment_lib.Key("t-1", 1000, 2)
        self.assertEqual([key], list(network.held("c1")))
        # A host that starts much later must not count the targets as cold.
        for _ in range(70):
            network.subscribe(1.0)
        for host in network.nodes:
            publisher = network.publisher(host)
            self.assertEqual((), publisher.evacuations.ended)
            self.assertEqual(2, publisher.evacuations.revision)
        self.assertEqual(1, len(network.held("c1")))

    def test_an_entry_host_that_starts_learns_the_age_of_the_end(self):
        network = ColdNetwork()
        network.order("start")
        network.order("end")
        network.run(4.0)
        state = network.publisher("c1")._evacuations_since(network.now_s, 0)
        (end,) = state.ended
        self.assertEqual(("zone-1", 2), (end.domain, end.revision))
        self.assertThat(end.age_ms, matchers.GreaterThan(3700))
        self.assertIsNone(evacuations.check(state))
