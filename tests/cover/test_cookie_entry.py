"""An entry host that forwards packets by the cookies of their flows."""

import itertools
import time

import testtools
from testtools import matchers

from tamarack_core import events
from tamarack_core import target_announcement
from tamarack_core.internal.cookie import target_table
from tests import cookie_host


class SubscriptionTest(testtools.TestCase):
    """What an entry host learns about targets and routes."""

    def test_a_target_that_one_control_host_does_not_know_keeps_its_flows(self):
        # A control host that resumes after a suspension does not know the
        # targets that started meanwhile. Its update must not remove them.
        host = cookie_host.CookieHost()
        host.update(
            cookie_host.target("t-1"),
            cookie_host.target("t-2", port=81),
            document=cookie_host.document(1),
        )
        resumed = cookie_host.control("c2")
        host.tick(3.0)
        host.update(cookie_host.target("t-1"), sender=resumed, run="other")
        self.assertEqual("t-2", host.send(7, "t-2", payload_bytes=10))
        self.assertEqual({"t-1"}, {host.open(n) for n in range(20, 30)})
        host.update(
            target_announcement.KnownTarget(cookie_host.target("t-2", port=81)),
            sender=resumed,
            run="other",
            base=1,
            position=2,
        )
        self.assertEqual({"t-1", "t-2"}, {host.open(n) for n in range(30, 40)})


class StartTest(testtools.TestCase):
    """All entry hosts start at once behind slow links."""

    def queried_hosts(self, host):
        """Returns the control hosts queried since the last call."""
        names = [effect.peer.host for effect in host.sent]
        host.sent.clear()
        return names

    def test_a_starting_host_queries_one_control_host_at_a_time(self):
        # Each response holds a whole document. Three at once would fill the
        # link of this host with copies of it.
        host = cookie_host.CookieHost(controls=("c1", "c2", "c3"))
        rounds = [self.queried_hosts(host)]
        for _ in range(2):
            host.tick(0.1)
            rounds.append(self.queried_hosts(host))
        self.assertEqual([1, 1, 1], [len(names) for names in rounds])
        self.assertEqual({"c1", "c2", "c3"}, {names[0] for names in rounds})

    def test_a_host_suspended_while_it_follows_no_control_host_asks_again(self):
        # A cut took its publisher, and the messages of the suspension are lost.
        host = cookie_host.CookieHost(controls=("c1", "c2", "c3"))
        host.update(cookie_host.target("t-1"), document=cookie_host.document(1))
        host.tick(2.0)
        host.now_s += 4.0
        host.sent.clear()
        host.tick(0.3)
        self.assertNotEqual([], self.queried_hosts(host))

    def test_a_response_without_a_document_makes_it_query_the_next(self):
        # A control host that lost its disk has no document until the others
        # replicate it.
        host = cookie_host.CookieHost(controls=("c1", "c2", "c3"))
        (first,) = self.queried_hosts(host)
        host.update(
            cookie_host.target("t-1"), sender=cookie_host.control(first)
        )
        (second,) = self.queried_hosts(host)
        self.assertNotEqual(first, second)

    def test_hosts_that_start_together_query_different_control_hosts(self):
        first = {
            self.queried_hosts(
                cookie_host.CookieHost(seed, controls=("c1", "c2", "c3"))
            )[0]
            for seed in range(20)
        }
        self.assertEqual({"c1", "c2", "c3"}, first)


