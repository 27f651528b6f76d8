"""Events: everything that a reducer reacts to.

Each event carries the monotonic time at which the driver saw it; the core has
no other clock.
"""

from __future__ import annotations

import typing

import msgspec

if typing.TYPE_CHECKING:
    # Entry hosts start often, and need few of these types to run.
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
    """The operator asked for a graceful stop.

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
    """A message of another host arrived.

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
        request_id: Number that the `Respond` effect repeats.
        request: The decoded request.
    """

    now_s: float
    request_id: int
    request: requests.Request


class TimerFired(msgspec.Struct):
    """A timer that the core started has run out.

    Attributes:
        now_s: Monotonic time in seconds.
        timer: Name given in the `StartTimer` effect.
    """

    now_s: float
    timer: str


class WriteCompleted(msgspec.Struct):
    """Records handed over by a `Persist` effect are synced to disk.

    Attributes:
        now_s: Monotonic time in seconds.
        sequence: Number of the `Persist` effect.
    """

    now_s: float
    sequence: int


class SeedsChanged(msgspec.Struct):
    """The settings name other control hosts to begin with.

    Attributes:
        now_s: Monotonic time in seconds.
        seeds: The control hosts.
    """

    now_s: float
    seeds: tuple[peers.Peer, ...]


class TargetProbed(msgspec.Struct):
    """A probe has ended.

    Attributes:
        now_s: Monotonic time in seconds.
        target: Name given in the `ProbeTarget` effect.
        is_answered: Whether the target took the connection.
    """

    now_s: float
    target: str
    is_answered: bool


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
