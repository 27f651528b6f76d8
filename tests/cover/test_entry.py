"""How an entry host handles single packets."""

import testtools

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core.internal.entry import flow_records
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.flows import hop_option
from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tests.slow import routing_network

CALLER = (bytes((10, 7, 0, 1)), 5000)
EDITS = (bytes((10, 9, 0, 1)), 81)
FEEDS = (bytes((10, 9, 0, 1)), 80)
SYN, ACK, RST = ip.TCP_SYN, ip.TCP_ACK, ip.TCP_RST
INITIAL = 1000
REOPENED = 5000
SERVER = 7000


class EntryTest(testtools.TestCase):
    """One entry host, alone unless a test starts more."""

    hosts = 1

    def setUp(self):
        super().setUp()
        self.network = routing_network.Network(1, hosts=self.hosts)
        self.peer = self.network.peers[0]
        self.component = self.network.paths[self.peer.host]

    def send(self, packet, hop_word=0):
        """Delivers a packet and returns the packets that the host sends."""
        data = geneve.encapsulate(packet)
        if hop_word:
            data = geneve.encapsulate_hop(packet, hop_word)
        event = events.DatagramArrived(self.network.now_s, data)
        sent = reducer.reduce(self.network.nodes[self.peer.host], event)
        return [
            ip.parse(geneve.decapsulate(effect.data).packet)
            for effect in sent
            if isinstance(effect, effects.SendDatagram)
        ]

    def from_caller(self, flags, seq, ack=0, payload=b"", end=FEEDS):
        return self.send(
            routing_network.segment(CALLER, end, flags, seq, ack, payload)
        )

    def send_syn_ack(self, target, ack=INITIAL + 1, hop_word=0, port=8080):
        return self.send(
            routing_network.segment(
                (target, port), CALLER, SYN | ACK, SERVER, ack
            ),
            hop_word,
        )

    def dropped_count(self, reason):
        return self.component.context.counters["dropped-" + reason]


class OwnerTest(EntryTest):
    """Which packets the owner of a flow forwards."""

    def test_a_syn_ack_of_an_earlier_opening_is_dropped(self):
        target = self.from_caller(SYN, INITIAL)[0].destination
        self.assertEqual([], self.send_syn_ack(target, ack=INITIAL))
        self.assertEqual(1, self.dropped_count("late-answer"))
        self.assertEqual(1, len(self.send_syn_ack(target)))

    def test_a_reply_of_a_target_that_does_not_hold_the_flow_is_dropped(self):
        target = self.from_caller(SYN, INITIAL)[0].destination
        other = next(
            address
            for address in routing_network.TARGETS["schedule-svc"]
            if address != target
        )
        self.assertEqual([], self.send_syn_ack(other))
        self.assertEqual(1, self.dropped_count("late-answer"))

    def test_payload_in_a_syn_of_a_non_idempotent_class_is_dropped(self):
        self.assertEqual([], self.from_caller(SYN, 1, 0, b"pay", EDITS))
        self.assertEqual(1, self.dropped_count("syn-payload"))
        self.assertEqual(1, len(self.from_caller(SYN, 1, 0, b"pay", FEEDS)))

    def test_an_opening_without_a_reply_is_tried_on_another_target(self):
        first = self.from_caller(SYN, INITIAL)[0].destination
        self.network.now_s += 1.0
        again = self.from_caller(SYN, INITIAL)[0].destination
        self.network.now_s += 2.0
        self.network.ready["schedule-svc"].remove(first)
        other = self.from_caller(SYN, INITIAL)[0].destination
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)

    def close_flow(self):
        """Opens and closes a flow; returns its target."""
        target = self.from_caller(SYN, INITIAL)[0].destination
        self.send_syn_ack(target)
        self.from_caller(RST, INITIAL + 1)
        return target

    def test_a_reused_key_without_a_reply_is_not_tried_on_another_target(self):
        target = self.close_flow()
        self.from_caller(SYN, REOPENED)
        self.network.ready["schedule-svc"].remove(target)
        for _ in range(5):
            self.network.now_s += 4.0
            sent = self.from_caller(SYN, REOPENED)
            self.assertEqual(target, sent[0].destination)
        self.network.now_s += flow_records.COPY_LIFETIME_S
        sent = self.from_caller(SYN, REOPENED)
        self.assertNotEqual(target, sent[0].destination)

    def test_a_reused_key_that_its_target_refuses_waits_no_longer(self):
        target = self.close_flow()
        self.network.now_s += flow_records.COPY_LIFETIME_S - 1.0
        self.from_caller(SYN, REOPENED)
        reset = routing_network.segment(
            (target, 8080), CALLER, RST | ACK, 0, REOPENED + 1
        )
        self.assertEqual(1, len(self.send(reset)))
        self.network.ready["schedule-svc"].remove(target)
        self.assertEqual([], self.from_caller(SYN, REOPENED))
        self.assertEqual(1, self.dropped_count("time-wait"))
        self.network.now_s += 2.0
        sent = self.from_caller(SYN, REOPENED)
        self.assertNotEqual(target, sent[0].destination)

    def test_an_idle_opening_of_a_reused_key_keeps_its_target(self):
        target = self.close_flow()
        self.from_caller(SYN, REOPENED)
        self.network.ready["schedule-svc"].remove(target)
        self.network.run(flow_records.COPY_LIFETIME_S - 1.0)
        sent = self.from_caller(SYN, REOPENED)
        self.assertEqual(target, sent[0].destination)

    def test_an_established_flow_keeps_its_target(self):
        target = self.from_caller(SYN, INITIAL)[0].destination
        self.send_syn_ack(target)
        self.network.ready["schedule-svc"].remove(target)
        self.network.now_s += 20.0
        sent = self.from_caller(ACK, INITIAL + 1, SERVER + 1, b"pay")
        self.assertEqual(target, sent[0].destination)

    def test_a_refused_opening_is_reset_to_the_caller(self):
        self.network.ready["schedule-svc"].clear()
        sent = self.from_caller(SYN, INITIAL)
        self.assertEqual(RST, sent[0].flags & RST)
        self.assertEqual(CALLER[0], sent[0].destination)