class UnresponsiveTargetTest(testtools.TestCase):
    """How an entry host treats targets that do not reply."""

    def start(self):
        """Returns a host with two targets in each of two domains."""
        host = cookie_host.CookieHost()
        host.update(
            *(
                cookie_host.domain_target(f"{domain}-{number}", domain)
                for domain in ("a", "b")
                for number in range(2)
            ),
            document=cookie_host.document(1),
        )
        return host

    def exchange(self, host, number, name):
        """Opens a flow at a target; one request on it is acknowledged."""
        host.send(number, name)
        host.send(number, name, payload_bytes=10)
        host.send(number, name, sequence=11, acknowledged=500)

    def retransmit_unanswered(self, host, names, flows):
        """Sends a request on each flow and retransmits it without a reply.

        Returns:
            What became of the last retransmission on each flow.
        """
        pairs = list(zip(flows, itertools.cycle(names), strict=False))
        for number, name in pairs:
            host.send(
                number, name, acknowledged=500, sequence=11, payload_bytes=10
            )
        results = []
        for wait_s in (0.2, 0.4, 0.8):
            host.tick(wait_s)
            results = [
                host.send(
                    number,
                    name,
                    acknowledged=500,
                    sequence=11,
                    payload_bytes=10,
                )
                for number, name in pairs
            ]
        return results

    def test_an_unresponsive_domain_gets_no_openings_and_resets_flows(self):
        host = self.start()
        self.exchange(host, 90, "a-0")
        for number in range(8):
            self.exchange(host, number, f"b-{number % 2}")
        self.retransmit_unanswered(host, ["b-0", "b-1"], range(8))
        self.assertEqual([], host.resets)
        opened = [host.open(number) for number in range(20, 40)]
        self.assertThat(
            [name for name in opened if name.startswith("b")],
            matchers.HasLength(1),
        )
        for name in ("b-0", "b-1"):
            host.complete_probe(name, is_answered=False)
            host.complete_probe("a-0", is_answered=True)
            host.complete_probe(name, is_answered=False)
        self.assertEqual(9, len(host.resets))
        opened = {host.open(number) for number in range(40, 60)}
        self.assertEqual({"a-0", "a-1"}, opened)

    def test_a_domain_that_replies_again_is_used_again(self):
        host = self.start()
        for number in range(8):
            self.exchange(host, number, f"b-{number % 2}")
        self.retransmit_unanswered(host, ["b-0", "b-1"], range(8))
        for number in range(40, 100):
            host.tick(0.1)
            self.assertEqual(name := host.open(number), host.send(number, name))
        opened = {host.open(number) for number in range(100, 110)}
        self.assertEqual({"a-0", "a-1", "b-0", "b-1"}, opened)

    def test_a_probe_with_a_reply_makes_a_domain_responsive_again(self):
        # The partition has healed, but no flow through this host has had a
        # reply yet.
        host = self.start()
        for number in range(8):
            self.exchange(host, number, f"b-{number % 2}")
        self.retransmit_unanswered(host, ["b-0", "b-1"], range(8))
        host.send(50, "b-1")
        for name in ("b-0", "b-1"):
            host.complete_probe(name, is_answered=True)
        self.assertEqual("b-1", host.send(50, "b-1", payload_bytes=10))

    def test_stalled_flows_without_a_failed_probe_reset_no_flow(self):
        # A host reset 18 flows of targets that served, 3.7 s after the targets
        # had seen them last, since five flows of one domain were stalled.
        host = self.start()
        for number in range(8):
            self.exchange(host, number, f"b-{number % 2}")
        results = self.retransmit_unanswered(host, ["b-0", "b-1"], range(8))
        self.assertEqual({"b-0", "b-1"}, set(results))
        for name in ("b-0", "b-1"):
            host.complete_probe(name, is_answered=True)
        results = self.retransmit_unanswered(host, ["b-0", "b-1"], range(8))
        self.assertEqual({"b-0", "b-1"}, set(results))

    def test_stalled_flows_of_long_ago_reset_no_flow(self):
        host = self.start()
        for number in range(8):
            self.exchange(host, number, f"b-{number % 2}")
        self.retransmit_unanswered(host, ["b-0", "b-1"], range(8))
        host.tick(5.0)
        self.assertEqual("b-1", host.send(50, "b-1", payload_bytes=10))

    def test_one_stalled_flow_is_no_reason_to_reset(self):
        host = self.start()
        self.exchange(host, 1, "a-0")
        results = self.retransmit_unanswered(host, ["a-0"], [1])
        self.assertEqual(["a-0"], results)

    def test_stalled_flows_of_a_responsive_target_are_not_reset(self):
        host = self.start()
        for number in range(6):
            self.exchange(host, number, "a-0")
        for number in range(5):
            host.send(
                number, "a-0", acknowledged=500, sequence=11, payload_bytes=10
            )
        for turn in range(10):
            host.tick(0.15)
            self.exchange(host, 100 + turn, "a-0")
            results = {
                host.send(
                    number,
                    "a-0",
                    acknowledged=500,
                    sequence=11,
                    payload_bytes=10,
                )
                for number in range(5)
            }
            self.assertEqual({"a-0"}, results)

    def test_a_suspended_host_resets_nothing_when_it_resumes(self):
        # The packets of the suspension, retransmissions among them, are read
        # all at once. They must not look like stalled flows.
        host = self.start()
        for number in range(8):
            self.exchange(host, number, f"b-{number % 2}")
        host.now_s += 4.0
        for _ in range(4):
            for number in range(8):
                results = host.send(
                    number,
                    f"b-{number % 2}",
                    acknowledged=500,
                    sequence=11,
                    payload_bytes=10,
                )
                self.assertEqual(f"b-{number % 2}", results)

    def test_a_retransmitted_opening_goes_to_another_target(self):
        host = self.start()
        first = host.open(1)
        host.tick(0.2)
        second = host.open(1, copy_number=1)
        host.tick(0.4)
        third = host.open(1, copy_number=2)
        self.assertThat({first, second, third}, matchers.HasLength(3))


