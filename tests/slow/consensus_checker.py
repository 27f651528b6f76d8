"""Oracle of the replicated log: checks every step of a fake network."""

from tamarack_core import failure
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import records


class Violation(AssertionError):
    """An invariant of the log does not hold."""


def require(condition, *detail):
    """Raises a violation unless `condition` holds."""
    if not condition:
        raise Violation(*detail)


class SyncedState:
    """What one disk holds, read from its bytes alone.

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
        for record in records.decode_all(disk.records):
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
        return index <= self.covered or self.terms.get(index) == term


class Checker:
    """Watches a network.

    Attributes:
        network: The network.
        leaders: Leader by term.
        committed: Entry by committed index.
        applied: Longest sequence of applied commands.
        acknowledged: Commands that a proposer was told are applied.
    """

    def __init__(self, network):
        self.network = network
        self.leaders = {}
        self.entries = {}
        self.committed = {}
        self.applied = []
        self.acknowledged = []
        self.disks = {}
        self.checked = {}
        self.proposals = {}
        self.refused = set()
        self.reads = {}
        self.seen_by_reads = 0
        self.completed_reads = 0
        self.snapshots_installed = 0
        network.observer = self.observe

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
        """Begins a read at a host."""
        token = len(self.reads)
        self.reads[token] = (len(self.acknowledged), self.seen_by_reads)
        step = host.replica.read_index(self.network.now_s, token)
        self.network.carry_out(host, step)

    def observe(self, host, step):
        """Checks all invariants that the step of a host can break."""
        self.disks[host.incarnation] = host.disk
        self.check_log(host)
        self.check_applied(host)
        for output in step.outputs:
            if isinstance(output, outputs.LeaderChanged) and output.is_self:
                self.check_leader(host, output.term)
            elif isinstance(output, outputs.Applied):
                self.acknowledge(host, output)
            elif isinstance(output, outputs.ReadCompleted):
                self.check_read(host, output)
            elif isinstance(output, outputs.Restored):
                self.snapshots_installed += 1
            elif isinstance(output, outputs.Halted):
                raise Violation("halted", host.incarnation, output)

    def check_log(self, host):
        """Entries with one index and term are equal, and so all before."""
        state = host.replica.state
        log = state.log
        key = (state.commit_index, log.last_index, log.last_term, host.boots)
        if self.checked.get(host.incarnation) == key:
            return
        self.checked[host.incarnation] = key
        previous_term = log.base_term
        for index, entry in log.numbered_after(log.base_index):
            found = (entry, previous_term)
            known = self.entries.setdefault((index, entry.term), found)
            require(known == found, "log matching", host.incarnation, index)
            previous_term = entry.term
            if index <= state.commit_index:
                self.check_committed(host, index, entry)

    def check_committed(self, host, index, entry):
        """A committed entry never changes, and a quorum has synced it."""
        if index not in self.committed:
            self.committed[index] = entry
            if host.replica.state.is_leader:
                self.check_synced(host, index, entry.term)
        known = self.committed[index]
        require(known == entry, "committed changed", host.incarnation, index)

    def check_synced(self, host, index, term):
        """A majority of the voters' disks hold an entry."""
        voters = host.replica.state.latest_membership.voters
        holding = [
            voter
            for voter in voters
            if voter in self.disks
            and SyncedState(self.disks[voter]).holds(index, term)
        ]
        enough = 2 * len(holding) > len(voters)
        require(enough, "unsynced commit", index, holding, voters)

    def check_leader(self, host, term):
        """One leader a term, with all committed entries and synced votes."""
        known = self.leaders.setdefault(term, host.incarnation)
        require(known == host.incarnation, "two leaders", term, known)
        state = host.replica.state
        for index, entry in self.committed.items():
            kept = state.log.term_at(index)
            covered = index <= state.log.base_index
            require(covered or kept == entry.term, "leader lacks", index, term)
        voters = state.latest_membership.voters
        votes = [self.synced_vote(voter, term) for voter in voters]
        granted = votes.count(host.incarnation)
        require(2 * granted > len(voters), "unsynced votes", term, votes)

    def synced_vote(self, voter, term):
        """Returns whom a voter's disk names in a term."""
        if voter not in self.disks:
            return ""
        synced = SyncedState(self.disks[voter])
        # A voter that has moved on since may have voted for this leader.
        if synced.term > term:
            return self.leaders[term]
        return synced.voted_for if synced.term == term else ""

    def check_applied(self, host):
        """Applied sequences are prefixes of one another."""
        commands = host.machine.commands
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
        """Takes note that a proposer learns of its command."""
        key = (host.incarnation, output.index, output.term)
        command = self.proposals.pop(key, None)
        if command is not None:
            require(command in host.machine.commands, "acknowledged, lost")
            self.acknowledged.append(command)

    def check_read(self, host, output):
        """A read sees all that was acknowledged or read before it began."""
        acknowledged, seen = self.reads[output.token]
        commands = host.machine.commands
        missing = set(self.acknowledged[:acknowledged]).difference(commands)
        require(not missing, "stale read", output, missing)
        require(len(commands) >= seen, "read goes back", output, seen)
        self.seen_by_reads = max(self.seen_by_reads, len(commands))
        self.completed_reads += 1
