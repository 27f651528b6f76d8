"""Leader: replicates entries, counts acknowledgments, commits."""

from collections.abc import Collection

from tamarack_core import peers
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import progress as progresses
from tamarack_core.internal.consensus import reads
from tamarack_core.internal.consensus import roles
from tamarack_core.internal.consensus import standing
from tamarack_core.internal.consensus import state as states
from tamarack_core.messages import consensus


def become_leader(state: states.State, now_s: float) -> None:
    """Becomes the leader of the current term."""
    state.role = states.Role.LEADER
    state.votes.clear()
    state.round = 0
    state.reads = reads.LeaderReads()
    state.release = None
    state.progress.clear()
    track_members(state, now_s)
    state.set_leader(state.own)
    # Entries of earlier terms are committed only through one of this term.
    state.append(_first_entry(state))
    track_members(state, now_s)
    state.heartbeat_deadline_s = now_s + state.parameters.heartbeat_interval_s


def _first_entry(state: states.State) -> consensus.Entry:
    """Returns the entry that a new leader appends first.

    In an empty log it contains the initial membership, so that a replica that
    joins without knowing it receives it with the log. After an election with
    a stand-in it makes the standby a voter.
    """
    if state.election_stand_in is not None:
        changed = membership.apply_stand_in(
            state.latest_membership, state.election_stand_in
        )
        return consensus.Entry(
            state.term, consensus.EntryKind.MEMBERSHIP, changed.encode()
        )
    if state.log.last_index > 0:
        return consensus.Entry(state.term, consensus.EntryKind.NOOP)
    return consensus.Entry(
        state.term,
        consensus.EntryKind.MEMBERSHIP,
        state.latest_membership.encode(),
    )


def track_members(state: states.State, now_s: float) -> None:
    """Tracks the progress of the other members of the newest membership."""
    members = state.latest_membership.members
    for incarnation in list(state.progress):
        if incarnation not in members:
            del state.progress[incarnation]
    for member in members.values():
        known = state.progress.get(member.incarnation)
        if known is not None:
            known.member = member
        elif member.incarnation != state.own.incarnation:
            state.progress[member.incarnation] = progresses.Progress(
                member, state.log.last_index + 1, now_s
            )


def tick(state: states.State, now_s: float) -> None:
    """Sends heartbeats, or steps down if no quorum has responded lately."""
    if not has_active_quorum(state, state.latest_membership, now_s):
        roles.become_follower(state, now_s, state.term, None)
        return
    state.heartbeat_deadline_s = now_s + state.parameters.heartbeat_interval_s
    _update_leadership_transfer(state, now_s)
    majority_index = _quorum_index(state)
    for progress in state.progress.values():
        progress.observe_majority(now_s, majority_index)
        progress.is_awaiting_probe = False
        if progress.snapshot_transfer is not None:
            _send_chunk(state, progress)
        elif not progress.is_probing or not _has_more(state, progress):
            _send_heartbeat(state, progress)


def has_active_quorum(
    state: states.State, members: membership.Membership, now_s: float
) -> bool:
    """Returns whether a quorum of `members` responded lately.

    This is within `election_timeout_max_s`; the leader itself counts.
    """
    oldest_s = now_s - state.parameters.election_timeout_max_s
    active = [
        incarnation
        for incarnation, progress in state.progress.items()
        if progress.answered_s > oldest_s and not progress.is_refused
    ]
    return members.has_quorum([state.own.incarnation, *active])


def _update_leadership_transfer(state: states.State, now_s: float) -> None:
    if state.leadership_transfer is None:
        return
    state.leadership_transfer.is_timeout_now_sent = False
    if now_s >= state.leadership_transfer.deadline_s:
        state.leadership_transfer = None


def _has_more(state: states.State, progress: progresses.Progress) -> bool:
    return progress.next_index <= state.log.last_index


def _next_round(state: states.State) -> int:
    state.round += 1
    return state.round


def _send_heartbeat(state: states.State, progress: progresses.Progress) -> None:
    _send_entries(state, progress, ())


def _send_entries(
    state: states.State,
    progress: progresses.Progress,
    entries: tuple[consensus.Entry, ...],
) -> None:
    previous_index = progress.next_index - 1
    previous_term = state.log.term_at(previous_index)
    if previous_term is None:
        _start_snapshot_transfer(state, progress)
        return
    request = consensus.AppendRequest(
        state.header(progress.member.incarnation),
        _next_round(state),
        previous_index,
        previous_term,
        state.commit_index,
        entries,
    )
    state.send(progress.member.peer, request)
    if entries:
        size_bytes = sum(len(entry.data) for entry in entries)
        progress.record_sent(previous_index + len(entries), size_bytes)


def send_pending_entries(state: states.State) -> None:
    """Sends pending entries to all replicas, as far as windows allow."""
    for progress in state.progress.values():
        while _has_more(state, progress) and progress.can_send(
            state.parameters
        ):
            if _is_snapshot_smaller(state, progress):
                _start_snapshot_transfer(state, progress)
                break
            entries = _next_batch(state, progress)
            if _should_delay_batch(state, progress, entries):
                break
            _send_entries(state, progress, entries)
    _send_timeout_now(state)


