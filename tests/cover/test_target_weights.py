"""Weights of targets by speed, and the choice by weights."""

import collections
import random
import statistics

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import testtools
from testtools import matchers

from tamarack_core import target_announcement
from tamarack_core.internal.cookie import flow_tracker
from tamarack_core.internal.cookie import target_choice
from tamarack_core.internal.cookie import target_probes
from tamarack_core.internal.cookie import target_table
from tamarack_core.internal.load import target_weights
from tests import cookie_host
from tests import target_speeds

SPEEDS = (0.6, 1.0, 1.6)


class ReplayTest(testtools.TestCase):
    """80 entry hosts with ten requests a second each before 60 targets."""

    def test_targets_of_three_speeds_are_utilized_equally(self):
        # Failure: each target gets the same share, and slow ones reject work.
        speeds = [SPEEDS[number % 3] for number in range(60)]
        replay = target_speeds.SpeedReplay(1, speeds, 800)
        replay.run(5.0)
        used = replay.utilization(8.0)
        by_speed = [
            statistics.mean(
                used[f"t-{number}"] for number in range(first, 60, 3)
            )
            for first in range(3)
        ]
        ratio = max(by_speed) / statistics.mean(by_speed)
        self.assertThat(ratio, matchers.LessThan(1.1))

    def test_queues_of_busy_targets_do_not_make_weights_oscillate(self):
        # Failure: queues that form before the first weights lower the weight
        # of slow targets far below their capacity, and then too far back.
        speeds = [SPEEDS[number % 3] for number in range(30)]
        rejected = []
        for is_weighted in (False, True):
            replay = target_speeds.SpeedReplay(2, speeds, 800, is_weighted)
            replay.run(10.0)
            targets = replay.targets.values()
            before = sum(target.rejected for target in targets)
            used = replay.utilization(10.0)
            rejected.append(sum(one.rejected for one in targets) - before)
        self.assertThat(rejected[1], matchers.LessThan(rejected[0] / 4))
        self.assertThat(min(used.values()), matchers.GreaterThan(0.4))
        for name, speed in zip(used, speeds, strict=True):
            weight = replay.weight_of(name) / 100
            self.assertThat(abs(weight - speed), matchers.LessThan(0.3))

    def test_targets_of_equal_speed_keep_weights_of_100(self):
        # Failure: weights follow the chance of long requests.
        for targets, rate in ((60, 800), (7, 80), (60, 60)):
            replay = target_speeds.SpeedReplay(3, [1.0] * targets, rate)
            replay.run(20.0)
            self.assertEqual([{}] * 20, [*replay.history, {}][:20])

    def test_a_target_ten_times_slower_gets_the_smallest_weight(self):
        replay = target_speeds.SpeedReplay(4, [1.0] * 59 + [0.1], 800)
        replay.run(12.0)
        self.assertEqual(target_weights.MIN_PERCENT, replay.weight_of("t-59"))

    def test_a_target_that_rejects_all_work_gains_no_weight(self):
        # Failure: its rejections look like fast replies and attract load.
        replay = target_speeds.SpeedReplay(5, [1.0] * 30, 400)
        replay.targets["t-0"].is_rejecting = True
        replay.run(12.0)
        self.assertThat(replay.weight_of("t-0"), matchers.LessThan(101))

    def test_a_target_that_goes_up_and_down_keeps_others_at_rest(self):
        replay = target_speeds.SpeedReplay(6, [1.0] * 60, 800)
        for step in range(20):
            replay.targets["t-0"].is_rejecting = step % 2 == 0
            replay.run(0.7)
        tag = replay.table.by_name["t-0"].start_tag
        self.assertEqual(set(), set(replay.weights.weights) - {tag})


TAGS = tuple(range(1, 7))

replies = strategies.dictionaries(
    strategies.sampled_from((*TAGS, 99)),
    strategies.tuples(
        strategies.integers(1, 5000), strategies.floats(-1.387, 1.387)
    ).map(lambda one: (one[0], one[0] * one[1])),
)


class PropertyTest(testtools.TestCase):
    """Any replies, in any order, at clocks that step."""

    @settings(max_examples=200, deadline=None)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(-1e3, 1e6),
                replies,
                strategies.sets(strategies.sampled_from(TAGS)),
            ),
            max_size=20,
        )
    )
    def test_weights_stay_within_their_bounds(self, updates):
        weights = target_weights.TargetWeights()
        within = range(
            target_weights.MIN_PERCENT, target_weights.MAX_PERCENT + 1
        )
        for now_s, shown, tags in updates:
            before = dict(weights.weights)
            changed = weights.update(now_s, {"web": sorted(tags)}, shown)
            self.assertEqual(before != weights.weights, changed)
            self.assertTrue(tags.issuperset(weights.weights))
            for weight in weights.weights.values():
                self.assertNotEqual(target_weights.FULL_PERCENT, weight)
                self.assertIn(weight, within)

    def test_control_hosts_that_saw_different_replies_come_to_agree(self):
        # Failure: two control hosts give their followers lasting differences.
        generator = random.Random(1)
        services = {"web": list(range(30))}
        hosts = [target_weights.TargetWeights() for _ in range(2)]
        for second in range(60):
            shown = {
                tag: (20, 20 * (generator.gauss(0, 0.1) - (tag % 3 - 1) * 0.5))
                for tag in services["web"]
            }
            for number, host in enumerate(hosts):
                kept = shown if second > 20 or number else {}
                host.update(float(second), services, kept)
        for tag in services["web"]:
            first, second = (host.weights.get(tag, 100) for host in hosts)
            self.assertThat(abs(first - second), matchers.LessThan(12))


