"""An entry host that forwards by the cookies of flows."""

import itertools
import time

import msgspec
import testtools
from testtools import matchers

from tamarack_core import events
from tamarack_core import target_announcement
from tamarack_core.internal.cookie import target_table
from tests import cookie_host

SAME_TAG = ("i-69d19deb1c", "i-ff81d0f447")
"""Two names with one checksum."""


class FollowingTest(testtools.TestCase):
    """What an entry host believes of targets and routes."""

    def test_a_target_that_one_control_host_does_not_know_keeps_its_flows(self):
        # A control host that wakes from a freeze lacks what began meanwhile.
        host = cookie_host.CookieHost()
        host.update(
            cookie_host.target("t-1"),
            cookie_host.target("t-2", port=81),
            document=cookie_host.document(1),
        )
        woken = cookie_host.control("c2")
        host.tick(3.0)
        host.update(cookie_host.target("t-1"), sender=woken, run="other")
        self.assertEqual("t-2", host.carry(7, "t-2", payload_bytes=10))
        self.assertEqual({"t-1"}, {host.open(n) for n in range(20, 30)})
        host.update(
            target_announcement.KnownTarget(cookie_host.target("t-2", port=81)),
            sender=woken,
            run="other",
            base=1,
            position=2,
        )
        self.assertEqual({"t-1", "t-2"}, {host.open(n) for n in range(30, 40)})


def domain_target(name, domain):
    """Returns a target of a failure domain."""
    return msgspec.structs.replace(cookie_host.target(name), domain=domain)


class StartTest(testtools.TestCase):
    """Load: all entry hosts start at once, behind slow links."""

    def asked(self, host):
        """Returns the control hosts that were asked since the last call."""
        names = [effect.peer.host for effect in host.sent]
        host.sent.clear()
        return names

    def test_a_host_that_starts_asks_one_control_host_at_a_time(self):
        # Each answers with a whole document; three at once would fill the
        # link of this host with copies.
        host = cookie_host.CookieHost(controls=("c1", "c2", "c3"))
        rounds = [self.asked(host)]
        for _ in range(2):
            host.tick(0.1)
            rounds.append(self.asked(host))
        self.assertEqual([1, 1, 1], [len(names) for names in rounds])
        self.assertEqual({"c1", "c2", "c3"}, {names[0] for names in rounds})

    def test_a_control_host_without_a_document_makes_it_ask_the_next(self):
        # A control host that lost its disk learns the document after a while.
        host = cookie_host.CookieHost(controls=("c1", "c2", "c3"))
        (first,) = self.asked(host)
        host.update(
            cookie_host.target("t-1"), sender=cookie_host.control(first)
        )
        (second,) = self.asked(host)
        self.assertNotEqual(first, second)

    def test_hosts_that_start_together_begin_with_different_control_hosts(self):
        first = {
            self.asked(
                cookie_host.CookieHost(seed, controls=("c1", "c2", "c3"))
            )[0]
            for seed in range(20)
        }
        self.assertEqual({"c1", "c2", "c3"}, first)


