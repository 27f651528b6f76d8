"""Versions reach all hosts and never decrease."""

import json

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from tamarack_core import assembly
from tamarack_core import configuration
from tamarack_core import peers
from tamarack_core import requests
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.distribution import subscribers
from tamarack_core.messages import distribution
from tests import fake_hosts

Role = assembly.Role
ENTRIES = 6
# The target is 19 s from acceptance to in force everywhere.
TARGET_S = 19.0


def service(number):
    """Returns a service that differs from others by number."""
    work = configuration.WorkClass(80, 8080)
    return configuration.Service(
        (f"192.0.2.{number}",), {"a": work}, (f"10.0.{number}.0/24",)
    )


def patch(base, number):
    """Returns a patch that adds a service."""
    operation = {
        "op": "add",
        "path": f"/services/s{number}",
        "value": msgspec.to_builtins(service(number)),
    }
    raw = msgspec.Raw(json.dumps([operation]).encode())
    return requests.SubmitPatch(f"p{number}", base, raw, "ana")


class ConfigurationDistributorTest(testtools.TestCase):
    """One control host, one relay and the entry hosts of a domain."""

    def setUp(self):
        super().setUp()
        control = fake_hosts.peer("control", "b")
        relay = fake_hosts.peer("relay", "a")
        self.entries = [f"entry{number}" for number in range(ENTRIES)]
        entry_peers = {
            name: peers.Peer(
                name,
                "a",
                fake_hosts.peer(name).control,
                peers.Endpoint("127.0.0.1", 6081),
            )
            for name in self.entries
        }
        plans = [
            assembly.Plan(
                control, frozenset([Role.CONTROL]), 1, voters=(control,)
            ),
            assembly.Plan(
                relay, frozenset([Role.RELAY]), 2, sources=(control,)
            ),
        ]
        plans += [
            assembly.Plan(
                entry_peers[name],
                frozenset([Role.ENTRY]),
                number,
                entry_peers=tuple(
                    peer for other, peer in entry_peers.items() if other != name
                ),
                sources=(relay,),
                fallback_sources=(control,),
            )
            for number, name in enumerate(self.entries, 3)
        ]
        self.network = fake_hosts.Network(plans)
        for plan in plans:
            self.network.start(plan.host.host)
        self.network.run(5.0)

    def version(self, host):
        """Returns the version in force at a host."""
        return self.network.answer(host, requests.ReadStatus()).version

    def accept(self, number):
        """Submits a patch on top of version `number - 1`."""
        verdict = self.network.answer("control", patch(number - 1, number))
        self.assertEqual(number, verdict.version, verdict)

    def wait_for(self, version, hosts):
        """Waits until hosts have a version in force, at most the target."""
        self.network.run_until(
            lambda: all(self.version(host) == version for host in hosts),
            TARGET_S,
        )

    def test_a_version_reaches_all_entry_hosts(self):
        for number in (1, 2, 3):
            self.accept(number)
            self.wait_for(number, self.entries)
        read = self.network.answer("entry0", requests.ReadConfiguration())
        services = read.numbered.configuration.services
        self.assertEqual({f"s{n}": service(n) for n in (1, 2, 3)}, services)

    def test_a_host_that_missed_a_push_queries_for_it(self):
        self.network.isolate("entry3")
        self.accept(1)
        self.network.run(TARGET_S)
        self.assertEqual(0, self.version("entry3"))
        self.network.cut.clear()
        self.wait_for(1, self.entries)

    def test_a_host_without_a_relay_learns_from_its_neighbours(self):
        self.network.cut |= {("relay", "entry3"), ("entry3", "relay")}
        # By then, its subscriptions from the start have expired.
        self.network.run(2 * subscribers.SUBSCRIPTION_S)
        self.accept(1)
        self.wait_for(1, self.entries)

    def test_a_domain_without_its_relay_distributes_what_a_peer_holds(self):
        self.accept(1)
        self.wait_for(1, ["relay"])
        self.network.kill("relay")
        self.wait_for(1, self.entries)
        self.network.kill("entry2")
        self.network.start("entry2")
        self.assertEqual(0, self.version("entry2"))
        self.wait_for(1, ["entry2"])

    def test_a_domain_without_its_relay_turns_to_the_control_hosts(self):
        self.network.kill("relay")
        self.network.run(5.0)
        self.accept(1)
        self.wait_for(1, self.entries)

    def test_the_relay_reports_who_lags(self):
        self.wait_for(0, self.entries)
        self.network.isolate("entry3")
        self.accept(1)
        self.network.run(TARGET_S)
        read = self.network.answer("relay", requests.ReadRollout())
        versions = {known.host: known.version for known in read.hosts}
        self.assertEqual(1, read.version)
        self.assertEqual(
            ["entry3"], [host for host, held in versions.items() if held < 1]
        )
        self.assertEqual(set(self.entries), set(versions))


_changes = strategies.lists(
    strategies.dictionaries(
        strategies.integers(1, 60), strategies.booleans(), max_size=12
    ),
    max_size=12,
)


class ConfigurationStoreTest(testtools.TestCase):
    """Whatever version a host holds, one message brings it up to date."""

    @hypothesis.given(_changes, strategies.data())
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    def test_any_host_catches_up_exactly(self, changes, data):
        source = configuration_store.ConfigurationStore()
        others = [configuration_store.ConfigurationStore() for _ in range(3)]
        for number, change in enumerate(changes, 1):
            services = {
                f"s{key}": service(key) if is_kept else None
                for key, is_kept in change.items()
            }
            delta = distribution.Delta(number - 1, number, services)
            self.assertTrue(source.put_delta(delta, number))
            other = data.draw(strategies.sampled_from(others))
            teacher = data.draw(strategies.sampled_from([source, *others]))
            self.catch_up(other, teacher)
        for other in others:
            self.catch_up(other, source)
            self.assertEqual(source.numbered, other.numbered)
            self.assertEqual(
                source.lookup.inbound.keys(), other.lookup.inbound.keys()
            )

    def catch_up(self, other, teacher):
        """Applies the message of another host; the version never decreases."""
        before = other.numbered.version
        message = teacher.newer_than(before)
        if isinstance(message, distribution.Snapshot):
            other.put(message.numbered, 1)
        else:
            other.put_delta(message, 1)
        self.assertEqual(
            max(before, teacher.numbered.version), other.numbered.version
        )

    def test_an_older_or_unfitting_version_is_not_put_into_force(self):
        store = configuration_store.ConfigurationStore()
        store.put_delta(distribution.Delta(0, 5, {"s1": service(1)}), 1)
        old = configuration.VersionedConfiguration(
            4, configuration.Configuration()
        )
        self.assertFalse(store.put(old, 2))
        self.assertFalse(store.put_delta(distribution.Delta(0, 5, {}), 2))
        self.assertFalse(store.put_delta(distribution.Delta(6, 7, {}), 2))
        self.assertEqual(5, store.numbered.version)
        self.assertEqual(1, store.since_ms)
