"""Leased quotas under faults and wrong views of the members."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
import testtools

from tamarack_core import configuration
from tamarack_core import reducer
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.limits import quota_lease_manager
from tamarack_core.internal.limits import quota_limiter
from tamarack_core.internal.limits import quotas
from tamarack_lab.experiments import event_queue
from tamarack_lab.experiments import simulated_network
from tamarack_lab.experiments import workloads

HOSTS = 5
LIMIT = 20
RATE = 10.0
MOVE_S = 5.0
START_S = 15.0
IS_SOAK = os.environ.get("TAMARACK_PROFILE") == "soak"

WORK_CLASS = msgspec.structs.replace(
    workloads.AGENDA.classes["report"],
    max_concurrent=LIMIT,
    max_opening_rate=RATE,
)
SERVICE = msgspec.structs.replace(
    workloads.AGENDA, classes={"report": WORK_CLASS}, opening_hosts=HOSTS
)
PORT = lookup.ServicePort(
    "agenda", "report", WORK_CLASS, SERVICE.weights, b"", 444, 8444
)
TOTALS = {
    quotas.concurrent_key(PORT): LIMIT,
    quotas.rate_key(PORT): RATE,
}


class Domain:
    """Entry hosts of one failure domain that share two limits."""

    def __init__(self):
        self.queue = event_queue.EventQueue()
        self.network = simulated_network.SimulatedNetwork(self.queue, 1)
        self.limiters = {}
        self.views = {}
        for number in range(HOSTS):
            self.start(number)

    def start(self, number):
        """Starts a host without state."""
        context = simulated_network.context(f"entry-{number}", "a", number)
        config_store = configuration_store.ConfigurationStore()
        document = configuration.Configuration({"agenda": SERVICE})
        config_store.put(configuration.VersionedConfiguration(1, document), 0)
        limiter = quota_limiter.QuotaLimiter()
        name = context.host.host
        self.views[name] = frozenset(range(HOSTS))

        def members():
            return tuple(
                self.network.hosts[f"entry-{other}"].peer
                for other in sorted(self.views[name])
                if f"entry-{other}" != name
            )

        manager = quota_lease_manager.QuotaLeaseManager(
            context, config_store, limiter, members, HOSTS
        )
        self.limiters[name] = limiter
        self.network.add(reducer.Node(context, (manager,))).start()

    def live_limiters(self):
        """Returns the quota limiters of the running hosts by name."""
        return {
            host.peer.host: self.limiters[host.peer.host]
            for host in self.network.live("a")
        }

    def quota_sum(self, key):
        """Returns the sum of the quotas that running hosts may use now."""
        return sum(
            limiter.usage(key).valid_quota(self.queue.now_s)
            for limiter in self.live_limiters().values()
        )

    def open(self, number, count):
        """Opens connections at a host; returns how many were admitted."""
        limiter = self.limiters[f"entry-{number}"]
        return sum(
            limiter.admit(self.queue.now_s, PORT) is None for _ in range(count)
        )

    def check(self):
        """Raises AssertionError if more is leased out than the limit."""
        for key, limit in TOTALS.items():
            total = self.quota_sum(key)
            if total > limit + 1e-6:
                raise AssertionError(f"{key}: {total} above {limit}")


class SharesMachine(stateful.RuleBasedStateMachine):
    """Faults in any order; the sum of the shares stays within the limit."""

    def __init__(self):
        super().__init__()
        self.domain = Domain()
        self.domain.queue.run_until(START_S)

    @stateful.rule(steps=st.integers(1, 60))
    def run(self, steps):
        for _ in range(steps):
            self.domain.queue.run_until(self.domain.queue.now_s + 0.1)
            self.domain.check()

    @stateful.rule(number=st.integers(0, HOSTS - 1))
    def restart(self, number):
        self.domain.network.hosts[f"entry-{number}"].alive = False
        self.domain.start(number)

    @stateful.rule(number=st.integers(0, HOSTS - 1))
    def kill(self, number):
        self.domain.network.hosts[f"entry-{number}"].alive = False

    @stateful.rule(
        number=st.integers(0, HOSTS - 1),
        view=st.frozensets(st.integers(0, HOSTS - 1)),
    )
    def change_view(self, number, view):
        self.domain.views[f"entry-{number}"] = view

    @stateful.rule(view=st.frozensets(st.integers(0, HOSTS - 1)))
    def change_all_views(self, view):
        for number in range(HOSTS):
            self.domain.views[f"entry-{number}"] = view

    @stateful.rule(loss=st.sampled_from([0.0, 0.3]))
    def lose(self, loss):
        self.domain.network.inside.loss = loss

    @stateful.rule(delay_s=st.sampled_from([0.0002, 0.5, 3.0]))
    def delay(self, delay_s):
        self.domain.network.inside.delay_s = delay_s

    @stateful.rule(
        pair=st.tuples(st.integers(0, HOSTS - 1), st.integers(0, HOSTS - 1))
    )
    def cut_one_way(self, pair):
        sender, receiver = pair
        self.domain.network.cut_links.add(
            (f"entry-{sender}", f"entry-{receiver}")
        )

    @stateful.rule()
    def heal(self):
        self.domain.network.cut_links.clear()

    @stateful.rule(
        number=st.integers(0, HOSTS - 1), count=st.integers(1, LIMIT)
    )
    def open(self, number, count):
        self.domain.open(number, count)

    @stateful.rule(number=st.integers(0, HOSTS - 1))
    def close(self, number):
        self.domain.limiters[f"entry-{number}"].remove(PORT)


TestShares = SharesMachine.TestCase
TestShares.settings = hypothesis.settings(
    max_examples=2000 if IS_SOAK else 60,
    stateful_step_count=60 if IS_SOAK else 40,
    derandomize=not IS_SOAK,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class MovementTest(testtools.TestCase):
    """Quota moves to the hosts with demand."""

    def setUp(self):
        super().setUp()
        self.domain = Domain()
        self.domain.queue.run_until(START_S)

    def push(self, number, seconds):
        """Tries to open connections at one host for some seconds."""
        admitted = 0
        for _ in range(int(seconds * 10)):
            admitted += self.domain.open(number, 3)
            self.domain.queue.run_until(self.domain.queue.now_s + 0.1)
            self.domain.check()
        return admitted

    def test_unused_quota_moves_to_demand_within_seconds(self):
        for number in range(HOSTS):
            admitted = self.push(number, MOVE_S)
            self.assertTrue(admitted >= LIMIT * 0.75, admitted)
            for _ in range(admitted):
                self.domain.limiters[f"entry-{number}"].remove(PORT)

    def test_the_quota_of_a_dead_host_returns_after_its_lease(self):
        admitted = self.push(1, MOVE_S)
        self.assertTrue(admitted >= LIMIT * 0.75, admitted)
        self.domain.network.hosts["entry-1"].alive = False
        for number in range(HOSTS):
            self.domain.views[f"entry-{number}"] = frozenset({0, 2, 3, 4})
        self.push(2, 3 * START_S)
        usage = self.domain.limiters["entry-2"].usage(
            quotas.concurrent_key(PORT)
        )
        self.assertTrue(usage.used >= LIMIT * 0.75, usage)

    def test_a_host_that_starts_late_gets_quota_of_a_settled_coordinator(self):
        self.domain.network.hosts["entry-1"].alive = False
        self.domain.queue.run_until(START_S * 2)
        self.domain.start(1)
        self.push(1, 3 * MOVE_S)
        usage = self.domain.limiters["entry-1"].usage(
            quotas.concurrent_key(PORT)
        )
        self.assertTrue(usage.used >= LIMIT * 0.75, usage)

    def test_a_minority_loses_its_quota_and_the_majority_keeps_serving(self):
        cut = {0, 1}
        rest = {2, 3, 4}
        for number in range(HOSTS):
            side = cut if number in cut else rest
            self.domain.views[f"entry-{number}"] = frozenset(side)
            self.domain.network.cut_links |= {
                (f"entry-{number}", f"entry-{other}")
                for other in range(HOSTS)
                if other not in side
            }
        self.domain.queue.run_until(START_S + 20.0)
        self.assertEqual(0, self.domain.open(0, 5))
        self.assertTrue(self.domain.open(2, 5) > 0)


class QuotasTest(testtools.TestCase):
    """Division of limits over the failure domains."""

    def test_the_quotas_of_all_domains_add_up_to_the_limit(self):
        names = ("c", "a", "b")
        service = msgspec.structs.replace(SERVICE, failure_domains=names)
        document = configuration.Configuration({"agenda": service})
        key = quotas.concurrent_key(PORT)
        amounts = [quotas.totals(document, name)[key] for name in names]
        self.assertEqual([6.0, 7.0, 7.0], amounts)
        self.assertEqual(0.0, quotas.totals(document, "other")[key])
