"""Packet-level runs of complete entry hosts with TCP callers and targets.

The fabric sends each packet to a random entry host. It keeps sending packets
to a dead host for `FABRIC_DETECTION_S`.
"""

from collections.abc import Callable
import dataclasses
import functools
import random

import msgspec

from tamarack_core import configuration
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import requests
from tamarack_core.messages import distribution
from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tamarack_lab.experiments import event_queue
from tamarack_lab.experiments import measurements
from tamarack_lab.experiments import packet_endpoints
from tamarack_lab.experiments import packet_versions
from tamarack_lab.experiments import plans
from tamarack_lab.experiments import simulated_network as network_lib
from tamarack_lab.tcp import connection as connections
from tamarack_lab.tcp import stack as stacks

DOMAIN = "a"
DELAY_S = 0.0005
FABRIC_DETECTION_S = 1.0
RENEWAL_S = 3.0
LEASE_S = 10.0
STALL_TIMEOUT_S = 40.0
SAMPLE_S = 1.0
CALLER_PORTS = 20000


@dataclasses.dataclass(frozen=True, slots=True)
class PacketPlan:
    """Plan of a packet-level experiment.

    Attributes:
        name: Name on the command line.
        summary: Description for `tamarack experiment list`.
        service: Service that the callers use.
        targets: Number of targets.
        first_targets: Number of targets that run from the start; 0 for all.
        hosts: Number of entry hosts.
        flows: Number of long-lived connections, open for the whole run.
        duration_s: Duration of the run in seconds.
        script: Function that schedules the faults of a run.
        bounds: Bounds that the figures of tamarackford must meet.
    """

    name: str
    summary: str
    service: plans.ServicePlan
    targets: int = 7
    first_targets: int = 0
    hosts: int = 6
    flows: int = 150
    duration_s: float = 90.0
    script: Callable[["PacketRun"], None] | None = None
    bounds: tuple[plans.Bound, ...] = ()


