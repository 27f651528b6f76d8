"""Costs of an entry host in failure domains of several sizes."""

import collections
import functools
import time

from tamarack_core import assembly
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import messages
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core import timeline
from tamarack_core.internal.flows import table as flow_table
from tamarack_core.internal.targets import lease_table
from tamarack_core.messages import distribution
from tamarack_core.messages import membership
from tamarack_lab.capacity import slopes
from tamarack_lab.capacity.probes import configurations
from tamarack_lab.capacity.probes import measurement
from tamarack_lab.experiments import event_queue
from tamarack_lab.experiments import simulated_network as network_lib

# Larger domains take too long on one machine: when all hosts start at once, the
# number of member pages that they fetch grows with the square of the number of
# hosts.
HOSTS = (50, 100, 200)
FLOWS = (20_000, 80_000, 300_000)
TARGETS = (500, 2_000, 6_800)
SEED_PEERS = 3
SETTLE_S = 60.0
IDLE_S = 20.0
RENEWALS = 500
DATAGRAM_HEADER_BYTES = 28
SEED = 1
# A counter of 0 is representative: within an hour of a start the counter of the
# clock has few digits.
_STAMP = timeline.Stamp(network_lib.WALL_MS, 0)


class CountingNetwork(network_lib.SimulatedNetwork):
    """Network that counts the bytes sent by kind of message.

    Attributes:
        sent: Bytes including headers, by module of the message type.
    """

    __slots__ = ("sent",)

    def __init__(self, queue: event_queue.EventQueue, seed: int) -> None:
        """Initializes a network without hosts.

        Args:
            queue: Queue of timed actions.
            seed: Seed of the random generator.
        """
        super().__init__(queue, seed)
        self.sent: collections.Counter[str] = collections.Counter()

    def send(
        self,
        sender: network_lib.SimulatedHost,
        receiver: peers.Peer,
        message: messages.Message,
    ) -> None:
        """Counts a message and sends it."""
        envelope = messages.Envelope(sender.peer, _STAMP, (message,))
        size = len(messages.encode(envelope)) + DATAGRAM_HEADER_BYTES
        self.sent[type(message).__module__] += size
        super().send(sender, receiver, message)


class Domain:
    """Failure domain without callers.

    Attributes:
        count: Number of hosts.
        queue: Queue of timed actions.
        network: Hosts and their links.
        processor_s: Processor time of the last idle run in seconds.
    """

    __slots__ = ("count", "network", "processor_s", "queue")

    def __init__(self, count: int) -> None:
        """Starts the hosts and runs them until they know each other.

        Args:
            count: Number of hosts.
        """
        self.count = count
        self.queue = event_queue.EventQueue()
        self.network = CountingNetwork(self.queue, SEED)
        self.processor_s = 0.0
        known = [make_peer(number) for number in range(count)]
        for number in range(count):
            seeds = tuple(
                peer for peer in known[:SEED_PEERS] if peer != known[number]
            )
            plan = assembly.Plan(
                host=known[number],
                roles=frozenset((assembly.Role.ENTRY,)),
                seed=number,
                entry_peers=seeds,
                sources=seeds,
            )
            self.network.add(assembly.assemble(plan)).start()
        self.queue.run_until(SETTLE_S)

    def run_idle(self) -> None:
        """Runs the idle domain for `IDLE_S` and records its costs."""
        self.network.sent.clear()
        start_s = time.process_time()
        self.queue.run_until(self.queue.now_s + IDLE_S)
        self.processor_s = time.process_time() - start_s

    def bytes_per_s(self, module: str) -> float:
        """Returns the bytes per host and second, sent and received.

        Args:
            module: Module of the message types to count.
        """
        # Each byte that one host sends is received by another.
        return 2 * self.network.sent[module] / IDLE_S / self.count


def make_peer(number: int) -> peers.Peer:
    """Returns the entry host of a number, which must be below 65,536."""
    high, low = divmod(number, 256)
    address = f"10.255.{high}.{low}"
    return peers.Peer(
        f"entry-{number:05}",
        "probe",
        peers.Endpoint(address, 7000),
        peers.Endpoint(address, 6081),
    )


def probe() -> list[slopes.Slope]:
    """Returns the slopes that this module measures."""
    measured = slopes.Source.MEASURED
    return [
        *_idle_slopes(),
        measurement.series(
            "flow_bytes", "bytes/flow", measured, FLOWS, _flow_bytes
        ).fit(),
        measurement.series(
            "target_bytes", "bytes/target", measured, TARGETS, _target_bytes
        ).fit(),
        measurement.series(
            "renewal_us", "us/renewal", measured, TARGETS, _renewal_us
        ).constant(),
    ]