class SilenceTest(testtools.TestCase):
    """What an entry host does about targets that do not answer."""

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

    def talk(self, host, number, name):
        """Opens a flow at a target and gets an answer to a request."""
        host.carry(number, name)
        host.carry(number, name, payload_bytes=10)
        host.carry(number, name, sequence=11, acknowledged=500)

    def ask_in_vain(self, host, names, flows):
        """Sends a request on each flow, and again without an answer."""
        pairs = list(zip(flows, itertools.cycle(names), strict=False))
        for number, name in pairs:
            host.carry(
                number, name, acknowledged=500, sequence=11, payload_bytes=10
            )
        left = []
        for wait_s in (0.2, 0.4, 0.8):
            host.tick(wait_s)
            left = [
                host.carry(
                    number,
                    name,
                    acknowledged=500,
                    sequence=11,
                    payload_bytes=10,
                )
                for number, name in pairs
            ]
        return left

    def test_a_domain_that_is_cut_off_gets_no_openings_and_resets_flows(self):
        host = self.start()
        for number in range(8):
            self.talk(host, number, f"b-{number % 2}")
        left = self.ask_in_vain(host, ["b-0", "b-1"], range(8))
        self.assertEqual({"reset"}, set(left))
        opened = [host.open(number) for number in range(20, 40)]
        self.assertThat(
            [name for name in opened if name.startswith("b")],
            matchers.HasLength(1),
        )

    def test_a_domain_that_answers_again_is_used_again(self):
        host = self.start()
        for number in range(8):
            self.talk(host, number, f"b-{number % 2}")
        self.ask_in_vain(host, ["b-0", "b-1"], range(8))
        for number in range(40, 100):
            host.tick(0.1)
            self.assertEqual(
                name := host.open(number), host.carry(number, name)
            )
        opened = {host.open(number) for number in range(100, 110)}
        self.assertEqual({"a-0", "a-1", "b-0", "b-1"}, opened)

    def test_a_probe_that_a_domain_answers_ends_its_silence(self):
        # The cut is over, but no flow through this host has shown it yet.
        host = self.start()
        for number in range(8):
            self.talk(host, number, f"b-{number % 2}")
        self.ask_in_vain(host, ["b-0", "b-1"], range(8))
        host.carry(50, "b-1")
        for name in ("b-0", "b-1"):
            host.probe_ends(name, is_answered=True)
        self.assertEqual("b-1", host.carry(50, "b-1", payload_bytes=10))

    def test_silence_of_long_ago_resets_no_flow(self):
        host = self.start()
        for number in range(8):
            self.talk(host, number, f"b-{number % 2}")
        self.ask_in_vain(host, ["b-0", "b-1"], range(8))
        host.tick(5.0)
        self.assertEqual("b-1", host.carry(50, "b-1", payload_bytes=10))

    def test_one_silent_flow_is_no_reason_to_reset(self):
        host = self.start()
        self.talk(host, 1, "a-0")
        left = self.ask_in_vain(host, ["a-0"], [1])
        self.assertEqual(["a-0"], left)

    def test_flows_of_a_target_that_answers_others_are_left_alone(self):
        host = self.start()
        for number in range(6):
            self.talk(host, number, "a-0")
        for number in range(5):
            host.carry(
                number, "a-0", acknowledged=500, sequence=11, payload_bytes=10
            )
        for turn in range(10):
            host.tick(0.15)
            self.talk(host, 100 + turn, "a-0")
            left = {
                host.carry(
                    number,
                    "a-0",
                    acknowledged=500,
                    sequence=11,
                    payload_bytes=10,
                )
                for number in range(5)
            }
            self.assertEqual({"a-0"}, left)

    def test_a_host_that_was_frozen_resets_nothing_when_it_wakes(self):
        # All that was sent meanwhile is read at once, with its repetitions.
        host = self.start()
        for number in range(8):
            self.talk(host, number, f"b-{number % 2}")
        host.now_s += 4.0
        for _ in range(4):
            for number in range(8):
                left = host.carry(
                    number,
                    f"b-{number % 2}",
                    acknowledged=500,
                    sequence=11,
                    payload_bytes=10,
                )
                self.assertEqual(f"b-{number % 2}", left)

    def test_a_repeated_opening_goes_to_another_target(self):
        host = self.start()
        first = host.open(1)
        host.tick(0.2)
        second = host.open(1, copy_number=1)
        host.tick(0.4)
        third = host.open(1, copy_number=2)
        self.assertThat({first, second, third}, matchers.HasLength(3))


class TagTest(testtools.TestCase):
    """Which targets take new flows."""

    def names(self, table, service="web"):
        """Returns the targets of a service that take new flows."""
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

    def test_a_service_of_many_targets_is_learned_in_one_pass(self):
        # An entry host learns all targets at once when it starts.
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
    """Load: releases replace all targets day after day."""

    def test_nothing_is_kept_of_targets_that_were_forgotten(self):
        host = cookie_host.CookieHost()
        host.update(document=cookie_host.document(1))
        for life in range(5):
            name = f"t-{life}"
            position = 2 * life + 1
            host.update(
                cookie_host.target(name, port=100 + life),
                base=position,
                position=position + 1,
            )
            host.carry(life, name, acknowledged=500)
            host.carry(life, name, acknowledged=600)
            gone = cookie_host.target(
                name,
                port=100 + life,
                sequence=9,
                phase=target_announcement.Phase.GONE,
            )
            host.update(gone, base=position + 1, position=position + 2)
            host.tick(1.0)
        host.tick(target_table.GONE_RETENTION_S + 1.0)
        (handler,) = host.node.handlers[events.DatagramArrived]
        path = handler.__self__
        self.assertEqual({}, path.targets.by_name)
        self.assertEqual({}, path.tracker.targets)
        self.assertEqual({}, path.tracker.responsive)


