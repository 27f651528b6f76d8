"""Which targets a new flow may be opened to while some are cold.

Load pattern: targets start while there is traffic, or return at the end of an
evacuation. A cold target of a service that states a rate gets openings only
through the hosts of its allotment, each of which spaces them.
"""

from collections.abc import Collection

from tamarack_core.internal import suspension
from tamarack_core.internal.cold_targets import allotment as allotment_lib
from tamarack_core.internal.cold_targets import budget
from tamarack_core.internal.cold_targets import held_allotments
from tamarack_core.internal.cold_targets import limiter as limiters
from tamarack_core.internal.cookie import routes as routes_lib
from tamarack_core.internal.cookie import target_table

RESUMPTION_S = 0.15
"""Time after a suspension for which openings to services with a rate are
dropped, in seconds. A target may have restarted in the meantime; updates arrive
within that time, and callers repeat an opening after 0.2 s."""


class ColdOpenings:
    """Applies the limits of cold targets at an entry host.

    Attributes:
        routes: Routes in force, and the rates that services state.
        targets: Known targets, and the allotments that name this host.
        tolerance: By how much openings may exceed a rate.
        limiter: Times of the openings to cold targets.
        seen_s: Time of the last event, in seconds.
        resumed_s: Time of the end of the last suspension, in seconds.
    """

    __slots__ = (
        "limiter",
        "resumed_s",
        "routes",
        "seen_s",
        "targets",
        "tolerance",
    )

    def __init__(
        self,
        routes: routes_lib.RouteTable,
        targets: target_table.TargetTable,
        tolerance: budget.Tolerance,
    ) -> None:
        """Initializes the limits before the start of the host.

        Args:
            routes: Routes in force, and the rates that services state.
            targets: Known targets, and the allotments that name this host.
            tolerance: By how much openings may exceed a rate.
        """
        self.routes = routes
        self.targets = targets
        self.tolerance = tolerance
        self.limiter = limiters.ColdTargetLimiter()
        self.seen_s = float("inf")
        self.resumed_s = float("-inf")

    def start(self, now_s: float) -> None:
        """Records the start of this host.

        Args:
            now_s: Monotonic time in seconds.
        """
        self.limiter.start(now_s)
        self.seen_s = now_s

    def observe(self, now_s: float) -> None:
        """Observes the clock; called for each packet and at intervals.

        Args:
            now_s: Monotonic time in seconds.
        """
        self.limiter.observe(now_s)
        if now_s - self.seen_s > suspension.SUSPENSION_S:
            self.resumed_s = now_s
        self.seen_s = now_s

    def is_resuming(self, now_s: float, service: str) -> bool:
        """Returns whether restarts of targets may be unknown to this host.

        Args:
            now_s: Monotonic time in seconds.
            service: Name of a service.
        """
        is_recent = now_s - self.resumed_s < RESUMPTION_S
        return is_recent and self._rate(service) > 0

    def permitted(
        self,
        now_s: float,
        service: str,
        candidates: Collection[target_table.TargetEntry],
    ) -> Collection[target_table.TargetEntry]:
        """Returns the targets that a flow may be opened to now.

        Args:
            now_s: Monotonic time in seconds.
            service: Service of the flow.
            candidates: Targets of the service that accept new flows.
        """
        rate = self._rate(service)
        if not rate:
            return candidates
        return [
            entry
            for entry in candidates
            if entry.warm_at_s <= now_s or self._may_open(now_s, entry, rate)
        ]

    def _may_open(
        self, now_s: float, entry: target_table.TargetEntry, rate: float
    ) -> bool:
        """Returns whether this host may open a flow to a cold target.

        The budget may have shrunk since the allotment; its first hosts remain.
        """
        held = self._find_allotment(now_s, entry)
        hosts = budget.host_count(rate, self.tolerance)
        if held is None or held.position >= hosts:
            return False
        spacing_s = budget.spacing_s(rate, min(held.hosts, hosts))
        return self.limiter.may_open(
            now_s, entry.target.name, spacing_s, held.not_before_s(spacing_s)
        )

    def _find_allotment(
        self, now_s: float, entry: target_table.TargetEntry
    ) -> held_allotments.Held | None:
        """Returns the allotment of the present cold time of a target."""
        key = allotment_lib.Key(
            entry.target.name,
            entry.target.place_ms,
            self.targets.end_revision(now_s, entry.target),
        )
        return self.targets.allotments.by_key.get(key)

    def record(self, now_s: float, entry: target_table.TargetEntry) -> str:
        """Records that a flow is opened to a target.

        Args:
            now_s: Monotonic time in seconds.
            entry: The target.

        Returns:
            Why a cold target may get the flow; empty for others.
        """
        if entry.warm_at_s <= now_s or not self._rate(entry.target.service):
            return ""
        self.limiter.record(now_s, entry.target.name)
        held = self._find_allotment(now_s, entry)
        if held is None:
            return ""
        return (
            f" cold {entry.warm_at_s - now_s:.1f} s host {held.position + 1}"
            f" of {held.hosts}"
        )

    def describe(
        self, now_s: float, candidates: Collection[target_table.TargetEntry]
    ) -> str:
        """Returns why none of some cold targets may get a flow.

        Args:
            now_s: Monotonic time in seconds.
            candidates: The targets, all of them cold.
        """
        named = sum(
            self._find_allotment(now_s, entry) is not None
            for entry in candidates
        )
        return (
            f"{len(candidates)} cold, {named} allotted to this host, allotment"
            f" {self.targets.allotments.number}"
        )

    def _rate(self, service: str) -> float:
        """Returns the rate of cold targets of a service; 0 for no limit."""
        warm_up = self.routes.warm_ups.get(service)
        return 0.0 if warm_up is None else warm_up.cold_requests_per_s
