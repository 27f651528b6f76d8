"""State of one replica, and the primitives that all its parts use."""

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


class PlacedMembership(msgspec.Struct):
    """A membership and the index of its entry.

    Attributes:
        index: Place in the log; 0 for the initial membership.
        membership: The members.
    """

    index: int
    membership: membership.Membership


class SavedSnapshot(msgspec.Struct):
    """The last snapshot.

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
        index: Index that the snapshot covers.
        data: The bytes so far.
    """

    term: int
    index: int
    data: bytearray


class Handover(msgspec.Struct):
    """A transfer of the leadership.

    Attributes:
        successor: Incarnation of the voter that shall lead.
        deadline_s: Monotonic time at which this replica goes on leading.
        is_asked: Whether the successor was asked since the last heartbeat.
    """

    successor: str
    deadline_s: float
    is_asked: bool = False


class State:
    """State of one replica.

    Attributes:
        own: Identity of this replica.
        random: Seeded generator for timeouts and request numbers.
        machine: The replicated state machine.
        parameters: Times and sizes.
        log: Entries in memory.
        journal: Writes on their way to disk.
        memberships: Memberships in the log, oldest first; the last counts.
        term: Current term.
        voted_for: Incarnation that has this replica's vote, or empty.
        role: Role in the term.
        leader: Identity of the leader, if known.
        leader_seen_s: Monotonic time of the leader's last message.
        restarted_s: Monotonic time at which this replica came back.
        commit_index: Highest index known to be committed and applied.
        recorded_commit: Highest commit index among the records.
        commit_deadline_s: Time at which the commit index is recorded.
        snapshot: The last snapshot, if any.
        incoming: Snapshot that a leader is sending, if any.
        election_deadline_s: Time at which a voter starts an election.
        heartbeat_deadline_s: Time of the leader's next heartbeat.
        votes: Incarnations that granted a (pre-)vote to this replica.
        vote_sequence: Write after which the own vote counts.
        progress: At the leader, replication by incarnation.
        round: At the leader, number of the last request.
        reads: At the leader, reads to confirm.
        forwarded: Reads sent to the leader, by number.
        handover: Transfer of the leadership, if one runs.
        halted: Why this replica takes no part any more, if so.
        armed_s: Time at which the driver's timer fires.
        step: Result of the running call.
    """

    __slots__ = (
        "armed_s",
        "commit_deadline_s",
        "commit_index",
        "election_deadline_s",
        "forwarded",
        "halted",
        "handover",
        "heartbeat_deadline_s",
        "incoming",
        "journal",
        "leader",
        "leader_seen_s",
        "log",
        "machine",
        "memberships",
        "own",
        "parameters",
        "progress",
        "random",
        "reads",
        "recorded_commit",
        "restarted_s",
        "role",
        "round",
        "snapshot",
        "step",
        "term",
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
        """Creates the state of a replica with an empty disk."""
        self.own = own
        self.random = generator
        self.machine = machine
        self.parameters = parameters
        self.log = log.Log()
        self.journal = journal.Journal()
        initial = membership.Membership(voters)
        self.memberships = [PlacedMembership(0, initial)]
        self.term = 0
        self.voted_for = ""
        self.role = Role.FOLLOWER
        self.leader: membership.Member | None = None
        self.leader_seen_s = -math.inf
        self.restarted_s = -math.inf
        self.commit_index = 0
        self.recorded_commit = 0
        self.commit_deadline_s = math.inf
        self.snapshot: SavedSnapshot | None = None
        self.incoming: IncomingSnapshot | None = None
        self.election_deadline_s = math.inf
        self.heartbeat_deadline_s = math.inf
        self.votes: set[str] = set()
        self.vote_sequence = 0
        self.progress: dict[str, progress.Progress] = {}
        self.round = 0
        self.reads = reads.LeaderReads()
        self.forwarded: dict[int, reads.ForwardedRead] = {}
        self.handover: Handover | None = None
        self.halted: outputs.Halted | None = None
        self.armed_s = math.inf
        self.step = outputs.Step()

    @property
    def latest_membership(self) -> membership.Membership:
        """The membership that counts: the newest in the log."""
        return self.memberships[-1].membership

    @property
    def is_voter(self) -> bool:
        """Whether this replica may start elections."""
        return self.own.incarnation in self.latest_membership.voters

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term."""
        return self.role is Role.LEADER

    def header(self, destination: str) -> consensus.Header:
        """Returns the header of a message in the current term."""
        return consensus.Header(self.term, self.own.incarnation, destination)

    def send(self, peer: peers.Peer, message: consensus.Message) -> None:
        """Sends a message that promises nothing that must be on disk."""
        self.step.effects.append(effects.SendMessage(peer, message))

    def send_synced(self, peer: peers.Peer, message: consensus.Message) -> None:
        """Sends a message once all records so far are on disk."""
        self.journal.hold(effects.SendMessage(peer, message))

    def output(self, item: outputs.Output) -> None:
        """Tells the part above what happened."""
        self.step.outputs.append(item)

    def record(self, item: records.Record) -> None:
        """Adds a record to the next write."""
        self.journal.records.append(records.encode(item))

    def set_term(self, term: int, voted_for: str) -> None:
        """Moves to a term or votes in it."""
        self.term = term
        self.voted_for = voted_for
        self.record(records.TermRecord(term, voted_for))

    def set_leader(self, leader: membership.Member | None) -> None:
        """Takes note of the leader of the current term."""
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
        """Draws a new election timeout."""
        self.election_deadline_s = now_s + self.random.uniform(
            self.parameters.election_timeout_min_s,
            self.parameters.election_timeout_max_s,
        )

    def append(self, entry: consensus.Entry) -> int:
        """Appends an entry to the log and to the next write."""
        index = self.log.append(entry)
        self.record(records.EntryRecord(index, entry))
        if entry.kind is consensus.EntryKind.MEMBERSHIP:
            self.place_membership(index, membership.decode(entry.data))
        return index

    def truncate(self, last_index: int) -> None:
        """Drops uncommitted entries that the leader contradicts."""
        self.log.truncate(last_index)
        self.journal.truncate(last_index)
        if self.memberships[-1].index <= last_index:
            return
        while self.memberships[-1].index > last_index:
            self.memberships.pop()
        self._report_membership()

    def place_membership(
        self, index: int, placed: membership.Membership
    ) -> None:
        """Puts a membership into force."""
        self.memberships.append(PlacedMembership(index, placed))
        self._report_membership()

    def _report_membership(self) -> None:
        latest = self.memberships[-1]
        self.output(
            outputs.MembershipChanged(
                latest.index, tuple(latest.membership.members.values())
            )
        )

    def commit(self, index: int) -> None:
        """Applies the entries up to `index`, which are committed."""
        first = self.commit_index + 1
        for place in range(first, index + 1):
            self.commit_index = place
            entry = self.log.entry_at(place)
            if entry.kind is consensus.EntryKind.COMMAND:
                self.machine.apply(place, entry.data)
                self.output(outputs.Applied(place, entry.term))

    def halt(self, reason: str, detail: str) -> None:
        """Stops taking part for good."""
        self.halted = outputs.Halted(reason, detail)
        self.role = Role.FOLLOWER
        self.set_leader(None)
        self.output(self.halted)
