"""Load of each target: that of this host and that of the other hosts."""

from collections.abc import Iterable
import dataclasses
import math

from tamarack_core import configuration
from tamarack_core.internal.entry import lookup

OPENING_DECAY_S = 5.0
"""Time constant with which the load of an opening long-lived flow decays."""


@dataclasses.dataclass(slots=True)
class LocalLoad:
    """Load that this host puts on one target, in work units.

    Attributes:
        bounded: Load of bounded connections.
        opening: Decaying load of long-lived connections that have had no
            reply yet.
        held: Load of all long-lived connections.
        decayed_s: Time up to which `opening` has been decayed, in seconds.
    """

    bounded: float = 0.0
    opening: float = 0.0
    held: float = 0.0
    decayed_s: float = 0.0

    def active(self, now_s: float) -> float:
        """Returns the work units that occupy slots.

        Args:
            now_s: Monotonic time in seconds.
        """
        elapsed_s = now_s - self.decayed_s
        if self.opening and elapsed_s > 0.0:
            self.opening *= math.exp(-elapsed_s / OPENING_DECAY_S)
            self.decayed_s = now_s
        return self.bounded + self.opening


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that another host has reported for one target, in work units.

    Attributes:
        active: Load that occupies slots.
        held: Load of long-lived connections.
    """

    active: float
    held: float


_NO_LOAD = ReportedLoad(0.0, 0.0)


class LoadTable:
    """Load by target.

    Attributes:
        local: Load of this host by packed address.
        remote: Reported load by host and packed address.
    """

    __slots__ = ("_active", "_held", "local", "remote")

    def __init__(self) -> None:
        """Initializes an empty load table."""
        self.local: dict[bytes, LocalLoad] = {}
        self.remote: dict[str, dict[bytes, ReportedLoad]] = {}
        self._active: dict[bytes, float] = {}
        self._held: dict[bytes, float] = {}

    def add(
        self, now_s: float, target: bytes, settings: configuration.WorkClass
    ) -> None:
        """Adds the load of a connection that this host opens."""
        self.take_over(target, settings)
        if settings.lifetime is configuration.Lifetime.BOUNDED:
            return
        load = self.local[target]
        load.active(now_s)
        load.decayed_s = now_s
        load.opening += settings.cost

    def take_over(
        self, target: bytes, settings: configuration.WorkClass
    ) -> None:
        """Adds the load of a connection that another host opened."""
        load = self.local.setdefault(target, LocalLoad())
        if settings.lifetime is configuration.Lifetime.BOUNDED:
            load.bounded += settings.cost
        else:
            load.held += settings.cost

    def record_reply(
        self, now_s: float, target: bytes, settings: configuration.WorkClass
    ) -> None:
        """Ends the opening load of a connection at its first reply."""
        load = self.local.get(target)
        if load is None or settings.lifetime is configuration.Lifetime.BOUNDED:
            return
        load.active(now_s)
        load.opening = max(0.0, load.opening - settings.cost)

    def remove(
        self, target: bytes, port: lookup.ServicePort, has_reply: bool
    ) -> None:
        """Removes the load of a connection that this host owned."""
        load = self.local.get(target)
        if load is None:
            return
        cost = port.settings.cost
        if port.settings.lifetime is configuration.Lifetime.BOUNDED:
            load.bounded = max(0.0, load.bounded - cost)
            return
        load.held = max(0.0, load.held - cost)
        if not has_reply:
            load.opening = max(0.0, load.opening - cost)

    def apply_report(
        self, host: str, loads: Iterable[tuple[bytes, ReportedLoad]]
    ) -> None:
        """Replaces the load that another host reported for some targets.

        Args:
            host: Name of the host.
            loads: Load by packed address of the target.
        """
        known = self.remote.setdefault(host, {})
        for target, reported in loads:
            self._apply(target, known.get(target, _NO_LOAD), reported)
            known[target] = reported

    def remove_host(self, host: str) -> None:
        """Removes the load that a host reported."""
        for target, reported in self.remote.pop(host, {}).items():
            self._apply(target, reported, _NO_LOAD)

    def active(self, now_s: float, target: bytes) -> float:
        """Returns the work units of all hosts that occupy slots of a target."""
        local = self.local.get(target)
        reported = self._active.get(target, 0.0)
        return reported + (local.active(now_s) if local else 0.0)

    def held(self, target: bytes) -> float:
        """Returns the work units of all long-lived connections at a target."""
        local = self.local.get(target)
        return self._held.get(target, 0.0) + (local.held if local else 0.0)

    def _apply(
        self, target: bytes, old: ReportedLoad, new: ReportedLoad
    ) -> None:
        """Updates the sums over the other hosts by the change of a report."""
        active = self._active.get(target, 0.0) + new.active - old.active
        held = self._held.get(target, 0.0) + new.held - old.held
        self._active[target] = max(0.0, active)
        self._held[target] = max(0.0, held)
