"""Events: inputs of the reducer.

Each event carries the monotonic time at which the driver observed it; the core
has no other clock.
"""

from __future__ import annotations

import enum
import typing

import msgspec

if typing.TYPE_CHECKING:
    # Saves start-up time: entry hosts start often and need few of these types
    # at run time.
    from tamarack_core import messages
    from tamarack_core import peers
    from tamarack_core import requests


class Started(msgspec.Struct):
    """The driver is ready to carry out effects.

    Attributes:
        now_s: Monotonic time in seconds.
        wall_ms: Wall-clock time in milliseconds.
    """

    now_s: float
    wall_ms: int


class StopRequested(msgspec.Struct):
    """The operator requested a graceful stop.

    Attributes:
        now_s: Monotonic time in seconds.
    """

    now_s: float


class DatagramArrived(msgspec.Struct):
    """A Geneve datagram arrived on the data socket.

    Attributes:
        now_s: Monotonic time in seconds.
        data: The UDP payload, starting with the Geneve header.
    """

    now_s: float
    data: bytes


class MessageArrived(msgspec.Struct):
    """A message from another host arrived.

    Attributes:
        now_s: Monotonic time in seconds.
        sender: The host that sent it.
        message: The decoded message.
    """

    now_s: float
    sender: peers.Peer
    message: messages.Message


class RequestArrived(msgspec.Struct):
    """A target or an operator sent a request over HTTP.

    Attributes:
        now_s: Monotonic time in seconds.
        request_id: Number of the request, also in the `Respond` effect.
        request: The decoded request.
    """

    now_s: float
    request_id: int
    request: requests.Request


class TimerFired(msgspec.Struct):
    """A timer that the core started has expired.

    Attributes:
        now_s: Monotonic time in seconds.
        timer: Name from the `StartTimer` effect.
    """

    now_s: float
    timer: str


class WriteCompleted(msgspec.Struct):
    """The write of a `Persist` or `SaveSnapshot` effect is synced to disk.

    Attributes:
        now_s: Monotonic time in seconds.
        sequence: Sequence number of the effect.
    """

    now_s: float
    sequence: int


class SeedsChanged(msgspec.Struct):
    """The settings were reloaded and name other control hosts as seeds.

    Attributes:
        now_s: Monotonic time in seconds.
        seeds: Control hosts to contact first.
    """

    now_s: float
    seeds: tuple[peers.Peer, ...]


class ProbeOutcome(enum.StrEnum):
    """What a probe found."""

    ACCEPTED = "accepted"
    RESET = "reset"
    """A connection was established, and the target reset it."""
    REFUSED = "refused"
    """Nothing listens at the endpoint."""
    UNANSWERED = "unanswered"
    NOT_SENT = "not-sent"
    """This host could not send the probe."""

    @property
    def is_reply(self) -> bool:
        """Whether the target replied.

        A target whose queue of connections is full may reset one that was
        established, while it serves its flows.
        """
        return self in (ProbeOutcome.ACCEPTED, ProbeOutcome.RESET)


class TargetProbed(msgspec.Struct):
    """A probe of a target has ended.

    Attributes:
        now_s: Monotonic time in seconds.
        target: Name from the `ProbeTarget` effect.
        outcome: What the probe found.
        number: Number from the `ProbeTarget` effect.
    """

    now_s: float
    target: str
    outcome: ProbeOutcome
    number: int = 0


Event = (
    Started
    | TargetProbed
    | SeedsChanged
    | StopRequested
    | DatagramArrived
    | MessageArrived
    | RequestArrived
    | TimerFired
    | WriteCompleted
)
