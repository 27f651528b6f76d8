"""Settings of the gateway."""

import msgspec

from tamarack_core import peers
from tamarack_lab.target import settings as target_settings


class LoopbackPort(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A loopback port whose connections are forwarded to a service.

    Attributes:
        listen: TCP endpoint to accept connections at; port 0 selects a free
            port.
        address: Service address.
        port: Service port.
    """

    listen: peers.Endpoint
    address: str
    port: int


class CallerSideSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Settings of the caller side.

    Attributes:
        listen: UDP endpoint for Geneve packets; port 0 selects a free port.
        address: IP address of the caller that the gateway represents.
        doors: Loopback ports to accept connections at.
    """

    listen: peers.Endpoint
    address: str
    doors: tuple[LoopbackPort, ...]


class RealServer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A real server behind a port of the targets.

    Attributes:
        port: Port of the targets.
        connect: Endpoint of the server.
    """

    port: int
    connect: peers.Endpoint


class TargetSideSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Settings of the target side.

    Attributes:
        listen: UDP endpoint for Geneve packets; port 0 selects a free port.
        targets: Targets that the gateway represents.
        servers: Servers behind the ports of each target.
        entries: HTTP endpoints of the entry hosts that the targets are
            announced to, by failure domain.
        lease_s: Requested duration of a lease in seconds.
    """

    listen: peers.Endpoint
    targets: tuple[target_settings.TargetSpec, ...]
    servers: tuple[RealServer, ...]
    entries: dict[str, tuple[peers.Endpoint, ...]] = {}
    lease_s: float = 10.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the gateway, which may have one side or both.

    Attributes:
        fabric: Endpoint of the fabric.
        near: Caller side; None to disable it.
        far: Target side; None to disable it.
        mss: Maximum TCP payload of a packet in bytes.
        seed: Seed of the initial sequence numbers.
    """

    fabric: peers.Endpoint
    near: CallerSideSettings | None = None
    far: TargetSideSettings | None = None
    mss: int = 1400
    seed: int = 0
