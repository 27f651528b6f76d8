"""Work in flight at each target, own and reported by other hosts."""

from collections.abc import Iterable
import dataclasses
import math

from tamarack_core import configuration
from tamarack_core.internal.entry import lookup

OPENING_DECAY_S = 5.0
"""Time constant after which the opening of a long-lived flow is over."""


@dataclasses.dataclass(slots=True)
class LocalLoad:
    """Work at one target, in work units.

    Attributes:
        bounded: Bounded connections.
        opening: Long-lived connections without a reply so far.
        held: All long-lived connections.
        decayed_s: Time to which `opening` has decayed, in seconds.
    """

    bounded: float = 0.0
    opening: float = 0.0
    held: float = 0.0
    decayed_s: float = 0.0

    def active(self, now_s: float) -> float:
        """Returns the units that occupy slots at a time in seconds."""
        elapsed_s = now_s - self.decayed_s
        if self.opening and elapsed_s > 0.0:
            self.opening *= math.exp(-elapsed_s / OPENING_DECAY_S)
            self.decayed_s = now_s
        return self.bounded + self.opening


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Work that another host has reported for one target.

    Attributes:
        active: Units that occupy slots.
        held: Units of long-lived connections.
    """

    active: float
    held: float


_NOTHING = ReportedLoad(0.0, 0.0)


class LoadTable:
    """Work in flight by target.

    Attributes:
        own: Work of this host by packed address.
        others: Reported work by host and packed address.
    """

    __slots__ = ("_active", "_held", "others", "own")

    def __init__(self) -> None:
        """Creates a book without work."""
        self.own: dict[bytes, LocalLoad] = {}
        self.others: dict[str, dict[bytes, ReportedLoad]] = {}
        self._active: dict[bytes, float] = {}
        self._held: dict[bytes, float] = {}

    def add(
        self, now_s: float, target: bytes, settings: configuration.WorkClass
    ) -> None:
        """Counts a connection that this host has opened."""
        self.take_over(target, settings)
        if settings.lifetime is configuration.Lifetime.BOUNDED:
            return
        work = self.own[target]
        work.active(now_s)
        work.decayed_s = now_s
        work.opening += settings.cost

    def take_over(
        self, target: bytes, settings: configuration.WorkClass
    ) -> None:
        """Counts a connection that another host has opened."""
        work = self.own.setdefault(target, LocalLoad())
        if settings.lifetime is configuration.Lifetime.BOUNDED:
            work.bounded += settings.cost
        else:
            work.held += settings.cost

    def answer(
        self, now_s: float, target: bytes, settings: configuration.WorkClass
    ) -> None:
        """Counts the first reply on a connection."""
        work = self.own.get(target)
        if work is None or settings.lifetime is configuration.Lifetime.BOUNDED:
            return
        work.active(now_s)
        work.opening = max(0.0, work.opening - settings.cost)

    def remove(
        self, target: bytes, port: lookup.ServicePort, answered: bool
    ) -> None:
        """Counts the end of a connection that this host owned."""
        work = self.own.get(target)
        if work is None:
            return
        cost = port.settings.cost
        if port.settings.lifetime is configuration.Lifetime.BOUNDED:
            work.bounded = max(0.0, work.bounded - cost)
            return
        work.held = max(0.0, work.held - cost)
        if not answered:
            work.opening = max(0.0, work.opening - cost)

    def apply_report(
        self, host: str, work: Iterable[tuple[bytes, ReportedLoad]]
    ) -> None:
        """Replaces what another host has reported for some targets.

        Args:
            host: Name of the host.
            work: Work by target.
        """
        held = self.others.setdefault(host, {})
        for target, reported in work:
            self._apply(target, held.get(target, _NOTHING), reported)
            held[target] = reported

    def forget(self, host: str) -> None:
        """Drops the work of a host that is gone."""
        for target, reported in self.others.pop(host, {}).items():
            self._apply(target, reported, _NOTHING)

    def active(self, now_s: float, target: bytes) -> float:
        """Returns the units that occupy slots of a target."""
        own = self.own.get(target)
        reported = self._active.get(target, 0.0)
        return reported + (own.active(now_s) if own else 0.0)

    def held(self, target: bytes) -> float:
        """Returns the units of long-lived connections at a target."""
        own = self.own.get(target)
        return self._held.get(target, 0.0) + (own.held if own else 0.0)

    def _apply(
        self, target: bytes, old: ReportedLoad, new: ReportedLoad
    ) -> None:
        """Moves the sums from an old report to a new one."""
        active = self._active.get(target, 0.0) + new.active - old.active
        held = self._held.get(target, 0.0) + new.held - old.held
        self._active[target] = max(0.0, active)
        self._held[target] = max(0.0, held)
