"""Ledger of one limit: the sum of its leases never exceeds the total."""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Maximum that a lease holder may use until a time.

    Attributes:
        amount: Maximum of the amount held before and the amount granted. The
            holder uses the former until it receives the grant.
        until_s: Time in seconds by which the lease has ended at the holder,
            whatever the drift of its clock.
    """

    amount: float
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand of a lease holder.

    Attributes:
        used: Amount that open connections occupy.
        wanted: Amount that the holder could use in addition.
    """

    used: float
    wanted: float


class Ledger:
    """Leases of one limit.

    Attributes:
        total: Amount that may be leased out in all.
        is_whole: Whether the limit is counted in whole units.
        grants: Latest grant of each holder.
        demands: Latest demand of each holder.
    """

    __slots__ = ("demands", "grants", "is_whole", "total")

    def __init__(self, total: float, is_whole: bool) -> None:
        """Initializes the ledger without grants.

        Args:
            total: Amount that may be leased out in all.
            is_whole: Whether the limit is counted in whole units.
        """
        self.total = total
        self.is_whole = is_whole
        self.grants: dict[str, Grant] = {}
        self.demands: dict[str, Demand] = {}

    def outstanding(self, now_s: float, excluding: str = "") -> float:
        """Returns the sum of the grants that have not ended.

        Grants that have ended are removed.

        Args:
            now_s: Monotonic time of the coordinator in seconds.
            excluding: Name of a holder to leave out.
        """
        self.grants = {
            name: grant
            for name, grant in self.grants.items()
            if grant.until_s > now_s
        }
        amounts = (
            grant.amount
            for name, grant in self.grants.items()
            if name != excluding
        )
        return sum(amounts)

    def lease(
        self, now_s: float, holder: str, held: float, until_s: float
    ) -> float:
        """Leases an amount by demand and returns it.

        Args:
            now_s: Monotonic time of the coordinator in seconds.
            holder: Name of the host that gets the lease.
            held: Amount that the host holds until it receives the lease.
            until_s: Time in seconds by which the lease has ended at the
                holder, whatever the drift of its clock.
        """
        free = self.total - self.outstanding(now_s, holder)
        amount = max(0.0, min(self._allotment(holder), free))
        self.grants[holder] = Grant(max(held, amount), until_s)
        return amount

    def renew(
        self, now_s: float, holder: str, held: float, until_s: float
    ) -> float:
        """Renews a lease that an earlier coordinator has granted.

        Args:
            now_s: Monotonic time of the coordinator in seconds.
            holder: Name of the host that holds the lease.
            held: Amount of the lease.
            until_s: Time in seconds by which the lease has ended at the
                holder, whatever the drift of its clock.
        """
        free = self.total - self.outstanding(now_s, holder)
        amount = max(0.0, min(held, free))
        self.grants[holder] = Grant(held, until_s)
        return amount

    def retain_demands(self, holders: Iterable[str]) -> None:
        """Removes the demands of all but the given holders."""
        kept = set(holders)
        self.demands = {
            name: demand
            for name, demand in self.demands.items()
            if name in kept
        }

    def _allotment(self, holder: str) -> float:
        """Returns the fair allotment, in whole units if the limit is.

        The units left after rounding down go to the holders with the largest
        remainders.
        """
        fair = self._fair_allotment(holder)
        if not self.is_whole:
            return fair
        remainders = {
            name: self._fair_allotment(name) % 1.0 for name in self.demands
        }
        floor_sum = sum(
            self._fair_allotment(name) - remainders[name]
            for name in self.demands
        )
        remaining = int(self.total - floor_sum)
        ranked = sorted(remainders, key=lambda name: (-remainders[name], name))
        return (
            fair - remainders[holder] + (holder in ranked[: max(0, remaining)])
        )

    def _fair_allotment(self, holder: str) -> float:
        """Returns the allotment by demand, which may be a fraction.

        The used amount comes first, then the wanted amount. What nobody
        wants is divided evenly, so that openings after an idle period find
        some quota.
        """
        demand = self.demands[holder]
        used = sum(other.used for other in self.demands.values())
        wanted = sum(other.wanted for other in self.demands.values())
        free = max(0.0, self.total - used)
        if wanted > free:
            return demand.used + free * demand.wanted / wanted
        spare = (free - wanted) / len(self.demands)
        return demand.used + demand.wanted + spare