def _idle_slopes() -> list[slopes.Slope]:
    """Returns the costs of an idle host in domains of several sizes."""
    modules = {
        "membership_bytes_per_s": membership.__name__,
        "offer_bytes_per_s": distribution.__name__,
    }
    points_by_name: dict[str, list[slopes.Point]] = {
        name: [] for name in modules
    }
    processor_points = []
    for count in HOSTS:
        domain = Domain(count)
        domain.run_idle()
        for name, module in modules.items():
            point = slopes.Point(count, domain.bytes_per_s(module))
            points_by_name[name].append(point)
        us_per_s = domain.processor_s * measurement.US_PER_S / IDLE_S / count
        processor_points.append(slopes.Point(count, us_per_s))
    counted = slopes.Source.COUNTED
    return [
        *(
            measurement.Series(
                name, "bytes/s", counted, tuple(points)
            ).constant()
            for name, points in points_by_name.items()
        ),
        *_processor_slopes(tuple(processor_points)),
    ]


def _processor_slopes(points: tuple[slopes.Point, ...]) -> list[slopes.Slope]:
    """Returns an idle host's processor time, fixed and per member."""
    by_member = measurement.Series(
        "member_us_per_s", "us/s/member", slopes.Source.MEASURED, points
    ).fit()
    fixed = slopes.Slope(
        name="membership_us_per_s",
        value=by_member.intercept,
        unit="us/s",
        source=slopes.Source.MEASURED,
        sizes=by_member.sizes,
        command=measurement.COMMAND,
        date=measurement.today(),
    )
    return [fixed, by_member]


def _flow_bytes(count: int) -> float:
    """Returns the memory of a flow table with the given number of flows."""

    def build() -> flow_table.FlowTable:
        """Returns a filled flow table."""
        table = flow_table.FlowTable()
        suffix = b"\x0a\x09\x00\x01\x00\x50\x06"
        for number in range(count):
            key = number.to_bytes(6, "big") + suffix
            table.put(key, b"\x0a\x01\x00\x01", 1.0)
        return table

    return measurement.memory_bytes(build)


def _announcement(number: int) -> requests.Announce:
    """Returns the announcement of a target of a probe service.

    The addresses are in the networks of `configurations.service`.
    """
    service, low = divmod(number, 8)
    second, rest = divmod(service, 16 * 256)
    third, block = divmod(rest, 16)
    return requests.Announce(
        f"service-{service:05}",
        f"172.{16 + second}.{third}.{block * 16 + low + 1}",
        "probe",
        slots=2,
        lease_s=60.0,
    )


def _target_bytes(count: int) -> float:
    """Returns the memory of a lease table with the given number of targets."""

    def build() -> lease_table.TargetLeaseTable:
        """Returns a filled lease table."""
        table = lease_table.TargetLeaseTable()
        for number in range(count):
            table.put(
                lease_table.TargetLease(
                    _announcement(number), 1, "entry-00000", 60.0
                )
            )
        return table

    return measurement.memory_bytes(build)


def _aggregator(count: int) -> reducer.Node:
    """Returns a lone entry host at which that many targets renew leases."""
    plan = assembly.Plan(
        make_peer(0), frozenset((assembly.Role.ENTRY,)), seed=SEED
    )
    node = assembly.assemble(plan)
    reducer.reduce(node, events.Started(0.0, network_lib.WALL_MS))
    document = configurations.configuration_of(count // 8 + 1)
    message = distribution.Snapshot(document)
    reducer.reduce(node, events.MessageArrived(0.0, make_peer(1), message))
    for number in range(count):
        _renew(node, 10.0, number)
    return node


def _renew(node: reducer.Node, now_s: float, number: int) -> None:
    """Announces a target, which renews its lease if it is known.

    Raises:
        AssertionError: The host refuses the announcement.
    """
    request = _announcement(number)
    result = reducer.reduce(node, events.RequestArrived(now_s, number, request))
    responses = [
        effect.response
        for effect in result
        if isinstance(effect, effects.Respond)
    ]
    if not isinstance(responses[0], requests.Announced):
        raise AssertionError(f"{request.address}: {responses[0]}")


def _renewal_us(count: int) -> float:
    """Returns the processor time of one renewal in the core in us."""

    def renew(node: reducer.Node) -> None:
        """Renews leases one at a time."""
        for number in range(RENEWALS):
            _renew(node, 11.0, number)

    prepare = functools.partial(_aggregator, count)
    return measurement.processor_us(prepare, renew) / RENEWALS
