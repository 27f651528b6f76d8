"""Settings of the target stand-in."""

import msgspec

from tamarack_core import configuration
from tamarack_core import peers


class Port(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A port at which targets serve a work class.

    Attributes:
        work_class: Name of the work class.
        port: Port number.
        protocol: TCP, or UDP with one request per datagram.
        cost: Work units of one request.
    """

    work_class: str
    port: int
    protocol: configuration.Protocol = configuration.Protocol.TCP
    cost: float = 1.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings that all targets of a service share.

    Attributes:
        ports: Ports that the targets serve.
        slots: Number of requests that a target runs concurrently.
        connections: Maximum number of open connections of a target. It
            refuses further ones.
        unit_s: Seconds that one slot needs for one work unit.
    """

    ports: tuple[Port, ...]
    slots: int = 2
    connections: int = 2000
    unit_s: float = 0.02


class TargetSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service, address and failure domain of a target.

    Attributes:
        service: Name of the service.
        address: IP address.
        domain: Failure domain.
    """

    service: str
    address: str
    domain: str


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a process that runs one or several targets.

    Attributes:
        listen: UDP endpoint for Geneve packets; port 0 selects a free port.
        fabric: Endpoint of the fabric.
        http: Endpoint of the HTTP interface, which shows health and load and
            injects faults; None to disable it.
        services: Services by name.
        targets: The targets.
        entries: HTTP endpoints of the entry hosts that the targets are
            announced to, by failure domain.
        lease_s: Requested duration of a lease in seconds.
        drain_s: Maximum duration of a graceful stop in seconds.
        mss: Maximum TCP payload of a packet in bytes.
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
