"""Evacuated domains as a field of the configuration that operators patch."""

import json

import msgspec
import testtools

from tamarack_core import assembly
from tamarack_core import configuration
from tamarack_core import declarations
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.patches import state_machine
from tamarack_core.internal.validation import evacuation_checks
from tamarack_core.messages import distribution
from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tamarack_lab.bench import entry_process
from tamarack_lab.bench import traffic
from tests.cover import test_patches

PATH = "/evacuated_domains"
SERVICES = {
    "agenda": msgspec.convert(entry_process.SERVICE, configuration.Service)
}
SETTLED_S = 20.0
"""Time after which the host alone in its domain serves, in seconds."""


def evacuate(patch_id, base_version, domains):
    """Returns a patch that sets the evacuated domains."""
    operation = {"op": "add", "path": PATH, "value": domains}
    return test_patches.patch(patch_id, base_version, operation)


class FieldTest(testtools.TestCase):
    """The field in patches, snapshots and messages of other releases."""

    def setUp(self):
        super().setUp()
        self.state = state_machine.PatchStateMachine()
        test_patches.submit(
            self.state, test_patches.patch("a", 0, test_patches.add(1))
        )

    def evacuated(self):
        """Returns the newest evacuated domains."""
        return self.state.numbered().configuration.evacuated_domains

    def test_bad_values_are_refused_with_their_path(self):
        long_name = "x" * (evacuation_checks.MAX_NAME_CHARACTERS + 1)
        many = [f"d{n}" for n in range(evacuation_checks.MAX_DOMAINS + 1)]
        for value, path in (
            ("a", ""),
            (None, ""),
            (["a", 5], "/1"),
            (["a", ""], "/1"),
            (["a\n"], "/0"),
            ([long_name], "/0"),
            (["a", "b", "a"], "/2"),
            (many, ""),
        ):
            request = evacuate(f"bad {value}"[:40], 1, value)
            verdict = test_patches.submit(self.state, request)
            self.assertEqual(PATH + path, verdict.path, verdict)
        self.assertEqual((), self.evacuated())

    def test_an_evacuation_survives_a_snapshot(self):
        test_patches.submit(self.state, evacuate("e", 1, ["a"]))
        other = state_machine.PatchStateMachine()
        other.restore(self.state.snapshot())
        self.assertEqual(self.state.numbered(), other.numbered())
        self.assertEqual(("a",), self.evacuated())
        resent = test_patches.submit(other, evacuate("e", 1, ["a"]))
        self.assertEqual(2, resent.version)
        self.assertEqual(2, other.version)

    # Hosts of earlier releases reject a document with an unknown field.
    def test_without_evacuations_the_encodings_are_those_of_before(self):
        test_patches.submit(self.state, evacuate("e", 1, ["a"]))
        test_patches.submit(self.state, evacuate("f", 2, []))
        deltas = self.state.take_deltas()
        encoded = msgspec.json.encode([self.state.numbered(), deltas[0]])
        self.assertNotIn(b"evacuated", encoded)
        empty = msgspec.json.encode(configuration.Configuration())
        self.assertEqual(b'{"services":{}}', empty)

    # The cost of an order would grow with the configuration.
    def test_an_order_distributes_no_services(self):
        self.state.take_deltas()
        test_patches.submit(self.state, evacuate("e", 1, ["a"]))
        [delta] = self.state.take_deltas()
        self.assertEqual({}, delta.changes)

    def test_declared_services_do_not_end_an_evacuation(self):
        test_patches.submit(self.state, evacuate("e", 1, ["a"]))
        declared = declarations.check({})
        planned = declarations.plan(
            self.state.numbered().configuration, declared
        )
        encoded = json.loads(msgspec.json.encode(planned))
        request = test_patches.patch("apply", 2, *encoded)
        verdict = test_patches.submit(self.state, request)
        self.assertEqual(3, verdict.version)
        self.assertEqual({}, self.state.checked.services)
        self.assertEqual(("a",), self.evacuated())

    def test_a_delta_brings_the_evacuations_to_a_host_that_is_behind(self):
        source = configuration_store.ConfigurationStore()
        for version, domains in enumerate((None, ("a",), None)):
            source.put_delta(
                distribution.Delta(version, version + 1, {}, domains), 1
            )
        for held, evacuated in enumerate(((), (), ("a",))):
            other = configuration_store.ConfigurationStore()
            document = configuration.Configuration({}, evacuated)
            other.put(configuration.VersionedConfiguration(held, document), 1)
            other.put_delta(source.newer_than(held), 1)
            self.assertEqual(source.numbered, other.numbered)

    # An earlier release passes on deltas without the field.
    def test_a_delta_without_the_field_ends_no_evacuation(self):
        store = configuration_store.ConfigurationStore()
        store.put_delta(distribution.Delta(0, 1, {}, ("a",)), 1)
        delta = b'{"type":"delta","base_version":1,"version":2,"changes":{}}'
        store.put_delta(msgspec.json.decode(delta, type=distribution.Delta), 1)
        evacuated = store.numbered.configuration.evacuated_domains
        self.assertEqual((2, ("a",)), (store.numbered.version, evacuated))


