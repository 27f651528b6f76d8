"""Decisions of an entry host about single packets."""

import testtools

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core.internal.entry import flow_records
from tamarack_core.internal.flows import hop_option
from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tests.slow import routing_network

CALLER = (bytes((10, 7, 0, 1)), 5000)
EDITS = (bytes((10, 9, 0, 1)), 81)
FEEDS = (bytes((10, 9, 0, 1)), 80)
SYN, ACK, RST = ip.TCP_SYN, ip.TCP_ACK, ip.TCP_RST
INITIAL = 1000
SERVER = 7000


class EntryTest(testtools.TestCase):
    """One entry host, alone unless a test starts more."""

    hosts = 1

    def setUp(self):
        super().setUp()
        self.network = routing_network.Network(1, hosts=self.hosts)
        self.peer = self.network.peers[0]
        self.path = self.network.paths[self.peer.host]

    def send(self, packet, word=0):
        """Returns the packets that the host sends for a packet."""
        data = geneve.encapsulate(packet)
        if word:
            data = geneve.encapsulate_hop(packet, word)
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

    def answer(self, target, ack=INITIAL + 1, word=0, port=8080):
        return self.send(
            routing_network.segment(
                (target, port), CALLER, SYN | ACK, SERVER, ack
            ),
            word,
        )

    def dropped(self, reason):
        return self.path.context.counters["dropped-" + reason]


class OwnerTest(EntryTest):
    """What the owner lets pass."""

    def test_a_syn_ack_of_an_earlier_opening_is_dropped(self):
        target = self.from_caller(SYN, INITIAL)[0].destination
        self.assertEqual([], self.answer(target, ack=INITIAL))
        self.assertEqual(1, self.dropped("late-answer"))
        self.assertEqual(1, len(self.answer(target)))

    def test_a_reply_of_a_target_that_does_not_hold_the_flow_is_dropped(self):
        target = self.from_caller(SYN, INITIAL)[0].destination
        other = next(
            address
            for address in routing_network.TARGETS["schedule-svc"]
            if address != target
        )
        self.assertEqual([], self.answer(other))
        self.assertEqual(1, self.dropped("late-answer"))

    def test_payload_in_a_syn_of_a_non_idempotent_class_goes_nowhere(self):
        self.assertEqual([], self.from_caller(SYN, 1, 0, b"pay", EDITS))
        self.assertEqual(1, self.dropped("syn-payload"))
        self.assertEqual(1, len(self.from_caller(SYN, 1, 0, b"pay", FEEDS)))

    def test_an_opening_without_answer_is_tried_on_another_target(self):
        first = self.from_caller(SYN, INITIAL)[0].destination
        self.network.now_s += 1.0
        again = self.from_caller(SYN, INITIAL)[0].destination
        self.network.now_s += 2.0
        self.network.ready["schedule-svc"].remove(first)
        other = self.from_caller(SYN, INITIAL)[0].destination
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)

    def test_an_established_flow_is_never_chosen_for_again(self):
        target = self.from_caller(SYN, INITIAL)[0].destination
        self.answer(target)
        self.network.ready["schedule-svc"].remove(target)
        self.network.now_s += 20.0
        sent = self.from_caller(ACK, INITIAL + 1, SERVER + 1, b"pay")
        self.assertEqual(target, sent[0].destination)

    def test_a_refused_opening_is_answered_by_a_reset_as_not_run(self):
        self.network.ready["schedule-svc"].clear()
        sent = self.from_caller(SYN, INITIAL)
        self.assertEqual(RST, sent[0].flags & RST)
        self.assertEqual(CALLER[0], sent[0].destination)


class CopyTest(EntryTest):
    """What a host makes of what others tell it."""

    hosts = 3

    def test_of_two_targets_that_accept_one_opening_the_first_counts(self):
        first, second = routing_network.TARGETS["schedule-svc"][:2]
        word = hop_option.pack(hop_option.Kind.COPY, 2, 2)
        self.assertEqual(1, len(self.answer(first, word=word)))
        self.assertEqual([], self.answer(second, word=word))
        self.assertEqual(1, self.dropped("conflicting-answer"))
        self.assertEqual(1, len(self.answer(first, word=word)))

    def test_a_copy_that_nobody_confirms_is_not_relied_on(self):
        target = routing_network.TARGETS["schedule-svc"][0]
        packet = routing_network.segment(
            CALLER, (target, 8080), ACK, INITIAL + 1, SERVER + 1
        )
        self.send(packet, hop_option.pack(hop_option.Kind.RETURN, 2, 1))
        key = next(iter(self.path.records.table.slots))
        slot = self.path.records.table.slots[key]
        self.path.records.table.flags[slot] = 0
        now_s = self.network.now_s
        self.assertEqual(slot, self.path.records.find(now_s, key))
        now_s += flow_records.COPY_LIFETIME_S
        self.assertIsNone(self.path.records.find(now_s, key))
