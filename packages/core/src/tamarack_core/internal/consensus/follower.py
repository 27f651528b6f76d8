"""Follower: replicates the entries and snapshots of the leader."""

import itertools

from tamarack_core import peers
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import roles
from tamarack_core.internal.consensus import snapshots
from tamarack_core.internal.consensus import state as states
from tamarack_core.messages import consensus


def follow_leader(
    state: states.State,
    now_s: float,
    sender: peers.Peer,
    header: consensus.Header,
) -> None:
    """Becomes a follower of the sender, the leader of the header's term."""
    leader = membership.Member(sender, header.source)
    roles.become_follower(state, now_s, header.term, leader)
    state.leader_seen_s = now_s


def reject_stale_leader(
    state: states.State,
    sender: peers.Peer,
    request: consensus.AppendRequest | consensus.SnapshotChunk,
) -> None:
    """Informs a leader of an earlier term that there is a later one."""
    # The sender may lead again when this arrives, and must not match it to a
    # request of its new term. Rounds start at 1, so round 0 matches none.
    response = consensus.AppendResponse(
        state.header(request.header.source),
        round=0,
        is_accepted=False,
        match_index=0,
        last_index=state.log.last_index,
    )
    state.send_synced(sender, response)


def handle_append(
    state: states.State,
    now_s: float,
    sender: peers.Peer,
    request: consensus.AppendRequest,
) -> None:
    """Appends entries that match the log; responds once they are synced."""
    state.observe_leader_commit(now_s, request.commit_index)
    hint = _find_mismatch(state, request)
    if hint is not None:
        _respond(state, sender, request, is_accepted=False, match_index=hint)
        return
    last_index = request.previous_index + len(request.entries)
    if not _append_new_entries(state, request):
        return
    commit_index = min(request.commit_index, last_index)
    if commit_index > state.commit_index:
        state.commit(commit_index)
    _respond(state, sender, request, is_accepted=True, match_index=last_index)


def _find_mismatch(
    state: states.State, request: consensus.AppendRequest
) -> int | None:
    """Returns the last index that may match, or None if `previous` matches."""
    index = request.previous_index
    if index < state.log.base_index:
        # Entries up to the base are committed, so they match.
        return None
    if index > state.log.last_index:
        return state.log.last_index
    if state.log.term_at(index) == request.previous_term:
        return None
    return max(state.log.first_of_term(index) - 1, state.commit_index)


def _append_new_entries(
    state: states.State, request: consensus.AppendRequest
) -> bool:
    """Appends the new entries.

    Returns:
        False if the leader contradicts a committed entry; the replica halts.
    """
    first = request.previous_index + 1
    numbered = zip(itertools.count(first), request.entries, strict=False)
    new = list(
        itertools.dropwhile(lambda pair: _has_entry(state, *pair), numbered)
    )
    if not new:
        return True
    index = new[0][0]
    if index <= state.commit_index:
        state.halt(
            "committed-entry-contradicted",
            f"the leader's log contradicts entry {index}, which is committed"
            " here; keep the data folder for analysis and rejoin with an empty"
            " one",
        )
        return False
    if index <= state.log.last_index:
        state.truncate(index - 1)
    for _, entry in new:
        state.append(entry)
    return True


def _has_entry(state: states.State, index: int, entry: consensus.Entry) -> bool:
    if index <= state.log.base_index:
        return True
    return state.log.term_at(index) == entry.term


def _respond(
    state: states.State,
    sender: peers.Peer,
    request: consensus.AppendRequest | consensus.SnapshotChunk,
    *,
    is_accepted: bool,
    match_index: int,
) -> None:
    response = consensus.AppendResponse(
        state.header(request.header.source),
        request.round,
        is_accepted,
        match_index,
        state.log.last_index,
    )
    state.send_synced(sender, response)


def handle_chunk(
    state: states.State,
    now_s: float,
    sender: peers.Peer,
    chunk: consensus.SnapshotChunk,
) -> None:
    """Receives a chunk of a snapshot.

    Responds with a `SnapshotResponse` while chunks are missing, and with an
    `AppendResponse` once the snapshot is synced, or at once if it covers only
    entries that are committed here.
    """
    state.observe_leader_commit(now_s, chunk.index)
    if chunk.index > state.commit_index:
        received = snapshots.receive_chunk(state, chunk)
        if received < chunk.size:
            header = state.header(chunk.header.source)
            response = consensus.SnapshotResponse(
                header, chunk.round, chunk.index, received
            )
            state.send(sender, response)
            return
        if not snapshots.install(state):
            return
    _respond(state, sender, chunk, is_accepted=True, match_index=chunk.index)
