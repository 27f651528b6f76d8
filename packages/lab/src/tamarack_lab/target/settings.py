"""Settings of the target stand-in."""

import msgspec

from tamarack_core import configuration
from tamarack_core import peers


class Port(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A port at which targets serve a work class.

    Attributes:
        work_class: Name of the work class.
        port: Port number.
        protocol: TCP, or UDP with one request in each datagram.
        cost: Work units that one request takes.
    """

    work_class: str
    port: int
    protocol: configuration.Protocol = configuration.Protocol.TCP
    cost: float = 1.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the targets of one service have in common.

    Attributes:
        ports: Ports that are served.
        slots: Work units that a target runs at once.
        connections: Connections that a target holds; it refuses more.
        unit_s: Seconds that one slot needs for one work unit.
    """

    ports: tuple[Port, ...]
    slots: int = 2
    connections: int = 2000
    unit_s: float = 0.02


class TargetSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One target.

    Attributes:
        service: Service that it belongs to.
        address: IP address.
        domain: Failure domain.
    """

    service: str
    address: str
    domain: str


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one process with one or several targets.

    Attributes:
        listen: Endpoint of Geneve over UDP; port 0 takes a free port.
        fabric: Endpoint of the fabric.
        http: Endpoint of health, load and faults; None for none.
        services: Services by name.
        targets: The targets.
        entries: HTTP endpoints of entry hosts to announce to, by failure
            domain.
        lease_s: Lease that is asked for, in seconds.
        drain_s: Longest duration of a graceful stop in seconds.
        mss: Longest TCP payload of a packet in bytes.
        seed: Seed of the initial sequence numbers.
    """

    listen: peers.Endpoint
    fabric: peers.Endpoint
    services: dict[str, Service]
    targets: tuple[TargetSpec, ...]
    http: peers.Endpoint | None = None
    entries: dict[str, tuple[peers.Endpoint, ...]] = {}
    lease_s: float = 10.0
    drain_s: float = 30.0
    mss: int = 1400
    seed: int = 0
