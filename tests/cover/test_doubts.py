"""Entry hosts tell one another of targets that do not answer.

Load: a target crashes without a word beside a hundred entry hosts, of which
each would find out by a caller of its own.
"""

import testtools

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import sync
from tamarack_core.internal.registry import publisher as publishers
from tamarack_core.internal.registry import suspicion_relay
from tamarack_core.internal.registry import target_registry
from tests import cookie_host

ENTRY = cookie_host.control("entry-1")
OTHER = cookie_host.control("entry-2")
OWN, PEER = cookie_host.control("c1"), cookie_host.control("c2")


class RelayTest(testtools.TestCase):
    """What a control host passes on."""

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
        self.part = suspicion_relay.SuspicionRelay(context, self.publisher)

    def told(self, now_s, sender, *names):
        """Returns who is told of the targets that a host doubts."""
        found = self.part.handle_suspects(
            events.MessageArrived(now_s, sender, sync.SuspectTargets(names))
        )
        return [
            (effect.peer.host, effect.message.targets)
            for effect in found
            if isinstance(effect, effects.SendMessage)
        ]

    def test_followers_and_control_hosts_are_told_but_not_the_sender(self):
        self.assertEqual(
            [("entry-2", ("t-1",)), ("c2", ("t-1",))],
            self.told(10.0, ENTRY, "t-1"),
        )

    def test_what_a_control_host_passes_on_goes_to_followers_alone(self):
        self.assertEqual(
            [("entry-1", ("t-1",)), ("entry-2", ("t-1",))],
            self.told(10.0, PEER, "t-1"),
        )

    def test_many_hosts_that_find_out_at_once_are_passed_on_once(self):
        self.told(10.0, ENTRY, "t-1")
        self.assertEqual([], self.told(10.2, OTHER, "t-1"))
        self.assertEqual([], self.told(10.3, PEER, "t-1"))
        self.assertEqual(
            [("entry-1", ("t-2",)), ("c2", ("t-2",))],
            self.told(10.4, OTHER, "t-1", "t-2"),
        )
        self.assertEqual(2, len(self.told(11.5, OTHER, "t-1")))

    def test_hosts_that_asked_long_ago_are_not_told(self):
        self.assertEqual([("c2", ("t-1",))], self.told(20.0, ENTRY, "t-1"))


class EntryTest(testtools.TestCase):
    """What an entry host says, and does when it is told."""

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
            host.carry(number, name, acknowledged=500, payload_bytes=10)
            host.carry(number, name, acknowledged=600, sequence=11)
        host.tick(0.6)
        return host

    def doubts(self, host):
        """Returns what the host told control hosts of targets."""
        return [
            (effect.peer.host, effect.message.targets)
            for effect in host.sent
            if isinstance(effect.message, sync.SuspectTargets)
        ]

    def tell(self, host, *names):
        """Tells the host which targets another one doubts."""
        host.handle(
            events.MessageArrived(
                host.now_s,
                cookie_host.control("c1"),
                sync.SuspectTargets(names),
            )
        )

    def repeat(self, host):
        """Lets a caller of the first target wait in vain."""
        for _ in range(2):
            host.carry(
                0, "t-1", acknowledged=600, sequence=11, payload_bytes=10
            )
            host.tick(0.2)

    def fail(self, host, name):
        """Ends the probe of a target in vain, that of its reference not."""
        host.probe_ends(name, is_answered=False)
        host.probe_ends("t-2", is_answered=True)

    def test_a_target_found_dead_is_told_to_the_followed_control_host(self):
        host = self.start()
        self.repeat(host)
        self.assertEqual([], self.doubts(host))
        self.fail(host, "t-1")
        self.assertEqual([("c1", ("t-1",))], self.doubts(host))

    def test_a_host_that_is_told_asks_the_target_itself(self):
        # A word of another host breaks no flow.
        host = self.start()
        self.tell(host, "t-1", "t-3", "t-unknown")
        self.assertEqual(["t-1", "t-3"], host.probed)
        self.assertEqual([], host.resets)
        self.fail(host, "t-1")
        self.assertEqual(1, len(host.resets))

    def test_what_a_host_was_told_it_does_not_tell_again(self):
        host = self.start()
        self.tell(host, "t-1")
        self.fail(host, "t-1")
        self.assertEqual([], self.doubts(host))

    def test_a_target_that_just_answered_is_not_asked(self):
        host = self.start()
        host.carry(1, "t-2", acknowledged=700, sequence=11)
        self.tell(host, "t-2")
        self.assertEqual([], host.probed)
