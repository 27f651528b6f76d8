"""Estimate of what an evacuation order moves, from the known targets."""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class ServiceEstimate:
    """What an order changes for one service.

    Attributes:
        service: Name of the service.
        targets_left: Targets that may be used after the order.
        slots: Slots of the targets that may be used before the order.
        slots_moving: Slots that the order takes away, or returns.
        slots_left: Slots of the targets that may be used after the order.
        load: Work units in flight at all targets.
        load_moving: Work units in flight at targets whose slots are moving.
    """

    service: str
    targets_left: int = 0
    slots: int = 0
    slots_moving: int = 0
    slots_left: int = 0
    load: float = 0.0
    load_moving: float = 0.0

    @property
    def can_carry(self) -> bool:
        """Whether the slots that are left can run the present load."""
        return self.targets_left > 0 and self.load <= self.slots_left

    def share(self, part: float, whole: float) -> float:
        """Returns a part of a whole from 0 to 1; 0 if there is nothing."""
        return round(part / whole, 3) if whole else 0.0

    def document(self) -> dict[str, Any]:
        """Returns the estimate as JSON."""
        # The slots that an end returns aren't usable before it.
        all_slots = max(self.slots, self.slots_left)
        return {
            **dataclasses.asdict(self),
            "load": round(self.load, 2),
            "load_moving": round(self.load_moving, 2),
            "share_of_slots": self.share(self.slots_moving, all_slots),
            "share_of_load": self.share(self.load_moving, self.load),
            "can_carry": self.can_carry,
        }


def estimate(
    views: Iterable[dict[str, Any]],
    before: Collection[str],
    after: Collection[str],
) -> list[ServiceEstimate]:
    """Returns the estimate for each service, sorted by name.

    Args:
        views: Views of the targets, as hosts respond with them.
        before: Evacuated domains before the order.
        after: Evacuated domains after the order.
    """
    services: dict[str, ServiceEstimate] = {}
    for view in views:
        name = view["service"]
        entry = services.setdefault(name, ServiceEstimate(name))
        entry.load += view["active"]
        if view["is_expired"] or view["state"] != "ready":
            continue
        was_usable = view["domain"] not in before
        is_usable = view["domain"] not in after
        if was_usable:
            entry.slots += view["slots"]
        if is_usable:
            entry.slots_left += view["slots"]
            entry.targets_left += 1
        if was_usable != is_usable:
            entry.slots_moving += view["slots"]
            entry.load_moving += view["active"]
    return [services[name] for name in sorted(services)]