class ProbeTest(testtools.TestCase):
    """A host asks a target itself before it gives its flows up."""

    def start(self):
        """Returns a host with two targets, and three flows at the first.

        A third target, of another service, is there to be asked beside them.
        """
        host = cookie_host.CookieHost()
        host.update(
            cookie_host.target("t-1"),
            cookie_host.target("t-2", port=81),
            cookie_host.target("t-3", port=82, service="files"),
            document=cookie_host.document(1),
        )
        host.carry(70, "t-3", acknowledged=500, payload_bytes=10)
        host.carry(70, "t-3", acknowledged=600, sequence=11)
        for number in range(3):
            host.carry(number, "t-1", acknowledged=500, payload_bytes=10)
            host.carry(number, "t-1", acknowledged=600, sequence=11)
        host.tick(0.1)
        host.carry(70, "t-3", acknowledged=700, sequence=11)
        return host

    def fail(self, host, name):
        """Ends the probe of a target in vain, that of its reference not."""
        host.probe_ends(name, is_answered=False)
        host.probe_ends("t-3", is_answered=True)

    def repeat(self, host):
        """Sends one request on the first flow, and repeats it."""
        host.carry(0, "t-1", acknowledged=600, sequence=11, payload_bytes=10)
        host.tick(0.2)
        host.carry(0, "t-1", acknowledged=600, sequence=11, payload_bytes=10)

    def test_one_repetition_makes_the_host_ask(self):
        host = self.start()
        self.assertEqual([], host.probed)
        self.repeat(host)
        self.assertEqual(["t-1"], host.probed)

    def test_a_probe_asks_often_enough_to_bear_lost_packets(self):
        # One packet in forty is lost on the users' worst links, each way.
        host = self.start()
        self.repeat(host)
        (probe,) = host.probes
        lost = 1 - (1 - 0.025) ** 2
        self.assertThat(lost**probe.attempts, matchers.LessThan(1 / 5000))
        last_s = (probe.attempts - 1) * probe.spacing_s
        self.assertThat(last_s, matchers.LessThan(probe.timeout_s - 0.1))

    def test_a_target_that_answers_keeps_its_flows(self):
        host = self.start()
        self.repeat(host)
        host.probe_ends("t-1", is_answered=True)
        self.assertEqual([], host.resets)
        self.assertEqual(["t-1"], host.probed)

    def test_a_target_whose_flows_go_on_is_not_dead(self):
        # The answer to a probe may be late where a link is full.
        host = self.start()
        self.repeat(host)
        host.carry(1, "t-1", acknowledged=700, sequence=11)
        self.fail(host, "t-1")
        self.assertEqual([], host.resets)

    def test_a_reference_answers_after_the_probe_in_vain(self):
        # What it answered before says nothing of the link since.
        host = self.start()
        self.repeat(host)
        host.probe_ends("t-3", is_answered=True)
        host.probe_ends("t-1", is_answered=False)
        self.assertEqual(["t-1", "t-3"], host.probed)
        self.assertEqual([], host.resets)
        host.probe_ends("t-3", is_answered=True)
        self.assertEqual(3, len(host.resets))

    def test_a_busy_link_of_this_host_says_nothing_about_a_target(self):
        # A document of 60 kB fills a link of 2 Mbit/s for 0.24 s.
        host = self.start()
        for _ in range(4):
            self.repeat(host)
            host.probe_ends("t-1", is_answered=False)
            host.probe_ends("t-3", is_answered=False)
            host.tick(0.5)
        self.assertEqual([], host.resets)

    def test_a_probe_in_vain_resets_all_flows_at_once(self):
        # Idle flows too: a report sent on one later could not be repeated.
        host = self.start()
        self.repeat(host)
        self.fail(host, "t-1")
        self.assertEqual(3, len(host.resets))
        self.assertEqual({"t-2"}, {host.open(n) for n in range(20, 40)})

    def test_a_probe_of_an_earlier_life_says_nothing_of_the_next(self):
        host = self.start()
        self.repeat(host)
        host.probe_ends("t-1", is_answered=False)
        host.update(cookie_host.target("t-1", born_ms=2000), base=1, position=2)
        host.probe_ends("t-3", is_answered=True)
        self.assertEqual([], host.resets)
        self.assertIn("t-1", {host.open(n) for n in range(20, 40)})

    def test_a_dead_target_that_is_born_again_is_used_at_once(self):
        host = self.start()
        self.repeat(host)
        self.fail(host, "t-1")
        self.assertEqual({"t-2"}, {host.open(n) for n in range(20, 40)})
        host.update(cookie_host.target("t-1", born_ms=2000), base=1, position=2)
        self.assertIn("t-1", {host.open(n) for n in range(40, 60)})
        # A caller that waits there now makes the host ask, not refuse.
        host.carry(80, "t-1", acknowledged=1, payload_bytes=10)
        host.tick(0.6)
        host.carry(80, "t-1", acknowledged=1, payload_bytes=10)
        self.assertIn("t-1", {host.open(n) for n in range(60, 80)})

    def test_a_target_that_answers_again_is_used_again(self):
        host = self.start()
        self.repeat(host)
        self.fail(host, "t-1")
        host.tick(1.0)
        self.assertEqual(2, host.probed.count("t-1"))
        host.probe_ends("t-1", is_answered=True)
        self.assertEqual({"t-1", "t-2"}, {host.open(n) for n in range(20, 40)})

    def test_a_frozen_host_does_not_trust_its_probe(self):
        host = self.start()
        self.repeat(host)
        host.now_s += 4.0
        self.fail(host, "t-1")
        self.assertEqual([], host.resets)

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

    def test_an_opening_is_refused_at_once_when_all_targets_are_dead(self):
        # A host that is cut off; the caller's next try may reach another.
        host = self.start()
        self.repeat(host)
        for name in ("t-1", "t-2", "t-2"):
            host.open(90)
            host.tick(0.2)
            host.open(90, copy_number=1)
            host.open(91)
            host.tick(0.2)
            host.open(91, copy_number=1)
            self.fail(host, name)
        self.assertEqual("reset", host.open(50))
        host.tick(0.6)
        host.probe_ends("t-2", is_answered=True)
        self.assertEqual("t-2", host.open(51))


