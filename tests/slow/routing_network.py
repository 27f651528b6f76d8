"""Simulated network of entry hosts, callers and targets.

All packets go through one event queue whose delays and faults are drawn from
a seeded random generator.
"""

import collections
import heapq
import itertools
import random
import struct

from tamarack_core import configuration
from tamarack_core import context
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import messages
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import timeline
from tamarack_core import verdict
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.entry import data_path
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.membership import host_membership
from tamarack_core.packets import checksum
from tamarack_core.packets import geneve
from tamarack_core.packets import ip

WALL_MS = 1_700_000_000_000
FABRIC_UPDATE_S = 1.0
CALLER_TIMEOUT_S = 45.0
REQUEST_PAUSE_S = 1.0
SYN, ACK, FIN, RST = ip.TCP_SYN, ip.TCP_ACK, ip.TCP_FIN, ip.TCP_RST
CLASSES = {
    "feeds": configuration.WorkClass(
        80, 8080, lifetime=configuration.Lifetime.LONG_LIVED
    ),
    "edits": configuration.WorkClass(81, 8081, idempotent=False),
}
SERVICES = {
    "schedule-svc": configuration.Service(
        ("10.9.0.1",), CLASSES, ("10.1.0.0/24",)
    ),
    "chime-store": configuration.Service(
        ("10.9.0.2",), CLASSES, ("10.2.0.0/24",)
    ),
}
TARGETS = {
    "schedule-svc": [bytes((10, 1, 0, n)) for n in range(1, 8)],
    "chime-store": [bytes((10, 2, 0, n)) for n in range(1, 5)],
}

_tcp = struct.Struct("!HHIIBBHHH")
_ipv4 = struct.Struct("!BBHHHBBH")


def segment(source, destination, flags, seq, ack, payload=b""):
    """Returns a TCP packet between two (address, port) pairs."""
    fields = (source[1], destination[1], seq, ack, 5 << 4, flags, 65535)
    length = 20 + len(payload)
    pseudo = checksum.pseudo_header(source[0], destination[0], 6, length)
    total = checksum.of(pseudo + _tcp.pack(*fields, 0, 0) + payload)
    prefix = (0x45, 0, 20 + length, 0, 0x4000, 64, 6)
    addresses = source[0] + destination[0]
    header_sum = checksum.of(_ipv4.pack(*prefix, 0) + addresses)
    return (
        _ipv4.pack(*prefix, header_sum)
        + addresses
        + _tcp.pack(*fields, total, 0)
        + payload
    )


class FewestFlowsChooser:
    """Chooses the target with the fewest flows of this entry host."""

    def __init__(self, ready):
        self.ready = ready
        self.counts = collections.Counter()

    def choose(self, now_s, opening):
        ready = self.ready[opening.port.service]
        if not ready:
            return target_choice.Refusal(verdict.not_run("no-ready-target"))
        if opening.required in ready:
            target = opening.required
        else:
            target = min(ready, key=self.counts.__getitem__)
        self.counts[target] += 1
        return target_choice.Choice(target)

    def may_retry(self, now_s, port):
        return True

    def observe(self, now_s, observation):
        progress = observation.progress.name
        if progress == "OPENED":
            self.counts[observation.target] += 1
        elif progress not in ("ESTABLISHED", "REPLIED"):
            self.counts[observation.target] -= 1


class Target:
    """Server that echoes payload and checks sequence numbers."""

    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.connections = {}

    def receive(self, packet):
        local = (self.address, packet.destination_port)
        caller = (packet.source, packet.source_port)
        key = (caller, local)
        if caller in self.network.muted:
            return
        held = self.connections.get(key)
        if len(packet.data) > packet.payload:
            # Payload is recorded even if its sequence numbers are rejected.
            uid = packet.data[packet.payload :]
            self.network.record_payload(uid, self.address)
        if packet.flags & RST:
            self.connections.pop(key, None)
        elif packet.flags & SYN:
            if held is None or (held[2] and held[0] != packet.sequence):
                number = self.network.random.getrandbits(32)
                held = [packet.sequence, number, False]
                self.connections[key] = held
            if held[0] == packet.sequence:
                seq, flags = held[1], SYN | ACK
                self.send(local, caller, flags, seq, packet.sequence + 1)
            else:
                self.send(local, caller, ACK, held[1] + 1, held[0] + 1)
        elif held is None or packet.acknowledgment != (held[1] + 1) % 2**32:
            self.connections.pop(key, None)
            self.send(local, caller, RST, packet.acknowledgment, 0)
        else:
            self.exchange(local, caller, packet, key)

    def exchange(self, local, caller, packet, key):
        payload = packet.data[packet.payload :]
        seq = packet.acknowledgment
        if payload:
            self.send(local, caller, ACK, seq, packet.sequence, payload)
        elif packet.flags & FIN:
            # The connection stays in TIME-WAIT to handle late packets.
            self.connections[key][2] = True
            self.send(local, caller, FIN | ACK, seq, packet.sequence + 1)

    def send(self, local, caller, flags, seq, ack, payload=b""):
        seq %= 2**32
        ack %= 2**32
        data = segment(local, caller, flags, seq, ack, payload)
        self.network.to_fabric(data)


