"""The leader: sends entries, counts answers, commits."""

from tamarack_core import peers
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import progress as progresses
from tamarack_core.internal.consensus import reads
from tamarack_core.internal.consensus import roles
from tamarack_core.internal.consensus import state as states
from tamarack_core.messages import consensus


def become_leader(state: states.State, now_s: float) -> None:
    """Takes up the leadership of the current term."""
    state.role = states.Role.LEADER
    state.votes.clear()
    state.round = 0
    state.reads = reads.LeaderReads()
    state.progress.clear()
    follow_membership(state, now_s)
    state.set_leader(state.own)
    # Entries of earlier terms commit only together with one of this term.
    state.append(_first_entry(state))
    state.heartbeat_deadline_s = now_s + state.parameters.heartbeat_interval_s


def _first_entry(state: states.State) -> consensus.Entry:
    """Returns the entry that begins a term.

    The first entry of all states the initial membership, so that a replica
    that joins without one learns it from the log.
    """
    if state.log.last_index > 0:
        return consensus.Entry(state.term, consensus.EntryKind.NOOP)
    return consensus.Entry(
        state.term,
        consensus.EntryKind.MEMBERSHIP,
        state.latest_membership.encode(),
    )


def follow_membership(state: states.State, now_s: float) -> None:
    """Tracks exactly the other members of the newest membership."""
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
    """Sends heartbeats, or steps down without a quorum of answers."""
    if not membership_answers(state, state.latest_membership, now_s):
        roles.become_follower(state, now_s, state.term, None)
        return
    state.heartbeat_deadline_s = now_s + state.parameters.heartbeat_interval_s
    _tick_handover(state, now_s)
    for progress in state.progress.values():
        progress.is_awaiting_probe = False
        if progress.transfer is not None:
            _send_chunk(state, progress)
        elif not progress.is_probing or not _has_more(state, progress):
            _send_heartbeat(state, progress)


def membership_answers(
    state: states.State, members: membership.Membership, now_s: float
) -> bool:
    """Returns whether a quorum of `members` answered lately."""
    oldest_s = now_s - state.parameters.election_timeout_max_s
    answering = [
        incarnation
        for incarnation, progress in state.progress.items()
        if progress.answered_s > oldest_s and not progress.is_refused
    ]
    return members.has_quorum([state.own.incarnation, *answering])


def _tick_handover(state: states.State, now_s: float) -> None:
    if state.handover is None:
        return
    state.handover.is_asked = False
    if now_s >= state.handover.deadline_s:
        state.handover = None


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
        _start_transfer(state, progress)
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
        progress.note_sent(previous_index + len(entries), size_bytes)


def send_all(state: states.State) -> None:
    """Sends what the windows of the other replicas have room for."""
    for progress in state.progress.values():
        while _has_more(state, progress) and progress.can_send(
            state.parameters
        ):
            entries = _next_batch(state, progress)
            if _should_gather(state, progress, entries):
                break
            _send_entries(state, progress, entries)
    _ask_successor(state)


def _should_gather(
    state: states.State,
    progress: progresses.Progress,
    entries: tuple[consensus.Entry, ...],
) -> bool:
    """Returns whether to wait for more entries, as Nagle's algorithm does.

    A request that is not full waits while another is unanswered, so that a
    burst goes out in few requests, which seldom overtake one another.
    """
    end = progress.next_index - 1 + len(entries)
    is_full = end < state.log.last_index or (
        len(entries) == state.parameters.append_entries
    )
    return progress.is_awaiting_answer and bool(entries) and not is_full


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


def _start_transfer(state: states.State, progress: progresses.Progress) -> None:
    if state.snapshot is None:
        return
    progress.transfer = progresses.Transfer(
        state.snapshot.index, state.snapshot.data
    )
    _send_chunk(state, progress)


def _send_chunk(state: states.State, progress: progresses.Progress) -> None:
    transfer = progress.transfer
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


def _find_answering(
    state: states.State, now_s: float, header: consensus.Header, round_: int
) -> progresses.Progress | None:
    """Returns the progress of the sender of an answer, if it counts."""
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
    """Takes note of what a replica holds, and commits what a quorum holds."""
    progress = _find_answering(state, now_s, response.header, response.round)
    if progress is None:
        return
    if progress.is_refused or _has_gone_back(progress, response):
        _refuse(state, sender, progress, response.last_index)
    elif response.is_accepted:
        progress.accept(response.match_index, state.round)
        advance_commit(state)
    elif progress.transfer is None and response.round > progress.barrier_round:
        progress.reject(response.match_index, state.round)
    confirm_reads(state)


def _has_gone_back(
    progress: progresses.Progress, response: consensus.AppendResponse
) -> bool:
    return not response.is_accepted and progress.has_gone_back(
        response.last_index, response.round
    )


def _refuse(
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
    """Sends the next part of a snapshot."""
    progress = _find_answering(state, now_s, response.header, response.round)
    if progress is None:
        return
    confirm_reads(state)
    transfer = progress.transfer
    if transfer is None or transfer.index != response.index:
        return
    is_current = response.round >= transfer.sent_round
    if response.received > transfer.offset or is_current:
        transfer.offset = response.received
        _send_chunk(state, progress)


def advance_commit(state: states.State) -> None:
    """Commits what a quorum of voters has on disk."""
    held = sorted(
        _durable_index(state, voter) for voter in state.latest_membership.voters
    )
    index = held[(len(held) - 1) // 2]
    # An entry of an earlier term may still be replaced, however many hold it.
    if index > state.commit_index and state.log.term_at(index) == state.term:
        state.commit(index)


def _durable_index(state: states.State, incarnation: str) -> int:
    if incarnation == state.own.incarnation:
        return state.journal.durable_index
    progress = state.progress[incarnation]
    return 0 if progress.is_refused else progress.match_index


def has_committed_in_term(state: states.State) -> bool:
    """Returns whether the commit index is known to be up to date."""
    return state.log.term_at(state.commit_index) == state.term


def pump_reads(state: states.State) -> None:
    """Begins a round for the waiting reads, unless one runs."""
    queue = state.reads
    if queue.running or not queue.waiting or not has_committed_in_term(state):
        return
    queue.begin(state.round + 1, state.commit_index)
    for progress in state.progress.values():
        if progress.transfer is None:
            _send_heartbeat(state, progress)
    confirm_reads(state)


def confirm_reads(state: states.State) -> None:
    """Completes the running reads once a quorum answered their round."""
    queue = state.reads
    answered = [
        incarnation
        for incarnation, progress in state.progress.items()
        if progress.answered_round >= queue.round and not progress.is_refused
    ]
    confirming = [state.own.incarnation, *answered]
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


def start_handover(state: states.State, now_s: float) -> bool:
    """Begins to hand over to the most up-to-date voter, if one answers."""
    oldest_s = now_s - state.parameters.election_timeout_max_s
    candidates = [
        progress
        for progress in state.progress.values()
        if progress.member.is_voter
        and not progress.is_refused
        and progress.answered_s > oldest_s
    ]
    if not candidates:
        return False
    best = max(candidates, key=lambda progress: progress.match_index)
    state.handover = states.Handover(
        best.member.incarnation, now_s + state.parameters.election_timeout_max_s
    )
    return True


def _ask_successor(state: states.State) -> None:
    handover = state.handover
    if handover is None or handover.is_asked:
        return
    progress = state.progress.get(handover.successor)
    if progress is None or progress.match_index < state.log.last_index:
        return
    handover.is_asked = True
    header = state.header(handover.successor)
    state.send(progress.member.peer, consensus.TimeoutNow(header))
