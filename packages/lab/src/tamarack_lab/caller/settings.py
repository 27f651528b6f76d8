"""Settings of the caller stand-in."""

import msgspec

from tamarack_core import configuration
from tamarack_core import peers


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load that callers put on one work class.

    Attributes:
        service: Service expected to answer.
        work_class: Work class expected to answer.
        address: Service address.
        port: Service port.
        protocol: TCP, or UDP with one request per datagram.
        lifetime: Bounded connections carry one request each. Long-lived ones
            carry requests until the end of the run.
        rate: Mean number of new connections per second.
        most: Maximum number of unfinished connections; 0 for no limit.
        request_interval_s: Seconds from an answer to the next request of a
            long-lived connection.
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
    """Settings of a process that runs one or several callers.

    Attributes:
        listen: UDP endpoint for Geneve packets; port 0 selects a free port.
        fabric: Endpoint of the fabric.
        addresses: IP addresses of the callers.
        loads: Loads to generate.
        http: Endpoint of the HTTP interface, which shows the report; None to
            disable it.
        duration_s: Seconds during which connections are opened.
        grace_s: Seconds that open connections then have to finish.
        mss: Maximum TCP payload of a packet in bytes.
        seed: Seed of all random decisions.
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
