"""Whole configurations that are numbered by an external system.

As an alternative to patches, a deployment may publish whole documents under
its own numbers. The document with the highest number is in force; a document
whose number is not higher changes nothing.
"""

import enum
import math

import msgspec

from tamarack_core import failure
from tamarack_core import peers

MIN_INTEGER = -(1 << 63)
MAX_INTEGER = (1 << 64) - 1
"""Range of the integers that MessagePack can encode; the replicated log and the
snapshots hold documents in it."""

MAX_WARM_UP_S = 86_400.0
"""Longest warm-up time of a service, in seconds."""

MAX_COLD_REQUESTS_PER_S = 1e6
"""Highest rate of a cold target, in requests a second."""


class WorkKind(enum.StrEnum):
    """Whether the requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"


class WeightedService(msgspec.Struct, frozen=True, array_like=True):
    """A service that receives new flows of a route, with its weight.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other services of the route.
    """

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Destinations of the new flows to one service address and port.

    Attributes:
        name: Name of the route, unique in the document.
        address: Service address in text form.
        port: Service port.
        kind: Whether its requests may be repeated.
        timeout_ms: Timeout of its requests in milliseconds.
        priority: Priority when load is shed; 0 is the highest.
        shares: Services with their weights.
        source: The route as the external system encoded it; returned
            unchanged to readers.
    """

    name: str
    address: str
    port: int
    kind: WorkKind
    timeout_ms: float
    priority: int
    shares: tuple[WeightedService, ...]
    source: str = ""

    @property
    def endpoint(self) -> tuple[str, int]:
        """Address and port; at most one route in a document has each pair."""
        return (self.address, self.port)


class Service(msgspec.Struct, frozen=True):
    """A service that routes refer to.

    Attributes:
        name: Name of the service.
        health_path: Path of the health checks of its targets.
        source: The service as the external system encoded it; returned
            unchanged to readers.
        warm_up_s: Time for which a target is cold after its start, in seconds;
            0 if not stated.
        cold_requests_per_s: Requests a second that a cold target can serve; 0
            if not stated.
    """

    name: str
    health_path: str
    source: str = ""
    warm_up_s: float = 0.0
    cold_requests_per_s: float = 0.0

    @property
    def states_warm_up(self) -> bool:
        """Whether the service states a warm-up time or a rate while cold."""
        return self.warm_up_s > 0 or self.cold_requests_per_s > 0


class Document(msgspec.Struct, frozen=True):
    """One numbered configuration.

    Attributes:
        number: Number given by the external system; 0 stands for no document.
        routes: The routes in the order of the document.
        services: The services in the order of the document.
        idle_timeout_ms: Time after which an idle flow may be removed, in
            milliseconds.
        remainder: All other content, as the external system encoded it.
    """

    number: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    idle_timeout_ms: float = 0.0
    remainder: str = ""


class Change(msgspec.Struct, frozen=True):
    """The difference between a document and a later one.

    Attributes:
        base: Number of the document that it applies to.
        number: Number of the resulting document.
        order: Names of the routes in order; empty if the remaining routes of
            the base keep their order and new routes follow at the end.
        removed: Names of removed routes.
        routes: New and changed routes.
        services: All services if any differs, otherwise None.
        idle_timeout_ms: As in the document, in milliseconds.
        remainder: As in the document; None if it equals that of the base.
    """

    base: int
    number: int
    order: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] | None = None
    idle_timeout_ms: float = 0.0
    remainder: str | None = None


def check(document: Document) -> failure.Failure | None:
    """Returns why a document is invalid, or None.

    Args:
        document: The document.
    """
    if not 0 < document.number <= MAX_INTEGER:
        return _invalid(
            "bad-number",
            f"number {document.number} is out of range; use 1 to {MAX_INTEGER}",
        )
    if not 0 <= document.idle_timeout_ms < math.inf:
        return _invalid(
            "bad-timeout",
            f"idle timeout of {document.idle_timeout_ms} ms; use a finite one",
        )
    known = {service.name for service in document.services}
    if len(known) < len(document.services):
        return _invalid(
            "repeated-service", "two services have the same name; rename one"
        )
    for service in document.services:
        refused = _check_service(service)
        if refused is not None:
            return refused
    names: set[str] = set()
    endpoints: set[tuple[str, int]] = set()
    for route in document.routes:
        refused = _check_route(route, known)
        if refused is not None:
            return refused
        if route.endpoint in endpoints:
            return _invalid(
                "repeated-place", f"{route.endpoint} has two routes; remove one"
            )
        if route.name in names:
            return _invalid(
                "repeated-route",
                f"two routes are named {route.name!r}; rename one",
            )
        endpoints.add(route.endpoint)
        names.add(route.name)
    return None


