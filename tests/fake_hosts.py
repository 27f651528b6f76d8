"""Hosts of the core on a simulated network, for tests without processes."""

import dataclasses
import heapq
import itertools

from tamarack_core import assembly
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import messages
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import timeline
from tamarack_core.storage import disk as disks

LATENCY_S = 0.005
SYNC_S = 0.002


def peer(host, domain="a"):
    """Returns the peer of a host with a name."""
    number = sum(host.encode()) % 60000 + 1
    return peers.Peer(host, domain, peers.Endpoint("127.0.0.1", number))


@dataclasses.dataclass
class Disk:
    """Contents of a simulated data folder."""

    incarnation: str
    snapshot: bytes | None = None
    records: list = dataclasses.field(default_factory=list)


class Network:
    """Runs hosts in simulated time; only messages on cut links are lost.

    Attributes:
        now_s: Simulated time.
        nodes: Running hosts by name.
        disks: Data folders by host.
        cut: Pairs of host names whose messages are lost.
        answers: Responses by request number.
        stopped: Stop effects by host.
        sent: Bytes sent by host.
    """

    def __init__(self, plans):
        self.plans = {plan.host.host: plan for plan in plans}
        self.now_s = 100.0
        self.nodes = {}
        self.disks = {}
        self.cut = set()
        self.answers = {}
        self.stopped = {}
        self.sent = dict.fromkeys(self.plans, 0)
        self._queue = []
        self._order = itertools.count()
        self._requests = itertools.count(1)
        self._timers = {}
        self._start_numbers = itertools.count(1)
        self._start_number = {}

    def start(self, host):
        """Starts a host from its disk."""
        plan = self.plans[host]
        if assembly.Role.CONTROL in plan.roles:
            disk = self.disks.setdefault(
                host, Disk(f"{host}-{next(self._start_numbers)}")
            )
            plan = dataclasses.replace(
                plan,
                disk=disks.DiskContents(
                    disk.incarnation, disk.snapshot, tuple(disk.records)
                ),
            )
        self._start_number[host] = next(self._start_numbers)
        self.nodes[host] = assembly.assemble(plan)
        self.handle(host, events.Started(self.now_s, int(self.now_s * 1000)))

    def kill(self, host, *, lose_disk=False):
        """Ends a host abruptly."""
        del self.nodes[host]
        if lose_disk:
            del self.disks[host]

    def isolate(self, host):
        """Cuts a host off from all others."""
        for other in self.plans:
            self.cut |= {(host, other), (other, host)}

    def ask(self, host, request):
        """Sends a request and returns its number."""
        number = next(self._requests)
        self.handle(host, events.RequestArrived(self.now_s, number, request))
        return number

    def answer(self, host, request, timeout_s=10.0):
        """Sends a request and returns the response."""
        number = self.ask(host, request)
        self.run_until(lambda: number in self.answers, timeout_s)
        return self.answers[number]

    def run_until(self, condition, timeout_s):
        """Runs until the condition holds.

        Raises:
            AssertionError: It does not hold within the timeout.
        """
        end_s = self.now_s + timeout_s
        while not condition():
            if not self._queue or self._queue[0][0] > end_s:
                raise AssertionError(f"not within {timeout_s} s")
            self._step()

    def run(self, duration_s):
        """Runs for a duration in seconds."""
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            self._step()
        self.now_s = end_s

    def handle(self, host, event):
        """Applies an event to a host and carries out its effects."""
        node = self.nodes.get(host)
        if node is None:
            return
        for effect in reducer.reduce(node, event):
            self._carry_out(host, node, effect)

    def _step(self):
        at_s, _, host, start_number, make = heapq.heappop(self._queue)
        self.now_s = max(self.now_s, at_s)
        event = make(self.now_s)
        if event is not None and start_number in (
            None,
            self._start_number.get(host),
        ):
            self.handle(host, event)

    def _schedule(self, delay_s, host, make, start_number=None):
        entry = (
            self.now_s + delay_s,
            next(self._order),
            host,
            start_number,
            make,
        )
        heapq.heappush(self._queue, entry)

    def _carry_out(self, host, node, effect):
        start_number = self._start_number[host]
        match effect:
            case effects.SendMessage(receiver, message):
                self._send(host, node, receiver, message)
            case effects.StartTimer(timer, delay_s):
                started = next(self._order)
                self._timers[host, timer] = started
                self._schedule(
                    delay_s,
                    host,
                    lambda now_s: (
                        events.TimerFired(now_s, timer)
                        if self._timers[host, timer] == started
                        else None
                    ),
                    start_number,
                )
            case effects.Respond(number, response):
                self.answers[number] = response
            case effects.Persist(sequence, records):
                self.disks[host].records.extend(records)
                self._complete(host, start_number, sequence)
            case effects.SaveSnapshot(sequence, data, records):
                self.disks[host].snapshot = data
                self.disks[host].records = list(records)
                self._complete(host, start_number, sequence)
            case effects.Stop():
                self.stopped[host] = effect

    def _complete(self, host, start_number, sequence):
        self._schedule(
            SYNC_S,
            host,
            lambda now_s: events.WriteCompleted(now_s, sequence),
            start_number,
        )

    def _send(self, host, node, receiver, message):
        envelope = messages.Envelope(
            node.context.host, timeline.Stamp(0, 0), (message,)
        )
        data = messages.encode(envelope)
        self.sent[host] += len(data)
        if (host, receiver.host) in self.cut:
            return
        decoded = messages.decode(data)
        self._schedule(
            LATENCY_S,
            receiver.host,
            lambda now_s: events.MessageArrived(
                now_s, decoded.sender, decoded.messages[0]
            ),
        )
