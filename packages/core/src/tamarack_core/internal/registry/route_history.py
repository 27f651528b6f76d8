"""Which routes changed with which number of the document."""

from tamarack_core import documents
from tamarack_core import sync

MAX_REMOVED = 2_000
"""Removed routes that are remembered; older ones force a whole document."""


class RouteHistory:
    """Finds what a host lacks that holds an earlier document.

    Attributes:
        document: The document in force.
        changed_at: Number with which each place changed last.
        horizon: Changes before this number are not known.
    """

    __slots__ = ("changed_at", "document", "horizon")

    def __init__(self) -> None:
        """Holds no document."""
        self.document = documents.Document(0)
        self.changed_at: dict[tuple[str, int], int] = {}
        self.horizon = 0

    def put(self, document: documents.Document) -> None:
        """Takes the document that follows on the one held."""
        before = {route.place: route for route in self.document.routes}
        after = {route.place: route for route in document.routes}
        for endpoint in before.keys() | after.keys():
            if before.get(endpoint) != after.get(endpoint):
                self.changed_at[endpoint] = document.number
        if self.document.number == 0:
            self.horizon = document.number
        self.document = document
        self._trim_removed(after)

    def reset_to(self, document: documents.Document) -> None:
        """Takes a document after others that nobody here has seen.

        A route may have come and gone in between; whoever holds an earlier
        document gets the whole one.
        """
        self.document = document
        self.horizon = document.number
        self.changed_at = {
            route.place: document.number for route in document.routes
        }

    def _trim_removed(
        self, after: dict[tuple[str, int], documents.Route]
    ) -> None:
        """Forgets the oldest removed places beyond the limit."""
        removed = sorted(
            (number, endpoint)
            for endpoint, number in self.changed_at.items()
            if endpoint not in after
        )
        for number, endpoint in removed[:-MAX_REMOVED]:
            self.horizon = max(self.horizon, number)
            del self.changed_at[endpoint]

    def changes_since(self, number: int) -> sync.DocumentUpdate | None:
        """Returns what a host with document `number` lacks, or None."""
        document = self.document
        if number >= document.number:
            return None
        is_whole = number < self.horizon
        routes = [
            _route_change(route)
            for route in document.routes
            if is_whole or self.changed_at[route.place] > number
        ]
        if not is_whole:
            present = {route.place for route in document.routes}
            routes += [
                _route_removal(endpoint)
                for endpoint, changed in self.changed_at.items()
                if changed > number and endpoint not in present
            ]
        return sync.DocumentUpdate(
            base=0 if is_whole else number,
            number=document.number,
            routes=tuple(routes),
            idle_timeout_ms=document.idle_timeout_ms,
        )


def _route_change(route: documents.Route) -> sync.RouteChange:
    return sync.RouteChange(
        route.address, route.port, route.shares, route.kind, route.timeout_ms
    )


def _route_removal(endpoint: tuple[str, int]) -> sync.RouteChange:
    return sync.RouteChange(*endpoint, (), documents.WorkKind.IDEMPOTENT, 0.0)
