"""Load of callers on targets of several speeds, through many entry hosts.

The figures are those of a deployment: targets run two requests at once, queue
eight, and reject more at once; 3 % of the work takes seven times as long.
Reports reach the weights, and weights the hosts, with a delay.
"""

import heapq
import itertools
import random

from tamarack_core import target_announcement
from tamarack_core.internal.cookie import flow_tracker
from tamarack_core.internal.cookie import target_choice
from tamarack_core.internal.cookie import target_probes
from tamarack_core.internal.cookie import target_table
from tamarack_core.internal.load import target_weights
from tests import cookie_host

SLOTS, QUEUE = 2, 8
WORK_S = 0.055
LATENCY_S = 0.004
REJECT_S = 0.002
COLD_FACTOR = 1.6
LONG_SHARE, LONG_FACTOR = 0.03, 7.0
DELAY_S = 0.1


class Target:
    """A target with slots and a queue; `served` holds its reply times."""

    def __init__(self, speed, warm_at_s=0.0):
        self.speed = speed
        self.warm_at_s = warm_at_s
        self.started_s = 0.0
        self.is_rejecting = False
        self.busy_s = 0.0
        self.served = []
        self.rejected = 0
        self.running = 0
        self.queue = []


class SpeedReplay:
    """Entry hosts before targets, with shared weights.

    Attributes:
        now_s: Time in seconds.
        targets: Targets by name.
        weights: The decision module under test.
        history: Weights by time.
    """

    def __init__(
        self, seed, speeds, requests_per_s, is_weighted=True, hosts=80
    ):
        self.random = random.Random(seed)
        self.now_s = 100.0
        self.rate = requests_per_s
        self.is_weighted = is_weighted
        self.targets = {}
        self.table = target_table.TargetTable()
        for number, speed in enumerate(speeds):
            self.add(f"t-{number}", speed)
        self.hosts = [flow_tracker.FlowTracker() for _ in range(hosts)]
        self.probes = target_probes.TargetProbes({})
        self.weights = target_weights.TargetWeights()
        self.ramp_ups = None
        self.is_ramped_up = False
        self.unusable = set()
        self.given = {}
        self.history = []
        self.numbers = itertools.count(1)
        self.events, self.order = [], itertools.count()
        self.at(self.now_s, self.ask)
        self.at(self.now_s + 1.0, self.report)

    def add(self, name, speed, born_ms=1000, cold_ms=0):
        """Starts a target."""
        self.targets[name] = Target(speed, self.now_s + cold_ms / 1000)
        announced = cookie_host.target(name, born_ms=born_ms, cold_ms=cold_ms)
        known = target_announcement.KnownTarget(announced)
        return self.table.put(self.now_s, known)

    def at(self, time_s, action, *arguments):
        """Schedules an action."""
        entry = (time_s, next(self.order), action, arguments)
        heapq.heappush(self.events, entry)

    def run(self, seconds):
        """Runs the load for a time."""
        end_s = self.now_s + seconds
        while self.events[0][0] < end_s:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now_s = end_s

    def ask(self):
        """Sends the request of a caller, and schedules the next one."""
        tracker = self.random.choice(self.hosts)
        entry = target_choice.choose(
            self.table.by_service["web"].values(),
            tracker,
            self.probes,
            self.now_s,
            (),
            self.random,
            self.given,
            is_ramped_up=self.is_ramped_up,
        )
        number = next(self.numbers)
        tracker.observe_opening(self.now_s, cookie_host.flow(number), entry)
        self.packet(tracker, number, entry)
        self.packet(tracker, number, entry, payload_bytes=10)
        target = self.targets[entry.target.name]
        flow = (tracker, number, entry, self.now_s, target)
        if target.is_rejecting or len(target.queue) >= QUEUE:
            target.rejected += 1
            self.at(self.now_s + REJECT_S, self.reply, flow)
        elif target.running >= SLOTS:
            target.queue.append(flow)
        else:
            self.start_work(flow)
        self.at(self.now_s + self.random.expovariate(self.rate), self.ask)

    def packet(self, tracker, number, entry, **fields):
        """Lets a host observe a packet of a caller."""
        data = cookie_host.packet(number, cookie=entry.tag, **fields)
        packet = cookie_host.FakeCodec().decode(data)
        tracker.observe_packet(self.now_s, entry, packet)

    def start_work(self, flow):
        """Starts to run a request."""
        target = flow[-1]
        target.running += 1
        work_s = self.random.uniform(0.5, 1.5) * WORK_S / target.speed
        if self.now_s < target.warm_at_s:
            work_s *= COLD_FACTOR
        work_s /= 1 + LONG_SHARE * (LONG_FACTOR - 1)
        if self.random.random() < LONG_SHARE:
            work_s *= LONG_FACTOR
        target.busy_s += work_s
        self.at(self.now_s + work_s, self.end_work, flow)

    def end_work(self, flow):
        """Answers a request, and starts the next one of the queue."""
        target = flow[-1]
        target.running -= 1
        target.served.append((self.now_s, self.now_s - flow[3]))
        self.at(self.now_s + LATENCY_S, self.reply, flow)
        if target.queue:
            self.start_work(target.queue.pop(0))

    def reply(self, flow):
        """Lets the host see that the caller acknowledges a reply."""
        last = {"acknowledged": 900, "sequence": 11, "is_last": True}
        self.packet(*flow[:3], **last)

    def report(self):
        """Collects the replies, updates the weights and gives them out."""
        sums = {}
        for tracker in self.hosts:
            tracker.expire(self.now_s, 15.0)
            for tag, one in tracker.replies.take().items():
                count, total = sums.get(tag, (0, 0.0))
                sums[tag] = (count + one.count, total + one.log_ratio)
        tags = [e.start_tag for e in self.table.by_service["web"].values()]
        weights = self.decide(tags, sums)
        self.history.append(weights)
        if self.is_weighted:
            self.at(self.now_s + DELAY_S, self.give, weights)
        self.at(self.now_s + 1.0, self.report)

    def decide(self, tags, sums):
        """Returns the weights of an update."""
        if self.ramp_ups is None:
            self.weights.update(self.now_s, {"web": tags}, sums)
            return dict(self.weights.weights)
        in_force = {"web": 0.0}
        changes = self.ramp_ups.update(
            self.now_s, {"web": tags}, in_force, self.unusable, sums
        )
        for tag, ramp in changes.ended.items():
            if not ramp.is_complete():
                self.weights.set_estimate(tag, -ramp.pace, ramp.variance)
        steady = [tag for tag in tags if tag not in self.ramp_ups.ramps]
        self.weights.update(self.now_s, {"web": steady}, sums)
        return {**self.weights.weights, **self.ramp_ups.weights}

    def give(self, weights):
        """Gives weights to all hosts."""
        self.given = weights

    def utilization(self, seconds):
        """Runs for some seconds; returns the utilization by target name."""
        before = {name: t.busy_s for name, t in self.targets.items()}
        self.run(seconds)
        return {
            name: (target.busy_s - before.get(name, 0.0)) / seconds / SLOTS
            for name, target in self.targets.items()
        }

    def weight_of(self, name):
        """Returns the weight of a target in percent."""
        tag = self.table.by_name[name].start_tag
        return self.weights.weights.get(tag, target_weights.FULL_PERCENT)
