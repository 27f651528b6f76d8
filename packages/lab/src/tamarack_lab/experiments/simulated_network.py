"""Simulated hosts and the links between them, with faults."""

from collections.abc import Callable
import dataclasses
import random

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import messages
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core import timeline
from tamarack_lab.experiments import event_queue

DATAGRAM_HEADER_BYTES = 28
WALL_MS = 1_800_000_000_000


@dataclasses.dataclass(slots=True)
class Link:
    """Delay and loss of the links between or within failure domains.

    Attributes:
        delay_s: One-way delay in seconds.
        jitter_s: Maximum random addition to the delay in seconds.
        loss: Probability that a message is lost.
    """

    delay_s: float = 0.0002
    jitter_s: float = 0.0001
    loss: float = 0.0


class SimulatedHost:
    """Host that runs a reducer on the simulated network.

    Attributes:
        node: State of the host.
        alive: Whether the host is running.
        timers: Generation of each timer by name; only the latest fires.
        bytes_sent: Bytes of sent control messages, including headers.
        responses: Last response by request id.
        entries: Recorded entries of the time line.
    """

    __slots__ = (
        "_network",
        "alive",
        "bytes_sent",
        "entries",
        "node",
        "responses",
        "timers",
    )

    def __init__(self, network: "SimulatedNetwork", node: reducer.Node) -> None:
        """Initializes the host without starting it."""
        self._network = network
        self.node = node
        self.alive = True
        self.timers: dict[str, int] = {}
        self.bytes_sent = 0
        self.responses: dict[int, requests.Response] = {}
        self.entries: list[timeline.Entry] = []

    @property
    def peer(self) -> peers.Peer:
        """Identity and addresses of the host."""
        return self.node.context.host

    def start(self) -> None:
        """Delivers the event `Started`."""
        now_s = self._network.queue.now_s
        self.handle(events.Started(now_s, WALL_MS + int(now_s * 1000)))

    def handle(self, event: events.Event) -> None:
        """Applies an event to a running host and carries out the effects."""
        if not self.alive:
            return
        for effect in reducer.reduce(self.node, event):
            self._carry_out(effect)

    def _carry_out(self, effect: effects.Effect) -> None:
        """Carries out one effect."""
        if isinstance(effect, effects.SendMessage):
            self._send(effect)
        elif isinstance(effect, effects.StartTimer):
            self._start_timer(effect)
        elif isinstance(effect, effects.Respond):
            self.responses[effect.request_id] = effect.response
        elif isinstance(effect, effects.Record):
            self.entries.append(effect.entry)
        elif isinstance(effect, effects.SendDatagram):
            if self._network.datagrams is not None:
                self._network.datagrams(self, effect)
        elif isinstance(effect, effects.Stop):
            self.alive = False

    def _send(self, effect: effects.SendMessage) -> None:
        """Sends a message over the network and counts its bytes."""
        stamp = self.node.context.clock.latest
        envelope = messages.Envelope(self.peer, stamp, (effect.message,))
        self.bytes_sent += len(messages.encode(envelope))
        self.bytes_sent += DATAGRAM_HEADER_BYTES
        self._network.send(self, effect.peer, effect.message)

    def _start_timer(self, effect: effects.StartTimer) -> None:
        """Starts a timer, or restarts it if it is running."""
        generation = self.timers.get(effect.timer, 0) + 1
        self.timers[effect.timer] = generation
        queue = self._network.queue

        def fire() -> None:
            """Fires the timer unless it was restarted."""
            if self.timers[effect.timer] == generation:
                self.handle(events.TimerFired(queue.now_s, effect.timer))

        queue.after(effect.delay_s, fire)


DatagramCarrier = Callable[[SimulatedHost, effects.SendDatagram], None]


class SimulatedNetwork:
    """Network of all simulated hosts of a run.

    Attributes:
        queue: Queue of timed actions.
        random: Seeded random generator.
        hosts: Hosts by name.
        inside: Delay and loss of links within a failure domain.
        between: Delay and loss of links between failure domains.
        cut_links: Pairs of host names, sender and receiver, whose messages
            in this direction are lost.
        datagrams: Delivers datagrams of the data sockets; None drops them.
        isolated_domains: Failure domains that are cut off from all others.
    """

    __slots__ = (
        "between",
        "cut_links",
        "datagrams",
        "hosts",
        "inside",
        "isolated_domains",
        "queue",
        "random",
    )

    def __init__(self, queue: event_queue.EventQueue, seed: int) -> None:
        """Initializes the network without hosts.

        Args:
            queue: Queue of timed actions.
            seed: Seed of the random generator.
        """
        self.queue = queue
        self.random = random.Random(seed)
        self.hosts: dict[str, SimulatedHost] = {}
        self.inside = Link()
        self.between = Link(0.004, 0.002, 0.005)
        self.cut_links: set[tuple[str, str]] = set()
        self.isolated_domains: set[str] = set()
        self.datagrams: DatagramCarrier | None = None

    def add(self, node: reducer.Node) -> SimulatedHost:
        """Adds a host, replacing one of the same name.

        The new host continues the byte count of the replaced one.
        """
        host = SimulatedHost(self, node)
        replaced = self.hosts.get(host.peer.host)
        if replaced is not None:
            host.bytes_sent = replaced.bytes_sent
        self.hosts[host.peer.host] = host
        return host

    def live(self, domain: str) -> list[SimulatedHost]:
        """Returns the running hosts of a failure domain."""
        return [
            host
            for host in self.hosts.values()
            if host.alive and host.peer.domain == domain
        ]

    def is_cut(self, sender: peers.Peer, receiver: peers.Peer) -> bool:
        """Returns whether messages from one host to another are lost."""
        if (sender.host, receiver.host) in self.cut_links:
            return True
        domains = {sender.domain, receiver.domain}
        return len(domains) > 1 and bool(domains & self.isolated_domains)

    def send(
        self,
        sender: SimulatedHost,
        receiver: peers.Peer,
        message: messages.Message,
    ) -> None:
        """Schedules the delivery of a message, or drops it."""
        origin = sender.peer
        if self.is_cut(origin, receiver):
            return
        same = origin.domain == receiver.domain
        link = self.inside if same else self.between
        if self.random.random() < link.loss:
            return
        delay_s = link.delay_s + self.random.random() * link.jitter_s

        def deliver() -> None:
            """Delivers the message to the host that has the name by then."""
            target = self.hosts.get(receiver.host)
            if target is not None:
                now_s = self.queue.now_s
                target.handle(events.MessageArrived(now_s, origin, message))

        self.queue.after(delay_s, deliver)


def context(name: str, domain: str, number: int) -> context_lib.Context:
    """Returns the context of a simulated entry host.

    Args:
        name: Name of the host.
        domain: Failure domain of the host.
        number: Unique number from which address and seed are derived.
    """
    address = f"10.255.{number >> 8}.{number & 255}"
    peer = peers.Peer(
        name,
        domain,
        peers.Endpoint(address, 7000),
        peers.Endpoint(address, 6081),
    )
    return context_lib.Context(peer, number)
