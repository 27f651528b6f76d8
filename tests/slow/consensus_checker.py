"""Invariant checks of the replicated log, run at each step of a network."""

from tamarack_core import effects
from tamarack_core import failure
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import records
from tamarack_core.messages import consensus


class ViolationError(AssertionError):
    """An invariant of the log does not hold."""


def require(condition, *detail):
    """Raises a violation unless `condition` holds."""
    if not condition:
        raise ViolationError(*detail)


class SyncedState:
    """Consensus state on one disk, decoded from its bytes alone.

    Attributes:
        term: Last synced term.
        voted_for: Vote in that term.
        covered: Index that the snapshot covers.
        terms: Term of each synced entry after it.
    """

    __slots__ = ("covered", "term", "terms", "voted_for")

    def __init__(self, disk):
        self.term = 0
        self.voted_for = ""
        self.covered = 0
        self.terms = {}
        if disk.snapshot is not None:
            self.covered = records.decode_snapshot(disk.snapshot).index
        for record in map(records.decode, disk.records):
            if isinstance(record, records.TermRecord):
                self.term, self.voted_for = record.term, record.voted_for
            elif isinstance(record, records.EntryRecord):
                self._add(record)

    def _add(self, record):
        dropped = [index for index in self.terms if index >= record.index]
        for index in dropped:
            del self.terms[index]
        self.terms[record.index] = record.entry.term

    def holds(self, index, term):
        """Returns whether the entry at `index` is synced."""
        return index <= self.covered or self.terms.get(index, -1) == term


