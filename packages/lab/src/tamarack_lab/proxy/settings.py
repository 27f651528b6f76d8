"""Settings of the proxy: links and the schedule of their faults."""

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
    """Direction on a link; forward is from `listen` to `to`."""

    FORWARD = "forward"
    BACK = "back"


class Directions(enum.StrEnum):
    """Directions that a fault applies to."""

    FORWARD = "forward"
    BACK = "back"
    BOTH = "both"


class Link(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A proxied connection between two processes.

    Attributes:
        name: Name that faults refer to.
        protocol: UDP or TCP.
        listen: Endpoint at which the proxy receives forward traffic.
        to: Destination of the forward traffic.
        outward: UDP endpoint from which the proxy sends to `to`, and at which
            it receives the traffic that goes back. If None, each sender gets
            its own socket.
        back_to: Destination of the traffic that goes back; required with
            `outward`.
    """

    name: str
    protocol: Protocol
    listen: peers.Endpoint
    to: peers.Endpoint
    outward: peers.Endpoint | None = None
    back_to: peers.Endpoint | None = None


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Impairment of some links for a period of time.

    Attributes:
        links: Names of the affected links as glob patterns: `*` matches any
            text and `?` any character.
        senders: IP addresses of the affected ends that send to `listen`, as
            glob patterns. Traffic back to these ends is affected as well.
        direction: Affected directions.
        from_s: Start, in seconds since the start of the proxy.
        until_s: End, in seconds since the start of the proxy; None for no
            end.
        loss: Probability that a datagram is lost. TCP data is delayed by a
            retransmission timeout instead.
        delay_s: Fixed delay in seconds.
        jitter_s: Upper bound of a random delay in addition to `delay_s`, in
            seconds. Jitter does not reorder datagrams.
        duplicate: Probability that a datagram arrives twice; UDP only.
        reorder: Probability that a datagram is overtaken by later ones; UDP
            only.
        reorder_s: Additional delay of a reordered datagram in seconds.
        partition: Whether all traffic is blocked. Neither end is notified:
            datagrams are lost, and TCP data waits for the end of the
            partition.
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
        seed: Seed of all random decisions.
        schedule: Faults.
        http: Endpoint of the HTTP interface, which shows the counters and
            replaces the faults; None to disable it.
    """

    links: tuple[Link, ...]
    seed: int = 0
    schedule: tuple[Fault, ...] = ()
    http: peers.Endpoint | None = None


def check(settings: Settings) -> None:
    """Checks constraints that the types of the fields do not express.

    Raises:
        ValueError: A value is invalid. The message names it and the fix.
    """
    names = [link.name for link in settings.links]
    for index, link in enumerate(settings.links):
        path = f"$.links[{index}]"
        if names.index(link.name) != index:
            raise ValueError(f"{path}.name {link.name!r}: use each name once")
        if (link.outward is None) != (link.back_to is None):
            raise ValueError(f"{path}: set outward and back_to, or neither")
        if link.outward and link.protocol is Protocol.TCP:
            raise ValueError(f"{path}.outward: only UDP links support it")
    for index, fault in enumerate(settings.schedule):
        if fault.until_s is not None and fault.until_s < fault.from_s:
            raise ValueError(
                f"$.schedule[{index}].until_s {fault.until_s}: use a time "
                f"after from_s {fault.from_s}"
            )
