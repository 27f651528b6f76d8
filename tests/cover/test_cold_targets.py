"""Limits of cold targets: budget, allotment, spacing and the entry host."""

import itertools

import msgspec
import testtools
from testtools import matchers

from tamarack_core import evacuations
from tamarack_core import events
from tamarack_core import sync
from tamarack_core import target_announcement
from tamarack_core.internal.cold_targets import allotment as allotment_lib
from tamarack_core.internal.cold_targets import budget
from tamarack_core.internal.cold_targets import limiter as limiters
from tamarack_core.internal.cookie import cold_openings
from tamarack_core.internal.documents import allotment_log
from tamarack_core.internal.documents import state_machine as machines
from tamarack_core.internal.registry import target_registry
from tests import cookie_host

WARM_UP_S = 5.0
COLD_MS = 5000
LIMITED = (sync.WarmUp("web", WARM_UP_S, 4.0),)
TOLERANCE = {"cold_overrun_factor": 1.5, "cold_slack_requests": 5.0}


def allotted(*names, base=0, number=1, position=0, hosts=4, revision=0):
    """Returns an update that names the receiver for cold targets."""
    targets = tuple(
        sync.AllottedTarget(name, 1000, revision, position, hosts)
        for name in names
    )
    return sync.AllotmentUpdate(base, number, targets)


def limited_host(*targets, warm_ups=LIMITED, **changes):
    """Returns a host that knows targets, some seconds after its start."""
    host = cookie_host.CookieHost(**TOLERANCE)
    host.tick(2.0)
    document = cookie_host.document(1, warm_ups=warm_ups)
    host.update(*targets, document=document, **changes)
    return host


def cold(name="t-cold", **changes):
    """Returns an announcement of a cold target."""
    return cookie_host.target(name, cold_ms=COLD_MS, port=99, **changes)


class DecisionTest(testtools.TestCase):
    """Budget, choice of hosts and spacing, without hosts."""

    def test_the_budget_is_the_limit_rounded_down(self):
        tolerance = budget.Tolerance(1.5, 5.0)
        for rate, count in ((4.0, 11), (0.5, 5), (3.1, 9), (1e9, 1000)):
            self.assertEqual(count, budget.host_count(rate, tolerance))
        for rate in (0.0, -1.0):
            self.assertEqual(0, budget.host_count(rate, tolerance))
        self.assertEqual(0, budget.host_count(0.5, budget.Tolerance()))

    # Pattern: half of 120 targets become cold, 12 at a time.
    def test_targets_that_are_cold_at_once_use_all_hosts_alike(self):
        hosts = [f"entry-{number}" for number in range(80)]
        held = dict.fromkeys(hosts, 0)
        for number in range(60):
            key = allotment_lib.Key(f"t-{number}", 1)
            chosen = allotment_lib.choose_hosts(key, hosts, 11, held)
            self.assertEqual(11, len(set(chosen)))
            for host in chosen:
                held[host] += 1
        self.assertThat(
            max(held.values()) - min(held.values()), matchers.LessThan(2)
        )

    # A host that is cut off and acts by the earlier allotment would add to the
    # hosts of a later one.
    def test_earlier_hosts_are_kept_within_the_budget(self):
        key, known = allotment_lib.Key("t", 2), ["a", "b", "c", "d"]
        for count, kept in ((1, ("x",)), (2, ("x", "y"))):
            chosen = allotment_lib.choose_hosts(
                key, known, count, {}, ("x", "y")
            )
            self.assertEqual(kept, chosen)
        known.append("x")
        chosen = allotment_lib.choose_hosts(key, known, 6, {}, ("x", "y"))
        self.assertEqual(("x", "y"), chosen[:2])
        self.assertEqual({"a", "b", "c", "d"}, set(chosen[2:]))
        self.assertEqual(6, len(chosen))

    # Pattern: a burst of openings, and a suspension between a decision and the
    # transmission, which sends one opening late.
    def test_openings_are_spaced_from_the_time_of_transmission(self):
        limiter = limiters.ColdTargetLimiter()
        self.assertFalse(limiter.may_open(5.0, "t"))
        limiter.start(5.0)
        self.assertFalse(limiter.may_open(6.2, "t"))
        self.assertTrue(limiter.may_open(6.3, "t"))
        self.assertFalse(limiter.may_open(6.3, "t", not_before_s=6.4))
        limiter.record(6.3, "t")
        limiter.observe(6.3)
        self.assertFalse(limiter.may_open(6.3, "t"))
        self.assertTrue(limiter.may_open(6.3, "other"))
        limiter.observe(9.0)
        self.assertFalse(limiter.may_open(10.2, "t"))
        self.assertTrue(limiter.may_open(10.4, "t"))
        self.assertFalse(limiter.may_open(68.9, "t", budget.MAX_SPACING_S))
        limiter.expire(68.9)
        self.assertFalse(limiter.may_open(68.9, "t", budget.MAX_SPACING_S))
        limiter.expire(69.0)
        self.assertEqual({}, limiter.sent_s)

    # The slack would otherwise fill the queue of a target that is cold for
    # some seconds.
    def test_the_hosts_together_keep_the_stated_rate(self):
        for rate, hosts, spacing_s in (
            (4.0, 11, 2.75),
            (4.0, 4, 1.3),
            (0.01, 5, budget.MAX_SPACING_S),
            (1e-300, 5, budget.MAX_SPACING_S),
        ):
            self.assertEqual(spacing_s, budget.spacing_s(rate, hosts))


