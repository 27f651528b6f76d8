"""Sheds openings of an overloaded service, before the handshake completes.

A service is overloaded when more work is in flight than its slots run and
answers take longer than they did without a queue. Work that is cheap to
repeat is shed first. A class within its even part of the work in flight is
shed last, so that no class starves another.
"""

import dataclasses
import math

from tamarack_core import configuration
from tamarack_core.internal.entry import lookup

IDEMPOTENT_QUEUE = 2.0
NON_IDEMPOTENT_QUEUE = 2.5
FAIR_QUEUE = 3.0
"""Work units in flight for each slot at which openings are shed."""

BURST_SLOTS = 8.0
"""Slots below which a queue counts as that of a service of so many slots."""

SLOW_ANSWER_FACTOR = 1.25
ANSWER_GAIN = 0.05
DEMAND_WINDOW_S = 5.0


@dataclasses.dataclass(slots=True)
class ClassLoad:
    """What this host has seen of one work class.

    Attributes:
        units: Work units in flight.
        opened_s: Time of the last opening in seconds.
        answer_s: Smoothed time to the first answer in seconds; 0 if none.
        unloaded_s: The same while no work was waiting; 0 if none.
        fastest_s: Shortest time to a first answer in seconds.
    """

    units: float = 0.0
    opened_s: float = -math.inf
    answer_s: float = 0.0
    unloaded_s: float = 0.0
    fastest_s: float = math.inf

    def is_slow(self) -> bool:
        """Returns whether answers take longer than without a queue."""
        reference_s = self.unloaded_s or self.fastest_s
        return self.answer_s > SLOW_ANSWER_FACTOR * reference_s


class LoadShedder:
    """Decides on the openings of all services.

    Attributes:
        classes: Load by service and work class.
        shed_s: Time of the last shed opening of each service, in seconds.
    """

    __slots__ = ("classes", "shed_s")

    def __init__(self) -> None:
        """Creates the state of a host that has seen no opening."""
        self.classes: dict[str, dict[str, ClassLoad]] = {}
        self.shed_s: dict[str, float] = {}

    def must_shed(
        self,
        now_s: float,
        port: lookup.ServicePort,
        active: float,
        slots: float,
    ) -> bool:
        """Returns whether an opening must be refused.

        Args:
            now_s: Monotonic time in seconds.
            port: Service port that the caller opens.
            active: Work units in flight at the targets of the service.
            slots: Work units that these targets run at once.
        """
        load = self._load(port)
        load.opened_s = now_s
        queue = _relative_queue(active, slots)
        if queue < IDEMPOTENT_QUEUE or not self._is_slow(port.service):
            return False
        if queue < self._bound(now_s, port, load):
            return False
        self.shed_s[port.service] = now_s
        return True

    def is_shedding(self, now_s: float, service: str) -> bool:
        """Returns whether a service has shed openings just now."""
        return now_s - self.shed_s.get(service, -math.inf) < DEMAND_WINDOW_S

    def add(self, port: lookup.ServicePort) -> None:
        """Counts a connection that this host now owns."""
        if port.settings.lifetime is configuration.Lifetime.BOUNDED:
            self._load(port).units += port.settings.cost

    def remove(self, port: lookup.ServicePort) -> None:
        """Counts the end of a connection."""
        if port.settings.lifetime is configuration.Lifetime.BOUNDED:
            load = self._load(port)
            load.units = max(0.0, load.units - port.settings.cost)

    def record_reply(
        self,
        port: lookup.ServicePort,
        elapsed_s: float,
        has_queue: bool,
    ) -> None:
        """Takes note of a first answer.

        Args:
            port: Service port of the flow.
            elapsed_s: Seconds since the flow was opened.
            has_queue: Whether more work is in flight than the slots run.
        """
        load = self._load(port)
        load.fastest_s = min(load.fastest_s, elapsed_s)
        load.answer_s = _smooth(load.answer_s, elapsed_s)
        if not has_queue:
            load.unloaded_s = _smooth(load.unloaded_s, elapsed_s)

    def _bound(
        self, now_s: float, port: lookup.ServicePort, load: ClassLoad
    ) -> float:
        """Returns the queue at which a class is shed."""
        asking = [
            other
            for other in self.classes[port.service].values()
            if now_s - other.opened_s < DEMAND_WINDOW_S
        ]
        units = sum(other.units for other in asking)
        if load.units * len(asking) < units:
            return FAIR_QUEUE
        if port.settings.idempotent:
            return IDEMPOTENT_QUEUE
        return NON_IDEMPOTENT_QUEUE

    def _is_slow(self, service: str) -> bool:
        """Returns whether any class of a service answers slowly."""
        return any(load.is_slow() for load in self.classes[service].values())

    def _load(self, port: lookup.ServicePort) -> ClassLoad:
        """Returns the load of a class."""
        classes = self.classes.setdefault(port.service, {})
        return classes.setdefault(port.work_class, ClassLoad())


def _relative_queue(active: float, slots: float) -> float:
    """Returns the work in flight for each slot; chance bursts count less.

    With few slots a handful of openings that arrive together is a queue of
    several times the slots, although it is gone a moment later.
    """
    if not slots:
        return math.inf
    waiting = active - slots
    if waiting <= 0.0:
        return active / slots
    return 1.0 + waiting / max(slots, BURST_SLOTS)


def _smooth(old: float, new: float) -> float:
    """Returns a smoothed value; the first one counts in full."""
    return old + ANSWER_GAIN * (new - old) if old else new
