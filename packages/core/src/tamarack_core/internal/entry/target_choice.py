"""Interface between the data path and the choice of a target."""

import dataclasses
import enum
from typing import Protocol

from tamarack_core import verdict
from tamarack_core.internal.entry import lookup

NO_READY_TARGET = "no-ready-target"
"""Reason of a refusal when no target of the service takes new flows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Opening:
    """A connection that a caller opens.

    Attributes:
        flow: Packed caller address, caller port, service address, service
            port and protocol, as `lookup.flow_key` gives them.
        port: Service port that the caller opens.
        preferred: Packed IP address of the target of the last flow with this
            key, if that was closed seconds ago. Another target can't take
            the flow yet. Empty if any target may.
    """

    flow: bytes
    port: lookup.ServicePort
    preferred: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The target that takes a connection.

    Attributes:
        target: Packed IP address of the target.
    """

    target: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """No target takes the connection.

    Attributes:
        verdict: Always `not-run`, with the reason.
    """

    verdict: verdict.Verdict


class Progress(enum.Enum):
    """What the owner of a flow has seen of it."""

    OPENED = "opened"
    ESTABLISHED = "established"
    REPLIED = "replied"
    CLOSED = "closed"
    RESET_BY_TARGET = "reset-by-target"
    REFUSED_BY_TARGET = "refused-by-target"
    UNRESPONSIVE = "silent"


FINAL_PROGRESS = frozenset(
    {
        Progress.CLOSED,
        Progress.RESET_BY_TARGET,
        Progress.REFUSED_BY_TARGET,
        Progress.UNRESPONSIVE,
    }
)
"""Steps after which a flow is over."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """A step in the life of a flow.

    Attributes:
        progress: What was seen.
        target: Packed IP address of the target.
        port: Service port of the flow.
        elapsed_s: Seconds since the flow was opened.
    """

    progress: Progress
    target: bytes
    port: lookup.ServicePort
    elapsed_s: float


class Chooser(Protocol):
    """Chooses the target of each connection that this host owns."""

    def choose(self, now_s: float, opening: Opening) -> Choice | Refusal:
        """Returns the target for a connection, or the refusal of it.

        Args:
            now_s: Monotonic time in seconds.
            opening: The connection.
        """

    def may_retry(self, now_s: float, port: lookup.ServicePort) -> bool:
        """Returns whether an unanswered opening may go to another target.

        Args:
            now_s: Monotonic time in seconds.
            port: Service port of the flow.
        """

    def observe(self, now_s: float, observation: Observation) -> None:
        """Takes note of a step in the life of a flow.

        Args:
            now_s: Monotonic time in seconds.
            observation: What was seen.
        """
