"""Run of an experiment: hosts, targets and callers on an event queue."""

import collections
import functools
import hashlib
import itertools
import random

import msgspec

from tamarack_core import configuration
from tamarack_core import events
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core import verdict
from tamarack_core.internal.balancing import owner_group
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import target_choice
from tamarack_core.packets import ip
from tamarack_lab.experiments import entities
from tamarack_lab.experiments import event_queue
from tamarack_lab.experiments import measurements
from tamarack_lab.experiments import plans
from tamarack_lab.experiments import simulated_network as network_lib
from tamarack_lab.experiments import target_queue as target_queues
from tamarack_lab.experiments import versions

RENEWAL_S = 3.0
LEASE_S = 10.0
SAMPLE_S = 0.1
SYN_TIMEOUT_S = 1.0
HANDSHAKE_S = 0.001
DRAIN_GRACE_S = 3.0


class Run:
    """State of a run.

    Attributes:
        plan: Plan of the experiment.
        version: Version under test.
        queue: Queue of timed actions.
        random: Seeded random generator of traffic and faults.
        network: Simulated hosts and links.
        numbered: Configuration that all hosts have in force.
        config_stores: Configuration store of each host by name.
        choosers: Target chooser of each host by name.
        targets: Targets by packed address.
        figures: Figures of the run.
        flows: Open connections by name of the owning host.
        response_times_s: Seconds from the first attempt to the response of
            each completed connection.
        completed_units: Work units completed after the warm-up.
        meters: One meter per service and failure domain.
        timeline: Sample times and the work in flight of each target.
    """

    def __init__(
        self, plan: plans.ExperimentPlan, version: versions.Version, seed: int
    ) -> None:
        """Initializes the run and starts its hosts and targets.

        Args:
            plan: Plan of the experiment.
            version: Version under test.
            seed: Seed of traffic, faults and hosts.
        """
        self.plan = plan
        self.version = version
        self.queue = event_queue.EventQueue()
        self.random = random.Random(seed)
        self.network = network_lib.SimulatedNetwork(self.queue, seed)
        self.numbered = configuration.VersionedConfiguration(
            1,
            configuration.Configuration(
                {
                    item.name: _with_failure_domains(plan, item)
                    for item in plan.services
                }
            ),
        )
        self.config_stores: dict[
            str, configuration_store.ConfigurationStore
        ] = {}
        self.choosers: dict[str, target_choice.Chooser] = {}
        self.targets: dict[bytes, entities.Target] = {}
        self.figures = measurements.Figures()
        self.flows: dict[str, set[entities.Flow]] = collections.defaultdict(set)
        self.response_times_s: list[float] = []
        self.completed_units = 0.0
        self.meters: list[measurements.BalanceMeter] = []
        self.timeline: list[tuple[float, list[float]]] = []
        self._numbers = itertools.count(1)
        self._seed = seed
        self._ports = {
            (name, class_name): port
            for port in lookup.Lookup(
                self.numbered.configuration
            ).inbound.values()
            for name, class_name in ((port.service, port.work_class),)
        }
        for domain in plan.domains:
            for index in range(plan.hosts):
                self.start_host(f"{domain}-entry-{index}", domain)
        for domain in plan.domains:
            self._add_targets(domain)

    def start_host(self, name: str, domain: str) -> network_lib.SimulatedHost:
        """Starts an entry host, or restarts it without its state."""
        number = self._seed * 1000 + next(self._numbers)
        context = network_lib.context(name, domain, number)
        config_store = configuration_store.ConfigurationStore()
        config_store.put(self.numbered, network_lib.WALL_MS)
        self.config_stores[name] = config_store

        def live_peers() -> tuple[peers.Peer, ...]:
            """Returns the other live entry hosts of the failure domain."""
            return tuple(
                host.peer
                for host in self.network.live(domain)
                if host.peer.host != name
            )

        built = self.version.build(
            context,
            config_store,
            live_peers,
            self.plan.hosts,
        )
        self.choosers[name] = built.chooser
        host = self.network.add(reducer.Node(context, built.components))
        host.start()
        return host

    def _add_targets(self, domain: str) -> None:
        """Creates the targets of a failure domain and their meters."""
        domain_index = self.plan.domains.index(domain)
        for item in self.plan.services:
            network = configuration.parse_target_networks(item.settings)[0]
            base = int(network.network_address) + 256 * domain_index
            queues = []
            for index in range(item.targets):
                address = (base + index + 1).to_bytes(4, "big")
                target = entities.Target(
                    target_queues.TargetQueue(self.queue, address, item.slots),
                    requests.Announce(
                        item.name,
                        ip.format_address(address),
                        domain,
                        slots=item.slots,
                        connections=2000,
                        incarnation=1,
                        lease_s=LEASE_S,
                    ),
                    domain,
                )
                self.targets[address] = target
                queues.append(target.target_queue)
                self.queue.after(
                    self.random.random() * 0.1,
                    functools.partial(self.renew, target),
                )
            if queues:
                self.meters.append(measurements.BalanceMeter(queues))

    def renew(self, target: entities.Target) -> None:
        """Announces a target now and every `RENEWAL_S` while it runs."""
        if not target.target_queue.alive:
            return
        self.announce(target)
        self.queue.after(RENEWAL_S, functools.partial(self.renew, target))

    def announce(self, target: entities.Target) -> None:
        """Announces a target once, at a random host of its failure domain."""
        hosts = self.network.live(target.domain)
        if not hosts:
            return
        event = events.RequestArrived(self.queue.now_s, 1, target.announcement)
        self.random.choice(hosts).handle(event)

    def execute(self) -> measurements.Figures:
        """Runs the experiment and returns its figures."""
        for stream in self.plan.streams:
            for domain in stream.domains or self.plan.domains:
                self.queue.at(
                    1.0, functools.partial(self._open_next, stream, domain)
                )
        self.queue.at(self.plan.warm_up_s, self._sample)
        if self.plan.script is not None:
            self.plan.script(self)
        self.queue.run_until(self.plan.duration_s)
        return self._compute_figures()

    def _open_next(self, stream: plans.Stream, domain: str) -> None:
        """Opens a connection of a stream and schedules the next one."""
        rate = stream.rate(self.queue.now_s)
        delay_s = self.random.expovariate(rate) if rate > 0 else SAMPLE_S
        self.queue.after(
            delay_s, functools.partial(self._open_next, stream, domain)
        )
        if rate <= 0:
            return
        flow = entities.Flow(
            next(self._numbers),
            stream,
            self._ports[stream.service, stream.work_class],
            domain,
            stream.work_s * self.random.uniform(0.5, 1.5),
            stream.hold_s * self.random.uniform(0.5, 1.5),
            self.queue.now_s,
        )
        self.figures.openings += 1
        self.open(flow)

    def open(self, flow: entities.Flow) -> None:
        """Starts an attempt to open a connection."""
        flow.tries += 1
        self.figures.attempts += 1
        caller_port = 1024 + (flow.number * 7 + flow.tries) % 60000
        caller = (0x64400000 + flow.number).to_bytes(4, "big")
        flow.key = (
            caller
            + caller_port.to_bytes(2, "big")
            + flow.port.address
            + flow.port.port.to_bytes(2, "big")
            + bytes((ip.PROTOCOL_TCP,))
        )
        flow.owner = self.owner(flow)
        flow.tried_s = self.queue.now_s
        if not flow.owner:
            self._handle_refusal(flow, verdict.unknown("no-host"))
            return
        self._choose(flow)

    def owner(self, flow: entities.Flow) -> str:
        """Returns the name of the host that owns a flow."""
        hosts = self.network.live(flow.domain)
        settings = self.numbered.configuration.services[flow.port.service]
        group = owner_group.members(
            flow.port.service,
            (host.peer for host in hosts),
            settings.opening_hosts,
        )
        names = (peer.host for peer in group)
        return max(names, key=lambda name: _weight(flow.key, name), default="")

    def _choose(self, flow: entities.Flow) -> None:
        """Chooses the target of a connection with the chooser of its owner."""
        chooser = self.choosers[flow.owner]
        opening = target_choice.Opening(flow.key, flow.port)
        choice = chooser.choose(self.queue.now_s, opening)
        if isinstance(choice, target_choice.Refusal):
            self._handle_refusal(flow, choice.verdict)
            return
        target = self.targets[choice.target]
        if target.announcement.service != flow.port.service:
            self.figures.wrong_service += 1
        if self.queue.now_s > target.drained_s + DRAIN_GRACE_S:
            self.figures.late_new_flows += 1
        if target.domain != flow.domain:
            self.figures.spilled_share += 1
        flow.target = target
        self._submit(flow, target)

    def _submit(self, flow: entities.Flow, target: entities.Target) -> None:
        """Submits the work of a connection to its target.

        A dead target doesn't reply to the SYN packet.
        """
        if not target.target_queue.alive:
            self.queue.after(
                SYN_TIMEOUT_S, functools.partial(self._handle_syn_timeout, flow)
            )
            return
        self.flows[flow.owner].add(flow)
        target.flows.add(flow)
        self.queue.after(
            HANDSHAKE_S,
            lambda: self.observe(flow, target_choice.Progress.ESTABLISHED),
        )
        job = target_queues.Job(
            flow.port.settings.cost,
            flow.work_s,
            lambda: self._complete(flow),
        )
        flow.job = job
        target.target_queue.submit(job)
        self.queue.after(
            flow.stream.timeout_s, lambda: self._cancel_late(flow, job)
        )

    def observe(
        self, flow: entities.Flow, progress: target_choice.Progress
    ) -> None:
        """Passes an observation of a flow to the chooser of its owner."""
        host = self.network.hosts.get(flow.owner)
        if host is None or not host.alive or flow.target is None:
            return
        elapsed_s = self.queue.now_s - flow.tried_s
        observation = target_choice.Observation(
            progress, flow.target.target_queue.address, flow.port, elapsed_s
        )
        self.choosers[flow.owner].observe(self.queue.now_s, observation)

    def _complete(self, flow: entities.Flow) -> None:
        """Handles the response of the target to the caller."""
        flow.runs += 1
        if flow.is_finished:
            return
        self.observe(flow, target_choice.Progress.REPLIED)
        self.response_times_s.append(self.queue.now_s - flow.opened_s)
        self.figures.completed += 1
        if self.queue.now_s > self.plan.warm_up_s:
            self.completed_units += flow.port.settings.cost
        self.queue.after(flow.hold_s, functools.partial(self._close, flow))

    def _close(self, flow: entities.Flow) -> None:
        """Closes a connection at the end of its holding time."""
        if not flow.is_finished:
            self.end(flow, target_choice.Progress.CLOSED)

    def end(
        self, flow: entities.Flow, progress: target_choice.Progress
    ) -> None:
        """Ends a connection and reports this to the chooser of its owner."""
        flow.is_finished = True
        self.observe(flow, progress)
        self.flows[flow.owner].discard(flow)
        if flow.target is not None:
            flow.target.flows.discard(flow)

    def _cancel_late(self, flow: entities.Flow, job: target_queues.Job) -> None:
        """Cancels a connection that got no response within its timeout."""
        if flow.is_finished or flow.job is not job or flow.runs:
            return
        if flow.target is not None:
            flow.target.target_queue.cancel(job)
        self.end(flow, target_choice.Progress.CLOSED)

    def _handle_syn_timeout(self, flow: entities.Flow) -> None:
        """Handles an opening to which a dead target did not reply."""
        self.observe(flow, target_choice.Progress.UNRESPONSIVE)
        self._retry(flow)

    def _handle_refusal(
        self, flow: entities.Flow, outcome: verdict.Verdict
    ) -> None:
        """Counts a refused opening and schedules the next attempt."""
        self.figures.refused += 1
        if flow.runs and outcome.outcome is verdict.Outcome.NOT_RUN:
            self.figures.false_verdicts += 1
        self._retry(flow)

    def _retry(self, flow: entities.Flow) -> None:
        """Schedules the next attempt, up to the maximum number."""
        if flow.tries >= flow.stream.tries:
            flow.is_finished = True
            return
        delay_s = flow.stream.backoff_s * self.random.uniform(0.5, 1.5)
        self.queue.after(delay_s, functools.partial(self.open, flow))

    def kill_host(self, name: str) -> None:
        """Kills a host; other hosts take over its flows."""
        self.network.hosts[name].alive = False
        for flow in self.flows.pop(name, set()):
            flow.owner = self.owner(flow)
            self.flows[flow.owner].add(flow)
            self.observe(flow, target_choice.Progress.OPENED)

    def restart_host(self, name: str) -> None:
        """Restarts a host without its state and moves flows to their owners."""
        domain = self.network.hosts[name].peer.domain
        self.start_host(name, domain)
        for old, flows in list(self.flows.items()):
            moved = {flow for flow in flows if self.owner(flow) != old}
            flows -= moved
            for flow in moved:
                self.observe(flow, target_choice.Progress.CLOSED)
                flow.owner = self.owner(flow)
                self.flows[flow.owner].add(flow)
                self.observe(flow, target_choice.Progress.OPENED)

    def kill_target(self, target: entities.Target) -> None:
        """Kills a target and breaks all its connections."""
        target.target_queue.kill()
        for flow in list(target.flows):
            self.figures.broken_flows += 1
            self.end(flow, target_choice.Progress.UNRESPONSIVE)

    def _sample(self) -> None:
        """Takes a sample with all meters every `SAMPLE_S`."""
        for meter in self.meters:
            meter.sample()
        work = [target.target_queue.work for target in self.targets.values()]
        self.timeline.append((self.queue.now_s, work))
        self.queue.after(SAMPLE_S, self._sample)

    def _compute_figures(self) -> measurements.Figures:
        """Computes the remaining figures of the run and returns all."""
        figures = self.figures
        meters = [meter for meter in self.meters if any(meter.samples[-1])]
        window = int(10 / SAMPLE_S)
        figures.imbalance_peak_over_mean = max(
            (meter.peak_over_mean() for meter in meters), default=0.0
        )
        figures.imbalance_window_peak_over_mean = max(
            (meter.window_peak_over_mean(window) for meter in meters),
            default=0.0,
        )
        figures.imbalance_spread_units = max(
            (meter.spread() for meter in meters), default=0.0
        )
        figures.spilled_share /= max(1, figures.attempts)
        sent = sum(host.bytes_sent for host in self.network.hosts.values())
        figures.control_bytes_per_host_s = (
            sent / len(self.network.hosts) / self.plan.duration_s
        )
        measured_s = self.plan.duration_s - self.plan.warm_up_s
        figures.goodput_units_s = self.completed_units / measured_s
        figures.wait_p99_s = measurements.percentile(
            self.response_times_s, 0.99
        )
        return figures


def _with_failure_domains(
    plan: plans.ExperimentPlan, item: plans.ServicePlan
) -> configuration.Service:
    """Returns a service whose limits are divided among the domains."""
    return msgspec.structs.replace(item.settings, failure_domains=plan.domains)


def _weight(flow: bytes, name: str) -> bytes:
    """Returns the rendezvous weight of a host for a flow."""
    return hashlib.blake2b(flow + name.encode(), digest_size=8).digest()