class FlowCopyTest(EntryTest):
    """How a host uses copies of the flow records of other hosts."""

    hosts = 3

    def test_of_two_targets_that_accept_one_opening_the_first_is_kept(self):
        first, second = routing_network.TARGETS["schedule-svc"][:2]
        hop_word = hop_option.pack(hop_option.Kind.COPY, 2, 2)
        self.assertEqual(1, len(self.send_syn_ack(first, hop_word=hop_word)))
        self.assertEqual([], self.send_syn_ack(second, hop_word=hop_word))
        self.assertEqual(1, self.dropped_count("conflicting-answer"))
        self.assertEqual(1, len(self.send_syn_ack(first, hop_word=hop_word)))

    def test_an_unconfirmed_copy_expires(self):
        target = routing_network.TARGETS["schedule-svc"][0]
        packet = routing_network.segment(
            CALLER, (target, 8080), ACK, INITIAL + 1, SERVER + 1
        )
        self.send(packet, hop_option.pack(hop_option.Kind.RETURN, 2, 1))
        key = next(iter(self.component.records.table.slots))
        slot = self.component.records.table.slots[key]
        self.component.records.table.flags[slot] = 0
        now_s = self.network.now_s
        self.assertEqual(slot, self.component.records.find(now_s, key))
        now_s += flow_records.COPY_LIFETIME_S
        self.assertIsNone(self.component.records.find(now_s, key))

    def test_a_forwarded_opening_does_not_make_a_backup_forget_a_closed_flow(
        self,
    ):
        packet = routing_network.segment(CALLER, FEEDS, SYN, REOPENED, 0)
        entry_hosts = self.component.router.entry_hosts
        port = self.component.config_store.lookup.find_inbound(ip.parse(packet))
        key = lookup.flow_key(ip.parse(packet))
        owner, _, self.peer = entry_hosts.order(port, key)
        target = routing_network.TARGETS["schedule-svc"][-1]
        copy = hop_option.pack(hop_option.Kind.COPY, 2, 2)
        self.send_syn_ack(target, hop_word=copy)
        closed = hop_option.pack(hop_option.Kind.CLOSED, 2, 2)
        reset = routing_network.segment(
            (target, 8080), CALLER, RST, SERVER + 1, 0
        )
        self.send(reset, closed)
        self.network.kill(owner)
        self.assertEqual(FEEDS[0], self.send(packet)[0].destination)
        self.network.run(12.0)
        self.assertEqual(target, self.send(packet)[0].destination)
