"""Outputs of a replica to the component that owns it."""

from typing import Protocol

import msgspec

from tamarack_core import effects
from tamarack_core import peers
from tamarack_core.internal.consensus import membership


class StateMachine(Protocol):
    """State that the log replicates; it must be deterministic."""

    def apply(self, index: int, command: bytes) -> None:
        """Applies a committed command.

        Args:
            index: Index of the entry; increases from call to call.
            command: The proposed command.
        """

    def snapshot(self) -> bytes:
        """Returns the state after the last applied command."""

    def restore(self, data: bytes) -> None:
        """Replaces the state with one that `snapshot` returned."""


class Applied(msgspec.Struct, frozen=True):
    """A command was applied to the state machine.

    Attributes:
        index: Index of the entry.
        term: Term of the entry; a proposal with this index and another term
            was lost.
    """

    index: int
    term: int


class Restored(msgspec.Struct, frozen=True):
    """The state machine was restored from a snapshot.

    Attributes:
        index: Index of the last entry that the snapshot covers. Only the
            state shows whether proposals up to this index were applied.
    """

    index: int


class ReadCompleted(msgspec.Struct, frozen=True):
    """The state machine contains all that was acknowledged before the read.

    Attributes:
        token: Token passed to `read_index`.
        index: Read index; the state machine has applied it.
    """

    token: int
    index: int


class ReadFailed(msgspec.Struct, frozen=True):
    """A read could not be confirmed; the caller may retry it.

    Attributes:
        token: Token passed to `read_index`.
        reason: Constant name of the cause.
    """

    token: int
    reason: str


class LeaderChanged(msgspec.Struct, frozen=True):
    """The leader that this replica recognizes has changed.

    Attributes:
        term: Term of the replica.
        leader: Host of the leader; None if no leader is known.
        is_self: Whether this replica leads.
    """

    term: int
    leader: peers.Peer | None
    is_self: bool


class MembershipChanged(msgspec.Struct, frozen=True):
    """The newest membership in the log changed.

    Attributes:
        index: Index of the membership entry.
        members: The members, including learners.
    """

    index: int
    members: tuple[membership.Member, ...]


class StandInStarted(msgspec.Struct, frozen=True):
    """A voter has lost its disk, and this standby votes in its place.

    Attributes:
        lost: Incarnation of the voter.
    """

    lost: str


class Halted(msgspec.Struct, frozen=True):
    """This replica has stopped for good under its current incarnation.

    Attributes:
        reason: Constant name of the cause.
        detail: Message for the operator, with the remedy.
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
    | StandInStarted
    | Halted
)


Effects = list[effects.Effect]


class Step(msgspec.Struct):
    """Result of one call to a replica.

    Attributes:
        effects: Effects that the driver must carry out, in order.
        outputs: Outputs for the owner of the replica, in order.
    """

    effects: Effects = msgspec.field(default_factory=list)
    outputs: list[Output] = msgspec.field(default_factory=list)


class Proposal(msgspec.Struct):
    """An entry was appended to the leader's log; it may still be lost.

    Attributes:
        index: Index of the entry.
        term: Term of the entry.
        step: Result of the call.
    """

    index: int
    term: int
    step: Step
