"""Settings of the gateway."""

import msgspec

from tamarack_core import peers
from tamarack_lab.target import settings as target_settings


class LoopbackPort(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A loopback port whose connections are carried to a service.

    Attributes:
        listen: Endpoint of ordinary TCP; port 0 takes a free port.
        address: Service address.
        port: Service port.
    """

    listen: peers.Endpoint
    address: str
    port: int


class CallerSideSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """The side of the callers.

    Attributes:
        listen: Endpoint of Geneve over UDP; port 0 takes a free port.
        address: IP address of the caller that the gateway stands for.
        doors: Ports to accept connections at.
    """

    listen: peers.Endpoint
    address: str
    doors: tuple[LoopbackPort, ...]


class RealServer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An ordinary server behind a port of the targets.

    Attributes:
        port: Port of the targets.
        connect: Endpoint of the server.
    """

    port: int
    connect: peers.Endpoint


class TargetSideSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """The side of the targets.

    Attributes:
        listen: Endpoint of Geneve over UDP; port 0 takes a free port.
        targets: Targets that the gateway stands for.
        servers: Servers behind the ports of each target.
        entries: HTTP endpoints of entry hosts to announce to, by failure
            domain.
        lease_s: Lease that is asked for, in seconds.
    """

    listen: peers.Endpoint
    targets: tuple[target_settings.TargetSpec, ...]
    servers: tuple[RealServer, ...]
    entries: dict[str, tuple[peers.Endpoint, ...]] = {}
    lease_s: float = 10.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the gateway; it may have one side or both.

    Attributes:
        fabric: Endpoint of the fabric.
        near: The side of the callers; None for none.
        far: The side of the targets; None for none.
        mss: Longest TCP payload of a packet in bytes.
        seed: Seed of the initial sequence numbers.
    """

    fabric: peers.Endpoint
    near: CallerSideSettings | None = None
    far: TargetSideSettings | None = None
    mss: int = 1400
    seed: int = 0
