"""Entry hosts notify one another of suspect targets.

When a target crashes without an announcement, each of a hundred entry hosts
would otherwise find out only from a stalled flow of its own.
"""

import testtools

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import sync
from tamarack_core.internal.cookie import flow_state
from tamarack_core.internal.registry import publisher as publishers
from tamarack_core.internal.registry import suspicion_relay
from tamarack_core.internal.registry import target_registry
from tests import cookie_host

ENTRY = cookie_host.control("entry-1")
OTHER = cookie_host.control("entry-2")
OWN, PEER = cookie_host.control("c1"), cookie_host.control("c2")


class RelayTest(testtools.TestCase):
    """Which suspicions a control host relays, and to which hosts."""

    def setUp(self):
        super().setUp()
        context = context_lib.Context(OWN, 1)
        self.publisher = publishers.Publisher(
            context, target_registry.TargetRegistry(1.2)
        )
        self.publisher.controls = (OWN, PEER)
        for host, is_control in ((ENTRY, False), (OTHER, False), (PEER, True)):
            request = sync.SyncRequest("", 0, 0, is_control=is_control)
            self.publisher.handle_request(
                events.MessageArrived(10.0, host, request)
            )
        self.relay = suspicion_relay.SuspicionRelay(context, self.publisher)

    def notified(self, now_s, sender, *names):
        """Returns the notified hosts and the targets they are notified of."""
        result = self.relay.handle_suspects(
            events.MessageArrived(now_s, sender, sync.SuspectTargets(names))
        )
        return [
            (effect.peer.host, effect.message.targets)
            for effect in result
            if isinstance(effect, effects.SendMessage)
        ]

    def test_all_hosts_but_the_sender_are_notified(self):
        self.assertEqual(
            [("entry-2", ("t-1",)), ("c2", ("t-1",))],
            self.notified(10.0, ENTRY, "t-1"),
        )

    def test_suspicions_from_a_control_host_go_to_subscribers_alone(self):
        self.assertEqual(
            [("entry-1", ("t-1",)), ("entry-2", ("t-1",))],
            self.notified(10.0, PEER, "t-1"),
        )

    def test_the_same_suspicion_of_many_hosts_is_relayed_once(self):
        self.notified(10.0, ENTRY, "t-1")
        self.assertEqual([], self.notified(10.2, OTHER, "t-1"))
        self.assertEqual([], self.notified(10.3, PEER, "t-1"))
        self.assertEqual(
            [("entry-1", ("t-2",)), ("c2", ("t-2",))],
            self.notified(10.4, OTHER, "t-1", "t-2"),
        )
        self.assertEqual(2, len(self.notified(11.5, OTHER, "t-1")))

    def test_expired_subscribers_are_not_notified(self):
        self.assertEqual([("c2", ("t-1",))], self.notified(20.0, ENTRY, "t-1"))


class EntryTest(testtools.TestCase):
    """How an entry host reports suspect targets and handles reports."""

    def start(self):
        """Returns a host with a flow at the first two of three targets."""
        host = cookie_host.CookieHost()
        host.update(
            cookie_host.target("t-1"),
            cookie_host.target("t-2", port=81),
            cookie_host.target("t-3", port=82),
            document=cookie_host.document(1),
        )
        for number, name in enumerate(("t-1", "t-2")):
            host.send(number, name, acknowledged=500, payload_bytes=10)
            host.send(number, name, acknowledged=600, sequence=11)
        host.tick(0.6)
        return host

    def suspicions(self, host):
        """Returns the suspect targets that the host reported, by receiver."""
        return [
            (effect.peer.host, effect.message.targets)
            for effect in host.sent
            if isinstance(effect.message, sync.SuspectTargets)
        ]

    def notify(self, host, *names):
        """Notifies the host of targets that another host suspects."""
        host.handle(
            events.MessageArrived(
                host.now_s,
                cookie_host.control("c1"),
                sync.SuspectTargets(names),
            )
        )

    def stall(self, host):
        """Sends a request and a copy of it on the first flow; no reply."""
        for _ in range(2):
            host.send(0, "t-1", acknowledged=600, sequence=11, payload_bytes=10)
            host.tick(0.2)

    def fail_probe(self, host, name):
        """Fails both probes of a target; its reference replies in between."""
        host.complete_probe(name, is_answered=False)
        host.complete_probe("t-2", is_answered=True)
        host.complete_probe(name, is_answered=False)

    def test_a_dead_target_is_reported_to_the_subscribed_control_host(self):
        host = self.start()
        self.stall(host)
        self.assertEqual([], self.suspicions(host))
        self.fail_probe(host, "t-1")
        self.assertEqual([("c1", ("t-1",))], self.suspicions(host))

    def test_a_notified_host_probes_the_target_itself(self):
        # A suspicion of another host alone resets no flow.
        host = self.start()
        self.notify(host, "t-1", "t-unknown")
        self.assertEqual(["t-1"], host.probed)
        self.assertEqual([], host.resets)
        self.fail_probe(host, "t-1")
        self.assertEqual(1, len(host.resets))

    def test_a_target_without_flows_is_avoided_for_a_while(self):
        # 195 hosts that each probe each target that one of them found dead
        # cost the targets a third of their new connections.
        host = self.start()
        self.notify(host, "t-3")
        self.assertEqual([], host.probed)
        self.assertNotIn("t-3", [host.open(n) for n in range(10, 20)])
        host.tick(flow_state.REPORT_LIFETIME_S)
        self.assertIn("t-3", [host.open(n) for n in range(20, 30)])

    def test_a_target_that_replies_is_no_longer_avoided(self):
        host = self.start()
        self.notify(host, "t-3")
        host.tick(0.1)
        host.send(5, "t-3", acknowledged=500, payload_bytes=10)
        host.send(5, "t-3", acknowledged=600, sequence=11)
        self.assertIn("t-3", [host.open(n) for n in range(10, 20)])

    def test_reported_targets_are_used_if_there_are_no_others(self):
        host = self.start()
        host.tick(1.0)
        self.notify(host, "t-1", "t-2", "t-3")
        self.assertNotEqual("reset", host.open(10))

    def test_a_suspicion_from_another_host_is_not_reported_again(self):
        host = self.start()
        self.notify(host, "t-1")
        self.fail_probe(host, "t-1")
        self.assertEqual([], self.suspicions(host))

    def test_a_target_that_just_replied_is_not_probed(self):
        host = self.start()
        host.send(1, "t-2", acknowledged=700, sequence=11)
        self.notify(host, "t-2")
        self.assertEqual([], host.probed)