def _check_service(service: Service) -> failure.Failure | None:
    """Returns why the warm-up of a service is invalid, or None."""
    if not 0 <= service.warm_up_s <= MAX_WARM_UP_S:
        return _invalid(
            "bad-warm-up",
            f"service {service.name!r} has a warm-up time of"
            f" {service.warm_up_s} s; use 0 to {MAX_WARM_UP_S:g}",
        )
    if not 0 <= service.cold_requests_per_s <= MAX_COLD_REQUESTS_PER_S:
        return _invalid(
            "bad-warm-up",
            f"service {service.name!r} has {service.cold_requests_per_s}"
            " requests a second while cold; use 0 to"
            f" {MAX_COLD_REQUESTS_PER_S:g}",
        )
    return None


def _check_route(route: Route, known: set[str]) -> failure.Failure | None:
    """Returns why a route is invalid, or None."""
    if not 0 < route.timeout_ms < math.inf:
        return _invalid(
            "bad-timeout",
            f"route {route.name!r} has a timeout of {route.timeout_ms} ms;"
            " use a positive one",
        )
    if not 0 < route.port <= peers.MAX_PORT:
        return _invalid(
            "bad-port",
            f"route {route.name!r} has port {route.port}; use 1 to"
            f" {peers.MAX_PORT}",
        )
    if not MIN_INTEGER <= route.priority <= MAX_INTEGER:
        return _invalid(
            "bad-priority",
            f"route {route.name!r} has priority {route.priority}; use"
            f" {MIN_INTEGER} to {MAX_INTEGER}",
        )
    return _check_shares(route, known)


def _check_shares(route: Route, known: set[str]) -> failure.Failure | None:
    """Returns why the services or weights of a route are invalid, or None."""
    for share in route.shares:
        if share.service not in known:
            return _invalid(
                "unknown-service",
                f"route {route.name!r} refers to unknown service"
                f" {share.service!r}; add the service",
            )
        if not 0 <= share.weight <= MAX_INTEGER:
            return _invalid(
                "bad-weight",
                f"route {route.name!r} has weight {share.weight}; use 0 to"
                f" {MAX_INTEGER}",
            )
    if sum(share.weight for share in route.shares) <= 0:
        return _invalid(
            "bad-weight",
            f"route {route.name!r} has no service with a positive weight;"
            " set one",
        )
    return None


def _invalid(reason: str, detail: str) -> failure.Failure:
    return failure.Failure(reason, detail)


def size_bytes(document: Document) -> int:
    """Returns the bytes of the content as the external system encoded it."""
    sources = [route.source for route in document.routes]
    sources += [service.source for service in document.services]
    return len(document.remainder) + sum(map(len, sources))


def difference(base: Document, document: Document) -> Change:
    """Returns the change from `base` to `document`.

    Args:
        base: The earlier document.
        document: The later document.
    """
    base_routes = {route.name: route for route in base.routes}
    names = {route.name for route in document.routes}
    removed = tuple(name for name in base_routes if name not in names)
    routes = tuple(
        route
        for route in document.routes
        if base_routes.get(route.name) != route
    )
    order = tuple(route.name for route in document.routes)
    default_order = _default_order(base, removed, routes)
    return Change(
        base=base.number,
        number=document.number,
        order=() if default_order == order else order,
        removed=removed,
        routes=routes,
        services=(
            None if base.services == document.services else document.services
        ),
        idle_timeout_ms=document.idle_timeout_ms,
        remainder=(
            None if base.remainder == document.remainder else document.remainder
        ),
    )


def _default_order(
    base: Document, removed: tuple[str, ...], routes: tuple[Route, ...]
) -> tuple[str, ...]:
    """Returns the route names in the order implied by a change.

    The remaining routes of the base come first, then the new ones.
    """
    removed_names = set(removed)
    kept = [
        route.name for route in base.routes if route.name not in removed_names
    ]
    known = set(kept)
    added = [route.name for route in routes if route.name not in known]
    return (*kept, *added)


def apply(base: Document, change: Change) -> Document:
    """Returns the document that results from a change to its base.

    Args:
        base: The document with the number `change.base`.
        change: The change.
    """
    routes = {route.name: route for route in base.routes}
    order = change.order or _default_order(base, change.removed, change.routes)
    routes.update((route.name, route) for route in change.routes)
    return Document(
        number=change.number,
        routes=tuple(routes[name] for name in order),
        services=(
            base.services if change.services is None else change.services
        ),
        idle_timeout_ms=change.idle_timeout_ms,
        remainder=(
            base.remainder if change.remainder is None else change.remainder
        ),
    )
