"""Effects: everything that a reducer asks its driver to do."""

from __future__ import annotations

import typing

import msgspec

if typing.TYPE_CHECKING:
    # Entry hosts start often, and need few of these types to run.
    from tamarack_core import messages
    from tamarack_core import peers
    from tamarack_core import requests
    from tamarack_core import timeline


class SendDatagram(msgspec.Struct):
    """Send a Geneve datagram from the data socket.

    Attributes:
        endpoint: Where to; None stands for the fabric.
        data: The UDP payload, starting with the Geneve header.
    """

    endpoint: peers.Endpoint | None
    data: bytes


class SendMessage(msgspec.Struct):
    """Send a message to another host; it may be lost.

    Attributes:
        peer: The receiver.
        message: The message. The driver joins messages to one receiver.
    """

    peer: peers.Peer
    message: messages.Message


class Respond(msgspec.Struct):
    """Answer a request.

    Attributes:
        request_id: Number of the `RequestArrived` event.
        response: The answer.
    """

    request_id: int
    response: requests.Response


class StartTimer(msgspec.Struct):
    """Fire a timer once; a running timer of that name is replaced.

    Attributes:
        timer: Name that the `TimerFired` event repeats.
        delay_s: Seconds from now.
    """

    timer: str
    delay_s: float


class Persist(msgspec.Struct):
    """Append records to the log file and sync it.

    Attributes:
        sequence: Number that the `WriteCompleted` event repeats.
        records: Encoded records in order.
    """

    sequence: int
    records: tuple[bytes, ...]


class SaveSnapshot(msgspec.Struct):
    """Replace the log file by a snapshot and records, in one atomic step.

    Attributes:
        sequence: Number that the `WriteCompleted` event repeats.
        data: The encoded snapshot.
        records: Encoded records that follow the snapshot, in order.
    """

    sequence: int
    data: bytes
    records: tuple[bytes, ...]


class SaveTargets(msgspec.Struct):
    """Keep the announced targets for the next start of this host.

    It is advice: a host that loses it learns the targets from their next
    announcements.

    Attributes:
        data: The encoded targets.
    """

    data: bytes


class ProbeTarget(msgspec.Struct):
    """Ask a target for connections until it takes one, and close it at once.

    Attributes:
        target: Name that the `TargetProbed` event repeats.
        endpoint: Address and port of the target.
        timeout_s: Seconds until the probe has failed.
        attempts: Connections that are asked for, as one packet may be lost.
        spacing_s: Seconds between the attempts.
    """

    target: str
    endpoint: peers.Endpoint
    timeout_s: float
    attempts: int = 1
    spacing_s: float = 0.0


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
        reason: Sentence for the operator.
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
