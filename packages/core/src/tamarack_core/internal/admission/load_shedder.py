"""Load shedding: refuses openings of an overloaded service.

An opening is refused before its handshake completes. A service is overloaded
when more work is in flight than its slots can run and replies take longer
than they did without a queue. Idempotent work, which is cheap to repeat, is
shed first. A work class that has at most an even part of the load is shed
last, so that no class starves another.
"""

import dataclasses
import math

from tamarack_core import configuration
from tamarack_core.internal.entry import lookup

IDEMPOTENT_QUEUE = 2.0
NON_IDEMPOTENT_QUEUE = 2.5
FAIR_QUEUE = 3.0
"""The queue limits are the work units in flight per slot from which on
openings are shed."""

BURST_SLOTS = 8.0
"""Minimum number of slots by which a queue is divided.

With fewer slots, a short burst would count as overload."""

SLOW_REPLY_FACTOR = 1.25
REPLY_SMOOTHING = 0.05
DEMAND_WINDOW_S = 5.0


@dataclasses.dataclass(slots=True)
class ClassLoad:
    """Load and reply times of one work class, as this host observes them.

    Attributes:
        units: Work units in flight.
        opened_s: Time of the last opening in seconds.
        reply_s: Smoothed time to the first reply in seconds; 0 if none.
        unloaded_reply_s: The same while no work was queued; 0 if none.
        fastest_reply_s: Shortest time to a first reply in seconds.
    """

    units: float = 0.0
    opened_s: float = -math.inf
    reply_s: float = 0.0
    unloaded_reply_s: float = 0.0
    fastest_reply_s: float = math.inf

    def is_slow(self) -> bool:
        """Returns whether replies take longer than without a queue."""
        reference_s = self.unloaded_reply_s or self.fastest_reply_s
        return self.reply_s > SLOW_REPLY_FACTOR * reference_s


class LoadShedder:
    """Decides which openings of any service are shed.

    Attributes:
        classes: Load by service and work class.
        shed_s: Time of the last shed opening of each service, in seconds.
    """

    __slots__ = ("classes", "shed_s")

    def __init__(self) -> None:
        """Initializes the load shedder without load."""
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
            port: Service port that the caller connects to.
            active: Work units in flight at the targets of the service.
            slots: Work units that these targets can run at once.
        """
        load = self._load(port)
        load.opened_s = now_s
        queue = _relative_queue(active, slots)
        if queue < IDEMPOTENT_QUEUE or not self._is_slow(port.service):
            return False
        if queue < self._queue_limit(now_s, port, load):
            return False
        self.shed_s[port.service] = now_s
        return True

    def is_shedding(self, now_s: float, service: str) -> bool:
        """Returns whether a service has shed an opening recently.

        Recently means within the last `DEMAND_WINDOW_S`.
        """
        return now_s - self.shed_s.get(service, -math.inf) < DEMAND_WINDOW_S

    def add(self, port: lookup.ServicePort) -> None:
        """Adds the load of a connection that this host now owns."""
        if port.settings.lifetime is configuration.Lifetime.BOUNDED:
            self._load(port).units += port.settings.cost

    def remove(self, port: lookup.ServicePort) -> None:
        """Removes the load of a connection that has ended."""
        if port.settings.lifetime is configuration.Lifetime.BOUNDED:
            load = self._load(port)
            load.units = max(0.0, load.units - port.settings.cost)

    def record_reply(
        self,
        port: lookup.ServicePort,
        elapsed_s: float,
        has_queue: bool,
    ) -> None:
        """Records the first reply on a connection.

        Args:
            port: Service port of the flow.
            elapsed_s: Seconds since the flow was opened.
            has_queue: Whether more work is in flight than the slots can run.
        """
        load = self._load(port)
        load.fastest_reply_s = min(load.fastest_reply_s, elapsed_s)
        load.reply_s = _smooth(load.reply_s, elapsed_s)
        if not has_queue:
            load.unloaded_reply_s = _smooth(load.unloaded_reply_s, elapsed_s)

    def _queue_limit(
        self, now_s: float, port: lookup.ServicePort, load: ClassLoad
    ) -> float:
        """Returns the relative queue from which on a class is shed."""
        active_classes = [
            other
            for other in self.classes[port.service].values()
            if now_s - other.opened_s < DEMAND_WINDOW_S
        ]
        units = sum(other.units for other in active_classes)
        if load.units * len(active_classes) < units:
            return FAIR_QUEUE
        if port.settings.idempotent:
            return IDEMPOTENT_QUEUE
        return NON_IDEMPOTENT_QUEUE

    def _is_slow(self, service: str) -> bool:
        """Returns whether replies of any class of a service are slow."""
        return any(load.is_slow() for load in self.classes[service].values())

    def _load(self, port: lookup.ServicePort) -> ClassLoad:
        """Returns the load of a class."""
        classes = self.classes.setdefault(port.service, {})
        return classes.setdefault(port.work_class, ClassLoad())


def _relative_queue(active: float, slots: float) -> float:
    """Returns the work in flight per slot, with bursts damped.

    With few slots, a handful of simultaneous openings makes a queue of several
    times the slots, although it is gone a moment later. So the queue is
    divided by at least `BURST_SLOTS`.
    """
    if not slots:
        return math.inf
    waiting = active - slots
    if waiting <= 0.0:
        return active / slots
    return 1.0 + waiting / max(slots, BURST_SLOTS)


def _smooth(old: float, new: float) -> float:
    """Returns the exponentially smoothed value; the first counts in full."""
    return old + REPLY_SMOOTHING * (new - old) if old else new
