"""Limits that the configuration states, and this domain's part of each."""

from collections.abc import Iterator

from tamarack_core import configuration
from tamarack_core.internal.entry import lookup

_CONCURRENT = "concurrent"


def is_whole(key: str) -> bool:
    """Returns whether only whole units of a limit count."""
    return key.endswith(_CONCURRENT)


def concurrent_key(port: lookup.ServicePort) -> str:
    """Returns the key of the limit on open connections of a class."""
    return f"{port.service}/{port.work_class}/{_CONCURRENT}"


def rate_key(port: lookup.ServicePort) -> str:
    """Returns the key of the limit on new connections of a class."""
    return f"{port.service}/{port.work_class}/rate"


def service_of(key: str) -> str:
    """Returns the name of the service that a limit belongs to."""
    return key.rsplit("/", 2)[0]


def totals(
    document: configuration.Configuration, domain: str
) -> dict[str, float]:
    """Returns this failure domain's part of each limit, by key.

    A limit is divided evenly over the failure domains; connections that do
    not divide go to the first domains in the order of their names.

    Args:
        document: Configuration in force.
        domain: Name of the failure domain.
    """
    return {
        key: _part(key, limit, service, domain)
        for key, limit, service in _limits(document)
    }


def _part(
    key: str, limit: float, service: configuration.Service, domain: str
) -> float:
    """Returns one part of a limit; whole connections stay whole."""
    domains = sorted(service.failure_domains) or [domain]
    if domain not in domains:
        return 0.0
    if not is_whole(key):
        return limit / len(domains)
    each, rest = divmod(int(limit), len(domains))
    return float(each + (1 if domains.index(domain) < rest else 0))


def _limits(
    document: configuration.Configuration,
) -> Iterator[tuple[str, float, configuration.Service]]:
    """Yields key, amount and service of each limit."""
    for name, service in document.services.items():
        for class_name, work_class in service.classes.items():
            prefix = f"{name}/{class_name}"
            if work_class.max_concurrent:
                key = f"{prefix}/{_CONCURRENT}"
                yield key, float(work_class.max_concurrent), service
            if work_class.max_opening_rate:
                yield f"{prefix}/rate", work_class.max_opening_rate, service
