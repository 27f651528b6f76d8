"""Cost of an entry host in failure domains of several sizes."""

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

# Larger domains take too long on one machine: when all hosts start at once,
# the pages of members that they fetch grow with the square of the number.
HOSTS = (50, 100, 200)
FLOWS = (20_000, 80_000, 300_000)
TARGETS = (500, 2_000, 6_800)
SEEDS_KNOWN = 3
SETTLE_S = 60.0
QUIET_S = 20.0
RENEWALS = 500
DATAGRAM_HEADER_BYTES = 28
SEED = 1
# Within an hour of a start the counter of the clock has few digits.
_STAMP = timeline.Stamp(network_lib.WALL_MS, 0)


class CountingNetwork(network_lib.SimulatedNetwork):
    """Network that counts the bytes of each kind of message.

    Attributes:
        sent: Bytes with headers by module of the message type.
    """

    __slots__ = ("sent",)

    def __init__(self, queue: event_queue.EventQueue, seed: int) -> None:
        """Creates a network without hosts.

        Args:
            queue: The queue of timed actions.
            seed: Seed of the generator.
        """
        super().__init__(queue, seed)
        self.sent: collections.Counter[str] = collections.Counter()

    def send(
        self,
        sender: network_lib.SimulatedHost,
        receiver: peers.Peer,
        message: messages.Message,
    ) -> None:
        """Counts a message and delivers it."""
        envelope = messages.Envelope(sender.peer, _STAMP, (message,))
        size = len(messages.encode(envelope)) + DATAGRAM_HEADER_BYTES
        self.sent[type(message).__module__] += size
        super().send(sender, receiver, message)


class Domain:
    """A failure domain without callers.

    Attributes:
        queue: The queue of timed actions.
        network: The hosts and their links.
        processor_s: Processor time of the last run in seconds.
    """

    __slots__ = ("count", "network", "processor_s", "queue")

    def __init__(self, count: int) -> None:
        """Starts the hosts of a domain and lets them find each other.

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
                peer for peer in known[:SEEDS_KNOWN] if peer != known[number]
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

    def rest(self) -> None:
        """Lets time pass and counts what it costs."""
        self.network.sent.clear()
        start_s = time.process_time()
        self.queue.run_until(self.queue.now_s + QUIET_S)
        self.processor_s = time.process_time() - start_s

    def bytes_per_s(self, module: str) -> float:
        """Returns the bytes a host and second of one kind, both ways."""
        # What one host sends another receives.
        return 2 * self.network.sent[module] / QUIET_S / self.count


def make_peer(number: int) -> peers.Peer:
    """Returns the entry host with a number below 65,536."""
    high, low = divmod(number, 256)
    address = f"10.255.{high}.{low}"
    return peers.Peer(
        f"entry-{number:05}",
        "probe",
        peers.Endpoint(address, 7000),
        peers.Endpoint(address, 6081),
    )


def probe() -> list[slopes.Slope]:
    """Returns the slopes of this module."""
    measured = slopes.Source.MEASURED
    return [
        *_quiet_slopes(),
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


def _quiet_slopes() -> list[slopes.Slope]:
    """Returns what a quiet host costs in domains of several sizes."""
    kinds = {
        "membership_bytes_per_s": membership.__name__,
        "offer_bytes_per_s": distribution.__name__,
    }
    found: dict[str, list[slopes.Point]] = {name: [] for name in kinds}
    busy = []
    for count in HOSTS:
        domain = Domain(count)
        domain.rest()
        for name, module in kinds.items():
            point = slopes.Point(count, domain.bytes_per_s(module))
            found[name].append(point)
        share_us = domain.processor_s * measurement.US_PER_S / QUIET_S / count
        busy.append(slopes.Point(count, share_us))
    counted = slopes.Source.COUNTED
    return [
        *(
            measurement.Series(
                name, "bytes/s", counted, tuple(points)
            ).constant()
            for name, points in found.items()
        ),
        *_busy_slopes(tuple(busy)),
    ]


def _busy_slopes(points: tuple[slopes.Point, ...]) -> list[slopes.Slope]:
    """Returns the processor time of a quiet host, fixed and by member."""
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
    """Returns the memory of a table with a number of flows."""

    def build() -> flow_table.FlowTable:
        """Fills a table."""
        table = flow_table.FlowTable()
        suffix = b"\x0a\x09\x00\x01\x00\x50\x06"
        for number in range(count):
            key = number.to_bytes(6, "big") + suffix
            table.put(key, b"\x0a\x01\x00\x01", 1.0)
        return table

    return measurement.memory_bytes(build)


def _announcement(number: int) -> requests.Announce:
    """Returns the announcement of a target of `configurations.service`."""
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
    """Returns the memory of a table with a number of targets."""

    def build() -> lease_table.TargetLeaseTable:
        """Fills a table."""
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
    """Returns an entry host, alone, at which a number of targets renew."""
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
    """Announces a target."""
    request = _announcement(number)
    found = reducer.reduce(node, events.RequestArrived(now_s, number, request))
    answers = [
        effect.response
        for effect in found
        if isinstance(effect, effects.Respond)
    ]
    if not isinstance(answers[0], requests.Announced):
        raise AssertionError(f"{request.address}: {answers[0]}")


def _renewal_us(count: int) -> float:
    """Returns the time of one renewal in the core."""

    def renew(node: reducer.Node) -> None:
        """Renews targets one by one."""
        for number in range(RENEWALS):
            _renew(node, 11.0, number)

    prepare = functools.partial(_aggregator, count)
    return measurement.processor_us(prepare, renew) / RENEWALS
