"""Announced targets on simulated hosts with faults."""

import itertools
import random

import msgspec
import testtools

from tamarack_core import configuration
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.targets import announcement_validator
from tamarack_core.internal.targets import lease_aggregator
from tamarack_core.internal.targets import lease_table
from tamarack_core.packets import ip
from tamarack_lab.experiments import event_queue
from tamarack_lab.experiments import simulated_network
from tamarack_lab.experiments import workloads

HOSTS = 5
ADDRESS = "10.20.0.1"
DRAIN_S = 3.0
LEASE_S = 10.0


class TargetsTest(testtools.TestCase):
    """Five entry hosts that know each other."""

    def setUp(self):
        super().setUp()
        self.queue = event_queue.EventQueue()
        self.network = simulated_network.SimulatedNetwork(self.queue, 1)
        self.random = random.Random(2)
        self.tables = {}
        self.requests = itertools.count(1)
        for number in range(HOSTS):
            self.start(number)
        self.announcement = requests.Announce(
            "agenda", ADDRESS, "a", slots=2, lease_s=LEASE_S, incarnation=5
        )

    def start(self, number):
        """Starts a host without state."""
        context = simulated_network.context(f"entry-{number}", "a", number)
        config_store = configuration_store.ConfigurationStore()
        services = {"agenda": workloads.AGENDA, "informe": workloads.INFORME}
        document = configuration.Configuration(services)
        config_store.put(configuration.VersionedConfiguration(1, document), 0)
        targets = lease_table.TargetLeaseTable()

        def members():
            return tuple(
                host.peer
                for host in self.network.live("a")
                if host.peer.host != context.host.host
            )

        leases = lease_aggregator.LeaseAggregator(context, targets, members)
        validator = announcement_validator.AnnouncementValidator(
            context, config_store, leases
        )
        self.tables[context.host.host] = targets
        host = self.network.add(reducer.Node(context, (leases, validator)))
        host.start()

    def announce(self, host=None, **changes):
        """Announces the target at a host and returns the answer."""
        self.announcement = msgspec.structs.replace(
            self.announcement, **changes
        )
        host = host or self.random.choice(self.network.live("a"))
        number = next(self.requests)
        now_s = self.queue.now_s
        host.handle(events.RequestArrived(now_s, number, self.announcement))
        return host.responses[number]

    def renew_until(self, end_s):
        """Renews the lease of the target every three seconds until a time."""
        while self.queue.now_s < end_s:
            self.announce()
            self.queue.run_until(min(end_s, self.queue.now_s + 3.0))

    def ready(self):
        """Returns the live hosts at which the target is ready."""
        packed = ip.pack_address(ADDRESS)
        return {
            host.peer.host
            for host in self.network.live("a")
            if packed
            in self.tables[host.peer.host].ready(self.queue.now_s, "agenda", 4)
        }

    def test_one_announced_drain_reaches_every_host_despite_loss(self):
        self.network.inside.loss = 0.3
        self.renew_until(30.0)
        self.assertEqual(HOSTS, len(self.ready()))
        self.announce(state=requests.TargetState.DRAINING)
        self.queue.run_until(30.0 + DRAIN_S)
        self.assertEqual(set(), self.ready())

    def test_a_drain_whose_first_messages_are_all_lost_arrives_in_time(self):
        self.renew_until(9.0)
        self.network.inside.loss = 1.0
        packed = ip.pack_address(ADDRESS)
        aggregator = self.tables["entry-0"].targets[packed].aggregator
        other = next(
            host
            for host in self.network.live("a")
            if host.peer.host != aggregator
        )
        self.announce(other, state=requests.TargetState.DRAINING)
        self.queue.run_until(10.0)
        self.network.inside.loss = 0.0
        self.queue.run_until(9.0 + DRAIN_S)
        self.assertEqual(set(), self.ready())

    def test_a_lease_that_is_not_renewed_expires_everywhere(self):
        self.renew_until(9.0)
        self.queue.run_until(9.0 + LEASE_S + DRAIN_S)
        self.assertEqual(set(), self.ready())
        self.renew_until(30.0)
        self.assertEqual(HOSTS, len(self.ready()))

    def test_the_death_of_any_host_leaves_the_lease_valid(self):
        for number in range(HOSTS):
            self.renew_until(self.queue.now_s + 12.0)
            self.network.hosts[f"entry-{number}"].alive = False
            self.renew_until(self.queue.now_s + 12.0)
            self.assertEqual(HOSTS - 1, len(self.ready()))
            self.start(number)
            self.renew_until(self.queue.now_s + 3.0)
            self.assertEqual(HOSTS, len(self.ready()))

    def test_a_host_that_was_cut_off_receives_what_it_missed(self):
        self.renew_until(9.0)
        for number in range(1, HOSTS):
            self.network.cut_links |= {
                ("entry-0", f"entry-{number}"),
                (f"entry-{number}", "entry-0"),
            }
        other = self.network.hosts["entry-1"]
        self.announce(other, state=requests.TargetState.DRAINING)
        self.queue.run_until(12.0)
        self.network.cut_links.clear()
        self.queue.run_until(12.0 + DRAIN_S)
        self.assertEqual(set(), self.ready())

    def test_renewals_are_not_sent_beyond_the_aggregator(self):
        self.renew_until(9.0)
        before = sum(host.bytes_sent for host in self.network.live("a"))
        self.renew_until(39.0)
        after = sum(host.bytes_sent for host in self.network.live("a"))
        self.assertTrue(after - before < 10 * 600, after - before)

    def test_a_restarted_target_replaces_its_earlier_incarnation(self):
        self.renew_until(3.0)
        self.announce(state=requests.TargetState.DRAINING)
        self.queue.run_until(6.0)
        self.announce(incarnation=6, state=requests.TargetState.READY)
        self.queue.run_until(7.0)
        self.assertEqual(HOSTS, len(self.ready()))
        self.announce(incarnation=7)
        self.queue.run_until(8.0)
        for host in self.network.live("a"):
            old = self.announce(host, incarnation=6)
            self.assertEqual("stale-incarnation", old.reason)

    def test_an_address_of_another_service_is_refused(self):
        answer = self.announce(service="informe")
        self.assertEqual("wrong-service", answer.reason)
        self.queue.run_until(5.0)
        self.assertEqual(set(), self.ready())
