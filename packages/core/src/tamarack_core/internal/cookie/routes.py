"""Routes in the form that the data path looks up."""

import struct
import zlib

import msgspec

from tamarack_core import documents
from tamarack_core import flow_packets
from tamarack_core import sync

MAX_REMOVED = 2_000
"""Number of removed routes that are kept. The flows of earlier ones are not
reset."""

_flow_form = struct.Struct("!IHIH")


class RouteEntry(msgspec.Struct):
    """Route of new flows.

    Attributes:
        shares: Services with weights.
        total: Sum of the weights.
        kind: Whether its requests may be repeated.
        timeout_s: Timeout of its requests, in seconds.
    """

    shares: tuple[documents.WeightedService, ...]
    total: int
    kind: documents.WorkKind
    timeout_s: float


class RouteTable:
    """Routes by service address and port; their number only rises.

    Attributes:
        number: Number of the document in force; 0 for none.
        by_endpoint: Routes by numeric address and port.
        removed_s: Time at which this host learned of the removal of a route
            that it held, in seconds, by numeric address and port, the earliest
            first.
        idle_timeout_s: Time after which an idle flow may expire, in seconds.
        warm_ups: Services that state a warm-up, by name.
        invalid_warm_ups: Services of the last document whose warm-up is
            invalid, by name.
    """

    __slots__ = (
        "by_endpoint",
        "idle_timeout_s",
        "invalid_warm_ups",
        "number",
        "removed_s",
        "warm_ups",
    )

    def __init__(self) -> None:
        """Initializes a route table without a document."""
        self.number = 0
        self.by_endpoint: dict[tuple[int, int], RouteEntry] = {}
        self.removed_s: dict[tuple[int, int], float] = {}
        self.idle_timeout_s = 0.0
        self.warm_ups: dict[str, sync.WarmUp] = {}
        self.invalid_warm_ups: dict[str, sync.WarmUp] = {}

    def put(self, now_s: float, update: sync.DocumentUpdate) -> bool:
        """Applies an update if its base is held and it is newer.

        Args:
            now_s: Monotonic time in seconds.
            update: Routes that changed.

        Returns:
            Whether a newer document is in force.
        """
        if not update.base <= self.number < update.number:
            return False
        before = self.by_endpoint
        self.by_endpoint = {} if update.base == 0 else before.copy()
        for route in update.routes:
            endpoint = (
                flow_packets.address_to_number(route.address),
                route.port,
            )
            if route.shares:
                self.by_endpoint[endpoint] = _route_entry(route)
                self.removed_s.pop(endpoint, None)
            else:
                self.by_endpoint.pop(endpoint, None)
        self._record_removed(now_s, before)
        self.number = update.number
        self.idle_timeout_s = update.idle_timeout_ms / 1000
        stated = {item.service: item for item in update.warm_ups}
        self.warm_ups = {
            name: item for name, item in stated.items() if _is_valid(item)
        }
        self.invalid_warm_ups = {
            name: item
            for name, item in stated.items()
            if name not in self.warm_ups
        }
        return True

    def _record_removed(
        self, now_s: float, before: dict[tuple[int, int], RouteEntry]
    ) -> None:
        """Records the routes that were held before and no longer are."""
        for endpoint in before:
            if endpoint not in self.by_endpoint:
                self.removed_s[endpoint] = now_s
        while len(self.removed_s) > MAX_REMOVED:
            del self.removed_s[next(iter(self.removed_s))]

    def was_removed_since(
        self, flow: flow_packets.FlowKey, seen_s: float
    ) -> bool:
        """Returns whether a route that is not held was removed after a time.

        Args:
            flow: A flow of the route.
            seen_s: The time in seconds.
        """
        return seen_s < self.removed_s.get((flow[2], flow[3]), float("-inf"))

    def find(self, flow: flow_packets.FlowKey) -> RouteEntry | None:
        """Returns the route of a flow, or None."""
        return self.by_endpoint.get((flow[2], flow[3]))


def _is_valid(item: sync.WarmUp) -> bool:
    """Returns whether a warm-up is within the range of documents."""
    return (
        0 <= item.warm_up_s <= documents.MAX_WARM_UP_S
        and 0 <= item.cold_requests_per_s <= documents.MAX_COLD_REQUESTS_PER_S
    )


def _route_entry(route: sync.RouteChange) -> RouteEntry:
    """Returns the entry that is looked up for a route."""
    return RouteEntry(
        shares=route.shares,
        total=sum(share.weight for share in route.shares),
        kind=route.kind,
        timeout_s=route.timeout_ms / 1000,
    )


def service_of(route: RouteEntry, flow: flow_packets.FlowKey) -> str:
    """Returns the service of a new flow.

    The choice depends on the flow alone, so that all copies of an opening
    packet reach the same service, whichever host they pass through.

    Args:
        route: Route of the flow.
        flow: The flow.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    point = zlib.crc32(_flow_form.pack(*flow)) % route.total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    raise AssertionError("the weights add up to the total")
