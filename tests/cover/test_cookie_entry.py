"""An entry host that forwards packets by the cookies of their flows."""

import itertools
import time

import msgspec
import testtools
from testtools import matchers

from tamarack_core import events
from tamarack_core import target_announcement
from tamarack_core.internal.cookie import routes as routes_lib
from tamarack_core.internal.cookie import target_table
from tests import cookie_host

SAME_TAG = ("i-69d19deb1c", "i-ff81d0f447")
"""Two target names that have the same tag."""


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


class RemovedRouteTest(testtools.TestCase):
    """Packets of open flows whose route a host does not hold."""

    def start(self, number=1, **changes):
        """Returns a host with a target and a document."""
        host = cookie_host.CookieHost()
        host.update(
            cookie_host.target("t-1"),
            document=cookie_host.document(number, **changes),
        )
        return host

    def apply(self, host, document):
        """Lets some time pass and delivers a document."""
        host.tick(0.1)
        host.update(base=1, position=1, document=document)
        host.tick(0.1)

    def remove_route(self, host, number):
        """Delivers a document that removes the route."""
        removal = cookie_host.document(number, service="", base=number - 1)
        self.apply(host, removal)

    def test_a_flow_on_a_route_that_is_not_yet_here_is_not_reset(self):
        # Another host holds a newer document and opened the flow.
        host = self.start(port=8443)
        self.assertEqual("t-1", host.send(1, "t-1"))
        self.assertEqual("t-1", host.send(1, "t-1", payload_bytes=10))

    def test_a_flow_on_a_route_that_was_added_again_is_not_reset(self):
        # This host has not received the document that adds it again.
        host = self.start()
        self.remove_route(host, 2)
        self.assertEqual("t-1", host.send(1, "t-1"))
        self.assertEqual("t-1", host.send(1, "t-1", payload_bytes=10))

    def test_a_flow_from_before_the_removal_of_its_route_is_reset(self):
        host = self.start()
        self.assertEqual("t-1", host.open(1))
        self.assertEqual("t-1", host.send(2, "t-1"))
        self.remove_route(host, 2)
        for number in (1, 2):
            self.assertEqual("reset", host.send(number, "t-1"))

    def test_a_whole_document_without_a_route_removes_it(self):
        host = self.start()
        self.assertEqual("t-1", host.open(1))
        self.apply(host, cookie_host.document(9, port=8443))
        self.assertEqual("reset", host.send(1, "t-1"))

    def test_a_host_that_started_after_a_removal_resets_no_flow(self):
        host = self.start(number=2, port=8443)
        self.assertEqual("t-1", host.send(1, "t-1"))
        self.assertEqual("reset", host.open(2))

    def test_a_flow_goes_on_when_its_route_is_added_again(self):
        host = self.start()
        self.assertEqual("t-1", host.open(1))
        self.remove_route(host, 2)
        self.apply(host, cookie_host.document(3, base=2))
        self.assertEqual("t-1", host.send(1, "t-1"))
        self.assertEqual("t-1", host.open(2))
        self.remove_route(host, 4)
        self.assertEqual("reset", host.send(2, "t-1"))

    def test_nothing_grows_with_each_removed_route(self):
        table = routes_lib.RouteTable()
        count = routes_lib.MAX_REMOVED + 10
        for number in range(1, count):
            added = cookie_host.document(number, base=number - 1, port=number)
            table.put(float(number), added)
        table.put(float(count), cookie_host.document(count, port=count))
        self.assertEqual(routes_lib.MAX_REMOVED, len(table.removed_s))


