"""Ramp-up of targets that start or return."""

import collections
import random
import statistics

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import testtools
from testtools import matchers

from tamarack_core import sync
from tamarack_core.internal.load import load_view
from tamarack_core.internal.load import ramp_up
from tests import cookie_host
from tests import group_network
from tests import target_speeds

COLD_S = 3.0


def share_of(replay, names, seconds):
    """Returns the openings of some targets relative to those of the others."""
    before = {name: opened(target) for name, target in replay.targets.items()}
    replay.run(seconds)
    new, old = [], []
    for name, target in replay.targets.items():
        count = opened(target) - before.get(name, 0)
        (new if name in names else old).append(count)
    return statistics.mean(new) / statistics.mean(old)


def opened(target):
    """Returns the openings that a target got."""
    waiting = target.running + len(target.queue)
    return len(target.served) + target.rejected + waiting


class ReplayTest(testtools.TestCase):
    """80 entry hosts with ten requests a second each."""

    def start(self, seed, targets, rate, speeds=None):
        """Starts a replay, and runs it until all hosts take turns."""
        speeds = speeds or [1.0] * targets
        self.replay = target_speeds.SpeedReplay(seed, speeds, rate)
        self.replay.ramp_ups = ramp_up.RampUps()
        self.replay.is_ramped_up = True
        self.replay.run(8.0)

    def add(self, names, speed=1.0, cold_s=COLD_S, born_ms=2000):
        """Starts targets that state no cold time."""
        for name in names:
            self.replay.add(name, speed, born_ms=born_ms)
            target = self.replay.targets[name]
            target.warm_at_s = self.replay.now_s + cold_s

    def test_a_cold_target_among_60_is_not_flooded(self):
        # Failure: each host prefers the target that it never used, so that
        # it gets 79 openings in half a second and rejects 60.
        self.start(1, 60, 800)
        self.add(["new"])
        target = self.replay.targets["new"]
        self.replay.run(0.5)
        self.assertThat(opened(target), matchers.LessThan(16))
        self.replay.run(5.5)
        self.assertEqual(0, target.rejected)
        share = share_of(self.replay, {"new"}, 8.0)
        self.assertThat(abs(share - 1.0), matchers.LessThan(0.25))
        self.assertEqual(100, self.replay.history[-1].get(self.tag("new"), 100))

    def tag(self, name):
        """Returns the tag of the present start of a target."""
        return self.replay.table.by_name[name].start_tag

    def test_half_of_the_targets_are_replaced_12_at_a_time(self):
        self.start(2, 60, 800)
        names = []
        for first in (0, 12, 24):
            batch = [f"t-{number}" for number in range(first, first + 12)]
            names += batch
            self.add(batch)
            self.replay.run(4.0)
        targets = self.replay.targets
        rejected = sum(target.rejected for target in targets.values())
        self.assertThat(rejected, matchers.LessThan(5))
        self.replay.run(COLD_S)
        used = self.replay.utilization(4.0)
        new = [used[name] for name in names]
        ratio = max(new) / statistics.mean(new)
        self.assertThat(ratio, matchers.LessThan(1.6))
        share = share_of(self.replay, set(names), 4.0)
        self.assertThat(abs(share - 1.0), matchers.LessThan(0.1))

    def test_all_targets_of_a_domain_return(self):
        # Failure: the other targets keep the load for the whole ramp-up, and
        # reject work beside idle targets.
        self.start(3, 40, 800)
        targets = self.replay.targets
        before = sum(target.rejected for target in targets.values())
        names = [f"new-{number}" for number in range(20)]
        self.add(names)
        self.replay.run(COLD_S + 3.0)
        share = share_of(self.replay, set(names), 4.0)
        self.assertThat(abs(share - 1.0), matchers.LessThan(0.1))
        after = sum(target.rejected for target in targets.values())
        self.assertThat(after - before, matchers.LessThan(8))

    def test_a_target_that_stays_ten_times_slower_keeps_a_low_weight(self):
        # Failure: the end of the ramp-up returns it to a weight of 100.
        self.start(4, 60, 800)
        self.add(["slow"], speed=0.1)
        self.replay.run(24.0)
        tag = self.tag("slow")
        self.assertNotIn(tag, self.replay.ramp_ups.ramps)
        weights = [weights.get(tag, 100) for weights in self.replay.history]
        self.assertThat(max(weights[-18:]), matchers.LessThan(70))

    def test_a_target_that_goes_up_and_down_gets_the_first_weight(self):
        # Failure: each return begins with a full turn of all hosts. A
        # suspicion lasts 3 s, so the target is suspect in all up times.
        self.start(5, 60, 800)
        tag = self.tag("t-0")
        for step in range(20):
            down = step % 2 == 0
            self.replay.targets["t-0"].is_rejecting = down
            self.replay.unusable = {tag}
            self.replay.run(0.7)
        weights = [one.get(tag, 100) for one in self.replay.history[-12:]]
        self.assertEqual({ramp_up.START_PERCENT}, set(weights))

    def test_a_target_that_returns_is_not_flooded(self):
        # Failure: its last turn is the oldest of all, so every host takes it.
        self.start(6, 60, 800)
        entry = self.replay.table.by_service["web"].pop("t-0")
        self.replay.run(20.0)
        self.replay.table.by_service["web"]["t-0"] = entry
        before = opened(self.replay.targets["t-0"])
        self.replay.run(0.5)
        got = opened(self.replay.targets["t-0"]) - before
        self.assertThat(got, matchers.LessThan(20))

    def test_targets_of_three_speeds_are_replaced(self):
        speeds = [(0.6, 1.0, 1.6)[number % 3] for number in range(60)]
        self.start(7, 60, 800, speeds)
        for number in range(12):
            self.add([f"t-{number}"], speeds[number])
        self.replay.run(14.0)
        for number, speed in enumerate(speeds[:12]):
            weight = self.replay.history[-1].get(self.tag(f"t-{number}"), 100)
            self.assertThat(abs(weight / 100 - speed), matchers.LessThan(0.5))