class Checker:
    """Observes all steps of a network and checks the invariants.

    Attributes:
        network: The observed network.
        leaders: Leader by term.
        committed: Entry by committed index.
        applied: Longest sequence of applied commands.
        acknowledged: Commands whose application was reported to the proposer.
        elected_with_stand_in: Number of leaders elected with a stand-in.
    """

    def __init__(self, network):
        self.network = network
        self.initial = next(iter(network.hosts.values())).initial_members
        self.leaders = {}
        self.entries = {}
        self.committed = {}
        self.membership_entries = {}
        self.applied = []
        self.acknowledged = []
        self.disks = {}
        self.checked = {}
        self.synced_states = {}
        self.votes = {}
        self.proposals = {}
        self.refused = set()
        self.reads = {}
        self.newest_read_length = 0
        self.completed_reads = 0
        self.snapshots_installed = 0
        self.elected_with_stand_in = 0
        network.observer = self.observe

    def possible_memberships(self):
        """Returns the memberships that are or may come in force.

        A membership entry may still be in flight after its leader has failed.
        """
        end = max(self.committed, default=0)
        current = self.committed_membership(end)
        uncommitted = [
            membership.decode(entry.data)
            for (index, _), (entry, _) in self.entries.items()
            if index > end and entry.kind is consensus.EntryKind.MEMBERSHIP
        ]
        return [current, *uncommitted]

    def propose(self, host, command):
        """Proposes a command at a host."""
        result = host.replica.propose(self.network.now_s, command)
        if isinstance(result, failure.Failure):
            self.refused.add(command)
            return False
        self.proposals[host.incarnation, result.index, result.term] = command
        self.network.carry_out(host, result.step)
        return True

    def read(self, host):
        """Starts a linearizable read at a host."""
        token = len(self.reads)
        self.reads[token] = (len(self.acknowledged), self.newest_read_length)
        step = host.replica.read_index(self.network.now_s, token)
        self.network.carry_out(host, step)

    def observe(self, host, step):
        """Checks all invariants that the step of a host can break."""
        self.disks[host.incarnation] = host.disk
        self.check_durable_index(host)
        if self.has_changed(host):
            self.check_log(host)
            self.check_membership(host)
            self.check_applied(host)
        self.check_vote_persistence(host)
        self.check_effects(host, step)
        for output in step.outputs:
            self.check_output(host, output)

    def check_effects(self, host, step):
        """Checks the messages and snapshots of a replica."""
        for effect in step.effects:
            if isinstance(effect, effects.SendMessage):
                self.check_message(host, effect.message)
            elif isinstance(effect, effects.SaveSnapshot):
                self.check_snapshot(effect)

    def check_output(self, host, output):
        """Checks an output of a replica to its state machine."""
        match output:
            case outputs.LeaderChanged(is_self=True):
                self.check_leader(host, output.term)
            case outputs.Applied():
                self.acknowledge(host, output)
            case outputs.ReadCompleted():
                self.check_read(host, output)
            case outputs.Restored():
                self.snapshots_installed += 1
            case outputs.Halted():
                raise ViolationError("halted", host.incarnation, output)

    def has_changed(self, host):
        """Returns whether the log of a host differs from the last check."""
        state = host.replica.state
        log = state.log
        key = (
            state.commit_index,
            log.last_index,
            log.last_term,
            host.start_number,
        )
        if self.checked.get(host.incarnation) == key:
            return False
        self.checked[host.incarnation] = key
        return True

    def check_log(self, host):
        """Checks that entries with equal index and term match.

        All entries before them match too.
        """
        state = host.replica.state
        log = state.log
        self.check_compacted(host)
        previous_term = log.base_term
        for index, entry in log.numbered_after(log.base_index):
            observed = (entry, previous_term)
            known = self.entries.setdefault((index, entry.term), observed)
            require(known == observed, "log matching", host.incarnation, index)
            previous_term = entry.term
            if index <= state.commit_index:
                self.check_committed(host, index, entry)

    def check_compacted(self, host):
        """Checks entries that were committed and compacted in one step."""
        log = host.replica.state.log
        index, term = log.base_index, log.base_term
        while index > 0 and index not in self.committed:
            entry, previous_term = self.entries[index, term]
            self.commit(index, entry)
            index, term = index - 1, previous_term
        require(
            index == 0 or self.committed[index].term == term,
            "committed changed",
            host.incarnation,
            index,
        )

    def check_committed(self, host, index, entry):
        """Checks that a committed entry is final and synced by a quorum."""
        if index not in self.committed:
            self.commit(index, entry)
            if host.replica.state.is_leader:
                self.check_synced(host, index, entry.term)
                self.check_commit_term(host)
        known = self.committed[index]
        require(known == entry, "committed changed", host.incarnation, index)

    def check_commit_term(self, host):
        """Checks that a leader commits only with an entry of its own term."""
        state = host.replica.state
        term = state.log.term_at(state.commit_index)
        require(term == state.term, "commit of earlier term", term)

    def check_membership(self, host):
        """Checks that the membership in force is the newest in the log."""
        state = host.replica.state
        membership_entries = [
            (index, entry)
            for index, entry in state.log.numbered_after(state.log.base_index)
            if entry.kind is consensus.EntryKind.MEMBERSHIP
        ]
        if membership_entries:
            expected = membership.decode(membership_entries[-1][1].data)
        elif host.initial_members or state.log.base_index:
            expected = self.committed_membership(state.log.base_index)
        else:
            return
        require(
            state.latest_membership.members == expected.members,
            "membership not from the log",
            host.incarnation,
        )

    def committed_membership(self, end):
        """Returns the membership after the entry at `end`."""
        newest = max(
            (i for i in self.membership_entries if i <= end), default=None
        )
        if newest is None:
            return membership.Membership(self.initial)
        return self.membership_entries[newest]

    def commit(self, index, entry):
        """Records a committed entry."""
        self.committed[index] = entry
        if entry.kind is consensus.EntryKind.MEMBERSHIP:
            self.membership_entries[index] = membership.decode(entry.data)

    def synced(self, disk):
        """Returns the state on a disk, cached until the disk changes."""
        key = (len(disk.records), disk.snapshot)
        known = self.synced_states.get(id(disk))
        if known is None or known[0] != key:
            known = (key, SyncedState(disk), disk)
            self.synced_states[id(disk)] = known
        return known[1]

    def check_durable_index(self, host):
        """Checks that entries up to the durable index are on the disk."""
        state = host.replica.state
        index = state.journal.durable_index
        term = state.log.term_at(index)
        if term is None and index in self.committed:
            term = self.committed[index].term
        require(
            not host.is_up or self.synced(host.disk).holds(index, term),
            "not durable",
            host.incarnation,
            index,
        )

    def check_message(self, host, message):
        """Checks that responses have the current term and are synced first."""
        state = host.replica.state
        synced = self.synced(host.disk)
        header = message.header
        if isinstance(message, consensus.AppendResponse):
            require(header.term == state.term, "response of an earlier term")
            index = message.match_index
            term = state.log.term_at(index)
            if term is None and index in self.committed:
                term = self.committed[index].term
            require(
                not message.is_accepted or synced.holds(index, term),
                "acknowledged before sync",
                host.incarnation,
                index,
            )
        elif isinstance(message, consensus.VoteResponse) and not (
            message.is_pre_vote or not message.is_granted
        ):
            self.check_vote(host, synced, header)

    def check_vote_persistence(self, host):
        """Checks that a replica keeps its vote, also after a restart."""
        state = host.replica.state
        vote = self.votes.get((host.incarnation, state.term))
        require(vote in (None, state.voted_for), "vote not kept", vote)

    def check_vote(self, host, synced, header):
        """Checks that a sent vote is on disk and the only one of its term."""
        vote = (header.term, header.destination)
        require((synced.term, synced.voted_for) == vote, "unsynced vote", vote)
        known = self.votes.setdefault(
            (host.incarnation, header.term), header.destination
        )
        require(known == header.destination, "two votes", vote, known)

    def check_snapshot(self, effect):
        """Checks that a snapshot has committed state only."""
        snapshot = records.decode_snapshot(effect.data)
        entry = self.committed.get(snapshot.index)
        require(
            entry is not None and entry.term == snapshot.term,
            "snapshot of uncommitted state",
            snapshot.index,
        )
        expected = self.committed_membership(snapshot.index).members
        require(
            {m.incarnation: m for m in snapshot.members} == expected,
            "snapshot with other members",
            snapshot.index,
        )

    def describe(self):
        """Returns the state of all hosts, for the report of a violation."""
        return [
            (
                host.incarnation,
                host.is_up,
                str(state.role),
                state.term,
                (state.log.last_term, state.log.last_index),
                state.commit_index,
                sorted(state.latest_membership.voters),
            )
            for host in self.network.hosts.values()
            for state in [host.replica.state]
        ]

    def check_synced(self, host, index, term):
        """Checks that an entry is on the disks of a quorum of voters.

        While a voter is being replaced, that is a majority of the voters before
        and of those after the replacement.
        """
        members = host.replica.state.latest_membership
        holding = {
            member
            for member in members.members
            if member in self.disks
            and self.synced(self.disks[member]).holds(index, term)
        }
        for voters in members.voter_sets:
            enough = 2 * len(holding & voters) > len(voters)
            require(enough, "unsynced commit", index, holding, voters)
        missing = members.standbys - holding
        require(not missing, "commit without a standby", index, missing)

    def check_leader(self, host, term):
        """Checks the only leader of a term.

        It has all committed entries, and the votes for it are synced.
        """
        known = self.leaders.setdefault(term, host.incarnation)
        require(known == host.incarnation, "two leaders", term, known)
        state = host.replica.state
        for index, entry in self.committed.items():
            kept = state.log.term_at(index)
            covered = index <= state.log.base_index
            require(
                covered or kept == entry.term,
                "leader lacks a committed entry",
                index,
                term,
            )
        # After an election with a stand-in, the first entry of the leader has
        # made the standby a voter.
        for voters in state.latest_membership.voter_sets:
            votes = [self.synced_vote(voter, term) for voter in voters]
            granted = votes.count(host.incarnation)
            require(2 * granted > len(voters), "unsynced votes", term, votes)
        self.elected_with_stand_in += state.election_stand_in is not None

    def synced_vote(self, voter, term):
        """Returns the vote on a voter's disk in a term."""
        if voter not in self.disks:
            return ""
        synced = self.synced(self.disks[voter])
        # A voter in a later term may have voted for this leader before.
        if synced.term > term:
            return self.leaders[term]
        return synced.voted_for if synced.term == term else ""

    def check_applied(self, host):
        """Checks that applied sequences are prefixes of each other."""
        commands = host.state_machine.commands
        shared = min(len(commands), len(self.applied))
        require(
            commands[:shared] == self.applied[:shared],
            "applied sequences differ",
            host.incarnation,
        )
        new = commands[shared:]
        self.applied.extend(new)
        require(not self.refused.intersection(new), "refused but applied")
        require(
            not new or len(set(self.applied)) == len(self.applied),
            "applied twice",
        )

    def acknowledge(self, host, output):
        """Records that the application of a command was reported."""
        key = (host.incarnation, output.index, output.term)
        command = self.proposals.pop(key, None)
        if command is not None:
            require(
                command in host.state_machine.commands,
                "acknowledged command is lost",
            )
            self.acknowledged.append(command)

    def check_read(self, host, output):
        """Checks that a read is linearizable.

        It sees all that was acknowledged or read before it began.
        """
        acknowledged, seen = self.reads[output.token]
        commands = host.state_machine.commands
        missing = set(self.acknowledged[:acknowledged]).difference(commands)
        require(not missing, "stale read", output, missing)
        require(
            len(commands) >= seen,
            "read is older than an earlier one",
            output,
            seen,
        )
        self.newest_read_length = max(self.newest_read_length, len(commands))
        self.completed_reads += 1
