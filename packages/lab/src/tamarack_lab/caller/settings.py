"""Settings of the caller stand-in."""

import msgspec

from tamarack_core import configuration
from tamarack_core import peers


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Connections to one work class.

    Attributes:
        service: Service that must answer.
        work_class: Work class that must answer.
        address: Service address.
        port: Service port.
        protocol: TCP, or UDP with one request in each datagram.
        lifetime: Bounded connections carry one request each; long-lived ones
            carry requests until the end.
        rate: New connections a second.
        most: Most connections open at once; 0 is no bound.
        request_interval_s: Seconds between requests of a long-lived
            connection.
        answer_bytes: Length of the filling of each answer.
        answer_timeout_s: Seconds after which an answer counts as missing.
    """

    service: str
    work_class: str
    address: str
    port: int
    protocol: configuration.Protocol = configuration.Protocol.TCP
    lifetime: configuration.Lifetime = configuration.Lifetime.BOUNDED
    rate: float = 10.0
    most: int = 0
    request_interval_s: float = 1.0
    answer_bytes: int = 0
    answer_timeout_s: float = 30.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one process with one or several callers.

    Attributes:
        listen: Endpoint of Geneve over UDP; port 0 takes a free port.
        fabric: Endpoint of the fabric.
        addresses: IP addresses of the callers.
        loads: Connections to open.
        http: Endpoint of the report; None for none.
        duration_s: Seconds during which connections are opened.
        grace_s: Seconds given to bounded connections after that.
        mss: Longest TCP payload of a packet in bytes.
        seed: Seed of all chance.
    """

    listen: peers.Endpoint
    fabric: peers.Endpoint
    addresses: tuple[str, ...]
    loads: tuple[Load, ...]
    http: peers.Endpoint | None = None
    duration_s: float = 10.0
    grace_s: float = 5.0
    mss: int = 1400
    seed: int = 0
