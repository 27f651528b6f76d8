"""Checks of the addresses and target networks of one service."""

from collections.abc import Iterator
import ipaddress

from tamarack_core import configuration
from tamarack_core import failure

Address = ipaddress.IPv4Address | ipaddress.IPv6Address
Network = ipaddress.IPv4Network | ipaddress.IPv6Network


def parse_address(text: str) -> Address | None:
    """Returns the address, or None if the text is not its canonical form."""
    try:
        address = ipaddress.ip_address(text)
    except ValueError:
        return None
    return address if str(address) == text else None


def parse_network(text: str) -> Network | None:
    """Returns the network, or None if the text is not its canonical form."""
    try:
        network = ipaddress.ip_network(text)
    except ValueError:
        return None
    return network if str(network) == text else None


def service_errors(
    service: configuration.Service, prefix: str
) -> Iterator[failure.Failure]:
    """Yields the errors in the addresses and networks of one service.

    Args:
        service: The service.
        prefix: JSON pointer of the service.
    """
    yield from _address_errors(service, prefix)
    yield from _network_errors(service, prefix)


def _address_errors(
    service: configuration.Service, prefix: str
) -> Iterator[failure.Failure]:
    """Yields errors for malformed, unusable and surplus service addresses."""
    versions: set[int] = set()
    for index, text in enumerate(service.addresses):
        path = f"{prefix}/addresses/{index}"
        address = parse_address(text)
        if address is None:
            yield failure.Failure(
                "bad-address",
                f"{text[:80]!r} is not an IP address in canonical form",
                path,
            )
            continue
        if not _is_routable(address):
            yield failure.Failure(
                "bad-address",
                f"{text} can't receive connections; give a unicast address",
                path,
            )
        if address.version in versions:
            yield failure.Failure(
                "surplus-address",
                f"{text} is a second IPv{address.version} address; give at"
                " most one for each IP version",
                path,
            )
        versions.add(address.version)


def _is_routable(address: Address) -> bool:
    """Returns whether packets to a single host can have this destination."""
    is_mapped = (
        isinstance(address, ipaddress.IPv6Address)
        and address.ipv4_mapped is not None
    )
    is_scoped = "%" in str(address)
    is_broadcast = str(address) == "255.255.255.255"
    return not (
        address.is_multicast
        or address.is_unspecified
        or is_mapped
        or is_scoped
        or is_broadcast
    )


def _network_errors(
    service: configuration.Service, prefix: str
) -> Iterator[failure.Failure]:
    """Yields errors for malformed networks and unserved IP versions."""
    served = {
        address.version
        for address in map(parse_address, service.addresses)
        if address is not None
    }
    for index, text in enumerate(service.target_networks):
        path = f"{prefix}/target_networks/{index}"
        network = parse_network(text)
        if network is None:
            yield failure.Failure(
                "bad-network",
                f"{text[:80]!r} is not a network in canonical CIDR form, such"
                " as 10.0.0.0/24 with no host bits set",
                path,
            )
        elif network.version not in served:
            yield failure.Failure(
                "unserved-network",
                f"{text} holds IPv{network.version} targets, but the service"
                f" has no IPv{network.version} address; add one",
                path,
            )