def _is_snapshot_smaller(
    state: states.State, progress: progresses.Progress
) -> bool:
    """Returns whether to send the snapshot in place of the entries before it.

    A receiver that installs a snapshot loses the history of its state, so the
    snapshot must be smaller by `snapshot_advantage`.
    """
    snapshot = state.snapshot
    if snapshot is None or snapshot.index < progress.next_index:
        return False
    lacking_bytes = state.log.size_bytes(progress.next_index, snapshot.index)
    advantage = state.parameters.snapshot_advantage
    return lacking_bytes > advantage * len(snapshot.data)


def _should_delay_batch(
    state: states.State,
    progress: progresses.Progress,
    entries: tuple[consensus.Entry, ...],
) -> bool:
    """Returns whether to wait for more entries, as in Nagle's algorithm.

    A request that is not full waits while another one is in flight. A burst
    is thus sent in few requests, which are seldom reordered.
    """
    end = progress.next_index - 1 + len(entries)
    is_full = end < state.log.last_index or (
        len(entries) == state.parameters.append_entries
    )
    return progress.has_requests_in_flight and bool(entries) and not is_full


def _next_batch(
    state: states.State, progress: progresses.Progress
) -> tuple[consensus.Entry, ...]:
    if progress.next_index <= state.log.base_index:
        return ()
    return state.log.batch(
        progress.next_index,
        state.parameters.append_entries,
        state.parameters.append_bytes,
    )


def _start_snapshot_transfer(
    state: states.State, progress: progresses.Progress
) -> None:
    if state.snapshot is None:
        return
    progress.snapshot_transfer = progresses.SnapshotTransfer(
        state.snapshot.index, state.snapshot.data
    )
    _send_chunk(state, progress)


def _send_chunk(state: states.State, progress: progresses.Progress) -> None:
    transfer = progress.snapshot_transfer
    if transfer is None:
        return
    transfer.sent_round = _next_round(state)
    end = transfer.offset + state.parameters.chunk_bytes
    chunk = consensus.SnapshotChunk(
        state.header(progress.member.incarnation),
        transfer.sent_round,
        transfer.index,
        transfer.offset,
        len(transfer.data),
        transfer.data[transfer.offset : end],
    )
    state.send(progress.member.peer, chunk)


def _record_response(
    state: states.State, now_s: float, header: consensus.Header, round_: int
) -> progresses.Progress | None:
    """Records that a member responded.

    Returns:
        The progress of the sender; None if the response is of another term or
        its sender isn't a member, or if this replica doesn't lead.
    """
    if not state.is_leader or header.term != state.term:
        return None
    progress = state.progress.get(header.source)
    if progress is None:
        return None
    progress.answered_s = now_s
    progress.answered_round = max(progress.answered_round, round_)
    return progress


def handle_append_response(
    state: states.State,
    now_s: float,
    sender: peers.Peer,
    response: consensus.AppendResponse,
) -> None:
    """Records which entries a replica has, and commits those of a quorum."""
    progress = _record_response(state, now_s, response.header, response.round)
    if progress is None:
        return
    if progress.is_refused or _has_lost_synced_entries(progress, response):
        _refuse_identity(state, sender, progress, response.last_index)
    elif response.is_accepted:
        progress.record_match(response.match_index, state.round)
        advance_commit(state, now_s)
    elif (
        progress.snapshot_transfer is None
        and response.round > progress.barrier_round
    ):
        progress.record_rejection(response.match_index, state.round)
    confirm_reads(state)


def _has_lost_synced_entries(
    progress: progresses.Progress, response: consensus.AppendResponse
) -> bool:
    return not response.is_accepted and progress.has_lost_synced_entries(
        response.last_index, response.round
    )


def _refuse_identity(
    state: states.State,
    sender: peers.Peer,
    progress: progresses.Progress,
    last_index: int,
) -> None:
    progress.is_refused = True
    refusal = consensus.IdentityRefused(
        state.header(progress.member.incarnation),
        progress.match_index,
        last_index,
    )
    state.send(sender, refusal)


def handle_snapshot_response(
    state: states.State, now_s: float, response: consensus.SnapshotResponse
) -> None:
    """Sends the next chunk of a snapshot."""
    progress = _record_response(state, now_s, response.header, response.round)
    if progress is None:
        return
    confirm_reads(state)
    transfer = progress.snapshot_transfer
    if transfer is None or transfer.index != response.index:
        return
    is_current = response.round >= transfer.sent_round
    if response.received > transfer.offset or is_current:
        transfer.offset = response.received
        _send_chunk(state, progress)