class LogTest(testtools.TestCase):
    """Allotments in the replicated state machine."""

    def machine(self, *allotments):
        """Returns a state machine that applied one command each."""
        machine = machines.DocumentStateMachine()
        for index, allotment in enumerate(allotments):
            command = allotment_log.Command((allotment,))
            machine.apply(index, machines.encode_allotments(command))
        return machine

    def allotment(self, name, *hosts, revision=0):
        """Returns an allotment."""
        key = allotment_lib.Key(name, 1, revision)
        return allotment_lib.Allotment(key, hosts)

    # Two leaders that propose for one start would double its budget.
    def test_the_first_allotment_of_a_start_stays(self):
        first = self.allotment("t", "a", "b")
        machine = self.machine(first, self.allotment("t", "c", "d"))
        (held,) = machine.allotments.by_key.values()
        self.assertEqual((1, first), (held.number, held.allotment))

    def test_a_snapshot_holds_the_allotments(self):
        machine = self.machine(
            self.allotment("t", "a"), self.allotment("t", "b", revision=3)
        )
        restored = machines.DocumentStateMachine()
        restored.restore(machine.snapshot())
        self.assertEqual(
            machine.allotments.snapshot(), restored.allotments.snapshot()
        )
        self.assertEqual(2, len(restored.allotments.take_new()))

    def test_a_snapshot_of_an_earlier_version_has_none(self):
        machine = machines.DocumentStateMachine()
        machine.evacuations.state = evacuations.Evacuations(1)
        earlier = msgspec.msgpack.decode(machine.snapshot())[:2]
        machine.restore(msgspec.msgpack.encode(earlier))
        self.assertEqual(0, machine.allotments.number)

    def test_a_command_of_a_later_version_is_skipped(self):
        machine = machines.DocumentStateMachine()
        for payload in ({"a": 1}, [1], [[["t"]]], "x"):
            command = msgspec.msgpack.encode((allotment_log.KIND, payload))
            machine.apply(1, command)
        self.assertEqual(4, machine.allotments.skipped)
        self.assertEqual(0, machine.allotments.number)

    def test_the_oldest_allotments_are_dropped_alike_after_a_snapshot(self):
        many = [self.allotment(f"t-{number}", "a") for number in range(1200)]
        machine, other = self.machine(*many), self.machine(*many[:1100])
        restored = machines.DocumentStateMachine()
        restored.restore(other.snapshot())
        for index, allotment in enumerate(many[1100:]):
            command = allotment_log.Command((allotment,))
            restored.apply(index, machines.encode_allotments(command))
        self.assertEqual(machine.snapshot(), restored.snapshot())
        self.assertEqual(1000, len(machine.allotments.by_key))
        self.assertEqual(
            many[200], next(iter(machine.allotments.since(200)[::-1]))
        )


