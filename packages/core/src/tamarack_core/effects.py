"""Effects: actions that the reducer requests of its driver."""

from __future__ import annotations

import typing

import msgspec

if typing.TYPE_CHECKING:
    # Saves start-up time: entry hosts start often and need few of these types
    # at run time.
    from tamarack_core import messages
    from tamarack_core import peers
    from tamarack_core import requests
    from tamarack_core import timeline


class SendDatagram(msgspec.Struct):
    """Send a Geneve datagram from the data socket.

    Attributes:
        endpoint: Destination; None stands for the fabric.
        data: The UDP payload, starting with the Geneve header.
    """

    endpoint: peers.Endpoint | None
    data: bytes


class SendMessage(msgspec.Struct):
    """Send a message to another host; it may be lost.

    Attributes:
        peer: The receiver.
        message: The message. The driver batches messages to one receiver.
    """

    peer: peers.Peer
    message: messages.Message


class Respond(msgspec.Struct):
    """Respond to a request.

    Attributes:
        request_id: Number of the `RequestArrived` event.
        response: The response.
    """

    request_id: int
    response: requests.Response


class StartTimer(msgspec.Struct):
    """Start a one-shot timer; replaces a running timer of the same name.

    Attributes:
        timer: Name of the timer, also in the `TimerFired` event.
        delay_s: Seconds from now.
    """

    timer: str
    delay_s: float


class Persist(msgspec.Struct):
    """Append records to the log file and sync it.

    Attributes:
        sequence: Number of the write, also in the `WriteCompleted` event.
        records: Encoded records in order.
    """

    sequence: int
    records: tuple[bytes, ...]


class SaveSnapshot(msgspec.Struct):
    """Replace the log file atomically by a snapshot and records.

    Attributes:
        sequence: Number of the write, also in the `WriteCompleted` event.
        data: The encoded snapshot.
        records: Encoded records that follow the snapshot, in order.
    """

    sequence: int
    data: bytes
    records: tuple[bytes, ...]


class SaveTargets(msgspec.Struct):
    """Save the announced targets for the next start of this host.

    The driver may skip the write: a host without the data learns the targets
    from their next announcements.

    Attributes:
        data: The encoded targets.
    """

    data: bytes


class ProbeTarget(msgspec.Struct):
    """Probe a target over TCP; a connection that opens is closed at once.

    Attributes:
        target: Name of the target, also in the `TargetProbed` event.
        endpoint: Address and port of the target.
        timeout_s: Seconds until the probe fails.
        attempts: Maximum number of connection attempts; more than one, as a
            packet may be lost.
        spacing_s: Seconds between the attempts.
        delay_s: Seconds until the first attempt.
        number: Number of the probe, also in the `TargetProbed` event.
    """

    target: str
    endpoint: peers.Endpoint
    timeout_s: float
    attempts: int = 1
    spacing_s: float = 0.0
    delay_s: float = 0.0
    number: int = 0


class Record(msgspec.Struct):
    """Add an entry to the time line and write it to the log.

    Attributes:
        entry: The entry.
    """

    entry: timeline.Entry


class Stop(msgspec.Struct):
    """End the process.

    Attributes:
        exit_code: Exit status of the process.
        reason: Message for the operator.
    """

    exit_code: int
    reason: str


Effect = (
    SendDatagram
    | SendMessage
    | Respond
    | StartTimer
    | Persist
    | SaveSnapshot
    | SaveTargets
    | ProbeTarget
    | Record
    | Stop
)
