"""The numbered configuration that operators patch.

The document is JSON: `{"services": {NAME: SERVICE}}`. Every field has a
default or is required; unknown fields are refused.
"""

import enum
import ipaddress

import msgspec


class Protocol(enum.StrEnum):
    """Transport protocol of a port."""

    TCP = "tcp"
    UDP = "udp"


class Lifetime(enum.StrEnum):
    """How long connections of a work class last."""

    BOUNDED = "bounded"
    LONG_LIVED = "long-lived"


class WorkClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One port of a service and the work that its connections cause.

    Attributes:
        port: Port of the service address, 1 to 65535.
        target_port: Port at each target.
        protocol: Transport protocol.
        lifetime: Bounded or long-lived.
        cost: Work units that one connection occupies at a target.
        idempotent: Whether a request may run more than once.
        deadline_s: Longest duration of a bounded connection in seconds.
        max_concurrent: Limit on open connections over all hosts; 0 is none.
        max_opening_rate: Limit on new connections a second over all hosts;
            0 is none.
    """

    port: int
    target_port: int
    protocol: Protocol = Protocol.TCP
    lifetime: Lifetime = Lifetime.BOUNDED
    cost: float = 1.0
    idempotent: bool = True
    deadline_s: float = 60.0
    max_concurrent: int = 0
    max_opening_rate: float = 0.0


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a service values; each is a non-negative factor.

    Attributes:
        broken_flows: Weight of broken connections.
        imbalance: Weight of uneven load.
    """

    broken_flows: float = 1.0
    imbalance: float = 1.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service: addresses, work classes and the networks of its targets.

    Attributes:
        addresses: Service addresses, at most one for each IP version.
        classes: Work classes by name.
        target_networks: Networks in CIDR form that hold the targets of this
            service and of no other.
        weights: What the service values.
        opening_hosts: Hosts of a failure domain that choose the targets of
            new connections, at least 1; fewer know the load better, more
            share the opening packets.
        failure_domains: Failure domains that divide the limits of the
            classes; empty for one failure domain.
    """

    addresses: tuple[str, ...]
    classes: dict[str, WorkClass]
    target_networks: tuple[str, ...]
    weights: Weights = Weights()
    opening_hosts: int = 2
    failure_domains: tuple[str, ...] = ()


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole document.

    Attributes:
        services: Services by name.
    """

    services: dict[str, Service] = {}


class VersionedConfiguration(msgspec.Struct, frozen=True):
    """A configuration with its version.

    Attributes:
        version: Number that only rises; 0 is the empty configuration.
        configuration: The document.
    """

    version: int
    configuration: Configuration


def parse_target_networks(
    service: Service,
) -> list[ipaddress.IPv4Network | ipaddress.IPv6Network]:
    """Returns the parsed target networks of a service."""
    return [ipaddress.ip_network(text) for text in service.target_networks]
