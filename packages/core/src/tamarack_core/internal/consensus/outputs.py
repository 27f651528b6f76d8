"""What a replica tells the part above it."""

from typing import Protocol

import msgspec

from tamarack_core import effects
from tamarack_core import peers
from tamarack_core.internal.consensus import membership


class StateMachine(Protocol):
    """The state that the log replicates; it must be deterministic."""

    def apply(self, index: int, command: bytes) -> None:
        """Applies a committed command.

        Args:
            index: Place in the log; rises from call to call.
            command: What was proposed.
        """

    def snapshot(self) -> bytes:
        """Returns the state after the last applied command."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `snapshot` returned."""


class Applied(msgspec.Struct, frozen=True):
    """A command was handed to the state machine.

    Attributes:
        index: Place in the log.
        term: Term of the entry; a proposal at this index with another term
            was lost.
    """

    index: int
    term: int


class Restored(msgspec.Struct, frozen=True):
    """The state machine was replaced by a snapshot.

    Attributes:
        index: Place in the log that the snapshot covers. Proposals up to
            here must be looked up in the state.
    """

    index: int


class ReadCompleted(msgspec.Struct, frozen=True):
    """The state machine holds all that was acknowledged before the read.

    Attributes:
        token: Repeats the call of `read_index`.
        index: Index that had to be applied.
    """

    token: int
    index: int


class ReadFailed(msgspec.Struct, frozen=True):
    """A read could not be confirmed; it may be repeated.

    Attributes:
        token: Repeats the call of `read_index`.
        reason: Constant name of the cause.
    """

    token: int
    reason: str


class LeaderChanged(msgspec.Struct, frozen=True):
    """This replica holds another leader to be valid.

    Attributes:
        term: Term of the replica.
        leader: Host of the leader; None when there is none.
        is_self: Whether this replica leads.
    """

    term: int
    leader: peers.Peer | None
    is_self: bool


class MembershipChanged(msgspec.Struct, frozen=True):
    """A membership entry was appended, replaced or restored.

    Attributes:
        index: Place in the log.
        members: The members, learners included.
    """

    index: int
    members: tuple[membership.Member, ...]


class Halted(msgspec.Struct, frozen=True):
    """This replica must not take part any more under its identity.

    Attributes:
        reason: Constant name of the cause.
        detail: Sentence for the operator, with the fix.
    """

    reason: str
    detail: str


Output = (
    Applied
    | Restored
    | ReadCompleted
    | ReadFailed
    | LeaderChanged
    | MembershipChanged
    | Halted
)


Effects = list[effects.Effect]


class Step(msgspec.Struct):
    """Result of one call.

    Attributes:
        effects: What the driver must do, in order.
        outputs: What happened, in order.
    """

    effects: Effects = msgspec.field(default_factory=list)
    outputs: list[Output] = msgspec.field(default_factory=list)


class Proposal(msgspec.Struct):
    """A command was appended to the leader's log; it may still be lost.

    Attributes:
        index: Place in the log.
        term: Term of the entry.
        step: What the driver must do.
    """

    index: int
    term: int
    step: Step
