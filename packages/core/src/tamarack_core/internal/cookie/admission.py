"""Decides which openings are admitted while the targets of a service are busy.

Load pattern: all entry hosts return at once after a loss of power. The openings
of two seconds come back in one wave, beside those of callers that open now, and
fill the queues of all targets. Each request then waits until it is late, and
targets reject what exceeds their queues.

An opening that is repeated is the oldest: its request is late already, whereas
a new one can still be answered in time. So repeated openings wait as soon as
the targets are busy, and new ones only when the queues are nearly full. An
opening that waits gets no reply, and its caller sends it again 0.2 and 0.6 s
after the first time. A reset would not make callers wait: they open their next
flow within milliseconds, and have failed for good after three of them.

If the queues stay full, what exceeds them can't be served, and is refused at
once. A repeated opening is never refused: an earlier copy may have opened the
flow through another host, and a refusal would reset it.

A host sees only the requests that pass through it. It may use its share of the
slots of a service: an equal one for each entry host.
"""

import enum

from tamarack_core import documents

QUEUED_PER_SLOT = 4.5
"""Requests for each slot from which on new openings wait. Targets queue about
this many and reject more."""

BUSY_PER_SLOT = 2.0
"""Requests for each slot from which on repeated openings wait."""

NON_IDEMPOTENT_FACTOR = 1.25
"""Factor by which the limits are higher for requests that must not be repeated:
their callers can't recover them after a failure."""

MIN_QUEUED = 6.0
"""Smallest limit for new openings. Where hosts outnumber slots, the requests at
one host vary by chance although the targets are idle."""

MIN_BUSY = 3.0
"""Smallest limit for repeated openings."""

QUEUE_AGE_S = 0.4
"""Age up to which requests count as queued, in seconds. The reply to an older
one went through another host, or its target does not reply at all."""

SUSTAINED_S = 3.0
"""Time over the limit for new openings after which they are refused, in
seconds. A caller gives up an opening after 1.4 s."""


class Admission(enum.Enum):
    """What happens to an opening."""

    ADMITTED = "admitted"
    DEFERRED = "deferred"
    REFUSED = "refused"


class AdmissionControl:
    """Admits, defers or refuses openings by the load of their service.

    Attributes:
        full_since_s: Time since which new openings of a service exceed the
            limit, in seconds, by service.
    """

    __slots__ = ("full_since_s",)

    def __init__(self) -> None:
        """Initializes the control without load."""
        self.full_since_s: dict[str, float] = {}

    def observe_room(self, service: str) -> None:
        """Records that the queues of a service are not full."""
        self.full_since_s.pop(service, None)

    def decide(
        self,
        now_s: float,
        service: str,
        kind: documents.WorkKind,
        *,
        is_repeated: bool,
        pending: int,
        share: float,
    ) -> Admission:
        """Returns whether an opening is admitted.

        Args:
            now_s: Monotonic time in seconds.
            service: Service of the flow.
            kind: Whether the requests of the route may be repeated.
            is_repeated: Whether the caller has sent the opening before.
            pending: Requests in progress at the service through this host, up
                to `QUEUE_AGE_S` old.
            share: Slots of the service that this host may use.
        """
        queued = max(QUEUED_PER_SLOT * share, MIN_QUEUED)
        if pending <= queued:
            self.observe_room(service)
        factor = 1.0
        if kind is documents.WorkKind.NON_IDEMPOTENT:
            factor = NON_IDEMPOTENT_FACTOR
        if is_repeated:
            busy = max(BUSY_PER_SLOT * share, MIN_BUSY)
            is_busy = pending > factor * busy
            return Admission.DEFERRED if is_busy else Admission.ADMITTED
        if pending <= factor * queued:
            return Admission.ADMITTED
        since_s = self.full_since_s.setdefault(service, now_s)
        if now_s - since_s > SUSTAINED_S:
            return Admission.REFUSED
        return Admission.DEFERRED
