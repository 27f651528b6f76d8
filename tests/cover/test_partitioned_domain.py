"""A failure domain is partitioned off, and all its targets are found dead."""

import time

import msgspec
import testtools
from testtools import matchers

from tamarack_core import target_announcement
from tamarack_core.internal.cookie import target_table
from tests import cookie_host


class PartitionedDomainTest(testtools.TestCase):
    """A failure domain with many open flows is partitioned off."""

    def start(self):
        """Returns a host with a flow at each of four targets of two domains."""
        host = cookie_host.CookieHost()
        names = [f"{domain}-{n}" for domain in "ab" for n in range(4)]
        host.update(
            *(cookie_host.domain_target(name, name[0]) for name in names),
            document=cookie_host.document(1),
        )
        for number, name in enumerate(names):
            host.send(number, name, acknowledged=500, payload_bytes=10)
            host.send(number, name, acknowledged=600, sequence=11)
        return host

    def declare_dead(self, host, number, name):
        """Stalls a flow of a target and fails both probes of the target."""
        host.send(number, name, acknowledged=600, sequence=11, payload_bytes=10)
        host.tick(0.2)
        host.send(number, name, acknowledged=600, sequence=11, payload_bytes=10)
        host.send(0, "a-0", acknowledged=800 + number, sequence=11)
        host.complete_probe(name, is_answered=False)
        host.complete_probe("a-0", is_answered=True)
        host.complete_probe(name, is_answered=False)

    def test_a_dead_target_makes_the_host_probe_others_of_its_domain(self):
        host = self.start()
        self.declare_dead(host, 4, "b-0")
        self.assertEqual(["b-0", "a-0", "b-0"], host.probed[:3])
        neighbors = ("b-1", "b-2", "b-3")
        self.assertEqual(set(neighbors), set(host.probed[3:]))
        self.assertEqual(1, len(host.resets))
        for name in neighbors:
            host.complete_probe(name, is_answered=False)
        host.complete_probe("a-0", is_answered=True)
        self.assertEqual(1, len(host.resets))
        for name in neighbors:
            host.complete_probe(name, is_answered=False)
        self.assertEqual(4, len(host.resets))

    def test_a_neighbor_with_a_recent_reply_is_not_probed(self):
        host = self.start()
        host.send(4, "b-0", acknowledged=600, sequence=11, payload_bytes=10)
        host.tick(0.2)
        host.send(4, "b-0", acknowledged=600, sequence=11, payload_bytes=10)
        host.tick(0.1)
        host.send(5, "b-1", acknowledged=700, sequence=11)
        host.send(0, "a-0", acknowledged=700, sequence=11)
        host.complete_probe("b-0", is_answered=False)
        host.complete_probe("a-0", is_answered=True)
        self.assertEqual({"b-0", "a-0", "b-2", "b-3"}, set(host.probed))

    def test_finding_a_large_domain_dead_takes_less_than_quadratic_time(self):
        # As in the test of adding many targets; no packet passes meanwhile.
        def cost(count):
            host = cookie_host.CookieHost()
            names = [f"b-{number}" for number in range(count)]
            host.update(
                cookie_host.domain_target("a-0", "a"),
                *(cookie_host.domain_target(name, "b") for name in names),
                document=cookie_host.document(1),
            )
            for number, name in enumerate(["a-0", *names]):
                host.send(number, name, acknowledged=500, payload_bytes=10)
                host.send(number, name, acknowledged=600, sequence=11)
            host.tick(0.2)
            self.declare_dead(host, 1, "b-0")
            for name in names[1:]:
                host.complete_probe(name, is_answered=False)
            began_s = time.process_time()
            host.complete_probe("a-0", is_answered=True)
            for name in names[1:]:
                host.complete_probe(name, is_answered=False)
            elapsed_s = time.process_time() - began_s
            self.assertEqual(count, len(host.resets))
            return elapsed_s

        small = min(cost(50) for _ in range(5))
        large = min(cost(800) for _ in range(3))
        self.assertThat(large, matchers.LessThan(64 * small))

    def test_a_target_counts_once_in_its_domain_and_not_once_gone(self):
        # A domain is down if most of its targets are dead.
        table = target_table.TargetTable()
        steps = (
            ("b-0", 1000, 1, target_announcement.Phase.READY),
            ("b-0", 1000, 2, target_announcement.Phase.DRAINING),
            ("b-0", 2000, 1, target_announcement.Phase.READY),
            ("b-1", 1000, 1, target_announcement.Phase.READY),
            ("b-1", 1000, 2, target_announcement.Phase.GONE),
        )
        for name, born_ms, sequence, phase in steps:
            announcement = msgspec.structs.replace(
                cookie_host.domain_target(name, "b"),
                born_ms=born_ms,
                sequence=sequence,
                phase=phase,
            )
            table.put(0.0, target_announcement.KnownTarget(announcement))
        self.assertEqual(1, table.domain_sizes["b"])
        table.expire_gone(target_table.GONE_RETENTION_S + 1.0)
        self.assertEqual(1, table.domain_sizes["b"])
        table.mark_missing_overdue(0.0, set())
        table.expire_silent(target_table.SILENCE_RETENTION_S + 1.0, ())
        self.assertEqual(0, table.domain_sizes["b"])

    def test_a_second_dead_target_has_its_neighbors_probed_as_well(self):
        # Only the probe of the second one is later than the reply of b-1.
        host = self.start()
        for number, name in ((4, "b-0"), (6, "b-2")):
            host.send(
                number, name, acknowledged=600, sequence=11, payload_bytes=10
            )
        host.tick(0.2)
        host.send(4, "b-0", acknowledged=600, sequence=11, payload_bytes=10)
        host.tick(0.1)
        host.send(5, "b-1", acknowledged=700, sequence=11)
        host.tick(0.1)
        host.send(6, "b-2", acknowledged=600, sequence=11, payload_bytes=10)
        host.send(0, "a-0", acknowledged=700, sequence=11)
        for name in ("b-0", "b-2"):
            host.complete_probe(name, is_answered=False)
            host.complete_probe("a-0", is_answered=True)
            host.complete_probe(name, is_answered=False)
        self.assertEqual(2, len(host.resets))
        host.tick(0.25)
        self.assertIn("b-1", host.probed)

    def test_a_domain_with_overdue_targets_is_alive_soon_after_a_cut(self):
        # Flows opened through other hosts are reset here until then.
        host = cookie_host.CookieHost()
        names = [f"b-{n}" for n in range(500)]
        targets = [cookie_host.domain_target(name, "b") for name in names]
        host.update(
            cookie_host.domain_target("a-0", "a"),
            *targets,
            document=cookie_host.document(1),
        )
        for number, name in enumerate(["a-0", *names]):
            host.send(number, name, acknowledged=500, payload_bytes=10)
            host.send(number, name, acknowledged=600, sequence=11)
        host.tick(0.2)
        self.declare_dead(host, 1, "b-0")
        for name in names[1:]:
            host.complete_probe(name, is_answered=False)
        host.complete_probe("a-0", is_answered=True)
        for name in names[1:]:
            host.complete_probe(name, is_answered=False)
        self.assertEqual(500, len(host.resets))
        host.update(
            *(target_announcement.KnownTarget(each, True) for each in targets),
            base=1,
            position=2,
        )
        for _ in range(40):
            host.tick(0.1)
            sent, host.probes = host.probes, []
            for name in {probe.target for probe in sent}:
                host.complete_probe(name, is_answered=True)
        sent = {
            host.send(100 + n, name, payload_bytes=10)
            for n, name in enumerate(names)
        }
        self.assertNotIn("reset", sent)

    def test_a_neighbor_that_replies_keeps_its_flows(self):
        host = self.start()
        self.declare_dead(host, 4, "b-0")
        for name in ("b-1", "b-2", "b-3"):
            host.complete_probe(name, is_answered=True)
        self.assertEqual(1, len(host.resets))
        self.assertEqual("b-2", host.send(6, "b-2", payload_bytes=10))