def advance_commit(state: states.State, now_s: float) -> None:
    """Commits the entries that a quorum and all standbys have synced."""
    index = _quorum_index(state)
    # An entry of an earlier term may still be replaced, even if a majority
    # has it.
    if index <= state.commit_index or state.log.term_at(index) != state.term:
        return
    index = int(min(index, standing.commit_limit(state, now_s)))
    if index > state.commit_index and state.log.term_at(index) == state.term:
        state.commit(index)


def _quorum_index(state: states.State) -> int:
    """Returns the last index that a quorum of the voters has synced."""
    return min(
        _majority_index(state, voters)
        for voters in state.latest_membership.voter_sets
    )


def _majority_index(state: states.State, voters: Collection[str]) -> int:
    """Returns the last index that a majority of `voters` has synced."""
    durable = sorted(standing.durable_index(state, voter) for voter in voters)
    return durable[(len(durable) - 1) // 2]


def finish_replacement(state: states.State, now_s: float) -> None:
    """Completes the replacement of a voter once its first entry is committed.

    Args:
        state: State of the leader.
        now_s: Monotonic time in seconds.
    """
    latest = state.memberships[-1]
    if (
        not latest.membership.is_joint
        or latest.index > state.commit_index
        or not has_committed_in_term(state)
    ):
        return
    own = latest.membership.members.get(state.own.incarnation)
    if own is None or own.is_leaving:
        # A leader has to be a voter after the replacement as well.
        if state.leadership_transfer is None:
            start_leadership_transfer(state, now_s)
        return
    finished = membership.finish_replacement(latest.membership)
    state.append(
        consensus.Entry(
            state.term, consensus.EntryKind.MEMBERSHIP, finished.encode()
        )
    )
    track_members(state, now_s)


def has_committed_in_term(state: states.State) -> bool:
    """Returns whether an entry of the current term is committed.

    Only then is the commit index of the leader known to be up to date.
    """
    return state.log.term_at(state.commit_index) == state.term


def is_confirmed(state: states.State, now_s: float) -> bool:
    """Returns whether this replica learns of each entry that is committed.

    A leader needs recent responses of a quorum, another replica a recent
    message of the leader and the entries that are committed according to it:
    a leader that gets no responses may send messages without new entries.
    Either must have applied the first entry of the term, so that it lacks no
    entry of earlier terms.
    """
    if not has_committed_in_term(state):
        return False
    if state.is_leader:
        return has_active_quorum(state, state.latest_membership, now_s)
    since_message_s = now_s - state.leader_seen_s
    return (
        state.leader is not None
        and since_message_s < state.parameters.election_timeout_min_s
        and not state.is_lagging(now_s)
    )


def start_read_round(state: states.State) -> None:
    """Starts a heartbeat round for the waiting reads if none is running."""
    queue = state.reads
    if queue.running or not queue.waiting or not has_committed_in_term(state):
        return
    queue.start_round(state.round + 1, state.commit_index)
    for progress in state.progress.values():
        if progress.snapshot_transfer is None:
            _send_heartbeat(state, progress)
    confirm_reads(state)


def confirm_reads(state: states.State) -> None:
    """Completes the running reads once a quorum responded to their round."""
    queue = state.reads
    responded = [
        incarnation
        for incarnation, progress in state.progress.items()
        if progress.answered_round >= queue.round and not progress.is_refused
    ]
    confirming = [state.own.incarnation, *responded]
    if not queue.running or not state.latest_membership.has_quorum(confirming):
        return
    completed = queue.running
    queue.running = []
    for read in completed:
        _complete_read(state, read)


def _complete_read(state: states.State, read: reads.Read) -> None:
    index = state.reads.index
    if read.requester == state.own.incarnation:
        state.output(outputs.ReadCompleted(read.number, index))
        return
    progress = state.progress.get(read.requester)
    if progress is not None:
        header = state.header(read.requester)
        response = consensus.ReadResponse(header, read.number, index)
        state.send(progress.member.peer, response)


def start_leadership_transfer(state: states.State, now_s: float) -> bool:
    """Starts to transfer the leadership to the most up-to-date voter.

    Returns:
        False if no other voter has responded lately.
    """
    oldest_s = now_s - state.parameters.election_timeout_max_s
    candidates = [
        progress
        for progress in state.progress.values()
        if progress.member.is_voter
        and not progress.member.is_leaving
        and not progress.is_refused
        and progress.answered_s > oldest_s
    ]
    if not candidates:
        return False
    best = max(candidates, key=lambda progress: progress.match_index)
    state.leadership_transfer = states.LeadershipTransfer(
        best.member.incarnation, now_s + state.parameters.election_timeout_max_s
    )
    return True


def _send_timeout_now(state: states.State) -> None:
    transfer = state.leadership_transfer
    if transfer is None or transfer.is_timeout_now_sent:
        return
    progress = state.progress.get(transfer.successor)
    if progress is None or progress.match_index < state.log.last_index:
        return
    transfer.is_timeout_now_sent = True
    header = state.header(transfer.successor)
    state.send(progress.member.peer, consensus.TimeoutNow(header))
