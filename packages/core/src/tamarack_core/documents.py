"""A whole configuration that an outside system numbers.

Beside patches against the configuration of this system, a deployment may
publish whole documents under numbers of its own. The highest number is in
force; a document whose number is not higher changes nothing.
"""

import enum

import msgspec

from tamarack_core import failure

MAX_PORT = 65535


class WorkKind(enum.StrEnum):
    """Whether the requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"


class WeightedService(msgspec.Struct, frozen=True, array_like=True):
    """The part of a route's openings that goes to one service.

    Attributes:
        service: Name of the service.
        weight: Weight among the shares of the route.
    """

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Where the openings of one service address and port go.

    Attributes:
        name: Name of the route, unique in the document.
        address: Service address in text form.
        port: Service port.
        kind: Whether its requests may be repeated.
        timeout_ms: Time that its requests have, in milliseconds.
        priority: Rank when load is shed; 0 is the highest.
        shares: Services with their weights.
        source: Outside form of the route, returned unchanged to readers.
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
        """Address and port, of which each pair has one route at most."""
        return (self.address, self.port)


class Service(msgspec.Struct, frozen=True):
    """A service that routes name.

    Attributes:
        name: Name of the service.
        health_path: Path of the health request of its targets.
        source: Outside form of the service, returned unchanged to readers.
    """

    name: str
    health_path: str
    source: str = ""


class Document(msgspec.Struct, frozen=True):
    """One numbered configuration.

    Attributes:
        number: Its outside number; 0 stands for no document.
        routes: The routes in the order of the document.
        services: The services in the order of the document.
        idle_timeout_ms: Time after which an idle flow may be forgotten.
        remainder: Outside form of everything else.
    """

    number: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    idle_timeout_ms: float = 0.0
    remainder: str = ""


class Change(msgspec.Struct, frozen=True):
    """What leads from one document to a later one.

    Attributes:
        base: Number of the document that it applies to.
        number: Number of the document that it makes.
        order: Names of the routes in order; empty if the order of the base
            holds after removal, with new routes at the end.
        removed: Names of routes that are gone.
        routes: Routes that are new or differ.
        services: All services if any differs, otherwise None.
        idle_timeout_ms: As in the document.
        remainder: As in the document; None if it is that of the base.
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
    known = {service.name for service in document.services}
    if len(known) < len(document.services):
        return _invalid("repeated-service", "name each service once")
    names: set[str] = set()
    places: set[tuple[str, int]] = set()
    for route in document.routes:
        refused = _check_route(route, known)
        if refused is not None:
            return refused
        if route.endpoint in places:
            return _invalid(
                "repeated-place", f"{route.endpoint} has two routes; keep one"
            )
        if route.name in names:
            return _invalid(
                "repeated-route", f"{route.name!r} stands twice; rename one"
            )
        places.add(route.endpoint)
        names.add(route.name)
    return None


def _check_route(route: Route, known: set[str]) -> failure.Failure | None:
    """Returns why a route is invalid, or None."""
    if route.timeout_ms <= 0:
        return _invalid(
            "bad-timeout",
            f"route {route.name!r} has a timeout of {route.timeout_ms} ms;"
            " use a positive one",
        )
    if not 0 < route.port <= MAX_PORT:
        return _invalid(
            "bad-port",
            f"route {route.name!r} has port {route.port}; use 1 to {MAX_PORT}",
        )
    for share in route.shares:
        if share.service not in known:
            return _invalid(
                "unknown-service",
                f"route {route.name!r} names {share.service!r}; add the"
                " service",
            )
        if share.weight < 0:
            return _invalid(
                "bad-weight",
                f"route {route.name!r} has weight {share.weight}; use a"
                " positive one",
            )
    if sum(share.weight for share in route.shares) <= 0:
        return _invalid(
            "bad-weight",
            f"route {route.name!r} leads to no service; give one a positive"
            " weight",
        )
    return None


def _invalid(reason: str, detail: str) -> failure.Failure:
    return failure.Failure(reason, detail)


def difference(base: Document, document: Document) -> Change:
    """Returns the change that leads from `base` to `document`.

    Args:
        base: The earlier document.
        document: The later document.
    """
    held = {route.name: route for route in base.routes}
    wanted = {route.name for route in document.routes}
    removed = tuple(name for name in held if name not in wanted)
    routes = tuple(
        route for route in document.routes if held.get(route.name) != route
    )
    order = tuple(route.name for route in document.routes)
    natural = _order(base, removed, routes)
    return Change(
        base=base.number,
        number=document.number,
        order=() if natural == order else order,
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


def _order(
    base: Document, removed: tuple[str, ...], routes: tuple[Route, ...]
) -> tuple[str, ...]:
    """Returns the names in the order that needs no mention."""
    gone = set(removed)
    kept = [route.name for route in base.routes if route.name not in gone]
    known = set(kept)
    added = [route.name for route in routes if route.name not in known]
    return (*kept, *added)


def apply(base: Document, change: Change) -> Document:
    """Returns the document that a change makes of its base.

    Args:
        base: The document with the number `change.base`.
        change: The change.
    """
    routes = {route.name: route for route in base.routes}
    order = change.order or _order(base, change.removed, change.routes)
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