class RestartedTargetTest(testtools.TestCase):
    """A target that is gone starts again under its name."""

    def start(self):
        """Returns a host that knows that a target has ended."""
        host = cookie_host.CookieHost()
        host.update(cookie_host.target("t-1"), document=cookie_host.document(1))
        host.send(1, "t-1", acknowledged=500)
        host.tick(0.1)
        gone = cookie_host.target(
            "t-1", sequence=9, phase=target_announcement.Phase.GONE
        )
        host.update(gone, base=1, position=2)
        host.tick(1.0)
        self.assertEqual(1, len(host.resets))
        return host

    def test_a_flow_of_a_start_that_is_not_yet_known_is_not_reset(self):
        # Another host knows the new start and opened the flow.
        host = self.start()
        self.assertEqual("t-1", host.send(2, "t-1", payload_bytes=10))
        host.tick(1.0)
        self.assertEqual("t-1", host.send(2, "t-1", acknowledged=500))
        started = cookie_host.target("t-1", born_ms=2000)
        host.update(started, base=2, position=3)
        host.tick(1.0)
        self.assertEqual("t-1", host.send(2, "t-1", payload_bytes=10))
        self.assertEqual(1, len(host.resets))

    def test_a_flow_that_moved_here_after_the_end_is_reset_when_it_stalls(self):
        host = self.start()
        host.update(base=2, position=2)
        self.assertEqual("t-1", host.send(2, "t-1", payload_bytes=10))
        host.tick(0.2)
        self.assertEqual("reset", host.send(2, "t-1", payload_bytes=10))

    def test_a_host_that_is_cut_off_resets_no_flow_that_moved_to_it(self):
        # It would not learn of a new start of the target.
        host = self.start()
        host.tick(5.0)
        for _ in range(3):
            self.assertEqual("t-1", host.send(2, "t-1", payload_bytes=10))
            host.tick(0.2)

    def test_a_caller_that_closes_a_flow_of_an_ended_target_gets_a_reset(self):
        host = cookie_host.CookieHost()
        host.update(cookie_host.target("t-1"), document=cookie_host.document(1))
        host.send(1, "t-1", acknowledged=500)
        host.tick(1.0)
        gone = cookie_host.target(
            "t-1", sequence=9, phase=target_announcement.Phase.GONE
        )
        host.update(gone, base=1, position=2)
        host.now_s += 0.4
        sent = host.send(1, "t-1", acknowledged=500, is_last=True)
        self.assertEqual("reset", sent)


class SilentTargetTest(testtools.TestCase):
    """Targets whose announcements reach no control host for minutes."""

    def start(self):
        """Returns a host with a target that has just become overdue."""
        host = cookie_host.CookieHost()
        host.update(cookie_host.target("t-1"), document=cookie_host.document(1))
        overdue = target_announcement.KnownTarget(
            cookie_host.target("t-1"), is_overdue=True
        )
        host.update(overdue, base=1, position=2)
        return host

    def wait(self, host, is_confirmed=True):
        """Lets minutes pass in which the publisher sends no change."""
        for _ in range(200):
            host.update(base=2, position=2, is_confirmed=is_confirmed)
            host.tick(1.0)

    def test_nothing_is_kept_of_a_target_without_flows(self):
        host = self.start()
        self.wait(host)
        self.assertEqual({}, host.targets.by_name)
        self.assertEqual({}, host.targets.by_tag)
        self.assertEqual({}, host.targets.by_service["web"])

    def test_a_target_with_an_open_flow_is_kept(self):
        host = self.start()
        for second in range(200):
            host.update(base=2, position=2)
            sent = host.send(7, "t-1", acknowledged=second)
            self.assertEqual("t-1", sent)
            host.tick(1.0)
        self.assertEqual([], host.resets)

    def test_a_host_whose_publisher_is_cut_off_keeps_its_targets(self):
        host = self.start()
        self.wait(host, is_confirmed=False)
        self.assertEqual("t-1", host.send(7, "t-1"))

    def test_a_host_that_reaches_no_control_host_keeps_its_targets(self):
        host = self.start()
        host.tick(200.0)
        self.assertEqual("t-1", host.send(7, "t-1"))

    def test_a_target_that_just_became_missing_is_kept(self):
        # Its last change may be long ago, as renewals are not sent.
        host = cookie_host.CookieHost()
        host.update(cookie_host.target("t-1"), document=cookie_host.document(1))
        for _ in range(200):
            host.update(base=1, position=1)
            host.tick(1.0)
        host.update(run="other")
        host.tick(1.0)
        self.assertEqual("t-1", host.send(7, "t-1"))


