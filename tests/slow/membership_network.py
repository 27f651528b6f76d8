"""A simulated network between hosts that run the membership protocol."""

import heapq
import itertools
import random

from tamarack_core import effects
from tamarack_core import messages
from tamarack_core import peers
from tamarack_core import timeline
from tamarack_core.internal.membership import swim_protocol
from tamarack_core.messages import membership

START_MS = 1_700_000_000_000


def make_peer(number):
    """Returns the peer with a number."""
    address = f"10.0.{number // 250}.{number % 250 + 1}"
    return peers.Peer(
        f"host-{number:04}",
        "stgo-a",
        peers.Endpoint(address, 7400),
        peers.Endpoint(address, 6081),
    )


class Network:
    """Hosts on a seeded network that loses and delays messages."""

    def __init__(self, count, seed, loss=0.0, delay_s=0.003):
        self.random = random.Random(seed)
        self.loss = loss
        self.delay_s = delay_s
        self.extra_delay_s = {}
        self.cuts = set()
        self.now_s = 0.0
        self.sent_bytes = 0
        self.queue = []
        self.numbers = itertools.count()
        self.detectors = {}
        self.timers = {}
        self.peers = [make_peer(number) for number in range(count)]
        for peer in self.peers:
            self.start(peer)

    def start(self, peer):
        """Starts a host that knows the first three as seeds."""
        node = swim_protocol.SwimProtocol(
            peer,
            tuple(self.peers[:3]),
            random.Random(self.random.random()),
        )
        self.detectors[peer.host] = node
        wall_ms = START_MS + int(self.now_s * 1000)
        self.carry_out(peer, node.start(self.now_s, wall_ms))

    def kill(self, peer):
        """Ends a host without a graceful leave."""
        del self.detectors[peer.host]

    def cut(self, source, destination):
        """Drops all messages of one direction."""
        self.cuts.add((source.host, destination.host))

    def carry_out(self, peer, result):
        """Queues the effects of a host."""
        for effect in result:
            number = next(self.numbers)
            if isinstance(effect, effects.StartTimer):
                self.timers[peer.host, effect.timer] = number
                at_s = self.now_s + effect.delay_s
                heapq.heappush(self.queue, (at_s, number, peer, effect))
            elif isinstance(effect, effects.SendMessage):
                self.send(peer, effect, number)

    def send(self, peer, effect, number):
        """Counts a message and queues it unless it is lost."""
        envelope = messages.Envelope(
            peer, timeline.Stamp(START_MS, 0), (effect.message,)
        )
        data = messages.encode(envelope)
        self.sent_bytes += len(data)
        pair = (peer.host, effect.peer.host)
        if pair in self.cuts or self.random.random() < self.loss:
            return
        at_s = self.now_s + self.delay_s * (0.5 + self.random.random())
        at_s += self.extra_delay_s.get(peer.host, 0.0)
        at_s += self.extra_delay_s.get(effect.peer.host, 0.0)
        arrival = effects.SendMessage(effect.peer, messages.decode(data))
        heapq.heappush(self.queue, (at_s, number, effect.peer, arrival))

    def run(self, duration_s):
        """Processes all events of a duration."""
        end_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= end_s:
            self.now_s, number, peer, item = heapq.heappop(self.queue)
            node = self.detectors.get(peer.host)
            if node is None:
                continue
            if isinstance(item, effects.StartTimer):
                if self.timers.get((peer.host, item.timer)) == number:
                    result = node.handle_timer(self.now_s, item.timer)
                    self.carry_out(peer, result)
                continue
            envelope = item.message
            for message in envelope.messages:
                self.carry_out(
                    peer,
                    node.handle_message(self.now_s, envelope.sender, message),
                )
        self.now_s = end_s

    def states(self, subject):
        """Returns the states of a host in the views of the others."""
        return {
            node.view.members[subject.host].state
            for host, node in self.detectors.items()
            if host != subject.host and subject.host in node.view.members
        }

    def is_settled(self):
        """Returns whether all views contain exactly the running hosts."""
        running = set(self.detectors)
        return all(
            {peer.host for peer in node.view.owning()} == running
            for node in self.detectors.values()
        )


GONE = frozenset((membership.State.DEAD, membership.State.LEFT))
