"""Decisions on loss, delay and duplication; seeded and without I/O."""

from collections.abc import Iterable
import fnmatch
import random

from tamarack_lab.proxy import settings as proxy_settings

Direction = proxy_settings.Direction
Fault = proxy_settings.Fault

# Approximate delay that a TCP retransmission adds to lost data.
TCP_RETRANSMISSION_S = 0.2


class Channel:
    """One direction of a link, with its own random generator.

    Because of the separate generator, the traffic of one channel does not
    influence the faults of the others.

    Attributes:
        link: Name of the link.
        direction: The direction.
        random: Generator seeded by the proxy's seed, the link and the
            direction.
        last_departure_s: Latest in-order departure time so far, in seconds
            since the start of the proxy.
        passed: Number of datagrams or stream chunks passed on.
        lost: Number of datagrams or stream chunks that were hit by a loss.
        duplicated: Number of datagrams sent twice.
        reordered: Number of datagrams held back so that later ones overtake
            them.
    """

    __slots__ = (
        "direction",
        "duplicated",
        "last_departure_s",
        "link",
        "lost",
        "passed",
        "random",
        "reordered",
    )

    def __init__(self, seed: int, link: str, direction: Direction) -> None:
        """Initializes a channel without traffic.

        Args:
            seed: Seed of the proxy.
            link: Name of the link.
            direction: The direction.
        """
        self.link = link
        self.direction = direction
        self.random = random.Random(f"{seed}/{link}/{direction}")
        self.last_departure_s = 0.0
        self.passed = 0
        self.lost = 0
        self.duplicated = 0
        self.reordered = 0


class FaultInjector:
    """Applies a schedule of faults to datagrams and stream data.

    Attributes:
        schedule: All faults, active or not.
    """

    __slots__ = ("schedule",)

    def __init__(self, schedule: Iterable[Fault]) -> None:
        """Initializes the injector.

        Args:
            schedule: All faults. Their times refer to the same clock as
                `now_s` of the methods.
        """
        self.schedule = list(schedule)

    def active(
        self, channel: Channel, now_s: float, sender: str
    ) -> list[Fault]:
        """Returns the faults that apply to a channel at a given time.

        Args:
            channel: The channel.
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
        """Returns True if a partition blocks a channel; see `active`."""
        active = self.active(channel, now_s, sender)
        return any(fault.partition for fault in active)

    def datagram_delays(
        self, channel: Channel, now_s: float, sender: str
    ) -> list[float]:
        """Returns the delay of each copy of a datagram in seconds.

        Args:
            channel: Channel that carries it.
            now_s: Seconds since the start of the proxy.
            sender: IP address of the end that sends forward.

        Returns:
            An empty list if the datagram is lost, two delays if it is
            duplicated, otherwise one delay.
        """
        active = self.active(channel, now_s, sender)
        if not active:
            return self._keep_order(channel, now_s, 0.0)
        if any(fault.partition for fault in active) or any(
            _draw(channel, fault.loss) for fault in active
        ):
            channel.lost += 1
            return []
        delay_s = _total_delay(channel, active)
        copies = self._keep_order(channel, now_s, delay_s)
        held = [f for f in active if _draw(channel, f.reorder)]
        if held:
            channel.reordered += 1
            copies = [delay_s + max(f.reorder_s for f in held)]
        if any(_draw(channel, fault.duplicate) for fault in active):
            channel.duplicated += 1
            copies.append(copies[0] + _total_delay(channel, active))
        return copies

    def stream_delay(
        self, channel: Channel, now_s: float, sender: str
    ) -> float:
        """Returns the delay of a chunk of TCP data in seconds.

        The delay does not include the rest of a partition, because the end of
        the partition may still change.

        Args:
            channel: Channel that carries it.
            now_s: Seconds since the start of the proxy.
            sender: IP address of the end that sends forward.
        """
        active = self.active(channel, now_s, sender)
        delay_s = _total_delay(channel, active)
        if any(_draw(channel, fault.loss) for fault in active):
            channel.lost += 1
            delay_s += TCP_RETRANSMISSION_S
        (delay_s,) = self._keep_order(channel, now_s, delay_s)
        return delay_s

    def _keep_order(
        self, channel: Channel, now_s: float, delay_s: float
    ) -> list[float]:
        """Counts a passed item and returns its delay without reordering.

        The delay is extended if the item would overtake an earlier one.
        """
        channel.passed += 1
        channel.last_departure_s = max(
            channel.last_departure_s, now_s + delay_s
        )
        return [channel.last_departure_s - now_s]


def _matches(text: str, patterns: tuple[str, ...]) -> bool:
    """Returns True if a text matches any of the glob patterns."""
    return any(fnmatch.fnmatchcase(text, pattern) for pattern in patterns)


def _draw(channel: Channel, probability: float) -> bool:
    """Returns True with the given probability.

    A probability of 0 consumes no random number, so that unused faults do not
    change the sequence of the generator.
    """
    return probability > 0.0 and channel.random.random() < probability


def _total_delay(channel: Channel, active: list[Fault]) -> float:
    """Returns the sum of the fixed and random delays of faults in seconds."""
    return sum(
        fault.delay_s + fault.jitter_s * channel.random.random()
        if fault.jitter_s
        else fault.delay_s
        for fault in active
    )
