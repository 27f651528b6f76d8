"""Interface between the data path and the choice of a target."""

import dataclasses
import enum
from typing import Protocol

from tamarack_core import verdict
from tamarack_core.internal.entry import lookup

NO_READY_TARGET = "no-ready-target"
"""Reason of a refusal when no target of the service takes new flows."""

DOMAIN_EVACUATED = "domain-evacuated"
"""Reason of a refusal when only the evacuation of failure domains keeps all
targets of the service from taking new flows."""

NO_TARGET_REASONS = frozenset({NO_READY_TARGET, DOMAIN_EVACUATED})
"""Reasons of a refusal that another target, once known, would prevent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Opening:
    """A connection that a caller opens.

    Attributes:
        flow: Flow key, as returned by `lookup.flow_key`: packed caller
            address, caller port, service address, service port and protocol.
        port: Service port that the caller opens.
        required: Packed IP address of the only target that can take the flow:
            that of the last flow with this key, if that flow was closed
            seconds ago. The owner drops the packet if another one is chosen.
            Empty if any target can take it.
    """

    flow: bytes
    port: lookup.ServicePort
    required: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The target that takes a connection.

    Attributes:
        target: Packed IP address of the target.
    """

    target: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a connection that no target takes.

    Attributes:
        verdict: Always `not-run`, with the reason.
        has_evacuated: Whether the evacuation of failure domains takes targets
            of the service away; an earlier copy of the opening may have opened
            the flow at one of them.
    """

    verdict: verdict.Verdict
    has_evacuated: bool = False


class Progress(enum.Enum):
    """Progress of a flow, as seen by its owner.

    OPENED: a target was chosen, or the flow was taken over from another owner.
    ESTABLISHED: the handshake is complete.
    REPLIED: the target has sent payload.
    CLOSED: the flow has ended, by FINs, a reset of the caller or its idle
        timeout; it was cancelled, or released to another owner.
    RESET_BY_TARGET: the target reset the flow after the handshake.
    REFUSED_BY_TARGET: the target reset the flow before the handshake.
    UNRESPONSIVE: the target did not reply to the opening in time.
    """

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
"""Progress after which a flow is over."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Change of the progress of a flow.

    Attributes:
        progress: The new progress.
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
        """Handles a change of the progress of a flow.

        Args:
            now_s: Monotonic time in seconds.
            observation: The change.
        """