TAGS = tuple(range(1, 9))


class PropertyTest(testtools.TestCase):
    """The decision alone."""

    def setUp(self):
        super().setUp()
        self.ramps = ramp_up.RampUps()
        self.now_s = 0.0
        self.tags = TAGS[:-1]
        self.update()

    def update(self, excess=0.0, unusable=(), step_s=1.0, count=6):
        """Applies an update in which the last tag replies unlike the others."""
        self.now_s += step_s
        replies = dict.fromkeys(self.tags, (10, 0.0))
        replies[TAGS[-1]] = (count, count * excess)
        if not count:
            del replies[TAGS[-1]]
        return self.ramps.update(
            self.now_s, {"web": self.tags}, {"web": 0.0}, set(unusable), replies
        )

    def weight(self):
        """Returns the weight of the last tag."""
        return self.ramps.weights.get(TAGS[-1], 100)

    def begin(self):
        """Starts the last target."""
        self.tags = TAGS
        return self.update()

    @settings(max_examples=200, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(-1e3, 1e6),
                strategies.dictionaries(
                    strategies.sampled_from((*TAGS, 99)),
                    strategies.tuples(
                        strategies.integers(1, 200_000),
                        strategies.floats(-1.387, 1.387),
                    ).map(lambda one: (one[0], one[0] * one[1])),
                ),
                strategies.sets(strategies.sampled_from(TAGS)),
                strategies.sets(strategies.sampled_from(TAGS)),
            ),
            max_size=20,
        )
    )
    def test_weights_stay_within_their_bounds(self, updates):
        ramps = ramp_up.RampUps()
        for now_s, replies, tags, unusable in updates:
            ramps.update(
                now_s, {"web": sorted(tags)}, {"web": 0.0}, unusable, replies
            )
            self.assertTrue(tags.issuperset(ramps.weights))
            self.assertTrue(ramps.weights.keys() <= ramps.ramps.keys())
            for weight in ramps.weights.values():
                self.assertTrue(ramp_up.MIN_PERCENT <= weight < 100)
            if tags and ramps.weights.keys() >= tags:
                self.fail("all targets have a weight below 100")

    def test_full_share_is_reached_within_3_s_of_being_warm(self):
        self.begin()
        for _ in range(4):
            self.update(0.47)
        self.assertThat(self.weight(), matchers.LessThan(90))
        for _ in range(3):
            self.update(0.0)
        self.assertEqual(100, self.weight())

    def test_replies_that_are_late_do_not_make_the_weight_oscillate(self):
        # Failure: replies of two seconds ago move the weight to and fro.
        self.begin()
        generator = random.Random(1)
        shown = collections.deque([0.0, 0.0], maxlen=3)
        turns, last = 0, (0, 0)
        for _ in range(9):
            load = 0.5 * self.weight() / 100
            shown.append(load + generator.gauss(0, 0.05))
            before = self.weight()
            self.update(shown[0])
            step = self.weight() - before
            turns += step * last[0] < 0
            last = (step or last[0], 0)
        self.assertThat(turns, matchers.LessThan(3))

    def test_without_replies_the_weight_rises_slowly(self):
        self.begin()
        weights = []
        for _ in range(9):
            self.update(count=0)
            weights.append(self.weight())
        self.assertEqual([35, 45, 55, 65, 75, 85, 95, 100, 100], weights)

    def test_after_the_end_replies_have_no_effect(self):
        self.begin()
        while self.ramps.ramps:
            ended = self.update().ended
        self.assertEqual({TAGS[-1]}, set(ended))
        for excess in (1.3, -1.3, 1.3):
            changes = self.update(excess)
            self.assertEqual(ramp_up.Changes(), changes)
            self.assertEqual({}, self.ramps.weights)

    def test_each_start_and_return_begins_anew(self):
        self.begin()
        for _ in range(2):
            self.update()
        self.assertThat(self.weight(), matchers.GreaterThan(60))
        changes = self.update(unusable={TAGS[-1]})
        self.assertEqual([TAGS[-1]], changes.begun)
        self.assertEqual(ramp_up.START_PERCENT, self.weight())
        self.assertEqual([], self.update(unusable={TAGS[-1]}).begun)
        self.tags = (*TAGS[:-1], 50)
        self.assertEqual([50], self.update().begun)
        self.assertEqual({50: ramp_up.START_PERCENT}, self.ramps.weights)

    def test_if_all_targets_are_new_or_unusable_there_is_no_effect(self):
        self.tags = (50, 51, 52)
        self.assertEqual([], self.update().begun)
        self.update(unusable=self.tags)
        self.assertEqual({}, self.ramps.weights)

    def test_clocks_that_step_neither_end_nor_prolong_a_ramp_up(self):
        self.begin()
        for step_s in (1e6, -1e6, 1e6, -1e6):
            self.update(1.3, step_s=step_s)
        self.assertIn(TAGS[-1], self.ramps.ramps)
        for _ in range(10):
            self.update(1.3)
        self.assertEqual({}, self.ramps.ramps)

    def test_many_new_targets_leave_the_load_of_the_others_bounded(self):
        # Failure: one old target gets the load of seven.
        self.tags = (1, *range(50, 57))
        self.update()
        total = 100 + sum(self.ramps.weights.values())
        self.assertThat(8 * 100 / total, matchers.LessThan(1.27))

    def test_a_service_without_ramp_up_is_left_alone(self):
        self.ramps.update(9.0, {"web": TAGS}, {}, set(TAGS[:2]), {})
        self.assertEqual({}, self.ramps.ramps)