class PacketRun:
    """State of a packet-level run.

    Attributes:
        plan: Plan of the experiment.
        build: Builds an entry host of the version under test.
        queue: Queue of timed actions.
        random: Seeded random generator of traffic and faults.
        network: Network of the entry hosts.
        callers: TCP stack of all callers.
        targets: TCP stack of each running target by packed address.
        announcements: Current announcement of each target by packed address.
        fabric: Names of the entry hosts to which the fabric sends packets.
        executed_records: Requests that a target has run.
        open_callers: Callers with an open connection by number.
        hops: Number of packets forwarded between entry hosts.
        packets: Number of packets sent to the fabric.
        figures: Figures of the run.
        seed: Seed of all random generators.
        peers: Identities and addresses of the entry hosts.
        samples: Number of connections of each target at each sample.
        timeline: Time of each sample in seconds, and its connection counts.
    """

    def __init__(
        self, plan: PacketPlan, build: packet_versions.Build, seed: int
    ) -> None:
        """Initializes the run and starts its hosts and targets.

        Args:
            plan: Plan of the experiment.
            build: Builds an entry host of the version under test.
            seed: Seed of all random generators.
        """
        self.plan = plan
        self.build = build
        self.queue = event_queue.EventQueue()
        self.random = random.Random(seed)
        self.network = network_lib.SimulatedNetwork(self.queue, seed)
        self.network.datagrams = self._send_datagram
        self.figures = measurements.Figures()
        self.callers = stacks.Stack(seed)
        self.targets: dict[bytes, stacks.Stack] = {}
        self.announcements: dict[bytes, requests.Announce] = {}
        self.fabric: set[str] = set()
        self.executed_records: set[bytes] = set()
        self.open_callers: dict[int, packet_endpoints.Caller] = {}
        self.hops = 0
        self.packets = 0
        self.seed = seed
        self.peers = tuple(
            network_lib.context(f"entry-{n}", DOMAIN, n + 1).host
            for n in range(plan.hosts)
        )
        self.samples: list[list[int]] = []
        self.timeline: list[tuple[float, list[float]]] = []
        for peer in self.peers:
            self.start_host(peer)
        for number in range(plan.first_targets or plan.targets):
            self.start_target(number)

    def start_host(self, peer: peers.Peer) -> None:
        """Starts an entry host, or restarts it without its state."""
        others = tuple(other for other in self.peers if other != peer)
        seed = self.random.getrandbits(30)
        host = self.network.add(self.build(peer, others, seed))
        host.start()
        services = {self.plan.service.name: self.plan.service.settings}
        numbered = configuration.VersionedConfiguration(
            1, configuration.Configuration(services)
        )
        snapshot = distribution.Snapshot(numbered)
        now_s = self.queue.now_s
        host.handle(events.MessageArrived(now_s, self.peers[0], snapshot))
        self.queue.after(FABRIC_DETECTION_S, lambda: self.fabric.add(peer.host))

    def kill_host(self, peer: peers.Peer) -> None:
        """Kills a host without a graceful stop."""
        self.network.hosts[peer.host].alive = False
        self.remove_from_fabric(peer)

    def stop_host(self, peer: peers.Peer) -> None:
        """Requests a graceful stop of a host."""
        host = self.network.hosts[peer.host]
        host.handle(events.StopRequested(self.queue.now_s))
        self.remove_from_fabric(peer)

    def remove_from_fabric(self, peer: peers.Peer) -> None:
        """Removes a host from the fabric after `FABRIC_DETECTION_S`."""
        self.queue.after(
            FABRIC_DETECTION_S, lambda: self.fabric.discard(peer.host)
        )

    def start_target(self, number: int) -> None:
        """Starts a target that announces itself periodically."""
        settings = self.plan.service.settings
        network = configuration.parse_target_networks(settings)[0]
        address = (int(network.network_address) + 1 + number).to_bytes(4, "big")
        stack = stacks.Stack(self.seed * 100 + number)
        for work_class in settings.classes.values():
            key = (address, work_class.target_port)
            stack.listeners[key] = lambda *_: packet_endpoints.Server(self)
        self.targets[address] = stack
        self.announcements[address] = requests.Announce(
            self.plan.service.name,
            ip.format_address(address),
            DOMAIN,
            slots=self.plan.service.slots,
            connections=2000,
            lease_s=LEASE_S,
        )
        self._renew(address)

    def drain_target(self, address: bytes) -> None:
        """Makes the next announcements of a target report draining."""
        self.announcements[address] = msgspec.structs.replace(
            self.announcements[address], state=requests.TargetState.DRAINING
        )

    def kill_target(self, address: bytes) -> None:
        """Kills a target with all its connections."""
        del self.targets[address]

    def _renew(self, address: bytes) -> None:
        """Announces a target now and every `RENEWAL_S` while it runs."""
        if address not in self.targets:
            return
        live = self.network.live(DOMAIN)
        event = events.RequestArrived(
            self.queue.now_s, 1, self.announcements[address]
        )
        self.random.choice(live).handle(event)
        self.queue.after(RENEWAL_S, functools.partial(self._renew, address))

    def execute(self) -> measurements.Figures:
        """Runs the experiment and returns its figures."""
        for uid in range(self.plan.flows):
            at_s = 5.0 + 10.0 * self.random.random()
            self.queue.at(at_s, functools.partial(self.open, uid))
        self.queue.at(20.0, self._sample)
        if self.plan.script is not None:
            self.plan.script(self)
        self.queue.run_until(self.plan.duration_s)
        return self._compute_figures()

    def open(self, uid: int) -> None:
        """Opens the connection of a caller with a number."""
        caller = packet_endpoints.Caller(self, uid)
        self.figures.openings += 1
        self.figures.attempts += 1
        self.open_callers[uid] = caller
        caller.waiting_since_s = self.queue.now_s
        port = next(iter(self.plan.service.settings.classes.values())).port
        path = connections.FourTuple(
            bytes((100, 64, uid >> 8, uid & 255)),
            CALLER_PORTS + uid,
            ip.pack_address(self.plan.service.settings.addresses[0]),
            port,
        )
        self.callers.connect(self.queue.now_s, path, caller)
        self._flush(self.callers)

    def count_refusal(self, caller: packet_endpoints.Caller) -> None:
        """Counts a refusal, which states that no request has run."""
        self.figures.refused += 1
        caller.is_finished = True
        self.open_callers.pop(caller.uid, None)
        if caller.requests_sent:
            self.figures.false_verdicts += 1

    def count_broken(self, caller: packet_endpoints.Caller) -> None:
        """Counts a broken connection unless the caller has finished."""
        if not caller.is_finished:
            self.figures.broken_flows += 1
        caller.is_finished = True
        self.open_callers.pop(caller.uid, None)

    def record_execution(self, record: bytes) -> None:
        """Records that a target runs a request; a repetition is a violation."""
        if record in self.executed_records:
            self.figures.at_most_once_violations += 1
        self.executed_records.add(record)

    def flush_callers(self, connection: connections.Connection) -> None:
        """Sends the queued data of a caller's connection."""
        self.callers.mark_changed(connection)
        self._flush(self.callers)

    def _flush(self, stack: stacks.Stack) -> None:
        """Sends the packets of a stack to the fabric and sets its timer."""
        now_s = self.queue.now_s
        for packet in stack.flush(now_s):
            self._send_to_entry_host(packet)
        deadline_s = stack.next_deadline()
        if deadline_s is not None:
            self.queue.at(deadline_s, functools.partial(self._expire, stack))

    def _expire(self, stack: stacks.Stack) -> None:
        """Handles the expired timers of a stack."""
        deadline_s = stack.next_deadline()
        if deadline_s is None or deadline_s > self.queue.now_s:
            return
        stack.expire(self.queue.now_s)
        self._flush(stack)

    def _send_to_entry_host(self, packet: bytes) -> None:
        """Sends a packet to a random host of the fabric, if there is any."""
        self.packets += 1
        if not self.fabric:
            return
        name = self.random.choice(sorted(self.fabric))
        self._deliver(name, geneve.encapsulate(packet))

    def _deliver(self, name: str, data: bytes) -> None:
        """Delivers a datagram to a host after the network delay."""

        def arrive() -> None:
            """Delivers the datagram; a dead host ignores it."""
            now_s = self.queue.now_s
            host = self.network.hosts[name]
            host.handle(events.DatagramArrived(now_s, data))

        delay_s = DELAY_S * self.random.uniform(0.5, 1.5)
        self.queue.after(delay_s, arrive)

    def _send_datagram(
        self, sender: network_lib.SimulatedHost, effect: effects.SendDatagram
    ) -> None:
        """Carries a datagram to another host, or to a target or caller."""
        if effect.endpoint is not None:
            self.hops += 1
            receivers = [
                peer.host
                for peer in self.peers
                if peer.data == effect.endpoint
                and not self.network.is_cut(sender.peer, peer)
            ]
            for name in receivers:
                self._deliver(name, effect.data)
            return
        datagram = geneve.decapsulate(effect.data)
        if isinstance(datagram, failure.Failure):
            return
        packet = datagram.packet
        self.queue.after(
            DELAY_S, functools.partial(self._deliver_decapsulated, packet)
        )

    def _deliver_decapsulated(self, packet: bytes) -> None:
        """Delivers a packet to a target or to the callers."""
        address = packet[16:20]
        if address[0] == 100:
            stack: stacks.Stack | None = self.callers
        else:
            stack = self.targets.get(address)
        if stack is not None:
            stack.receive(self.queue.now_s, packet)
            self._flush(stack)

    def _sample(self) -> None:
        """Samples the connections of each target and counts stalled callers.

        A caller without a response for `STALL_TIMEOUT_S` counts as broken.
        """
        now_s = self.queue.now_s
        counts = [len(stack.connections) for stack in self.targets.values()]
        counts += [0] * (self.plan.targets - len(counts))
        self.samples.append(counts)
        self.timeline.append((now_s, [float(count) for count in counts]))
        for caller in list(self.open_callers.values()):
            is_waiting = (
                caller.requests_sent > caller.responses_received
                or not caller.requests_sent
            )
            if is_waiting and now_s - caller.waiting_since_s > STALL_TIMEOUT_S:
                self.count_broken(caller)
        self.queue.after(SAMPLE_S, self._sample)

    def _compute_figures(self) -> measurements.Figures:
        """Computes the remaining figures of the run and returns all."""
        figures = self.figures
        totals = [sum(column) for column in zip(*self.samples, strict=True)]
        if sum(totals):
            figures.imbalance_peak_over_mean = (
                max(totals) * len(totals) / sum(totals)
            )
        spreads = [
            measurements.deviation([float(count) for count in row])
            for row in self.samples
        ]
        figures.imbalance_spread_units = sum(spreads) / len(spreads)
        sent = sum(host.bytes_sent for host in self.network.hosts.values())
        figures.control_bytes_per_host_s = (
            sent / self.plan.hosts / self.plan.duration_s
        )
        figures.hops_per_packet = self.hops / max(1, self.packets)
        figures.goodput_units_s = figures.completed / self.plan.duration_s
        return figures
