"""Context that all components of one host share."""

import collections
import random

from tamarack_core import effects
from tamarack_core import peers
from tamarack_core import timeline

MS_PER_S = 1000


class Context:
    """Identity, random generator, clocks and counters of one host.

    Attributes:
        host: Identity and addresses of this host.
        random: Seeded generator; the only source of randomness in the core.
        clock: Hybrid logical clock that stamps entries of the time line.
        counters: Counters by name, such as `dropped-ip-fragment`.
        gauges: Current values by name, such as `evacuation_revision`.
        wall_offset_ms: Wall-clock time minus monotonic time, in milliseconds.
    """

    __slots__ = (
        "clock",
        "counters",
        "gauges",
        "host",
        "random",
        "wall_offset_ms",
    )

    def __init__(self, host: peers.Peer, seed: int) -> None:
        """Initializes the context of a host that has not started.

        Args:
            host: Identity and addresses of this host.
            seed: Seed of the random generator.
        """
        self.host = host
        self.random = random.Random(seed)
        self.clock = timeline.HybridClock()
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.wall_offset_ms = 0

    def start(self, now_s: float, wall_ms: int) -> None:
        """Sets the offset between the wall clock and the monotonic clock.

        Args:
            now_s: Monotonic time in seconds.
            wall_ms: Wall-clock time in milliseconds.
        """
        self.wall_offset_ms = wall_ms - int(now_s * MS_PER_S)

    def wall_ms(self, now_s: float) -> int:
        """Returns the wall-clock time in ms at a monotonic time in seconds."""
        return int(now_s * MS_PER_S) + self.wall_offset_ms

    def record(
        self,
        now_s: float,
        name: str,
        *,
        service: str = "",
        target: str = "",
        flow: str = "",
        version: int = 0,
        verdict: str = "",
        reason: str = "",
        detail: str = "",
    ) -> effects.Record:
        """Returns the effect that adds an entry to the time line.

        Args:
            now_s: Monotonic time in seconds.
            name: Constant name of the event.
            service: Service concerned, if any.
            target: Target concerned, if any.
            flow: Flow concerned, if any.
            version: Configuration version concerned, if any.
            verdict: Outcome of the request concerned, if any.
            reason: Constant name of the cause.
            detail: Message for an operator.
        """
        stamp = self.clock.tick(self.wall_ms(now_s))
        entry = timeline.Entry(
            stamp=stamp,
            host=self.host.host,
            name=name,
            service=service,
            target=target,
            flow=flow,
            version=version,
            verdict=verdict,
            reason=reason,
            detail=detail,
        )
        return effects.Record(entry)
