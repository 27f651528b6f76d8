"""Costs of a relay with different numbers of children."""

import functools
import time

from tamarack_core import assembly
from tamarack_core import configuration
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import messages
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import timeline
from tamarack_core.messages import distribution
from tamarack_lab.capacity import slopes
from tamarack_lab.capacity.probes import configurations
from tamarack_lab.capacity.probes import measurement

CHILDREN = (50, 125, 250)
SERVICES = 16_000
DURATION_S = 30
CHANGE_INTERVAL_S = 1.25
CHANGES = 22
# A host offers its version every 2 s, alternately to its upstream source and
# to a neighbor, so a relay gets an offer from each child every 4 s.
OFFER_INTERVAL_S = 4.0
DATAGRAM_HEADER_BYTES = 28
WALL_MS = 1_800_000_000_000
SEED = 1


class Relay:
    """Relay whose children fetch versions that may change meanwhile.

    Attributes:
        node: State of the relay.
        versions: Version that each child holds, by host name.
        sent_bytes: Bytes sent, including headers.
        received_bytes: Bytes received, including headers.
        processor_s: Processor time in seconds.
    """

    __slots__ = (
        "node",
        "processor_s",
        "received_bytes",
        "sent_bytes",
        "versions",
    )

    def __init__(self, children: int) -> None:
        """Initializes the relay with a configuration.

        Args:
            children: Number of hosts that fetch from the relay.
        """
        plan = assembly.Plan(
            _peer("relay", 0), frozenset((assembly.Role.RELAY,)), SEED
        )
        self.node = assembly.assemble(plan)
        self.versions = {_name(number): 1 for number in range(children)}
        self.sent_bytes = 0
        self.received_bytes = 0
        self.processor_s = 0.0
        reducer.reduce(self.node, events.Started(0.0, WALL_MS))
        document = configurations.configuration_of(SERVICES)
        self._deliver(0.0, _peer("voter", 1), distribution.Snapshot(document))
        self.sent_bytes = 0
        self.received_bytes = 0
        self.processor_s = 0.0

    def traffic_bytes(self) -> int:
        """Returns the bytes sent and received."""
        return self.sent_bytes + self.received_bytes

    def run(self, changes: bool) -> None:
        """Delivers version offers of the children for `DURATION_S`.

        Args:
            changes: Whether the version changes `CHANGES` times meanwhile.
        """
        schedule: list[tuple[float, int]] = [
            (CHANGE_INTERVAL_S * number, -1)
            for number in range(1, CHANGES + 1)
            if changes
        ]
        count = len(self.versions)
        schedule += [
            (OFFER_INTERVAL_S * (round_number + child / count), child)
            for round_number in range(int(DURATION_S / OFFER_INTERVAL_S))
            for child in range(count)
        ]
        version = 1
        for now_s, child in sorted(schedule):
            if child < 0:
                self._deliver_change(now_s, version)
                version += 1
            else:
                self._deliver_version_offer(now_s, child)

    def _deliver_change(self, now_s: float, version: int) -> None:
        """Delivers the next version from upstream."""
        changes: dict[str, configuration.Service | None] = {
            f"service-{version:05}": configurations.service(version, cost=2.0)
        }
        delta = distribution.Delta(version, version + 1, changes)
        self._deliver(now_s, _peer("voter", 1), delta)

    def _deliver_version_offer(self, now_s: float, child: int) -> None:
        """Delivers a child's version offer, which requests newer versions."""
        name = _name(child)
        offer = distribution.VersionOffer(self.versions[name], WALL_MS, True)
        self._deliver(now_s, _peer(name, child), offer)

    def _deliver(
        self, now_s: float, sender: peers.Peer, message: messages.Message
    ) -> None:
        """Delivers a message to the relay and counts its costs."""
        self.received_bytes += _size(sender, message)
        start_s = time.process_time()
        result = reducer.reduce(
            self.node, events.MessageArrived(now_s, sender, message)
        )
        self.processor_s += time.process_time() - start_s
        for effect in result:
            if isinstance(effect, effects.SendMessage):
                self._count_sent(effect)

    def _count_sent(self, effect: effects.SendMessage) -> None:
        """Counts a message from the relay and updates the child's version."""
        relay = self.node.context.host
        self.sent_bytes += _size(relay, effect.message)
        if isinstance(effect.message, distribution.Delta):
            self.versions[effect.peer.host] = effect.message.version


def probe() -> list[slopes.Slope]:
    """Returns the slopes that this module measures."""
    idle = {count: _run(count, changes=False) for count in CHILDREN}
    changing = {count: _run(count, changes=True) for count in CHILDREN}
    idle_traffic = [
        slopes.Point(count, relay.traffic_bytes() / DURATION_S)
        for count, relay in idle.items()
    ]
    change_traffic = [
        slopes.Point(
            count,
            (relay.traffic_bytes() - idle[count].traffic_bytes()) / CHANGES,
        )
        for count, relay in changing.items()
    ]
    change_time = [
        slopes.Point(
            count,
            (relay.processor_s - idle[count].processor_s)
            * measurement.US_PER_S
            / CHANGES,
        )
        for count, relay in changing.items()
    ]
    counted = slopes.Source.COUNTED
    time_fit = measurement.Series(
        "relay_child_us",
        "us/change/child",
        slopes.Source.MEASURED,
        tuple(change_time),
    ).fit()
    return [
        measurement.Series(
            "relay_child_bytes_per_s",
            "bytes/s/child",
            counted,
            tuple(idle_traffic),
        ).fit(),
        measurement.Series(
            "relay_change_bytes",
            "bytes/change/child",
            counted,
            tuple(change_traffic),
        ).fit(),
        time_fit,
        slopes.Slope(
            name="relay_change_us",
            value=time_fit.intercept,
            unit="us/change",
            source=slopes.Source.MEASURED,
            sizes=CHILDREN,
            command=measurement.COMMAND,
            date=measurement.today(),
        ),
    ]


def _run(children: int, changes: bool) -> Relay:
    """Returns a relay after a run with or without version changes."""
    relay = Relay(children)
    relay.run(changes)
    return relay


def _size(sender: peers.Peer, message: messages.Message) -> int:
    """Returns the size of a message on the wire in bytes."""
    envelope = messages.Envelope(sender, timeline.Stamp(WALL_MS, 0), (message,))
    return len(messages.encode(envelope)) + DATAGRAM_HEADER_BYTES


@functools.cache
def _peer(name: str, number: int) -> peers.Peer:
    """Returns the host of a name and number."""
    high, low = divmod(number, 256)
    endpoint = peers.Endpoint(f"10.255.{high}.{low}", 7000)
    return peers.Peer(name, "probe", endpoint, None)


def _name(number: int) -> str:
    """Returns the name of a child."""
    return f"entry-{number:05}"
