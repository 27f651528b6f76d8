"""Time line: events of all hosts in an order that respects causality."""

from collections.abc import Iterable

import msgspec

MAX_WALL_MS = 253_402_300_799_999
"""Latest wall-clock time of a stamp, in milliseconds: the end of the year
9999."""

MAX_COUNTER = (1 << 53) - 1
"""Largest counter of a stamp that another host can have reached."""


class Stamp(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Reading of a hybrid logical clock.

    Attributes:
        wall_ms: Highest wall-clock time seen, in milliseconds.
        counter: Order among stamps of the same millisecond.
    """

    wall_ms: int
    counter: int


class HybridClock:
    """Hybrid logical clock of one host.

    Attributes:
        latest: Last stamp issued or received.
    """

    __slots__ = ("latest",)

    def __init__(self) -> None:
        """Initializes the clock at the epoch; the first `tick` moves it."""
        self.latest = Stamp(0, 0)

    def tick(self, wall_ms: int) -> Stamp:
        """Returns a stamp later than all earlier ones.

        Args:
            wall_ms: Wall-clock time of the host in milliseconds.
        """
        if wall_ms > self.latest.wall_ms:
            self.latest = Stamp(wall_ms, 0)
        else:
            self.latest = Stamp(self.latest.wall_ms, self.latest.counter + 1)
        return self.latest

    def observe(self, remote: Stamp) -> bool:
        """Advances to a stamp received from another host.

        A stamp out of range is ignored: all hosts would adopt it for good, and
        their own stamps could become too large to encode.

        Returns:
            Whether the stamp is in range.
        """
        if remote.wall_ms > MAX_WALL_MS or remote.counter > MAX_COUNTER:
            return False
        self.latest = max(self.latest, remote)
        return True


class Entry(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of the time line.

    Attributes:
        stamp: Position in the order.
        host: Host that recorded the event.
        name: Constant name of the event, such as `target-ejected`.
        service: Service concerned, if any.
        target: Target concerned, if any.
        flow: Flow concerned in text form, if any.
        version: Configuration version concerned, if any.
        verdict: Outcome of the request concerned, if any.
        reason: Constant name of the cause, if any.
        detail: Message for an operator.
    """

    stamp: Stamp
    host: str
    name: str
    service: str = ""
    target: str = ""
    flow: str = ""
    version: int = 0
    verdict: str = ""
    reason: str = ""
    detail: str = ""


def encode(entries: Iterable[Entry]) -> bytes:
    """Returns entries as JSON, the form in which hosts respond with them."""
    return msgspec.json.encode(list(entries))
