"""The openings to a cold target, summed over all entry hosts."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from tamarack_core import evacuations
from tamarack_core import sync
from tamarack_core.internal.cold_targets import allotment as allotment_lib
from tamarack_core.internal.documents import allotment_log
from tamarack_core.internal.documents import state_machine as machines
from tests import cookie_host

RATE, FACTOR, SLACK = 4.0, 1.0, 0.5
BUDGET = 4
HOSTS = [f"entry-{number}" for number in range(12)]
HORIZON_S = 5.0
COLD_S = 8.0
MAX_DELAY_S = 0.3
STEP_S = 0.05


class SimulatedHost:
    """A real entry host whose contact, pauses and restarts are random.

    Attributes:
        name: Name of the host.
        host: The entry host.
        cuts: Pairs of times in seconds between which no update arrives.
        busy_s: Time until which it is suspended, in seconds.
    """

    def __init__(self, name, generator, machine):
        self.name = name
        self.generator = generator
        self.machine = machine
        self.cuts = []
        for _ in range(generator.randrange(3)):
            began_s = 100.0 + generator.uniform(-1.0, HORIZON_S)
            self.cuts.append((began_s, began_s + generator.uniform(0.0, 3.0)))
        self.busy_s = 0.0
        self.start(100.0)

    def start(self, now_s):
        """Starts the host, or restarts it without any memory."""
        self.host = cookie_host.CookieHost(
            now_s=now_s, cold_overrun_factor=FACTOR, cold_slack_requests=SLACK
        )

    def update(self, now_s, state):
        """Delivers what the host lacks, unless it is cut off."""
        if any(began_s <= now_s < end_s for began_s, end_s in self.cuts):
            return
        held = self.host.targets.allotments.number
        targets = [
            sync.AllottedTarget(
                item.key.target,
                item.key.place_ms,
                item.key.revision,
                item.hosts.index(self.name),
                len(item.hosts),
            )
            for item in self.machine.allotments.since(held)
            if self.name in item.hosts
        ]
        number = self.machine.allotments.number
        self.host.now_s = now_s
        self.host.update(
            cookie_host.target("t", cold_ms=int(COLD_S * 1000)),
            document=cookie_host.document(
                1, warm_ups=(sync.WarmUp("web", COLD_S, RATE),)
            ),
            evacuated=state,
            allotments=sync.AllotmentUpdate(held, number, tuple(targets)),
        )

    def step(self, now_s, number):
        """Opens a flow; returns the time of its transmission, or None."""
        if now_s < self.busy_s:
            return None
        event = self.generator.random()
        if event < 0.01:
            self.start(now_s)
            return None
        if event < 0.03:
            self.busy_s = now_s + self.generator.uniform(0.1, 2.5)
        self.host.now_s = now_s
        self.host.tick(0.0)
        is_sent = self.host.open(number) == "t"
        # A host that is suspended within the step sends the packet later.
        return max(now_s, self.busy_s) if is_sent else None


def arrivals(seed):
    """Returns times at which openings arrive, and the hosts that sent them."""
    generator = random.Random(seed)
    machine = machines.DocumentStateMachine()

    def allot(revision, earlier=()):
        """Applies the proposal of a leader with its own view of the hosts."""
        key = allotment_lib.Key("t", 1000, revision)
        known = generator.sample(HOSTS, generator.randrange(len(HOSTS) + 1))
        hosts = allotment_lib.choose_hosts(key, known, BUDGET, {}, earlier)
        allotment = allotment_lib.Allotment(key, hosts)
        command = allotment_log.Command((allotment,))
        machine.apply(1, machines.encode_allotments(command))
        return machine.allotments.by_key[key].allotment.hosts

    hosts = [SimulatedHost(name, generator, machine) for name in HOSTS]
    first = allot(0)
    repeated_s = 100.0 + generator.uniform(0.0, HORIZON_S)
    ended_s = 100.0 + generator.uniform(1.0, HORIZON_S)
    state = None
    result = []
    number = 0
    now_s = 100.0
    while now_s < 100.0 + HORIZON_S:
        now_s += STEP_S
        if state is None and now_s >= ended_s:
            end = evacuations.Ended(cookie_host.DOMAIN, 2)
            state = evacuations.Evacuations(2, (), (end,))
            allot(2, first)
        if now_s >= repeated_s:
            repeated_s = float("inf")
            allot(0)
        for host in hosts:
            if generator.random() < 0.2 and now_s >= host.busy_s:
                host.update(now_s, state)
            number += 1
            sent_s = host.step(now_s, number)
            if sent_s is not None:
                arrived_s = sent_s + generator.uniform(0.0, MAX_DELAY_S)
                result.append((arrived_s, host.name))
    return sorted(result)


class SumTest(testtools.TestCase):
    """Random memberships, cuts, suspensions, restarts and delays."""

    @hypothesis.settings(max_examples=60, derandomize=True)
    @hypothesis.given(strategies.integers(0, 1 << 32))
    def test_no_second_has_more_openings_than_the_limit(self, seed):
        openings = arrivals(seed)
        for index, (first_s, _) in enumerate(openings):
            window = [
                name for at_s, name in openings[index:] if at_s < first_s + 1.0
            ]
            self.assertLessEqual(len(window), RATE * FACTOR + SLACK)
            self.assertEqual(len(window), len(set(window)))

    def test_the_budget_is_used(self):
        counts = [len(arrivals(seed)) for seed in range(10)]
        self.assertGreater(sum(counts) / len(counts), 3.0)
