"""Settings of the proxy: links, and the schedule of their faults."""

import enum
from typing import Annotated

import msgspec

from tamarack_core import peers

Probability = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0)]


class Protocol(enum.StrEnum):
    """Protocol of a link."""

    TCP = "tcp"
    UDP = "udp"


class Direction(enum.StrEnum):
    """Direction on a link; forward is from `listen` towards `to`."""

    FORWARD = "forward"
    BACK = "back"


class Directions(enum.StrEnum):
    """Directions that a fault concerns."""

    FORWARD = "forward"
    BACK = "back"
    BOTH = "both"


class Link(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A way between two processes.

    Attributes:
        name: Name that faults refer to.
        protocol: UDP or TCP.
        listen: Where the proxy takes what goes forward.
        to: Where that goes to.
        outward: UDP endpoint that the proxy sends to `to` from, and where it
            takes what goes back; None for a socket of its own for each
            sender.
        back_to: Where that goes to; required with `outward`.
    """

    name: str
    protocol: Protocol
    listen: peers.Endpoint
    to: peers.Endpoint
    outward: peers.Endpoint | None = None
    back_to: peers.Endpoint | None = None


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is wrong with some links for some time.

    Attributes:
        links: Names of links; `*` and `?` stand for any text and character.
        senders: IP addresses of those who send to `listen`, with `*` and `?`
            as above. What goes back to them is concerned as well.
        direction: Directions concerned.
        from_s: Start in seconds after the start of the proxy.
        until_s: End in seconds after the start of the proxy; None for never.
        loss: Probability that a datagram is lost. On TCP the data is late by
            a retransmission timeout instead.
        delay_s: Delay in seconds.
        jitter_s: Highest random delay on top of that, in seconds. It doesn't
            change the order.
        duplicate: Probability that a datagram arrives twice; UDP only.
        reorder: Probability that a datagram is overtaken by later ones; UDP
            only.
        reorder_s: Delay of such a datagram on top of others, in seconds.
        partition: Whether nothing passes. No end is told: datagrams are lost,
            and data on TCP waits for the end of the partition.
    """

    links: tuple[str, ...] = ("*",)
    senders: tuple[str, ...] = ("*",)
    direction: Directions = Directions.BOTH
    from_s: Seconds = 0.0
    until_s: Seconds | None = None
    loss: Probability = 0.0
    delay_s: Seconds = 0.0
    jitter_s: Seconds = 0.0
    duplicate: Probability = 0.0
    reorder: Probability = 0.0
    reorder_s: Seconds = 0.01
    partition: bool = False


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the proxy.

    Attributes:
        links: The links.
        seed: Seed of all chance.
        schedule: Faults.
        http: Endpoint to read counters and change faults at; None for none.
    """

    links: tuple[Link, ...]
    seed: int = 0
    schedule: tuple[Fault, ...] = ()
    http: peers.Endpoint | None = None


def check(settings: Settings) -> None:
    """Checks what the types alone don't.

    Raises:
        ValueError: A value is bad; the message names it and the fix.
    """
    names = [link.name for link in settings.links]
    for index, link in enumerate(settings.links):
        path = f"$.links[{index}]"
        if names.index(link.name) != index:
            raise ValueError(f"{path}.name {link.name!r}: use a name once")
        if (link.outward is None) != (link.back_to is None):
            raise ValueError(f"{path}: give both outward and back_to, or none")
        if link.outward and link.protocol is Protocol.TCP:
            raise ValueError(f"{path}.outward: only UDP links have it")
    for index, fault in enumerate(settings.schedule):
        if fault.until_s is not None and fault.until_s < fault.from_s:
            raise ValueError(
                f"$.schedule[{index}].until_s {fault.until_s}: use a time "
                f"after from_s {fault.from_s}"
            )
