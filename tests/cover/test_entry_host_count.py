"""How control hosts estimate the number of entry hosts."""

import msgspec
import testtools

from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import peers
from tamarack_core import sync
from tamarack_core.internal.registry import entry_host_count
from tamarack_core.internal.registry import target_registry
from tests import cookie_host
from tests import group_network


class EstimateTest(testtools.TestCase):
    """Events: subscribers come, go, and are counted twice for a while."""

    def test_the_number_is_unknown_right_after_the_first_start(self):
        count = entry_host_count.EntryHostCount()
        count.observe(10.0, 3)
        self.assertEqual(0, count.estimate(10.0))
        count.observe(10.0 + entry_host_count.WINDOW_S, 12)
        self.assertEqual(3, count.estimate(10.0 + entry_host_count.WINDOW_S))

    def test_a_saved_number_holds_until_hosts_had_time_to_return(self):
        count = entry_host_count.EntryHostCount()
        count.saved = 12
        for second in range(20):
            count.observe(float(second), min(second, 11))
        self.assertEqual(12, count.estimate(entry_host_count.RETURN_S - 0.5))
        self.assertEqual(11, count.estimate(19.0))

    def test_hosts_that_are_counted_twice_change_nothing(self):
        # A control host is replaced: its subscribers join the others before
        # its last message expires.
        count = entry_host_count.EntryHostCount()
        for step in range(40):
            count.observe(step / 2, 18 if 22 <= step < 27 else 12)
        self.assertEqual(12, max(count.estimate(14.0), count.estimate(19.0)))

    def test_lost_hosts_no_longer_count(self):
        count = entry_host_count.EntryHostCount()
        for step in range(40):
            count.observe(step / 2, 12 if step < 30 else 8)
        self.assertEqual(8, count.estimate(19.5))


class SavedTargetsTest(testtools.TestCase):
    """The number is saved along with the targets."""

    def test_the_number_is_restored(self):
        registry = target_registry.TargetRegistry(1.2)
        registry.put(1.0, cookie_host.target("t-1"))
        restored = target_registry.TargetRegistry(1.2).restore(
            2.0, registry.encode(2.0, 12)
        )
        self.assertEqual(12, restored.entry_hosts)
        self.assertEqual(["t-1"], [t.name for t in restored.targets])

    def test_targets_that_an_earlier_version_saved_are_restored(self):
        saved = msgspec.msgpack.encode([cookie_host.target("t-1")])
        registry = target_registry.TargetRegistry(1.2)
        self.assertEqual(0, registry.restore(2.0, saved).entry_hosts)
        self.assertEqual(["t-1"], list(registry.records))


class GroupTest(testtools.TestCase):
    """Each control host counts the subscribers of all."""

    def test_all_control_hosts_agree(self):
        network = group_network.GroupNetwork(3)
        network.start_all()
        network.publish(1)
        for _ in range(7):
            for number in range(10):
                peer = peers.Peer(
                    f"entry-{number}",
                    "zone-1",
                    peers.Endpoint(f"10.8.0.{number}", 7000),
                )
                network.handle(
                    f"c{number % 3 + 1}",
                    events.MessageArrived(
                        network.now_s, peer, sync.SyncRequest("", 0, 0)
                    ),
                )
            network.run(1.0)
        for host in network.peers:
            control = network.component_of(
                host, external_requests.PublishDocument
            )
            self.assertEqual(
                10, control.publisher.entry_hosts.estimate(network.now_s)
            )
