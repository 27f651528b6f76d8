"""State of one replica, and the operations that its modules share."""

from collections.abc import Sequence
import enum
import math
import random

import msgspec

from tamarack_core import effects
from tamarack_core import peers
from tamarack_core.internal.consensus import journal
from tamarack_core.internal.consensus import log
from tamarack_core.internal.consensus import log_parameters
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import progress
from tamarack_core.internal.consensus import reads
from tamarack_core.internal.consensus import records
from tamarack_core.messages import consensus


class Role(enum.StrEnum):
    """Role of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class IndexedMembership(msgspec.Struct):
    """A membership and the index of its log entry.

    Attributes:
        index: Index of the entry; 0 for the initial membership.
        membership: The members.
    """

    index: int
    membership: membership.Membership


class SavedSnapshot(msgspec.Struct):
    """The last snapshot of this replica.

    Attributes:
        index: Index of the last entry that it covers.
        data: The encoded snapshot.
    """

    index: int
    data: bytes


class IncomingSnapshot(msgspec.Struct):
    """A snapshot that a leader is sending.

    Attributes:
        term: Term of the leader.
        index: Index of the last entry that the snapshot covers.
        data: Bytes received so far.
    """

    term: int
    index: int
    data: bytearray


class LeadershipTransfer(msgspec.Struct):
    """A leadership transfer in progress.

    Attributes:
        successor: Incarnation of the voter that is to become the leader.
        deadline_s: Monotonic time at which the transfer is abandoned.
        is_timeout_now_sent: Whether a `TimeoutNow` was sent since the last
            heartbeat.
    """

    successor: str
    deadline_s: float
    is_timeout_now_sent: bool = False


class Standing(msgspec.Struct):
    """Standing of this replica while it is a standby.

    Attributes:
        round: Number of the last request to the voters.
        sent_s: Monotonic time of each recent request, by its number.
        granted_s: Monotonic time at which the last request was sent that a
            voter granted, by incarnation.
        deadline_s: Monotonic time of the next request.
    """

    round: int = 0
    sent_s: dict[int, float] = {}
    granted_s: dict[str, float] = {}
    deadline_s: float = -math.inf


class Release(msgspec.Struct):
    """Removal of a standby that does not respond, at the leader.

    Attributes:
        index: Index of the entry that removes it.
        held_s: Monotonic time since which a majority of the voters is known to
            hold the entry; infinity before.
        round: Round of the last request sent by the end of `release_s`; 0
            before.
    """

    index: int
    held_s: float = math.inf
    round: int = 0


class State:
    """State of one replica.

    Attributes:
        own: Host and incarnation of this replica.
        random: Seeded generator for timeouts and request numbers.
        machine: The replicated state machine.
        parameters: Times and sizes.
        log: Entries in memory.
        journal: Records and messages that wait for the disk.
        memberships: Memberships in the log, oldest first; the last one is in
            effect.
        term: Current term.
        voted_for: Incarnation that received this replica's vote, or empty.
        role: Role in the current term.
        leader: Host and incarnation of the leader, if known.
        leader_seen_s: Monotonic time of the leader's last message.
        restarted_s: Monotonic time at which this replica restarted with the
            state of an earlier run; negative infinity if it had none.
        commit_index: Highest index known to be committed and applied.
        applied_bytes: Bytes of the entries applied since the last snapshot.
        awaited_commit: Commit index of a leader that this replica has to
            reach; infinity before the first message of a leader.
        awaited_since_s: Monotonic time of the first message with a commit
            index above that of this replica since it last reached one.
        recorded_commit: Highest commit index that was recorded.
        commit_deadline_s: Monotonic time at which the commit index is
            recorded.
        snapshot: The last snapshot, if any.
        incoming: Snapshot that a leader is sending, if any.
        election_deadline_s: Monotonic time at which a voter starts an
            election.
        heartbeat_deadline_s: Monotonic time of the leader's next heartbeat.
        votes: Incarnations that granted a vote or pre-vote to this replica.
        election_stand_in: The stand-in in the current election, if any.
        vote_sequence: Sequence number of the write that syncs the replica's
            vote for itself.
        progress: At the leader, replication progress by incarnation.
        round: At the leader, round of the last request.
        reads: At the leader, reads to confirm.
        forwarded_reads: Reads forwarded to the leader, by request number.
        leadership_transfer: Leadership transfer in progress, if any.
        release: At the leader, the last removal of a standby that does not
            respond, if any.
        standing: Standing of this replica while it is a standby.
        stand_in: The last stand-in that this replica learned of, if any.
        halted: Why this replica has stopped for good, if so.
        timer_due_s: Monotonic time at which the driver's timer fires.
        step: Result of the current call.
    """

    __slots__ = (
        "applied_bytes",
        "awaited_commit",
        "awaited_since_s",
        "commit_deadline_s",
        "commit_index",
        "election_deadline_s",
        "election_stand_in",
        "forwarded_reads",
        "halted",
        "heartbeat_deadline_s",
        "incoming",
        "journal",
        "leader",
        "leader_seen_s",
        "leadership_transfer",
        "log",
        "machine",
        "memberships",
        "own",
        "parameters",
        "progress",
        "random",
        "reads",
        "recorded_commit",
        "release",
        "restarted_s",
        "role",
        "round",
        "snapshot",
        "stand_in",
        "standing",
        "step",
        "term",
        "timer_due_s",
        "vote_sequence",
        "voted_for",
        "votes",
    )

    def __init__(
        self,
        own: membership.Member,
        voters: Sequence[membership.Member],
        generator: random.Random,
        machine: outputs.StateMachine,
        parameters: log_parameters.LogParameters,
    ) -> None:
        """Initializes the state of a replica with an empty disk."""
        self.own = own
        self.random = generator
        self.machine = machine
        self.parameters = parameters
        self.log = log.Log()
        self.journal = journal.Journal()
        initial = membership.Membership(voters)
        self.memberships = [IndexedMembership(0, initial)]
        self.term = 0
        self.voted_for = ""
        self.role = Role.FOLLOWER
        self.leader: membership.Member | None = None
        self.leader_seen_s = -math.inf
        self.restarted_s = -math.inf
        self.commit_index = 0
        self.applied_bytes = 0
        self.awaited_commit: float = math.inf
        self.awaited_since_s = -math.inf
        self.recorded_commit = 0
        self.commit_deadline_s = math.inf
        self.snapshot: SavedSnapshot | None = None
        self.incoming: IncomingSnapshot | None = None
        self.election_deadline_s = math.inf
        self.heartbeat_deadline_s = math.inf
        self.votes: set[str] = set()
        self.election_stand_in: consensus.StandIn | None = None
        self.vote_sequence = 0
        self.progress: dict[str, progress.Progress] = {}
        self.round = 0
        self.reads = reads.LeaderReads()
        self.forwarded_reads: dict[int, reads.ForwardedRead] = {}
        self.leadership_transfer: LeadershipTransfer | None = None
        self.release: Release | None = None
        self.standing = Standing()
        self.stand_in: consensus.StandIn | None = None
        self.halted: outputs.Halted | None = None
        self.timer_due_s = math.inf
        self.step = outputs.Step()

    @property
    def latest_membership(self) -> membership.Membership:
        """The membership in effect: the newest one in the log."""
        return self.memberships[-1].membership

    @property
    def is_voter(self) -> bool:
        """Whether this replica may start elections."""
        return self.own.incarnation in self.latest_membership.voters

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader of its term."""
        return self.role is Role.LEADER

    def header(self, destination: str) -> consensus.Header:
        """Returns the header of a message in the current term."""
        return consensus.Header(self.term, self.own.incarnation, destination)

    def send(self, peer: peers.Peer, message: consensus.Message) -> None:
        """Sends a message that doesn't depend on unsynced records."""
        self.step.effects.append(effects.SendMessage(peer, message))

    def send_synced(self, peer: peers.Peer, message: consensus.Message) -> None:
        """Sends a message once all records so far are synced."""
        self.journal.hold(effects.SendMessage(peer, message))

    def output(self, item: outputs.Output) -> None:
        """Adds an output to the result of the current call."""
        self.step.outputs.append(item)

    def record(self, item: records.Record) -> None:
        """Adds a record to the next write."""
        self.journal.add(records.encode(item))

    def set_term(self, term: int, voted_for: str) -> None:
        """Records a new term or a vote in the current term."""
        self.term = term
        self.voted_for = voted_for
        self.record(records.TermRecord(term, voted_for))

    def set_leader(self, leader: membership.Member | None) -> None:
        """Sets the leader of the current term; outputs a change."""
        if leader == self.leader:
            return
        self.leader = leader
        self.output(
            outputs.LeaderChanged(
                self.term,
                None if leader is None else leader.peer,
                leader is self.own,
            )
        )

    def reset_election_timer(self, now_s: float) -> None:
        """Restarts the election timer with a random timeout."""
        self.election_deadline_s = now_s + self.random.uniform(
            self.parameters.election_timeout_min_s,
            self.parameters.election_timeout_max_s,
        )

    def append(self, entry: consensus.Entry) -> int:
        """Appends an entry to the log and its record to the next write."""
        index = self.replay(entry)
        self.record(records.EntryRecord(index, entry))
        return index

    def replay(self, entry: consensus.Entry) -> int:
        """Appends an entry that is on disk already."""
        index = self.log.append(entry)
        if entry.kind is consensus.EntryKind.MEMBERSHIP:
            self.append_membership(index, membership.decode(entry.data))
        return index

    def truncate(self, last_index: int) -> None:
        """Removes the entries after `last_index`, which aren't committed."""
        self.log.truncate(last_index)
        self.journal.truncate(last_index)
        if self.memberships[-1].index <= last_index:
            return
        while self.memberships[-1].index > last_index:
            self.memberships.pop()
        self._report_membership()

    def append_membership(
        self, index: int, latest: membership.Membership
    ) -> None:
        """Puts the membership of the entry at `index` into effect."""
        self.memberships.append(IndexedMembership(index, latest))
        self._report_membership()

    def end_standing(self) -> None:
        """Forgets the standing, as what was granted before counts no more.

        A replica that becomes a standby again may lack entries that were
        committed in between.
        """
        self.standing = Standing(self.standing.round)
        if (
            self.stand_in is not None
            and self.stand_in.standby == self.own.incarnation
        ):
            self.stand_in = None

    def _report_membership(self) -> None:
        latest = self.memberships[-1]
        own = latest.membership.members.get(self.own.incarnation)
        if own is None or not own.is_standby:
            self.end_standing()
        self.output(
            outputs.MembershipChanged(
                latest.index, tuple(latest.membership.members.values())
            )
        )

    def commit(self, index: int) -> None:
        """Advances the commit index to `index` and applies the entries."""
        first = self.commit_index + 1
        for entry_index in range(first, index + 1):
            self.commit_index = entry_index
            entry = self.log.entry_at(entry_index)
            self.applied_bytes += len(entry.data)
            if entry.kind is consensus.EntryKind.COMMAND:
                self.machine.apply(entry_index, entry.data)
                self.output(outputs.Applied(entry_index, entry.term))

    def observe_leader_commit(self, now_s: float, index: int) -> None:
        """Stores the commit index that a leader stated.

        While this replica hasn't reached an earlier one, that one is kept.

        Args:
            now_s: Monotonic time in seconds.
            index: The commit index.
        """
        if self.commit_index >= self.awaited_commit:
            self.awaited_since_s = now_s
        elif self.awaited_commit < math.inf:
            return
        self.awaited_commit = index

    def is_lagging(self, now_s: float) -> bool:
        """Returns whether a committed entry is known to have been missing.

        It has been for longer than it takes to repair the loss of one message.
        A replica that has just started lags until it reaches the commit index
        that a leader stated.
        """
        lag_s = now_s - self.awaited_since_s
        return (
            self.commit_index < self.awaited_commit
            and lag_s > 2 * self.parameters.heartbeat_interval_s
        )

    def halt(self, reason: str, detail: str) -> None:
        """Stops the replica for good under its current incarnation."""
        self.halted = outputs.Halted(reason, detail)
        self.role = Role.FOLLOWER
        self.set_leader(None)
        self.output(self.halted)
