"""Allotments of cold targets at control hosts, beside failures."""

import collections
import itertools

import testtools
from testtools import matchers

from tamarack_core import evacuations
from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import peers
from tamarack_core import sync
from tamarack_core.internal.cold_targets import allotment as allotment_lib
from tests import cookie_host
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


class WholeNetwork(ColdNetwork):
    """Control hosts with real entry hosts, all of which get openings.

    Attributes:
        entries: The entry hosts by name.
        openings: Times of the openings, by target.
    """

    def __init__(self, count=3, entries=20):
        self.entries = {}
        super().__init__(count)
        self.openings = collections.defaultdict(list)
        self.numbers = itertools.count(1)
        for number in range(entries):
            self.start_entry(f"entry-{number}")

    def subscribe(self, seconds):
        """Runs; the entry hosts subscribe by themselves."""
        self.run(seconds)

    def start_entry(self, name):
        """Starts an entry host, or restarts it without any memory."""
        host = cookie_host.CookieHost(
            seed=next(self.numbers),
            controls=(),
            now_s=self.now_s,
            name=name,
            cold_overrun_factor=1.5,
            cold_slack_requests=2.0,
        )
        subscription = host.node.handlers[sync.SyncUpdate][0].__self__
        subscription.seeds = tuple(self.peers.values())
        self.entries[name] = host

    def _send(self, host, node, receiver, message):
        entry_host = self.entries.get(receiver.host)
        if entry_host is None:
            super()._send(host, node, receiver, message)
            return
        entry_host.now_s = self.now_s
        arrived = events.MessageArrived(self.now_s, node.context.host, message)
        entry_host.handle(arrived)

    def serve(self, seconds):
        """Runs; each entry host opens about 10 flows a second."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.run(0.05)
            for host in list(self.entries.values()):
                host.now_s = self.now_s
                for timer in ("mirror", "forwarding"):
                    host.handle(events.TimerFired(self.now_s, timer))
                self._pass_on(host)
                if host.node.context.random.random() < 0.5:
                    self.openings[host.open(next(self.numbers))].append(
                        self.now_s
                    )

    def _pass_on(self, host):
        """Delivers the messages of an entry host to control hosts."""
        sent, host.sent = host.sent, []
        for effect in sent:
            for name, known in self.peers.items():
                if known.control == effect.peer.control:
                    arrived = events.MessageArrived(
                        self.now_s, host.node.context.host, effect.message
                    )
                    self.handle(name, arrived)

    def largest_second(self, name, until_s):
        """Returns the most openings of a target in any second until a time."""
        times = [at_s for at_s in self.openings[name] if at_s <= until_s]
        return max(
            (
                sum(first_s <= at_s < first_s + 1.0 for at_s in times)
                for first_s in times
            ),
            default=0,
        )


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


class WholePathTest(testtools.TestCase):
    """From the announcement to the openings of all entry hosts."""

    def check_limit(self, network, name, until_s):
        """Checks that the limit holds, and that the target is used."""
        found = network.largest_second(name, until_s)
        self.assertThat(found, matchers.LessThan(BUDGET + 1))
        self.assertThat(found, matchers.GreaterThan(1))

    def test_a_new_target_stays_within_its_limit_beside_failures(self):
        network = WholeNetwork()
        network.announce("t-1")
        network.serve(4.0)
        self.assertEqual(20, len(network.entries))
        network.announce("t-2", host="c2", born_ms=2000, cold_ms=8000)
        cold_until_s = network.now_s + 8.0
        network.serve(1.0)
        network.kill(min(network.leaders()))
        network.serve(1.0)
        for number in range(0, 20, 3):
            network.start_entry(f"entry-{number}")
        network.serve(5.0)
        self.check_limit(network, "t-2", cold_until_s)
        network.serve(3.0)
        warm = network.largest_second("t-2", network.now_s)
        self.assertThat(warm, matchers.GreaterThan(BUDGET))

    def test_the_targets_of_a_domain_return_within_their_limit(self):
        network = WholeNetwork()
        for number in range(3):
            endpoint = peers.Endpoint(f"10.9.1.{number + 1}", 80)
            network.announce(f"t-{number}", endpoint=endpoint)
        endpoint = peers.Endpoint("10.9.2.1", 80)
        network.announce("other", domain="zone-2", endpoint=endpoint)
        network.order("start")
        network.serve(3.0)
        network.openings.clear()
        network.order("end")
        ended_s = network.now_s
        network.serve(WARM_UP_S - 0.2)
        for number in range(3):
            self.check_limit(network, f"t-{number}", ended_s + WARM_UP_S)
        self.assertEqual([], network.openings["reset"])

    def test_while_all_targets_are_cold_the_rest_is_refused(self):
        network = WholeNetwork()
        network.announce("t-1", cold_ms=6000)
        network.serve(5.0)
        self.check_limit(network, "t-1", network.now_s)
        sustained = len(network.openings["t-1"]) / 5.0
        self.assertThat(sustained, matchers.LessThan(RATE + 0.01))
        self.assertThat(
            len(network.openings["reset"]), matchers.GreaterThan(100)
        )
        network.serve(3.0)
        self.assertThat(
            network.largest_second("t-1", network.now_s),
            matchers.GreaterThan(BUDGET),
        )
