"""History of routes: the document number at which each route last changed."""

from tamarack_core import documents
from tamarack_core import sync

MAX_REMOVED = 2_000
"""Number of removed routes that are kept. A host that holds a document from
before the removal of an older one is sent the whole document."""


class RouteHistory:
    """Finds the changes for hosts that hold an earlier document.

    Attributes:
        document: The document in force.
        changed_number: Number of the document in which each endpoint last
            changed.
        oldest_base: Number of the oldest document from which changes are known.
    """

    __slots__ = ("changed_number", "document", "oldest_base")

    def __init__(self) -> None:
        """Initializes a history without a document."""
        self.document = documents.Document(0)
        self.changed_number: dict[tuple[str, int], int] = {}
        self.oldest_base = 0

    def put(self, document: documents.Document) -> None:
        """Adds the document that directly follows the one held."""
        before = {route.endpoint: route for route in self.document.routes}
        after = {route.endpoint: route for route in document.routes}
        for endpoint in before.keys() | after.keys():
            if before.get(endpoint) != after.get(endpoint):
                self.changed_number[endpoint] = document.number
        if self.document.number == 0:
            self.oldest_base = document.number
        self.document = document
        self._trim_removed(after)

    def reset_to(self, document: documents.Document) -> None:
        """Adds a document after others that this host has not received.

        A route may have been added and removed in between, so hosts with an
        earlier document are sent the whole one.
        """
        self.document = document
        self.oldest_base = document.number
        self.changed_number = {
            route.endpoint: document.number for route in document.routes
        }

    def _trim_removed(
        self, after: dict[tuple[str, int], documents.Route]
    ) -> None:
        """Removes the oldest removed endpoints beyond the limit."""
        removed = sorted(
            (number, endpoint)
            for endpoint, number in self.changed_number.items()
            if endpoint not in after
        )
        for number, endpoint in removed[:-MAX_REMOVED]:
            self.oldest_base = max(self.oldest_base, number)
            del self.changed_number[endpoint]

    def changes_since(self, number: int) -> sync.DocumentUpdate | None:
        """Returns the changes after document `number`, or None without any."""
        document = self.document
        if number >= document.number:
            return None
        is_whole = number < self.oldest_base
        routes = [
            _route_change(route)
            for route in document.routes
            if is_whole or self.changed_number[route.endpoint] > number
        ]
        if not is_whole:
            present = {route.endpoint for route in document.routes}
            routes += [
                _route_removal(endpoint)
                for endpoint, changed in self.changed_number.items()
                if changed > number and endpoint not in present
            ]
        return sync.DocumentUpdate(
            base=0 if is_whole else number,
            number=document.number,
            routes=tuple(routes),
            idle_timeout_ms=document.idle_timeout_ms,
            warm_ups=tuple(
                sync.WarmUp(
                    service.name, service.warm_up_s, service.cold_requests_per_s
                )
                for service in document.services
                if service.states_warm_up
            ),
        )


def _route_change(route: documents.Route) -> sync.RouteChange:
    return sync.RouteChange(
        route.address, route.port, route.shares, route.kind, route.timeout_ms
    )


def _route_removal(endpoint: tuple[str, int]) -> sync.RouteChange:
    return sync.RouteChange(*endpoint, (), documents.WorkKind.IDEMPOTENT, 0.0)