class TargetTableTest(testtools.TestCase):
    """Which targets are eligible for new flows."""

    def names(self, table, service="web"):
        """Returns the targets of a service that are eligible for new flows."""
        return set(table.by_service.get(service, {}))

    def test_a_target_that_changes_its_service_leaves_the_other(self):
        table = target_table.TargetTable()
        table.put(
            1.0, target_announcement.KnownTarget(cookie_host.target("t-1"))
        )
        moved = cookie_host.target("t-1", service="files", born_ms=2000)
        table.put(2.0, target_announcement.KnownTarget(moved))
        self.assertEqual(set(), self.names(table))
        self.assertEqual({"t-1"}, self.names(table, "files"))

    def test_a_target_that_drains_since_the_same_announcement_leaves(self):
        table = target_table.TargetTable()
        table.put(
            1.0, target_announcement.KnownTarget(cookie_host.target("t-1"))
        )
        draining = cookie_host.target(
            "t-1", phase=target_announcement.Phase.DRAINING
        )
        table.put(2.0, target_announcement.KnownTarget(draining))
        self.assertEqual(set(), self.names(table))
        # An older update of another control host does not return it.
        table.put(
            3.0, target_announcement.KnownTarget(cookie_host.target("t-1"))
        )
        self.assertEqual(set(), self.names(table))
        table.put(
            4.0,
            target_announcement.KnownTarget(
                cookie_host.target("t-1", sequence=2)
            ),
        )
        self.assertEqual({"t-1"}, self.names(table))

    def test_a_target_that_is_gone_returns_only_with_a_later_start(self):
        table = target_table.TargetTable()

        def put(**changes):
            target = cookie_host.target("t-1", **changes)
            table.put(1.0, target_announcement.KnownTarget(target))
            return table.by_name["t-1"].is_gone

        gone = target_announcement.Phase.GONE
        put(born_ms=2)
        self.assertTrue(put(born_ms=2, sequence=5, phase=gone))
        self.assertTrue(put(born_ms=2, sequence=9))
        self.assertFalse(put(born_ms=3))
        self.assertFalse(put(born_ms=2, sequence=99, phase=gone))
        self.assertTrue(put(born_ms=4, phase=gone))

    def test_adding_many_targets_takes_less_than_quadratic_time(self):
        # An entry host learns all targets at once when it starts. 16 times as
        # many targets must cost less than 64 times the processor time, which
        # rules out a pass over all targets for each one that is added.
        def cost(count):
            table = target_table.TargetTable()
            known = [
                target_announcement.KnownTarget(
                    cookie_host.target(f"t-{n}", port=n)
                )
                for n in range(1, count)
            ]
            began_s = time.process_time()
            for item in known:
                table.put(1.0, item)
            return time.process_time() - began_s

        small = min(cost(200) for _ in range(5))
        large = min(cost(3200) for _ in range(3))
        self.assertThat(large, matchers.LessThan(64 * small))


class MemoryTest(testtools.TestCase):
    """Frequent releases that replace all targets must not leak memory."""

    def test_nothing_is_kept_of_targets_that_were_removed(self):
        host = cookie_host.CookieHost()
        host.update(document=cookie_host.document(1))
        for generation in range(5):
            name = f"t-{generation}"
            position = 2 * generation + 1
            host.update(
                cookie_host.target(name, port=100 + generation),
                base=position,
                position=position + 1,
            )
            host.send(generation, name, acknowledged=500)
            host.send(generation, name, acknowledged=600)
            gone = cookie_host.target(
                name,
                port=100 + generation,
                sequence=9,
                phase=target_announcement.Phase.GONE,
            )
            host.update(gone, base=position + 1, position=position + 2)
            host.tick(1.0)
        host.tick(target_table.GONE_RETENTION_S + 1.0)
        (handler,) = host.node.handlers[events.DatagramArrived]
        component = handler.__self__
        self.assertEqual({}, component.targets.by_name)
        self.assertEqual({}, component.tracker.targets)
        self.assertEqual({}, component.tracker.responsive)