class Flow:
    """Connection of a caller, which retransmits what gets no reply."""

    def __init__(self, network, number, caller, service, work_class):
        self.network = network
        self.uid = struct.pack("!Q", number)
        self.caller = caller
        port = CLASSES[work_class].port
        address = ip.pack_address(SERVICES[service].addresses[0])
        self.service = service
        self.end = (address, port)
        self.initial = network.random.getrandbits(32)
        self.server = 0
        self.state = "opening"
        self.replied_s = network.now_s
        self.is_waiting = True
        self.idle = False
        self.attempt = 0
        self.step()

    def step(self):
        """Sends the segment that is due and schedules the retransmission."""
        if self.state in ("closed", "broken", "refused"):
            return
        if (
            self.is_waiting
            and self.network.now_s - self.replied_s > CALLER_TIMEOUT_S
        ):
            self.state = "broken"
            return
        if self.state == "opening":
            self.send(SYN, self.initial, 0)
        elif self.state == "closing":
            self.send(FIN | ACK, self.initial + 1, self.server + 1)
        elif self.is_waiting:
            self.send(ACK, self.initial + 1, self.server + 1, self.uid)
        self.attempt += 1
        delay_s = min(REQUEST_PAUSE_S * 2 ** min(self.attempt - 1, 3), 8.0)
        token = self.attempt
        self.network.after(delay_s, lambda: self.repeat(token))

    def repeat(self, token):
        if token == self.attempt:
            self.step()

    def send_now(self):
        """Sends a request or the FIN now and restarts the time-out."""
        self.attempt = 0
        self.is_waiting = True
        self.replied_s = self.network.now_s
        self.step()

    def handle_reset(self):
        if self.state == "opening":
            self.state = "refused"
        elif self.state != "closed":
            self.state = "broken"

    def send_request(self):
        if self.state == "open" and not self.idle and not self.is_waiting:
            self.send_now()

    def close(self):
        if self.state == "open":
            self.state = "closing"
            self.send_now()

    def send(self, flags, seq, ack, payload=b""):
        seq %= 2**32
        ack %= 2**32
        self.network.to_fabric(
            segment(self.caller, self.end, flags, seq, ack, payload)
        )

    def is_acceptable(self, packet):
        """Returns whether the sequence numbers fit this connection."""
        return (
            packet.sequence == (self.server + 1) % 2**32
            and packet.acknowledgment == (self.initial + 1) % 2**32
        )

    def receive(self, packet):
        payload = packet.data[packet.payload :]
        if payload and not self.is_acceptable(packet):
            # TCP discards segments of the previous connection on this port.
            return
        if payload and payload != self.uid:
            self.network.wrong_replies += 1
            return
        if packet.flags & RST:
            self.handle_reset()
        elif packet.flags & SYN and self.state == "opening":
            if packet.acknowledgment == (self.initial + 1) % 2**32:
                self.server = packet.sequence
                self.state = "open"
                self.send_now()
        elif packet.flags & FIN and self.state == "closing":
            self.state = "closed"
        elif self.state == "opening":
            # The target still holds an older connection (RFC 9293, 3.10.7.3).
            self.send(RST, packet.acknowledgment, 0)
        elif payload and self.is_waiting:
            self.is_waiting = False
            self.attempt = 0
            self.network.after(REQUEST_PAUSE_S, self.send_request)