class RegistryTest(testtools.TestCase):
    """Which cold times control hosts pass on."""

    def setUp(self):
        super().setUp()
        self.registry = target_registry.TargetRegistry(1.2)
        self.registry.set_services(0.0, ["web"], ["web"])
        self.registry.announce(10.0, cold("t", sequence=1))

    def is_passed_on(self, now_s, sequence, cold_ms):
        """Returns whether a renewal is a change for others."""
        renewal = msgspec.structs.replace(
            cold("t", sequence=sequence), cold_ms=cold_ms
        )
        return self.registry.announce(now_s, renewal)

    def test_a_countdown_is_not_passed_on(self):
        for sequence, delay_s in enumerate((0.0, 0.2, 0.1, 0.0, 0.2), 2):
            now_s = 10.0 + 1.2 * (sequence - 1)
            cold_ms = int(5000 - 1200 * (sequence - 1))
            self.assertFalse(
                self.is_passed_on(now_s + delay_s, sequence, cold_ms)
            )

    def test_a_target_that_becomes_cold_again_is_passed_on(self):
        self.assertFalse(self.is_passed_on(16.0, 2, 0))
        self.assertTrue(self.is_passed_on(17.2, 3, 5000))
        self.assertTrue(self.is_passed_on(18.4, 4, 6000))
        (known,) = self.registry.changes_since(18.4, 0)
        self.assertEqual(6000, known.target.cold_ms)

    # Two control hosts would return the same announcement to one another, and
    # extend the cold time without end.
    def test_a_returned_announcement_is_not_passed_on(self):
        self.assertFalse(self.is_passed_on(14.0, 1, 5000))
        self.assertThat(
            self.registry.records["t"].warm_at_s, matchers.Equals(15.0)
        )

    # A control host hears no renewals of targets of other domains.
    def test_the_remaining_cold_time_is_sent_and_saved(self):
        for now_s, cold_ms in ((10.0, 5000), (13.0, 2000), (3000.0, 0)):
            (known,) = self.registry.changes_since(now_s, 0)
            self.assertEqual(cold_ms, known.target.cold_ms)
            restored = target_registry.TargetRegistry(1.2)
            restored.restore(0.0, self.registry.encode(now_s))
            saved = restored.records["t"].target
            self.assertEqual(cold_ms, saved.cold_ms)

    def test_without_a_stated_warm_up_nothing_changes(self):
        self.registry.set_services(0.0, ["web"])
        self.assertFalse(self.is_passed_on(17.2, 3, 5000))
        (known,) = self.registry.changes_since(3000.0, 0)
        self.assertEqual(5000, known.target.cold_ms)
        self.assertEqual([], self.registry.cold_records(17.2))


