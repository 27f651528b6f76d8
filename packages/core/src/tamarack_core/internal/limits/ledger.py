"""Ledger of one limit: what is leased out never exceeds the total."""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The most that a holder may use until a time.

    Attributes:
        amount: The greater of what it held and what it was granted.
        until_s: Time at which its lease has surely ended, in seconds.
    """

    amount: float
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a holder uses and wants.

    Attributes:
        used: What open connections occupy.
        wanted: What it could use on top of that.
    """

    used: float
    wanted: float


class Ledger:
    """Leases of one limit.

    Attributes:
        total: What may be leased out in all.
        is_whole: Whether only whole units count.
        grants: Latest grant of each holder.
        demands: Latest need of each holder.
    """

    __slots__ = ("demands", "grants", "is_whole", "total")

    def __init__(self, total: float, is_whole: bool) -> None:
        """Creates a ledger with nothing leased out.

        Args:
            total: What may be leased out in all.
            is_whole: Whether only whole units count.
        """
        self.total = total
        self.is_whole = is_whole
        self.grants: dict[str, Grant] = {}
        self.demands: dict[str, Demand] = {}

    def outstanding(self, now_s: float, but: str = "") -> float:
        """Returns what holders may use at a time in seconds.

        Args:
            now_s: Time of the keeper in seconds.
            but: Holder that is left out.
        """
        self.grants = {
            name: grant
            for name, grant in self.grants.items()
            if grant.until_s > now_s
        }
        amounts = (
            grant.amount for name, grant in self.grants.items() if name != but
        )
        return sum(amounts)

    def lease(
        self, now_s: float, holder: str, held: float, until_s: float
    ) -> float:
        """Leases out a share by need and returns it.

        Args:
            now_s: Time of the keeper in seconds.
            holder: Who takes the share.
            held: What it holds until it takes the share.
            until_s: Time at which the lease has surely ended, in seconds.
        """
        free = self.total - self.outstanding(now_s, holder)
        amount = max(0.0, min(self._share(holder), free))
        self.grants[holder] = Grant(max(held, amount), until_s)
        return amount

    def renew(
        self, now_s: float, holder: str, held: float, until_s: float
    ) -> float:
        """Renews a share that an earlier keeper has granted.

        Args:
            now_s: Time of the keeper in seconds.
            holder: Who holds the share.
            held: The share.
            until_s: Time at which the lease has surely ended, in seconds.
        """
        free = self.total - self.outstanding(now_s, holder)
        amount = max(0.0, min(held, free))
        self.grants[holder] = Grant(held, until_s)
        return amount

    def keep_needs(self, config_stores: Iterable[str]) -> None:
        """Drops the needs of all but the given holders."""
        kept = set(config_stores)
        self.demands = {
            name: need for name, need in self.demands.items() if name in kept
        }

    def _share(self, holder: str) -> float:
        """Returns the fair share, in whole units where only these count.

        Units that are left over go to those who lack the largest parts.
        """
        fair = self._fair(holder)
        if not self.is_whole:
            return fair
        parts = {name: self._fair(name) % 1.0 for name in self.demands}
        floors = sum(self._fair(name) - parts[name] for name in self.demands)
        left = int(self.total - floors)
        ranked = sorted(parts, key=lambda name: (-parts[name], name))
        return fair - parts[holder] + (holder in ranked[: max(0, left)])

    def _fair(self, holder: str) -> float:
        """Returns the share by need: what is used first, then the wanted.

        What nobody wants is spread evenly, so that openings after a pause
        find a share.
        """
        need = self.demands[holder]
        used = sum(other.used for other in self.demands.values())
        wanted = sum(other.wanted for other in self.demands.values())
        free = max(0.0, self.total - used)
        if wanted > free:
            return need.used + free * need.wanted / wanted
        spare = (free - wanted) / len(self.demands)
        return need.used + need.wanted + spare