class Network:
    """Simulated entry hosts, callers and targets.

    Attributes:
        spray: Whether the fabric sends each packet to a random entry host;
            otherwise the host follows from the addresses and ports.
        loss: Probability that a packet is lost.
        duplication: Probability that a packet is duplicated.
        cuts: Pairs of host names whose packets and messages are lost, from
            the first to the second.
        control_cuts: Pairs of host names whose messages alone are lost.
        muted: Callers whose packets the targets ignore.
        received: Addresses of the targets that payload of a flow reached, by
            flow.
    """

    def __init__(self, seed, hosts=6, spray=True, chooser=FewestFlowsChooser):
        self.random = random.Random(seed)
        self.spray = spray
        self.chooser = chooser
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_s = 0.002
        self.jitter_s = 0.002
        self.cuts = set()
        self.control_cuts = set()
        self.muted = set()
        self.now_s = 100.0
        self.queue = []
        self.event_numbers = itertools.count()
        self.uids = itertools.count(1)
        self.ready = {name: list(targets) for name, targets in TARGETS.items()}
        self.targets = {
            address: Target(self, address)
            for address in itertools.chain(*TARGETS.values())
        }
        self.flows = {}
        self.all_flows = []
        self.received = collections.defaultdict(set)
        self.wrong_replies = 0
        self.wrong_service = 0
        self.control_bytes = 0
        self.packets = 0
        self.records = []
        self.nodes = {}
        self.timers = {}
        self.in_fabric = []
        self.peers = [
            peers.Peer(
                f"entry-{number}",
                "at-east-a",
                peers.Endpoint(f"10.0.0.{number + 1}", 7400),
                peers.Endpoint(f"10.0.0.{number + 1}", 6081),
            )
            for number in range(hosts + 20)
        ]
        self.endpoints = {peer.data: peer for peer in self.peers}
        self.paths = {}
        for peer in self.peers[:hosts]:
            self.start(peer)
        self.run(8.0)

    def start(self, peer, seeds=()):
        """Starts an entry host with some other hosts as seeds."""
        shared = context.Context(peer, self.random.getrandbits(32))
        held = configuration_store.ConfigurationStore()
        document = configuration.Configuration(SERVICES)
        held.put(configuration.VersionedConfiguration(1, document), WALL_MS)
        seeds = seeds or self.in_fabric[:3] or self.peers[:3]
        members = host_membership.HostMembership(
            shared, tuple(seed for seed in seeds if seed is not peer)
        )
        path = data_path.DataPath(
            shared, held, self.chooser(self.ready), members
        )
        self.paths[peer.host] = path
        self.nodes[peer.host] = reducer.Node(shared, (members, path))
        wall_ms = WALL_MS + int(self.now_s * 1000)
        self.handle(peer, events.Started(self.now_s, wall_ms))
        self.after(FABRIC_UPDATE_S, lambda: self.in_fabric.append(peer))

    def kill(self, peer):
        """Ends a host abruptly; the fabric notices after a delay."""
        self.nodes.pop(peer.host, None)
        self.after(FABRIC_UPDATE_S, lambda: self.withdraw(peer))

    def withdraw(self, peer):
        if peer in self.in_fabric:
            self.in_fabric.remove(peer)

    def stop(self, peer):
        """Requests a graceful stop of a host."""
        self.withdraw(peer)
        self.handle(peer, events.StopRequested(self.now_s))

    def split(self, left, right):
        """Returns all directed pairs between two groups of hosts."""
        pairs = itertools.product(left, right)
        return {
            pair
            for one, other in pairs
            for pair in ((one.host, other.host), (other.host, one.host))
        }

    def live(self):
        return [peer for peer in self.peers if peer.host in self.nodes]

    def after(self, delay_s, action):
        item = (self.now_s + delay_s, next(self.event_numbers), action)
        heapq.heappush(self.queue, item)

    def run(self, duration_s):
        """Processes the queued events until the end of a duration."""
        end_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.queue)
            action()
        self.now_s = end_s

    def deliver(self, action):
        """Queues a packet with random loss, duplication and delay."""
        if self.random.random() < self.loss:
            return
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            delay_s = self.delay_s + self.random.random() * self.jitter_s
            self.after(delay_s, action)

    def to_fabric(self, packet):
        """Sends an IP packet to the entry host that the fabric chooses."""
        self.packets += 1
        if not self.in_fabric:
            return
        peer = self.random.choice(self.in_fabric)
        if not self.spray:
            index = checksum.sum_words(packet[12:24]) % len(self.in_fabric)
            peer = self.in_fabric[index]
        data = geneve.encapsulate(packet)
        self.deliver(
            lambda: self.handle(peer, events.DatagramArrived(self.now_s, data))
        )

    def handle(self, peer, event):
        """Applies an event to a host and carries out the effects."""
        node = self.nodes.get(peer.host)
        if node is not None:
            for effect in reducer.reduce(node, event):
                self.apply_effect(peer, effect)

    def apply_effect(self, peer, effect):
        if isinstance(effect, effects.SendDatagram):
            self.send_datagram(peer, effect)
        elif isinstance(effect, effects.SendMessage):
            self.send_message(peer, effect)
        elif isinstance(effect, effects.StartTimer):
            number = next(self.event_numbers)
            self.timers[peer.host, effect.timer] = number
            self.after(
                effect.delay_s, lambda: self.fire(peer, effect.timer, number)
            )
        elif isinstance(effect, effects.Record):
            self.records.append(effect.entry)
        elif isinstance(effect, effects.Stop):
            self.nodes.pop(peer.host, None)

    def fire(self, peer, timer, number):
        if self.timers.get((peer.host, timer)) == number:
            self.handle(peer, events.TimerFired(self.now_s, timer))

    def send_message(self, peer, effect):
        envelope = messages.Envelope(
            peer, timeline.Stamp(WALL_MS, 0), (effect.message,)
        )
        data = messages.encode(envelope)
        self.control_bytes += len(data)
        if (peer.host, effect.peer.host) in self.cuts | self.control_cuts:
            return
        decoded = messages.decode(data)
        message = decoded.messages[0]
        self.deliver(
            lambda: self.handle(
                effect.peer, events.MessageArrived(self.now_s, peer, message)
            )
        )

    def send_datagram(self, peer, effect):
        if effect.endpoint is None:
            packet = ip.parse(geneve.decapsulate(effect.data).packet)
            self.deliver(lambda: self.arrive(packet))
            return
        receiver = self.endpoints[effect.endpoint]
        if (peer.host, receiver.host) in self.cuts:
            return
        self.deliver(
            lambda: self.handle(
                receiver, events.DatagramArrived(self.now_s, effect.data)
            )
        )

    def arrive(self, packet):
        """Delivers a packet to a target or a caller."""
        target = self.targets.get(packet.destination)
        if target is not None:
            target.receive(packet)
            return
        flow = self.flows.get((packet.destination, packet.destination_port))
        if flow is not None and flow.end == (
            packet.source,
            packet.source_port,
        ):
            flow.receive(packet)

    def record_payload(self, uid, address):
        """Records that payload of a flow has reached a target."""
        self.received[uid].add(address)
        number = struct.unpack("!Q", uid)[0]
        service = self.all_flows[number - 1].service
        if address not in TARGETS[service]:
            self.wrong_service += 1

    def open(self, number, service="schedule-svc", work_class="feeds"):
        """Opens a flow from the numbered caller address and port."""
        caller = (bytes((10, 7, 0, number % 200 + 1)), 5000 + number // 200)
        if caller in self.flows:
            # A new connection replaces the one on the same caller port.
            self.flows[caller].state = "closed"
        flow = Flow(self, next(self.uids), caller, service, work_class)
        self.flows[caller] = flow
        self.all_flows.append(flow)
        return flow

    def open_many(self, count):
        """Opens flows of both services and classes, spread over 3 s."""
        kinds = list(itertools.product(SERVICES, CLASSES))
        for number in range(count):
            kind = kinds[number % len(kinds)]
            self.after(
                3.0 * number / count,
                lambda number=number, kind=kind: self.open(number, *kind),
            )
        self.run(6.0)

    def pause_callers(self):
        """Makes all callers idle, with their connections open."""
        for flow in self.all_flows:
            flow.idle = True
        self.run(3.0)

    def resume_callers(self):
        """Lets all callers send again and waits for the replies."""
        for flow in self.all_flows:
            flow.idle = False
            if flow.state == "open" and not flow.is_waiting:
                flow.send_now()
        self.run(CALLER_TIMEOUT_S + 10.0)

    def count(self, state):
        return sum(flow.state == state for flow in self.all_flows)

    def flows_at_several_targets(self):
        """Returns the flows whose payload reached more than one target."""
        return [
            uid for uid, targets in self.received.items() if len(targets) > 1
        ]

    def counter(self, name):
        return sum(node.context.counters[name] for node in self.nodes.values())