class EntryHostTest(testtools.TestCase):
    """Openings at one entry host."""

    def setUp(self):
        super().setUp()
        self.numbers = iter(range(1, 100_000))

    def chosen(self, host, seconds, step_s=0.05):
        """Returns the times and targets of new flows, opened steadily."""
        result = []
        end_s = host.now_s + seconds
        while host.now_s < end_s:
            result.append((host.now_s, host.open(next(self.numbers))))
            host.tick(step_s)
        return result

    def times_of(self, host, name, seconds):
        """Returns the times at which a target gets openings."""
        return [at_s for at_s, to in self.chosen(host, seconds) if to == name]

    def reason(self, host):
        """Returns the reason of the last time line entry."""
        return host.records[-1].entry.reason

    def test_a_host_that_is_not_named_waits_until_the_target_is_warm(self):
        host = limited_host(cold(), cookie_host.target("t-warm"))
        began_s = host.now_s
        times = self.times_of(host, "t-cold", 8.0)
        self.assertThat(min(times), matchers.GreaterThan(began_s + WARM_UP_S))

    def test_a_named_host_spaces_its_openings(self):
        host = limited_host(cold(), allotments=allotted("t-cold"))
        times = self.times_of(host, "t-cold", WARM_UP_S - 0.1)
        gaps = [b - a for a, b in itertools.pairwise(times)]
        self.assertEqual(4, len(times))
        self.assertThat(min(gaps), matchers.GreaterThan(1.3))
        self.assertEqual(4, host.node.context.counters["flows-placed-cold"])

    # Named hosts learn of an allotment at once; together they would fill the
    # queue of the target.
    def test_named_hosts_begin_one_after_another(self):
        first_s = []
        for position in range(4):
            update = allotted("t-cold", position=position)
            host = limited_host(cold(), allotments=update)
            first_s.append(self.times_of(host, "t-cold", 1.4)[0] - host.now_s)
        gaps = [b - a for a, b in itertools.pairwise(first_s)]
        self.assertThat(min(gaps), matchers.GreaterThan(0.25))

    def test_while_all_targets_are_cold_openings_are_refused_at_once(self):
        host = limited_host(cold())
        self.assertEqual("reset", host.open(1))
        self.assertEqual("targets-cold", self.reason(host))
        # An earlier copy may have opened the flow through another host.
        self.assertEqual("", host.open(2, copy_number=1))
        self.assertEqual(1, len(host.resets))

    def test_an_allotment_of_another_start_or_revision_has_no_effect(self):
        for update, target in (
            (allotted("t-cold"), cold(born_ms=2000)),
            (allotted("t-cold", revision=3), cold()),
            (allotted("t-other"), cold()),
        ):
            host = limited_host(target, allotments=update)
            self.assertEqual([], self.times_of(host, "t-cold", 3.0))

    def test_a_restarted_host_waits(self):
        host = cookie_host.CookieHost(**TOLERANCE)
        began_s = host.now_s
        document = cookie_host.document(1, warm_ups=LIMITED)
        host.update(cold(), document=document, allotments=allotted("t-cold"))
        times = self.times_of(host, "t-cold", 3.0)
        self.assertThat(min(times) - began_s, matchers.GreaterThan(1.29))

    def test_a_smaller_budget_leaves_the_first_hosts(self):
        smaller = (sync.WarmUp("web", WARM_UP_S, 0.6),)
        target = msgspec.structs.replace(cold(), cold_ms=60_000)
        for position, count in ((4, 1), (5, 0)):
            update = allotted("t-cold", position=position, hosts=6)
            host = limited_host(target, warm_ups=smaller, allotments=update)
            self.assertEqual(count, len(self.times_of(host, "t-cold", 9.0)))

    # A restart of a target during the suspension is unknown to the host, which
    # finds queued openings and updates at once.
    def test_openings_directly_after_a_suspension_are_dropped(self):
        host = limited_host(cookie_host.target("t-warm"))
        self.assertEqual("t-warm", host.open(1))
        host.now_s += 3.0
        self.assertEqual("", host.open(2))
        host.tick(cold_openings.RESUMPTION_S + 0.01)
        self.assertEqual("t-warm", host.open(2, copy_number=1))

    def test_without_a_rate_the_choice_is_that_of_today(self):
        def targets():
            return [
                cookie_host.target(f"t-{n}", cold_ms=COLD_MS * (n % 2))
                for n in range(6)
            ]

        choices = []
        for warm_ups in ((), (sync.WarmUp("web", WARM_UP_S, 0.0),)):
            self.numbers = iter(range(1, 1000))
            host = limited_host(*targets(), warm_ups=warm_ups)
            candidates = host.targets.by_service["web"].values()
            rule = host.node.datagram_handler.__self__.cold
            permitted = rule.permitted(host.now_s, "web", candidates)
            self.assertIs(candidates, permitted)
            choices.append([to for _, to in self.chosen(host, 8.0)])
        self.assertEqual(choices[0], choices[1])

    def end_evacuation(self, host, age_ms=0, revision=2):
        """Delivers the end of the evacuation of the host's domain."""
        end = evacuations.Ended(cookie_host.DOMAIN, revision, age_ms)
        state = evacuations.Evacuations(revision, (), (end,))
        host.update(base=1, position=1, evacuated=state)

    def test_the_end_of_an_evacuation_makes_targets_cold(self):
        host = limited_host(cookie_host.target("t-warm"))
        self.end_evacuation(host)
        began_s = host.now_s
        self.assertEqual("reset", host.open(1))
        # A renewal, and a change of another control host, leave it cold.
        renewed = cookie_host.target("t-warm", sequence=9)
        known = target_announcement.KnownTarget(renewed, is_overdue=True)
        host.update(known, base=1, position=2)
        times = self.times_of(host, "t-warm", 6.0)
        self.assertThat(min(times), matchers.GreaterThan(began_s + 4.99))

    def test_a_named_host_opens_flows_after_the_end_of_an_evacuation(self):
        host = limited_host(cookie_host.target("t-warm"))
        self.end_evacuation(host)
        update = allotted("t-warm", revision=2)
        host.update(base=1, position=1, allotments=update)
        self.assertEqual("t-warm", host.open(1))
        self.assertEqual("reset", host.open(2))

    # A host that starts long after the end must not refuse openings.
    def test_an_end_before_the_warm_up_time_has_no_effect(self):
        host = limited_host(cookie_host.target("t-warm"))
        self.end_evacuation(host, age_ms=5000)
        self.assertEqual("t-warm", host.open(1))

    # A push that was lost would leave its allotments unknown for good.
    def test_an_update_after_a_lost_one_is_requested_again(self):
        host = limited_host(cold())
        late = allotted("t-cold", base=3, number=4)
        host.update(base=1, position=1, allotments=late)
        self.assertEqual(0, host.targets.allotments.number)
        host.tick(1.2)
        numbers = [
            effect.message.allotment
            for effect in host.sent
            if isinstance(effect.message, sync.SyncRequest)
        ]
        self.assertEqual(0, numbers[-1])
        host.update(base=1, position=1, allotments=allotted("t-cold", number=4))
        self.assertEqual(4, host.targets.allotments.number)

    def test_absurd_messages_are_skipped_with_a_reason(self):
        host = limited_host(cold())
        for update in (
            allotted("t-cold", base=2, number=1),
            allotted("t-cold", base=-1),
            allotted("t-cold", number=1 << 63),
            allotted("t-cold", position=4),
            allotted("t-cold", position=-1),
            allotted("t-cold", hosts=1_000_000),
            allotted("x" * 10_000),
            allotted(*(f"t-{number}" for number in range(2000))),
        ):
            host.update(base=1, position=1, allotments=update)
            self.assertEqual("allotments-skipped", host.records[-1].entry.name)
        self.assertEqual(0, host.targets.allotments.number)
        absurd = (
            sync.WarmUp("web", -1.0, 4.0),
            sync.WarmUp("web-2", 5.0, float("nan")),
        )
        document = cookie_host.document(2, base=1, warm_ups=absurd)
        host.update(base=1, position=1, document=document)
        self.assertEqual({}, host.targets.warm_up_s)
        self.assertEqual(2, host.node.context.counters["warm-ups-skipped"])

    def test_an_update_without_new_fields_is_read(self):
        host = limited_host(cold(), warm_ups=())
        host.handle(
            events.MessageArrived(
                host.now_s,
                cookie_host.control("c1"),
                msgspec.convert(
                    {
                        "type": "sync-update",
                        "run": "run",
                        "base": 1,
                        "position": 1,
                        "is_settled": True,
                        "document": {
                            "base": 1,
                            "number": 2,
                            "routes": [],
                            "idle_timeout_ms": 1.0,
                        },
                    },
                    sync.SyncUpdate,
                ),
            )
        )
        self.assertEqual("t-cold", host.open(1))
