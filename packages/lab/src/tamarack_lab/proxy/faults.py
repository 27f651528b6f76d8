"""Decides what becomes of each datagram; seeded and without I/O."""

from collections.abc import Iterable
import fnmatch
import random

from tamarack_lab.proxy import settings as proxy_settings

Direction = proxy_settings.Direction
Fault = proxy_settings.Fault

# Data that TCP had to send again is late by about this much.
TCP_RETRANSMISSION_S = 0.2


class Channel:
    """One direction of a link, with a chance of its own.

    What passes on one way doesn't change what becomes of the rest.

    Attributes:
        link: Name of the link.
        direction: The direction.
        random: Seeded generator.
        last_s: When the latest datagram in order leaves, in seconds.
        passed: Datagrams or pieces of data passed on.
        lost: Datagrams lost.
        duplicated: Datagrams passed on twice.
        reordered: Datagrams held back for later ones.
    """

    __slots__ = (
        "direction",
        "duplicated",
        "last_s",
        "link",
        "lost",
        "passed",
        "random",
        "reordered",
    )

    def __init__(self, seed: int, link: str, direction: Direction) -> None:
        """Creates a way that nothing has passed.

        Args:
            seed: Seed of the whole proxy.
            link: Name of the link.
            direction: The direction.
        """
        self.link = link
        self.direction = direction
        self.random = random.Random(f"{seed}/{link}/{direction}")
        self.last_s = 0.0
        self.passed = 0
        self.lost = 0
        self.duplicated = 0
        self.reordered = 0


class FaultInjector:
    """Faults in force over time.

    Attributes:
        schedule: All faults.
    """

    __slots__ = ("schedule",)

    def __init__(self, schedule: Iterable[Fault]) -> None:
        """Takes a schedule.

        Args:
            schedule: All faults; their times are those given to the methods.
        """
        self.schedule = list(schedule)

    def active(
        self, channel: Channel, now_s: float, sender: str
    ) -> list[Fault]:
        """Returns the faults of a way at a time.

        Args:
            channel: The way.
            now_s: Seconds since the start of the proxy.
            sender: IP address of the end that sends forward.
        """
        return [
            fault
            for fault in self.schedule
            if fault.from_s <= now_s
            and (fault.until_s is None or now_s < fault.until_s)
            and fault.direction in (channel.direction, "both")
            and _matches(channel.link, fault.links)
            and _matches(sender, fault.senders)
        ]

    def is_partitioned(
        self, channel: Channel, now_s: float, sender: str
    ) -> bool:
        """Returns True when nothing passes a way; see `active`."""
        active = self.active(channel, now_s, sender)
        return any(fault.partition for fault in active)

    def datagram_delays(
        self, channel: Channel, now_s: float, sender: str
    ) -> list[float]:
        """Returns the delay of each copy of a datagram in seconds.

        Args:
            channel: The way that it takes.
            now_s: Seconds since the start of the proxy.
            sender: IP address of the end that sends forward.

        Returns:
            No delay when the datagram is lost, two when it is duplicated.
        """
        active = self.active(channel, now_s, sender)
        if not active:
            return self._pass(channel, now_s, 0.0)
        if any(fault.partition for fault in active) or any(
            _happens(channel, fault.loss) for fault in active
        ):
            channel.lost += 1
            return []
        delay_s = _delay(channel, active)
        copies = self._pass(channel, now_s, delay_s)
        held = [f for f in active if _happens(channel, f.reorder)]
        if held:
            channel.reordered += 1
            copies = [delay_s + max(f.reorder_s for f in held)]
        if any(_happens(channel, fault.duplicate) for fault in active):
            channel.duplicated += 1
            copies.append(copies[0] + _delay(channel, active))
        return copies

    def stream_delay(
        self, channel: Channel, now_s: float, sender: str
    ) -> float:
        """Returns the delay of a piece of data on TCP in seconds.

        The delay of a partition is not part of it, since its end may change.

        Args:
            channel: The way that it takes.
            now_s: Seconds since the start of the proxy.
            sender: IP address of the end that sends forward.
        """
        active = self.active(channel, now_s, sender)
        delay_s = _delay(channel, active)
        if any(_happens(channel, fault.loss) for fault in active):
            channel.lost += 1
            delay_s += TCP_RETRANSMISSION_S
        (delay_s,) = self._pass(channel, now_s, delay_s)
        return delay_s

    def _pass(
        self, channel: Channel, now_s: float, delay_s: float
    ) -> list[float]:
        """Returns a delay that keeps the order of a way."""
        channel.passed += 1
        channel.last_s = max(channel.last_s, now_s + delay_s)
        return [channel.last_s - now_s]


def _matches(text: str, patterns: tuple[str, ...]) -> bool:
    """Returns True when a text matches one of some patterns."""
    return any(fnmatch.fnmatchcase(text, pattern) for pattern in patterns)


def _happens(channel: Channel, probability: float) -> bool:
    """Returns True with a probability; draws only when it isn't certain."""
    return probability > 0.0 and channel.random.random() < probability


def _delay(channel: Channel, active: list[Fault]) -> float:
    """Returns the sum of the delays of some faults in seconds."""
    return sum(
        fault.delay_s + fault.jitter_s * channel.random.random()
        if fault.jitter_s
        else fault.delay_s
        for fault in active
    )
