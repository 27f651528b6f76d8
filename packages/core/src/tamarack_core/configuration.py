"""The versioned configuration that operators patch.

The document is JSON: `{"services": {NAME: SERVICE}, "evacuated_domains":
[DOMAIN]}`. Fields without a default are required; unknown fields are rejected.
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
    """Relative weights of a service's goals; none is negative.

    Attributes:
        broken_flows: Weight of avoiding broken connections.
        imbalance: Weight of avoiding uneven load on targets.
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
        weights: Relative weights of the service's goals.
        opening_hosts: Number of hosts in a failure domain that choose targets
            for new connections, at least 1. With fewer hosts, each knows the
            load of the targets better; with more, each handles fewer opening
            packets.
        failure_domains: Failure domains that divide the limits of the
            classes; empty for one failure domain.
    """

    addresses: tuple[str, ...]
    classes: dict[str, WorkClass]
    target_networks: tuple[str, ...]
    weights: Weights = Weights()
    opening_hosts: int = 2
    failure_domains: tuple[str, ...] = ()


def _no_services() -> dict[str, Service]:
    """Returns an empty mapping.

    Unlike with `dict` as the factory, an empty mapping is still encoded:
    clients read the field.
    """
    return {}


class Configuration(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """The whole configuration document.

    A document without evacuations is encoded as before the field existed, since
    hosts of earlier releases reject unknown fields.

    Attributes:
        services: Services by name.
        evacuated_domains: Failure domains whose targets get no new
            connections. The names come from the settings of hosts and from
            announcements, so any well-formed name is valid.
    """

    services: dict[str, Service] = msgspec.field(default_factory=_no_services)
    evacuated_domains: tuple[str, ...] = ()


class VersionedConfiguration(msgspec.Struct, frozen=True):
    """A configuration with its version.

    Attributes:
        version: Number that only increases; 0 is the empty configuration.
        configuration: The document.
    """

    version: int
    configuration: Configuration


def parse_target_networks(
    service: Service,
) -> list[ipaddress.IPv4Network | ipaddress.IPv6Network]:
    """Returns the parsed target networks of a service."""
    return [ipaddress.ip_network(text) for text in service.target_networks]
