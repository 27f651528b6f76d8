"""Events: everything that a reducer reacts to.

Each event carries the monotonic time at which the driver saw it; the core has
no other clock.
"""

import dataclasses

from tamarack_core import messages
from tamarack_core import peers
from tamarack_core import requests


@dataclasses.dataclass(slots=True)
class Started:
    """The driver is ready to carry out effects.

    Attributes:
        now_s: Monotonic time in seconds.
        wall_ms: Wall-clock time in milliseconds.
    """

    now_s: float
    wall_ms: int


@dataclasses.dataclass(slots=True)
class StopRequested:
    """The operator asked for a graceful stop.

    Attributes:
        now_s: Monotonic time in seconds.
    """

    now_s: float


@dataclasses.dataclass(slots=True)
class DatagramArrived:
    """A Geneve datagram arrived on the data socket.

    Attributes:
        now_s: Monotonic time in seconds.
        data: The UDP payload, starting with the Geneve header.
    """

    now_s: float
    data: bytes


@dataclasses.dataclass(slots=True)
class MessageArrived:
    """A message of another host arrived.

    Attributes:
        now_s: Monotonic time in seconds.
        sender: The host that sent it.
        message: The decoded message.
    """

    now_s: float
    sender: peers.Peer
    message: messages.Message


@dataclasses.dataclass(slots=True)
class RequestArrived:
    """A target or an operator sent a request over HTTP.

    Attributes:
        now_s: Monotonic time in seconds.
        request_id: Number that the `Respond` effect repeats.
        request: The decoded request.
    """

    now_s: float
    request_id: int
    request: requests.Request


@dataclasses.dataclass(slots=True)
class TimerFired:
    """A timer that the core started has run out.

    Attributes:
        now_s: Monotonic time in seconds.
        timer: Name given in the `StartTimer` effect.
    """

    now_s: float
    timer: str


@dataclasses.dataclass(slots=True)
class WriteCompleted:
    """Records handed over by a `Persist` effect are synced to disk.

    Attributes:
        now_s: Monotonic time in seconds.
        sequence: Number of the `Persist` effect.
    """

    now_s: float
    sequence: int


@dataclasses.dataclass(slots=True)
class SeedsChanged:
    """The settings name other control hosts to begin with.

    Attributes:
        now_s: Monotonic time in seconds.
        seeds: The control hosts.
    """

    now_s: float
    seeds: tuple[peers.Peer, ...]


Event = (
    Started
    | SeedsChanged
    | StopRequested
    | DatagramArrived
    | MessageArrived
    | RequestArrived
    | TimerFired
    | WriteCompleted
)
