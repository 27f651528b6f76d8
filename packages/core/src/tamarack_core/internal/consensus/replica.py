"""One replica of the log: dispatches calls and completes their results."""

from collections.abc import Sequence
import math
import random

from tamarack_core import effects
from tamarack_core import failure
from tamarack_core import peers
from tamarack_core.internal.consensus import elections
from tamarack_core.internal.consensus import follower
from tamarack_core.internal.consensus import interface
from tamarack_core.internal.consensus import log_parameters
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import membership_checks
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import read_forwarding
from tamarack_core.internal.consensus import records
from tamarack_core.internal.consensus import replication
from tamarack_core.internal.consensus import roles
from tamarack_core.internal.consensus import snapshots
from tamarack_core.internal.consensus import standing
from tamarack_core.internal.consensus import state as states
from tamarack_core.messages import consensus

# Lower bound of timer delays; prevents a busy loop if a timer fires early.
MIN_DELAY_S = 0.001

_MEMBER_ONLY_MESSAGES = (
    consensus.VoteResponse,
    consensus.AppendResponse,
    consensus.SnapshotResponse,
    consensus.ReadRequest,
)


class Replica:
    """One replica of the log; `interface.ReplicatedLog` describes the calls.

    Attributes:
        state: State of the replica; read-only for its owner.
    """

    __slots__ = ("state",)

    def __init__(
        self,
        own: membership.Member,
        voters: Sequence[membership.Member],
        generator: random.Random,
        machine: outputs.StateMachine,
        parameters: log_parameters.LogParameters | None = None,
    ) -> None:
        """Initializes a replica with an empty disk.

        Args:
            own: Host and incarnation of this replica.
            voters: Membership before the first entry; the same at all replicas
                that start with one, empty at a replica that joins later.
            generator: Seeded generator, the only source of randomness.
            machine: The state machine that the log replicates.
            parameters: Times and sizes; the defaults if None.
        """
        self.state = states.State(
            own,
            voters,
            generator,
            machine,
            parameters or log_parameters.LogParameters(),
        )

    def recover(
        self, snapshot: bytes | None, encoded: Sequence[bytes]
    ) -> failure.Failure | None:
        """Restores the state from disk; must be called before `start`.

        Args:
            snapshot: Data of the last completed `SaveSnapshot`, if any.
            encoded: The records of that effect and of each later `Persist`, in
                order.

        Returns:
            Why the contents of the disk can't be read, or None.
        """
        return snapshots.recover(self.state, snapshot, encoded)

    def start(self, now_s: float) -> outputs.Step:
        """Starts to take part; the step outputs what was recovered."""
        self.state.reset_election_timer(now_s)
        if self.state.term > 0:
            self.state.restarted_s = now_s
        return self._finish(now_s)

    def handle_message(
        self, now_s: float, sender: peers.Peer, message: consensus.Message
    ) -> outputs.Step:
        """Handles a message of another replica."""
        state = self.state
        if self._should_handle(message):
            if isinstance(message, consensus.VoteRequest):
                elections.handle_vote_request(state, now_s, sender, message)
            elif isinstance(message, consensus.StandingRequest):
                standing.handle_request(state, sender, message)
            elif isinstance(message, consensus.StandingResponse):
                standing.handle_response(state, now_s, sender, message)
            elif self._observe_term(now_s, sender, message):
                self._dispatch(now_s, sender, message)
        return self._finish(now_s)

    def _should_handle(self, message: consensus.Message) -> bool:
        state = self.state
        header = message.header
        if state.halted:
            return False
        if isinstance(message, consensus.StandingRequest):
            return True
        if header.destination != state.own.incarnation:
            return False
        if isinstance(message, _MEMBER_ONLY_MESSAGES):
            return header.source in state.latest_membership.members
        return True

    def _observe_term(
        self, now_s: float, sender: peers.Peer, message: consensus.Message
    ) -> bool:
        """Updates the term and the leader from a message.

        Returns:
            False if the message is from a leader of an earlier term.
        """
        state = self.state
        term = message.header.term
        if isinstance(
            message, consensus.AppendRequest | consensus.SnapshotChunk
        ):
            if term < state.term:
                follower.reject_stale_leader(state, sender, message)
                return False
            follower.follow_leader(state, now_s, sender, message.header)
            return True
        is_granted_pre_vote = (
            isinstance(message, consensus.VoteResponse)
            and message.is_pre_vote
            and message.is_granted
        )
        if term > state.term and not is_granted_pre_vote:
            roles.become_follower(state, now_s, term, None)
        return True

    def _dispatch(
        self, now_s: float, sender: peers.Peer, message: consensus.Message
    ) -> None:
        state = self.state
        match message:
            case consensus.VoteResponse():
                elections.handle_vote_response(state, now_s, message)
            case consensus.AppendRequest():
                follower.handle_append(state, now_s, sender, message)
            case consensus.AppendResponse():
                replication.handle_append_response(
                    state, now_s, sender, message
                )
            case consensus.SnapshotChunk():
                follower.handle_chunk(state, now_s, sender, message)
            case consensus.SnapshotResponse():
                replication.handle_snapshot_response(state, now_s, message)
            case consensus.TimeoutNow():
                self._handle_timeout_now(now_s, message)
            case consensus.ReadRequest():
                read_forwarding.handle_request(state, message)
            case consensus.ReadResponse():
                read_forwarding.handle_response(state, message)
            case consensus.IdentityRefused():
                self._handle_identity_refused(now_s, message)

    def _handle_timeout_now(
        self, now_s: float, message: consensus.TimeoutNow
    ) -> None:
        state = self.state
        is_follower = state.role is states.Role.FOLLOWER
        if is_follower and state.is_voter and message.header.term == state.term:
            elections.start_election(state, now_s, is_transfer=True)

    def _handle_identity_refused(
        self, now_s: float, message: consensus.IdentityRefused
    ) -> None:
        detail = (
            f"this host once acknowledged entry {message.acknowledged_index}"
            f" and now holds {message.last_index}: its disk has gone back;"
            " remove this member and rejoin with an empty data folder"
        )
        roles.become_follower(self.state, now_s, self.state.term, None)
        self.state.record(records.RefusedRecord(detail))
        self.state.halt("identity-refused", detail)

    def handle_timer(self, now_s: float) -> outputs.Step:
        """Handles the timer named `interface.TIMER`."""
        state = self.state
        state.timer_due_s = math.inf
        read_forwarding.fail_expired(state, now_s)
        if now_s >= state.commit_deadline_s:
            self._record_commit()
        if now_s >= self._standing_deadline_s():
            standing.request_standing(state, now_s)
        if state.is_leader and now_s >= state.heartbeat_deadline_s:
            replication.tick(state, now_s)
        elif self._is_election_due(now_s):
            elections.start_pre_vote(state, now_s)
        return self._finish(now_s)

    def _is_election_due(self, now_s: float) -> bool:
        state = self.state
        is_candidate = self._may_campaign() and not state.is_leader
        is_due = now_s >= state.election_deadline_s
        return is_candidate and is_due and not state.halted

    def _may_campaign(self) -> bool:
        """Returns whether this replica may start elections."""
        return (
            self.state.is_voter
            or standing.valid_stand_in(self.state) is not None
        )

    def _standing_deadline_s(self) -> float:
        """Returns when a standby next asks the voters for its standing.

        It goes on while it is replacing a voter, so that it learns of losses.
        """
        state = self.state
        own = state.latest_membership.members.get(state.own.incarnation)
        if own is None or not own.is_standby:
            return math.inf
        return state.standing.deadline_s

    def handle_write_completed(
        self, now_s: float, sequence: int
    ) -> outputs.Step:
        """Handles the completion of a `Persist` or `SaveSnapshot`, in order."""
        state = self.state
        state.journal.complete(sequence)
        if state.is_leader:
            replication.advance_commit(state, now_s)
        else:
            elections.count_own_vote(state, now_s)
        return self._finish(now_s)

    def propose(
        self, now_s: float, command: bytes
    ) -> outputs.Proposal | failure.Failure:
        """Appends a command; see `interface.ReplicatedLog.propose`."""
        refusal = self._find_refusal()
        if refusal is None:
            refusal = self._find_large_backlog()
        if refusal is not None:
            return refusal
        if len(command) > self.state.parameters.command_bytes:
            return failure.Failure(
                "too-large",
                f"the command has {len(command)} bytes, the limit is"
                f" {self.state.parameters.command_bytes}; split it",
            )
        return self._append(now_s, consensus.EntryKind.COMMAND, command)

    def _append(
        self, now_s: float, kind: consensus.EntryKind, data: bytes
    ) -> outputs.Proposal:
        entry = consensus.Entry(self.state.term, kind, data)
        index = self.state.append(entry)
        if kind is consensus.EntryKind.MEMBERSHIP:
            replication.track_members(self.state, now_s)
        return outputs.Proposal(index, entry.term, self._finish(now_s))

    def _find_refusal(self) -> failure.Failure | None:
        """Returns why this replica can't append an entry now, or None."""
        state = self.state
        if state.halted is not None:
            return failure.Failure("halted", state.halted.detail)
        if not state.is_leader:
            host = state.leader.peer.host if state.leader else ""
            return failure.Failure("not-leader", host)
        if state.leadership_transfer is not None:
            return failure.Failure(
                "transferring",
                "a leadership transfer is in progress; retry later",
            )
        backlog = state.log.last_index - state.commit_index
        if backlog >= state.parameters.backlog_entries:
            return failure.Failure(
                "busy", f"{backlog} entries are not committed yet; retry later"
            )
        return None

    def _find_large_backlog(self) -> failure.Failure | None:
        """Returns why no further command may be held in memory, or None.

        Changes of the membership are small, and may be what ends the backlog.
        """
        state = self.state
        size_bytes = max(
            state.log.size_bytes(state.commit_index + 1, state.log.last_index),
            state.journal.unsynced_bytes,
        )
        if size_bytes < state.parameters.backlog_bytes:
            return None
        return failure.Failure(
            "busy",
            f"{size_bytes} bytes are not committed or not synced yet; retry"
            " later",
        )

    def read_index(self, now_s: float, token: int) -> outputs.Step:
        """See `interface.ReplicatedLog.read_index`."""
        read_forwarding.start_read(self.state, now_s, token)
        return self._finish(now_s)

    def transfer_leadership(
        self, now_s: float
    ) -> outputs.Step | failure.Failure:
        """See `interface.ReplicatedLog.transfer_leadership`."""
        refusal = self._find_refusal()
        if refusal is not None and refusal.reason != "busy":
            return refusal
        if not replication.start_leadership_transfer(self.state, now_s):
            return failure.Failure(
                "no-successor", "no other voter responds; restore one first"
            )
        return self._finish(now_s)

    def change_membership(
        self, now_s: float, change: membership.Change
    ) -> outputs.Proposal | failure.Failure:
        """See `interface.ReplicatedLog.change_membership`."""
        refusal = self._find_refusal()
        if refusal is None:
            refusal = membership_checks.find_refusal(self.state, change)
        if refusal is not None:
            return refusal
        wanted = membership_checks.find_changed_membership(
            self.state, now_s, change
        )
        if isinstance(wanted, failure.Failure):
            return wanted
        return self._append(
            now_s, consensus.EntryKind.MEMBERSHIP, wanted.encode()
        )

    def _record_commit(self) -> None:
        state = self.state
        if state.commit_index > state.recorded_commit:
            state.record(records.CommitRecord(state.commit_index))
            state.recorded_commit = state.commit_index
        state.commit_deadline_s = math.inf

    def _finish(self, now_s: float) -> outputs.Step:
        """Completes a call: sends, writes, compacts and sets the timer."""
        state = self.state
        if state.is_leader:
            replication.finish_replacement(state, now_s)
            replication.start_read_round(state)
            replication.send_pending_entries(state)
        read_forwarding.complete_applied(state)
        self._write(now_s)
        self._release_messages()
        self._arm_timer(now_s)
        step = state.step
        state.step = outputs.Step()
        return step

    def _write(self, now_s: float) -> None:
        state = self.state
        if not state.halted:
            snapshots.compact(state)
        if state.journal.records:
            self._record_commit()
        elif (
            state.commit_index > state.recorded_commit
            and state.commit_deadline_s == math.inf
        ):
            state.commit_deadline_s = (
                now_s + state.parameters.commit_record_delay_s
            )
        state.step.effects += state.journal.flush(state.log.last_index)

    def _release_messages(self) -> None:
        state = self.state
        # Votes and acknowledgments of an earlier term are no longer valid.
        state.step.effects += [
            held
            for held in state.journal.release()
            if _term_of(held) == state.term and not state.halted
        ]

    def _arm_timer(self, now_s: float) -> None:
        state = self.state
        deadlines_s = [state.commit_deadline_s, self._standing_deadline_s()]
        deadlines_s += [
            read.deadline_s for read in state.forwarded_reads.values()
        ]
        if state.is_leader:
            deadlines_s.append(state.heartbeat_deadline_s)
        elif self._may_campaign():
            deadlines_s.append(state.election_deadline_s)
        next_s = min(deadlines_s)
        if state.halted or next_s >= state.timer_due_s:
            return
        delay_s = max(next_s - now_s, MIN_DELAY_S)
        state.timer_due_s = now_s + delay_s
        state.step.effects.append(effects.StartTimer(interface.TIMER, delay_s))


def _term_of(held: effects.SendMessage) -> int | None:
    message = held.message
    if isinstance(message, consensus.Message):
        return message.header.term
    return None


# Makes the type checker verify that the class implements the protocol.
_protocol_check: type[interface.ReplicatedLog] = Replica