def domain_target(name, domain):
    """Returns a target of a failure domain."""
    return msgspec.structs.replace(cookie_host.target(name), domain=domain)


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
                domain_target(f"{domain}-{number}", domain)
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

    def test_of_two_targets_with_one_tag_the_older_takes_flows(self):
        table = target_table.TargetTable()
        first, second = SAME_TAG
        self.assertEqual(
            target_table.tag_of(first), target_table.tag_of(second)
        )
        for born_ms, name in ((2000, second), (1000, first)):
            target = cookie_host.target(name, born_ms=born_ms)
            table.put(1.0, target_announcement.KnownTarget(target))
        self.assertEqual({first}, self.names(table))

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


class ProbeTest(testtools.TestCase):
    """A host probes a target before it resets the flows of the target."""

    def start(self):
        """Returns a host with two targets, and three flows at the first.

        A third target, of another service, is the reference of the probes.
        """
        host = cookie_host.CookieHost()
        host.update(
            cookie_host.target("t-1"),
            cookie_host.target("t-2", port=81),
            cookie_host.target("t-3", port=82, service="files"),
            document=cookie_host.document(1),
        )
        host.send(70, "t-3", acknowledged=500, payload_bytes=10)
        host.send(70, "t-3", acknowledged=600, sequence=11)
        for number in range(3):
            host.send(number, "t-1", acknowledged=500, payload_bytes=10)
            host.send(number, "t-1", acknowledged=600, sequence=11)
        host.tick(0.1)
        host.send(70, "t-3", acknowledged=700, sequence=11)
        return host

    def fail_probe(self, host, name):
        """Fails both probes of a target; its reference replies in between."""
        host.complete_probe(name, is_answered=False)
        host.complete_probe("t-3", is_answered=True)
        host.complete_probe(name, is_answered=False)

    def retransmit(self, host):
        """Sends one request on the first flow and retransmits it."""
        host.send(0, "t-1", acknowledged=600, sequence=11, payload_bytes=10)
        host.tick(0.2)
        host.send(0, "t-1", acknowledged=600, sequence=11, payload_bytes=10)

    def test_one_retransmission_makes_the_host_probe(self):
        host = self.start()
        self.assertEqual([], host.probed)
        self.retransmit(host)
        self.assertEqual(["t-1"], host.probed)

    def test_probes_retry_often_enough_for_lossy_links(self):
        # The users' worst links lose one packet in forty in each direction.
        host = self.start()
        self.retransmit(host)
        host.complete_probe("t-1", is_answered=False)
        host.complete_probe("t-3", is_answered=True)
        probes = [probe for probe in host.probes if probe.target == "t-1"]
        self.assertThat(probes, matchers.HasLength(2))
        lost = 1 - (1 - 0.025) ** 2
        attempts = sum(probe.attempts for probe in probes)
        self.assertThat(lost**attempts, matchers.LessThan(1 / 5000))
        for probe in probes:
            last_s = (probe.attempts - 1) * probe.spacing_s
            self.assertThat(last_s, matchers.LessThan(probe.timeout_s - 0.1))

    def test_a_target_that_replies_keeps_its_flows(self):
        host = self.start()
        self.retransmit(host)
        host.complete_probe("t-1", is_answered=True)
        self.assertEqual([], host.resets)
        self.assertEqual(["t-1"], host.probed)

    def test_a_target_that_resets_the_probe_keeps_its_flows(self):
        # Its queue of connections may be full while it serves its flows.
        host = self.start()
        self.retransmit(host)
        host.end_probe("t-1", events.ProbeOutcome.RESET)
        host.complete_probe("t-3", is_answered=True)
        self.assertEqual([], host.resets)
        self.assertIn("t-1", {host.open(n) for n in range(20, 40)})

    def test_a_draining_target_that_refuses_new_connections_keeps_its_flows(
        self,
    ):
        # Many servers close their listener first, and then finish their flows.
        host = self.start()
        host.update(
            cookie_host.target(
                "t-1",
                sequence=9,
                phase=target_announcement.Phase.DRAINING,
            ),
            base=1,
            position=2,
        )
        self.retransmit(host)
        host.end_probe("t-1", events.ProbeOutcome.REFUSED)
        host.complete_probe("t-3", is_answered=True)
        host.end_probe("t-1", events.ProbeOutcome.REFUSED)
        self.assertEqual([], host.resets)

    def test_a_probe_that_could_not_be_sent_resets_no_flow(self):
        # Such as without a free descriptor or local port.
        host = self.start()
        self.retransmit(host)
        host.end_probe("t-1", events.ProbeOutcome.NOT_SENT)
        host.complete_probe("t-3", is_answered=True)
        self.assertEqual([], host.resets)
        self.assertIn("t-1", {host.open(n) for n in range(20, 40)})

    def test_a_target_with_active_flows_is_not_dead(self):
        # The reply to a probe may be late where a link is full.
        host = self.start()
        self.retransmit(host)
        host.send(1, "t-1", acknowledged=700, sequence=11)
        self.fail_probe(host, "t-1")
        self.assertEqual([], host.resets)

    def test_a_reference_counts_only_if_it_replies_after_the_failed_probe(self):
        # A reply from before the failed probe does not show that the link of
        # this host worked afterwards.
        host = self.start()
        self.retransmit(host)
        host.complete_probe("t-3", is_answered=True)
        host.complete_probe("t-1", is_answered=False)
        self.assertEqual(["t-1", "t-3"], host.probed)
        self.assertEqual([], host.resets)
        host.complete_probe("t-3", is_answered=True)
        self.assertEqual([], host.resets)
        host.complete_probe("t-1", is_answered=False)
        self.assertEqual(3, len(host.resets))

    def test_failed_probes_on_a_busy_link_of_this_host_reset_no_flow(self):
        # A document of 60 kB fills a link of 2 Mbit/s for 0.24 s, so that the
        # probes of all targets fail_probe.
        host = self.start()
        for _ in range(4):
            self.retransmit(host)
            host.complete_probe("t-1", is_answered=False)
            host.complete_probe("t-3", is_answered=False)
            host.tick(0.5)
        self.assertEqual([], host.resets)

    def play(self, host, seconds, outage_end_s):
        """Plays probes; until a time, no packet passes the host's link."""
        end_s = host.now_s + seconds
        running = {}
        while host.now_s < end_s:
            host.now_s += 0.01
            for probe in host.probes:
                running[probe.target] = (host.now_s, probe)
            host.probes.clear()
            for name, (sent_s, probe) in list(running.items()):
                age_s = host.now_s - sent_s
                spacing_s = probe.spacing_s
                last = min(int(age_s / spacing_s), probe.attempts - 1)
                if sent_s + last * spacing_s > outage_end_s:
                    del running[name]
                    host.complete_probe(name, is_answered=True)
                elif age_s > probe.timeout_s:
                    del running[name]
                    host.complete_probe(name, is_answered=False)
            host.handle(events.TimerFired(host.now_s, "forwarding"))

    def test_an_outage_of_this_host_before_the_reference_resets_no_flow(
        self,
    ):
        # Its link loses all packets for 0.35 s.
        host = self.start()
        outage_end_s = host.now_s + 0.35
        self.retransmit(host)
        self.play(host, 2.0, outage_end_s)
        self.assertEqual([], host.resets)

    def test_a_failed_probe_resets_all_flows_at_once(self):
        # This includes idle flows: a request that a caller sends on one later,
        # such as a report, might not be retryable.
        host = self.start()
        self.retransmit(host)
        self.fail_probe(host, "t-1")
        self.assertEqual(3, len(host.resets))
        self.assertEqual({"t-2"}, {host.open(n) for n in range(20, 40)})

    def test_the_log_says_why_a_target_is_dead_and_how_long_flows_were_idle(
        self,
    ):
        host = self.start()
        self.retransmit(host)
        host.tick(0.2)
        self.fail_probe(host, "t-1")
        entries = {
            record.entry.name: record.entry for record in reversed(host.records)
        }
        failed = entries["probe-failed"]
        self.assertEqual(("t-1", "unanswered"), (failed.target, failed.reason))
        self.assertIn("by retransmission, 0.200 s ago; 3 flows", failed.detail)
        self.assertIn("confirmed by t-3", entries["target-dead"].detail)
        self.assertIn("idle 0.5 s", entries["flow-reset"].detail)
        counters = host.node.context.counters
        self.assertEqual(1, counters["probes-sent-retransmission"])
        self.assertEqual(1, counters["probes-sent-reference"])
        self.assertEqual(1, counters["probes-sent-confirmation"])
        self.assertEqual(2, counters["probes-unanswered"])
        self.assertEqual(1, counters["probes-accepted"])

    def test_a_probe_from_before_a_restart_of_the_target_is_ignored(self):
        host = self.start()
        self.retransmit(host)
        host.complete_probe("t-1", is_answered=False)
        host.update(cookie_host.target("t-1", born_ms=2000), base=1, position=2)
        host.complete_probe("t-3", is_answered=True)
        self.assertEqual([], host.resets)
        self.assertIn("t-1", {host.open(n) for n in range(20, 40)})

    def test_a_result_from_before_a_restart_does_not_end_a_later_probe(self):
        host = self.start()
        self.retransmit(host)
        host.update(cookie_host.target("t-1", born_ms=2000), base=1, position=2)
        for _ in range(2):
            host.send(80, "t-1", acknowledged=1, payload_bytes=10)
            host.tick(0.1)
        self.assertEqual(["t-1", "t-1"], host.probed)
        host.end_probe(
            "t-1", events.ProbeOutcome.REFUSED, host.probes[0].number
        )
        host.complete_probe("t-3", is_answered=True)
        self.assertEqual([], host.resets)

    def test_a_dead_target_that_restarts_is_used_at_once(self):
        host = self.start()
        self.retransmit(host)
        self.fail_probe(host, "t-1")
        self.assertEqual({"t-2"}, {host.open(n) for n in range(20, 40)})
        host.update(cookie_host.target("t-1", born_ms=2000), base=1, position=2)
        self.assertIn("t-1", {host.open(n) for n in range(40, 60)})
        # A caller that now waits for this target makes the host probe it
        # again instead of refusing the opening.
        host.send(80, "t-1", acknowledged=1, payload_bytes=10)
        host.tick(0.6)
        host.send(80, "t-1", acknowledged=1, payload_bytes=10)
        self.assertIn("t-1", {host.open(n) for n in range(60, 80)})

    def test_a_target_that_replies_again_is_used_again(self):
        host = self.start()
        self.retransmit(host)
        self.fail_probe(host, "t-1")
        host.tick(1.0)
        self.assertEqual(3, host.probed.count("t-1"))
        host.complete_probe("t-1", is_answered=True)
        self.assertEqual({"t-1", "t-2"}, {host.open(n) for n in range(20, 40)})

    def test_a_dead_target_that_is_gone_is_no_longer_probed(self):
        # Another target may have its address by then.
        host = self.start()
        self.retransmit(host)
        self.fail_probe(host, "t-1")
        gone = cookie_host.target(
            "t-1", sequence=9, phase=target_announcement.Phase.GONE
        )
        host.update(gone, base=1, position=2)
        host.tick(0.3)
        host.probes.clear()
        host.tick(3.0)
        self.assertEqual([], host.probed)

    def test_a_suspended_host_ignores_the_result_of_its_probe(self):
        host = self.start()
        self.retransmit(host)
        host.now_s += 4.0
        self.fail_probe(host, "t-1")
        self.assertEqual([], host.resets)

    def test_a_result_from_before_a_suspension_does_not_end_a_later_probe(self):
        host = self.start()
        self.retransmit(host)
        host.now_s += 4.0
        host.tick(0.2)
        host.send(0, "t-1", acknowledged=600, sequence=11, payload_bytes=10)
        self.assertEqual(["t-1", "t-1"], host.probed)
        host.end_probe(
            "t-1", events.ProbeOutcome.REFUSED, host.probes[0].number
        )
        host.complete_probe("t-3", is_answered=True)
        self.assertEqual([], host.resets)

    def test_a_target_whose_reference_has_ended_is_probed_again(self):
        host = self.start()
        self.retransmit(host)
        host.complete_probe("t-1", is_answered=False)
        reference = host.probed[-1]
        host.update(
            cookie_host.target(
                reference, sequence=9, phase=target_announcement.Phase.GONE
            ),
            base=1,
            position=2,
        )
        host.tick(0.6)
        host.complete_probe(reference, is_answered=False)
        host.send(0, "t-1", acknowledged=600, sequence=11, payload_bytes=10)
        self.assertEqual(["t-1", reference, "t-1"], host.probed)

    def test_the_flows_of_a_target_that_ended_are_reset_at_once(self):
        host = self.start()
        host.update(
            cookie_host.target(
                "t-1", sequence=9, phase=target_announcement.Phase.GONE
            ),
            base=1,
            position=2,
        )
        host.tick(0.6)
        self.assertEqual(3, len(host.resets))

    def test_a_withdrawn_target_keeps_its_flows_while_it_replies(self):
        # The response to its withdrawal was lost, so it withdraws again before
        # it exits.
        host = self.start()
        gone = cookie_host.target(
            "t-1", sequence=9, phase=target_announcement.Phase.GONE
        )
        host.update(gone, base=1, position=2)
        for reply in range(20):
            host.tick(0.1)
            sent = host.send(0, "t-1", acknowledged=700 + reply, sequence=11)
            self.assertEqual("t-1", sent)
        self.assertEqual([], host.resets)
        host.tick(0.6)
        self.assertEqual(3, len(host.resets))

    def test_an_opening_is_refused_at_once_when_all_targets_are_dead(self):
        # An entry host that is cut off: the caller's next attempt may reach
        # another one.
        host = self.start()
        self.retransmit(host)
        for name in ("t-1", "t-2", "t-2"):
            host.open(90)
            host.tick(0.2)
            host.open(90, copy_number=1)
            host.open(91)
            host.tick(0.2)
            host.open(91, copy_number=1)
            self.fail_probe(host, name)
        self.assertEqual("reset", host.open(50))
        host.tick(0.6)
        host.complete_probe("t-2", is_answered=True)
        self.assertEqual("t-2", host.open(51))


class PartitionedDomainTest(testtools.TestCase):
    """A failure domain with many open flows is partitioned off."""

    def start(self):
        """Returns a host with a flow at each of four targets of two domains."""
        host = cookie_host.CookieHost()
        names = [f"{domain}-{n}" for domain in "ab" for n in range(4)]
        host.update(
            *(domain_target(name, name[0]) for name in names),
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
                domain_target("a-0", "a"),
                *(domain_target(name, "b") for name in names),
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
                domain_target(name, "b"),
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
        targets = [domain_target(name, "b") for name in names]
        host.update(
            domain_target("a-0", "a"),
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