def _todays_choice(entries, tracker, now_s, generator):
    """Returns the choice of the release before weights."""
    idle_share = len(tracker.pending) / max(len(tracker.flows), 1)

    def load(entry):
        activity = tracker.activity_of(entry)
        idle = activity.flows - activity.work
        work = 1.0 + activity.work + idle_share * idle
        if now_s < entry.warm_at_s:
            work *= target_choice.COLD_FACTOR
        return work / max(entry.target.slots, 1)

    return min(
        entries,
        key=lambda entry: (
            load(entry),
            tracker.activity_of(entry).last_opening,
            generator.random(),
        ),
    )


class ChoiceTest(testtools.TestCase):
    """The choice of one host."""

    def setUp(self):
        super().setUp()
        self.start(1)

    def start(self, seed):
        """Starts a host that knows no target."""
        self.table = target_table.TargetTable()
        self.tracker = flow_tracker.FlowTracker()
        self.probes = target_probes.TargetProbes(collections.Counter())
        self.random = random.Random(seed)

    def add(self, name, **fields):
        """Adds a target."""
        known = cookie_host.target(name, **fields)
        self.table.put(1.0, target_announcement.KnownTarget(known))

    def choose(self, weights, now_s=1.0):
        """Returns the choice of the next opening."""
        entries = list(self.table.by_service["web"].values())
        return target_choice.choose(
            entries, self.tracker, self.probes, now_s, (), self.random, weights
        )

    def test_without_weights_the_choice_is_that_of_the_release_before(self):
        for seed in range(40):
            self.start(seed)
            steps = random.Random(seed)
            for number in range(steps.randrange(1, 20)):
                self.add(
                    f"t-{number}",
                    slots=steps.randrange(1, 4),
                    cold_ms=steps.choice((0, 0, 3000)),
                )
            entries = list(self.table.by_service["web"].values())
            other = {7: 50}
            for number in range(200):
                now_s = 1.0 + number * 0.05
                state = self.random.getstate()
                expected = _todays_choice(
                    entries, self.tracker, now_s, self.random
                )
                self.random.setstate(state)
                chosen = self.choose(steps.choice(({}, other)), now_s)
                self.assertIs(expected, chosen)
                key = cookie_host.flow(number)
                self.tracker.observe_opening(now_s, key, chosen)
                if steps.random() < 0.6:
                    known = steps.choice(list(self.tracker.flows))
                    self.tracker.remove_flow(known)

    def test_idle_targets_take_turns_in_proportion_to_their_weights(self):
        # Failure: the target of the highest weight gets all openings.
        for number in range(6):
            self.add(f"t-{number}")
        entries = self.table.by_service["web"]
        weights = {
            entries["t-0"].start_tag: 40,
            entries["t-1"].start_tag: 160,
        }
        counts = collections.Counter()
        for number in range(1200):
            chosen = self.choose(weights)
            counts[chosen.target.name] += 1
            key = cookie_host.flow(number)
            self.tracker.observe_opening(1.0, key, chosen)
            self.tracker.remove_flow(key)
        self.assertThat(abs(counts["t-0"] - 80), matchers.LessThan(8))
        self.assertThat(abs(counts["t-1"] - 320), matchers.LessThan(8))
        self.assertThat(abs(counts["t-2"] - 200), matchers.LessThan(8))

    def test_hosts_do_not_turn_to_a_heavier_target_at_the_same_moment(self):
        # Failure: a weight that rises makes a turn due at many hosts at once,
        # and their openings fill the queue of the target.
        first = 0
        for seed in range(80):
            self.start(seed)
            for number in range(60):
                self.add(f"t-{number}")
            entry = self.table.by_service["web"]["t-0"]
            for number in range(60 + seed):
                weight = 100 if number < 59 + seed else 150
                chosen = self.choose({entry.start_tag: weight, 1: 50})
                key = cookie_host.flow(number)
                self.tracker.observe_opening(1.0, key, chosen)
                self.tracker.remove_flow(key)
            first += chosen is entry
        self.assertThat(first, matchers.LessThan(8))
