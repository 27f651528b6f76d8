"""Checks of a single service: types, ranges and clashes of its own ports."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import itertools
import re

import msgspec

from tamarack_core import configuration
from tamarack_core import failure
from tamarack_core.internal.validation import address_checks
from tamarack_core.internal.validation import json_pointers

MAX_PORT = 65535
MAX_CLASSES = 64
MAX_NETWORKS = 64
MAX_COST_UNITS = 1_000_000.0
MAX_DEADLINE_S = 7 * 86_400.0
MAX_CONCURRENT = 1_000_000_000
MAX_OPENING_RATE = 1e9
MAX_WEIGHT = 1e6
MAX_OPENING_HOSTS = 10_000

_NAME = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._-]{0,61}[A-Za-z0-9])?")


@dataclasses.dataclass(frozen=True, slots=True)
class _Range:
    """Inclusive range of a numeric field.

    Attributes:
        field: Name of the field.
        low: Smallest value.
        high: Largest value.
    """

    field: str
    low: float
    high: float


_CLASS_RANGES = (
    _Range("port", 1, MAX_PORT),
    _Range("target_port", 1, MAX_PORT),
    _Range("cost", 0.001, MAX_COST_UNITS),
    _Range("deadline_s", 0.001, MAX_DEADLINE_S),
    _Range("max_concurrent", 0, MAX_CONCURRENT),
    _Range("max_opening_rate", 0, MAX_OPENING_RATE),
)

_SERVICE_RANGES = (_Range("opening_hosts", 1, MAX_OPENING_HOSTS),)

_WEIGHT_RANGES = (
    _Range("broken_flows", 0, MAX_WEIGHT),
    _Range("imbalance", 0, MAX_WEIGHT),
)


def convert_service(
    name: str, value: object
) -> configuration.Service | failure.Failure:
    """Returns the checked service that a JSON value describes.

    Args:
        name: Name of the service.
        value: Decoded JSON.

    Returns:
        The service, or a failure with the pointer of the invalid value.
    """
    prefix = json_pointers.join("services", name)
    rejection = _check_name(name, prefix)
    if rejection is None:
        rejection = _check_classes(value, prefix)
    if rejection is not None:
        return rejection
    try:
        service = msgspec.convert(value, configuration.Service)
    except msgspec.ValidationError as error:
        return json_pointers.from_error(prefix, error)
    rejection = check_service(name, service)
    return service if rejection is None else rejection


def check_service(
    name: str, service: configuration.Service
) -> failure.Failure | None:
    """Returns the first error of a well-typed service, or None."""
    prefix = json_pointers.join("services", name)
    return next(_service_errors(service, prefix), None)


def _check_name(name: str, prefix: str) -> failure.Failure | None:
    """Rejects names that are unfit for log lines and metric labels."""
    if _NAME.fullmatch(name):
        return None
    return failure.Failure(
        "bad-name",
        f"{name[:80]!r} is not a name: use 1 to 63 letters, digits, '.', '_'"
        " and '-', with a letter or digit at both ends",
        prefix,
    )


def _check_classes(value: object, prefix: str) -> failure.Failure | None:
    """Converts each class on its own, so that a failure names the class."""
    classes = value.get("classes") if isinstance(value, dict) else None
    if not isinstance(classes, dict):
        return None
    for name, work_class in sorted(classes.items()):
        path = prefix + json_pointers.join("classes", name)
        rejection = _check_name(name, path)
        if rejection is not None:
            return rejection
        try:
            msgspec.convert(work_class, configuration.WorkClass)
        except msgspec.ValidationError as error:
            return json_pointers.from_error(path, error)
    return None


def _service_errors(
    service: configuration.Service, prefix: str
) -> Iterator[failure.Failure]:
    """Yields the errors of one service in a fixed order."""
    yield from _count_errors(service, prefix)
    yield from address_checks.service_errors(service, prefix)
    yield from _range_errors(service, _SERVICE_RANGES, prefix)
    yield from _range_errors(
        service.weights, _WEIGHT_RANGES, prefix + "/weights"
    )
    classes = sorted(service.classes.items())
    for name, work_class in classes:
        path = prefix + json_pointers.join("classes", name)
        yield from _class_errors(work_class, path)
    yield from _port_errors(classes, prefix)


def _count_errors(
    service: configuration.Service, prefix: str
) -> Iterator[failure.Failure]:
    """Yields errors in the number of addresses, classes and networks."""
    counts = (
        ("addresses", len(service.addresses), 2),
        ("classes", len(service.classes), MAX_CLASSES),
        ("target_networks", len(service.target_networks), MAX_NETWORKS),
    )
    for field, count, maximum in counts:
        if not 1 <= count <= maximum:
            yield failure.Failure(
                "bad-count",
                f"{field} has {count} members; give 1 to {maximum}",
                f"{prefix}/{field}",
            )


def _class_errors(
    work_class: configuration.WorkClass, path: str
) -> Iterator[failure.Failure]:
    """Yields the errors of one work class."""
    yield from _range_errors(work_class, _CLASS_RANGES, path)
    is_udp = work_class.protocol is configuration.Protocol.UDP
    if is_udp and not work_class.idempotent:
        yield failure.Failure(
            "udp-not-idempotent",
            "UDP may deliver a request twice; use TCP or make the class"
            " idempotent",
            path + "/idempotent",
        )


def _range_errors(
    value: msgspec.Struct, ranges: tuple[_Range, ...], path: str
) -> Iterator[failure.Failure]:
    """Yields errors for numeric fields of `value` outside their range."""
    for allowed in ranges:
        number = getattr(value, allowed.field)
        # NaN compares as out of range. An integer may be too large for the
        # functions of `math`.
        if not allowed.low <= number <= allowed.high:
            yield failure.Failure(
                "out-of-range",
                f"{allowed.field} is {number}; give"
                f" {allowed.low:g} to {allowed.high:g}",
                f"{path}/{allowed.field}",
            )


_NamedClass = tuple[str, configuration.WorkClass]


def _port_errors(
    classes: list[_NamedClass], prefix: str
) -> Iterator[failure.Failure]:
    """Yields errors for classes that can't be told apart by port."""
    yield from _duplicate_errors(
        classes, prefix, "port", lambda work_class: work_class.port
    )
    yield from _duplicate_errors(
        classes,
        prefix,
        "target_port",
        lambda work_class: (work_class.target_port, work_class.protocol),
    )


def _duplicate_errors(
    classes: list[_NamedClass],
    prefix: str,
    field: str,
    key: Callable[[configuration.WorkClass], object],
) -> Iterator[failure.Failure]:
    """Yields an error for each pair of classes with equal keys."""
    for (first, one), (second, other) in itertools.combinations(classes, 2):
        if key(one) == key(other):
            yield failure.Failure(
                "port-clash",
                f"{field} {getattr(other, field)} belongs to class {first}"
                " too; give each class its own",
                prefix + json_pointers.join("classes", second, field),
            )
