"""Configured limits of work classes and the quota of one failure domain."""

from collections.abc import Iterator

from tamarack_core import configuration
from tamarack_core.internal.entry import lookup

_CONCURRENT = "concurrent"


def is_whole(key: str) -> bool:
    """Returns whether a limit is counted in whole units."""
    return key.endswith(_CONCURRENT)


def concurrent_key(port: lookup.ServicePort) -> str:
    """Returns the key of the limit on open connections of a work class."""
    return f"{port.service}/{port.work_class}/{_CONCURRENT}"


def rate_key(port: lookup.ServicePort) -> str:
    """Returns the key of the limit on the opening rate of a work class."""
    return f"{port.service}/{port.work_class}/rate"


def service_of(key: str) -> str:
    """Returns the name of the service that a limit belongs to."""
    return key.rsplit("/", 2)[0]


def totals(
    config: configuration.Configuration, domain: str
) -> dict[str, float]:
    """Returns the quota of a failure domain for each limit, by key.

    A limit is divided evenly among the failure domains of its service; other
    domains get 0. If the service lists none, the domain gets all of it. The
    remainder of a limit in whole connections goes to the first domains in
    the order of their names.

    Args:
        config: Configuration in force.
        domain: Name of the failure domain.
    """
    return {
        key: _domain_quota(key, limit, service, domain)
        for key, limit, service in _configured_quotas(config)
    }


def _domain_quota(
    key: str, limit: float, service: configuration.Service, domain: str
) -> float:
    """Returns the quota of a domain; whole connections stay whole."""
    domains = sorted(service.failure_domains) or [domain]
    if domain not in domains:
        return 0.0
    if not is_whole(key):
        return limit / len(domains)
    each, rest = divmod(int(limit), len(domains))
    return float(each + (1 if domains.index(domain) < rest else 0))


def _configured_quotas(
    config: configuration.Configuration,
) -> Iterator[tuple[str, float, configuration.Service]]:
    """Yields key, amount and service of each configured limit."""
    for name, service in config.services.items():
        for class_name, work_class in service.classes.items():
            prefix = f"{name}/{class_name}"
            if work_class.max_concurrent:
                key = f"{prefix}/{_CONCURRENT}"
                yield key, float(work_class.max_concurrent), service
            if work_class.max_opening_rate:
                yield f"{prefix}/rate", work_class.max_opening_rate, service