class NetworkTest(testtools.TestCase):
    """Control hosts with a service that states a warm-up time."""

    def setUp(self):
        super().setUp()
        self.net = group_network.GroupNetwork(3)
        self.net.start_all()
        self.net.run(3.0)
        self.net.publish(1, warm_up=(2.0, 0))
        self.net.run(0.5)
        self.loads = self.net.component_of("c1", sync.LoadReport)

    def announce(self, number, born_ms=1000):
        """Lets a target announce itself to the first control host."""
        endpoint = group_network.peers.Endpoint("10.9.0.1", 80 + number)
        known = group_network.target(
            f"t-{number}", endpoint=endpoint, born_ms=born_ms
        )
        request = group_network.external_requests.AnnounceTarget(known)
        self.net.ask("c1", request)

    def test_a_new_start_and_a_suspicion_are_ramped_up_and_counted(self):
        for number in range(4):
            self.announce(number)
        self.net.run(1.5)
        self.assertEqual({}, self.loads.ramp_ups.weights)
        self.announce(0, born_ms=2000)
        self.net.run(1.2)
        counters = self.loads.context.counters
        self.assertEqual(1, counters["ramp-ups-begun"])
        self.assertEqual(("web",), self.loads.summary.ramped_up)
        self.assertEqual([25], list(self.loads.summary.weights.values()))
        self.assertEqual(0, len(self.loads.suspected_s))
        stranger = cookie_host.control("e9")
        doubt = sync.SuspectTargets(("t-1", "other"))
        for sender in (stranger, self.net.peers["c2"]):
            event = group_network.events.MessageArrived(
                self.net.now_s, sender, doubt
            )
            self.loads.handle_suspects(event)
            known = [] if sender is stranger else ["t-1"]
            self.assertEqual(known, list(self.loads.suspected_s))

    def test_hosts_forget_ramp_ups_without_summaries(self):
        view = load_view.LoadView()
        view.put(1.0, sync.LoadSummary(ramped_up=("web",)))
        self.assertTrue(view.is_ramped_up(2.0, "web"))
        self.assertFalse(view.is_ramped_up(2.0, "other"))
        self.assertFalse(view.is_ramped_up(12.0, "web"))