class EntryHostTest(testtools.TestCase):
    """An assembled entry host of domain a, with targets of two domains."""

    def setUp(self):
        super().setUp()
        endpoint = peers.Endpoint("127.0.0.1", 1)
        self.host = peers.Peer("entry", "a", endpoint, endpoint)
        roles = frozenset((assembly.Role.ENTRY,))
        self.node = assembly.assemble(assembly.Plan(self.host, roles, seed=1))
        reducer.reduce(self.node, events.Started(0.0, 0))
        self.version = 0
        self.now_s = SETTLED_S
        self.put(())
        self.announce(1, "a")
        self.announce(2, "b")

    def put(self, evacuated):
        """Puts a version into force; returns the recorded entries."""
        self.version += 1
        document = configuration.Configuration(SERVICES, evacuated)
        message = distribution.Snapshot(
            configuration.VersionedConfiguration(self.version, document)
        )
        event = events.MessageArrived(self.now_s, self.host, message)
        return self.entries(reducer.reduce(self.node, event))

    def entries(self, sent):
        records = [one for one in sent if isinstance(one, effects.Record)]
        return [record.entry for record in records]

    def announce(self, number, domain, **changes):
        address = f"10.1.0.{number}"
        changes = {"slots": 8, "lease_s": 60.0, **changes}
        announcement = requests.Announce("agenda", address, domain, **changes)
        event = events.RequestArrived(self.now_s, 1, announcement)
        reducer.reduce(self.node, event)

    def send(self, data):
        """Delivers a datagram; returns targets and resets, and the entries."""
        sent = reducer.reduce(
            self.node, events.DatagramArrived(self.now_s, data)
        )
        datagrams = [
            one for one in sent if isinstance(one, effects.SendDatagram)
        ]
        found = []
        for datagram in datagrams:
            packet = ip.parse(geneve.decapsulate(datagram.data).packet)
            is_reset = packet.flags & ip.TCP_RST
            found.append("reset" if is_reset else packet.destination[-1])
        return found, self.entries(sent)

    def open(self, numbers):
        """Opens flows; returns the set of what happened to them."""
        return {
            self.send(traffic.Flow(number).opening())[0][0]
            for number in numbers
        }

    def test_openings_leave_an_evacuated_domain_and_come_back(self):
        self.assertEqual({1, 2}, self.open(range(20)))
        [_, entry] = self.put(("a",))
        self.assertEqual(
            ("evacuation-in-force", 2, "a"),
            (entry.name, entry.version, entry.detail),
        )
        self.assertEqual({2}, self.open(range(20, 40)))
        # A target that announces itself for the first time is left out too.
        self.announce(3, "a")
        self.assertEqual({2}, self.open(range(40, 60)))
        self.put(())
        self.assertEqual({1, 3}, self.open(range(60, 80)))

    def test_open_connections_stay(self):
        targets = {number: self.open([number]) for number in range(10)}
        self.put(("a", "b"))
        for number, target in targets.items():
            found, _ = self.send(traffic.Flow(number).request())
            self.assertEqual(target, set(found))

    def test_without_another_target_openings_are_refused_at_once(self):
        self.put(("b", "a"))
        found, entries = self.send(traffic.Flow(0).opening())
        self.assertEqual(["reset"], found)
        [entry] = entries
        self.assertEqual(
            ("flow-refused", "not-run", "domain-evacuated"),
            (entry.name, entry.verdict, entry.reason),
        )
        counters = self.node.context.counters
        self.assertEqual(1, counters["refused-domain-evacuated"])

    # Their power is off by then, and the evacuation is still the cause.
    def test_the_reason_stays_once_the_targets_are_gone(self):
        self.put(("a",))
        self.now_s += 100.0
        _, [entry] = self.send(traffic.Flow(0).opening())
        self.assertEqual("domain-evacuated", entry.reason)

    # The reason of the refusal makes no difference to the earlier copy.
    def test_a_copy_is_not_reset_while_the_other_targets_are_full(self):
        openings = [traffic.Flow(number).opening() for number in range(20)]
        targets = [self.send(opening)[0][0] for opening in openings]
        self.announce(2, "b", connections=1)
        self.put(("a",))
        self.now_s += 3.0
        copy = openings[targets.index(1)]
        self.assertEqual([], self.send(copy)[0])
        found, [entry] = self.send(traffic.Flow(20).opening())
        self.assertEqual((["reset"], "connections-full"), (found, entry.reason))

    # The earlier copy may have opened the flow at its target.
    def test_a_copy_of_an_earlier_opening_is_not_reset(self):
        opening = traffic.Flow(0).opening()
        [target], _ = self.send(opening)
        self.put(("a", "b"))
        self.now_s += 1.0
        self.assertEqual([target], self.send(opening)[0])
        for _ in range(2):
            self.now_s += 3.0
            self.assertEqual([], self.send(opening)[0])
        counters = self.node.context.counters
        self.assertEqual(2, counters["dropped-opening-evacuated"])