class CutDomainTest(testtools.TestCase):
    """Load: a failure domain is cut off under many open flows."""

    def start(self):
        """Returns a host with a flow at each of four targets of two domains."""
        host = cookie_host.CookieHost()
        names = [f"{domain}-{n}" for domain in "ab" for n in range(4)]
        host.update(
            *(domain_target(name, name[0]) for name in names),
            document=cookie_host.document(1),
        )
        for number, name in enumerate(names):
            host.carry(number, name, acknowledged=500, payload_bytes=10)
            host.carry(number, name, acknowledged=600, sequence=11)
        return host

    def kill(self, host, number, name):
        """Lets a caller wait in vain until its target is held to be dead."""
        host.carry(
            number, name, acknowledged=600, sequence=11, payload_bytes=10
        )
        host.tick(0.2)
        host.carry(
            number, name, acknowledged=600, sequence=11, payload_bytes=10
        )
        host.carry(0, "a-0", acknowledged=800 + number, sequence=11)
        host.probe_ends(name, is_answered=False)
        host.probe_ends("a-0", is_answered=True)

    def test_a_dead_target_makes_the_host_ask_the_others_of_its_domain(self):
        host = self.start()
        self.kill(host, 4, "b-0")
        self.assertEqual(["b-0", "a-0"], host.probed[:2])
        self.assertEqual({"b-1", "b-2", "b-3"}, set(host.probed[2:]))
        self.assertEqual(1, len(host.resets))
        for name in ("b-1", "b-2", "b-3"):
            host.probe_ends(name, is_answered=False)
        host.probe_ends("a-0", is_answered=True)
        self.assertEqual(4, len(host.resets))

    def test_a_neighbor_with_a_sign_of_life_is_not_asked(self):
        host = self.start()
        host.carry(4, "b-0", acknowledged=600, sequence=11, payload_bytes=10)
        host.tick(0.2)
        host.carry(4, "b-0", acknowledged=600, sequence=11, payload_bytes=10)
        host.tick(0.1)
        host.carry(5, "b-1", acknowledged=700, sequence=11)
        host.carry(0, "a-0", acknowledged=700, sequence=11)
        host.probe_ends("b-0", is_answered=False)
        host.probe_ends("a-0", is_answered=True)
        self.assertEqual({"b-0", "a-0", "b-2", "b-3"}, set(host.probed))

    def test_a_neighbor_that_answers_keeps_its_flows(self):
        host = self.start()
        self.kill(host, 4, "b-0")
        for name in ("b-1", "b-2", "b-3"):
            host.probe_ends(name, is_answered=True)
        self.assertEqual(1, len(host.resets))
        self.assertEqual("b-2", host.carry(6, "b-2", payload_bytes=10))
