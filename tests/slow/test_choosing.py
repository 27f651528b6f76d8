"""Choice of targets under faults, compared with the naive version."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

from tamarack_core import configuration
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.balancing import health as health_lib
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.entry import target_choice
from tamarack_core.packets import ip
from tamarack_lab.experiments import event_queue
from tamarack_lab.experiments import simulated_network
from tamarack_lab.experiments import versions
from tamarack_lab.experiments import workloads

HOSTS = 4
TARGETS = 4
RENEWAL_S = 2.0
DRAIN_S = 3.0
LEASE_S = 8.0
IS_SOAK = os.environ.get("TAMARACK_PROFILE") == "soak"
SERVICES = {"agenda": workloads.AGENDA, "informe": workloads.INFORME}
NETWORKS = {"agenda": "10.20.0", "informe": "10.21.0"}
FAILURES = (
    target_choice.Progress.UNRESPONSIVE,
    target_choice.Progress.REFUSED_BY_TARGET,
)


class Version:
    """Entry hosts of one version on a separate network."""

    def __init__(self, version):
        self.version = version
        self.queue = event_queue.EventQueue()
        self.network = simulated_network.SimulatedNetwork(self.queue, 1)
        self.choosers = {}
        for number in range(HOSTS):
            self.start(number)

    def start(self, number):
        """Starts a host without state."""
        context = simulated_network.context(f"entry-{number}", "a", number)
        config_store = configuration_store.ConfigurationStore()
        document = configuration.Configuration(SERVICES)
        config_store.put(configuration.VersionedConfiguration(1, document), 0)
        self.ports = {
            (port.service, port.work_class): port
            for port in config_store.lookup.inbound.values()
        }

        def members():
            return tuple(
                host.peer
                for host in self.network.live("a")
                if host.peer.host != context.host.host
            )

        parts = self.version.build(context, config_store, members, HOSTS)
        self.choosers[context.host.host] = parts.chooser
        self.network.add(reducer.Node(context, parts.components)).start()

    def announce(self, number, announcement):
        """Announces a target at a live host near a number."""
        live = self.network.live("a")
        host = live[number % len(live)]
        request = events.RequestArrived(self.queue.now_s, 1, announcement)
        host.handle(request)
        return host.responses[1]

    def choose(self, number, key, flow):
        """Returns the target that a live host chooses; None if refused."""
        live = self.network.live("a")
        chooser = self.choosers[live[number % len(live)].peer.host]
        opening = target_choice.Opening(flow, self.ports[key])
        choice = chooser.choose(self.queue.now_s, opening)
        if isinstance(choice, target_choice.Refusal):
            return None
        return choice.target


class ChoosingMachine(stateful.RuleBasedStateMachine):
    """Both versions get the same script of targets, hosts and flows."""

    def __init__(self):
        super().__init__()
        self.ours = Version(versions.Tamarackford())
        self.naive = Version(versions.Naive())
        self.announced = {}
        self.drained_s = {}
        for service, prefix in NETWORKS.items():
            for number in range(1, TARGETS + 1):
                address = f"{prefix}.{number}"
                self.announced[address] = requests.Announce(
                    service, address, "a", slots=2, lease_s=LEASE_S
                )
        self.renew()

    def announce(self, number, announcement):
        """Announces a target to both versions."""
        for version in (self.ours, self.naive):
            version.announce(number, announcement)

    def renew(self):
        """Renews all targets, each at another host."""
        for number, announcement in enumerate(self.announced.values()):
            self.announce(number, announcement)

    @stateful.rule(rounds=st.integers(1, 3))
    def run(self, rounds):
        for _ in range(rounds):
            for version in (self.ours, self.naive):
                end_s = version.queue.now_s + RENEWAL_S
                version.queue.run_until(end_s)
            for number in range(8):
                self.probe(bytes((number,) * 4))
            self.renew()

    @stateful.rule(pick=st.integers(0, 2 * TARGETS - 1), drains=st.booleans())
    def set_state(self, pick, drains):
        address = list(self.announced)[pick]
        state = requests.TargetState.READY
        self.drained_s.pop(address, None)
        if drains:
            state = requests.TargetState.DRAINING
            self.drained_s[address] = self.ours.queue.now_s
        changed = msgspec.structs.replace(self.announced[address], state=state)
        self.announced[address] = changed
        self.announce(pick, changed)

    @stateful.rule(pick=st.integers(0, 2 * TARGETS - 1))
    def announce_for_the_wrong_service(self, pick):
        announcement = list(self.announced.values())[pick]
        other = next(n for n in SERVICES if n != announcement.service)
        wrong = msgspec.structs.replace(announcement, service=other)
        answer = self.ours.announce(pick, wrong)
        assert answer.reason == "wrong-service", answer

    @stateful.rule(number=st.integers(0, HOSTS - 1))
    def kill(self, number):
        for version in (self.ours, self.naive):
            if len(version.network.live("a")) > 1:
                version.network.hosts[f"entry-{number}"].alive = False

    @stateful.rule(number=st.integers(0, HOSTS - 1))
    def start(self, number):
        for version in (self.ours, self.naive):
            version.network.hosts[f"entry-{number}"].alive = False
            version.start(number)

    @stateful.rule(loss=st.sampled_from([0.0, 0.0, 0.3]))
    def lose(self, loss):
        self.ours.network.inside.loss = loss

    @stateful.rule(
        number=st.integers(0, HOSTS - 1),
        key=st.sampled_from(
            [
                ("agenda", "report"),
                ("agenda", "route"),
                ("informe", "certificate"),
            ]
        ),
        flow=st.binary(min_size=4, max_size=8),
        failure=st.sampled_from([None, *FAILURES]),
    )
    def open(self, number, key, flow, failure):
        for version in (self.ours, self.naive):
            target = version.choose(number, key, flow)
            if target is None:
                continue
            prefix = ip.format_address(target).rsplit(".", 1)[0]
            assert prefix == NETWORKS[key[0]], (key, prefix)
            if version is self.ours:
                self.check_drained(ip.format_address(target))
            if failure is not None:
                live = version.network.live("a")
                name = live[number % len(live)].peer.host
                version.choosers[name].observe(
                    version.queue.now_s,
                    target_choice.Observation(
                        failure, target, version.ports[key], 1.0
                    ),
                )

    @stateful.rule(
        number=st.integers(0, HOSTS - 1),
        picks=st.sets(st.integers(1, TARGETS), min_size=1),
    )
    def fail(self, number, picks):
        live = self.ours.network.live("a")
        chooser = self.ours.choosers[live[number % len(live)].peer.host]
        for pick in picks:
            target = ip.pack_address(f"{NETWORKS['agenda']}.{pick}")
            observation = target_choice.Observation(
                target_choice.Progress.UNRESPONSIVE,
                target,
                self.ours.ports["agenda", "report"],
                1.0,
            )
            for _ in range(health_lib.FAILURES_TO_EJECT):
                chooser.observe(self.ours.queue.now_s, observation)

    @stateful.rule(flow=st.binary(min_size=4, max_size=8))
    def probe(self, flow):
        """Opens and closes a flow of each class at each host."""
        now_s = self.ours.queue.now_s
        for number, host in enumerate(self.ours.network.live("a")):
            for key, port in self.ours.ports.items():
                target = self.ours.choose(number, key, flow)
                if target is None:
                    continue
                self.check_drained(ip.format_address(target))
                self.ours.choosers[host.peer.host].observe(
                    now_s,
                    target_choice.Observation(
                        target_choice.Progress.CLOSED, target, port, 0.1
                    ),
                )

    def check_drained(self, address):
        """Raises AssertionError for a target that drained long ago."""
        drained_s = self.drained_s.get(address, float("inf"))
        age_s = self.ours.queue.now_s - drained_s
        assert age_s <= DRAIN_S, f"{address} has drained for {age_s} s"

    @stateful.invariant()
    def the_ejected_share_stays_within_the_cap(self):
        now_s = self.ours.queue.now_s
        most = max(1, int(health_lib.MAX_EJECTED_FRACTION * TARGETS))
        targets = [
            ip.pack_address(address)
            for address, announcement in self.announced.items()
            if announcement.service == "agenda"
        ]
        for host in self.ours.network.live("a"):
            chooser = self.ours.choosers[host.peer.host]
            left = chooser.health.eligible(now_s, targets)
            assert len(left) >= len(targets) - most, left


TestChoosing = ChoosingMachine.TestCase
TestChoosing.settings = hypothesis.settings(
    max_examples=1000 if IS_SOAK else 40,
    stateful_step_count=60 if IS_SOAK else 30,
    derandomize=not IS_SOAK,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
