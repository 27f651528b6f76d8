"""Snapshots: compaction, transfer from a leader, and recovery."""

from collections.abc import Sequence
import math

from tamarack_core import failure
from tamarack_core.internal.consensus import log
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import records
from tamarack_core.internal.consensus import state as states
from tamarack_core.messages import consensus


def compact(state: states.State) -> None:
    """Takes a snapshot if enough entries were applied since the last one."""
    if not _is_compaction_due(state):
        return
    index = state.commit_index
    snapshot = records.Snapshot(
        index,
        state.log.term_at(index) or 0,
        _members_at(state, index),
        state.machine.snapshot(),
    )
    _save(state, index, records.encode(snapshot))
    state.log.compact(_find_base(state, index))


def _is_compaction_due(state: states.State) -> bool:
    """Returns whether the entries since the last snapshot are many or large.

    Their bytes may reach the size of the snapshot, so that the writes of
    snapshots at most double the bytes written.
    """
    covered, size_bytes = 0, 0
    if state.snapshot is not None:
        covered, size_bytes = state.snapshot.index, len(state.snapshot.data)
    parameters = state.parameters
    return (
        state.commit_index - covered >= parameters.compaction_entries
        or state.applied_bytes >= max(parameters.compaction_bytes, size_bytes)
    )


def _find_base(state: states.State, index: int) -> int:
    """Returns the index up to which a snapshot at `index` replaces the log."""
    base_index = index
    size_bytes = 0
    while base_index > state.log.base_index:
        size_bytes += len(state.log.entry_at(base_index).data)
        if (
            index - base_index >= state.parameters.retained_entries
            or size_bytes > state.parameters.retained_bytes
        ):
            break
        base_index -= 1
    return base_index


def _members_at(
    state: states.State, index: int
) -> tuple[membership.Member, ...]:
    while len(state.memberships) > 1 and state.memberships[1].index <= index:
        state.memberships.pop(0)
    return tuple(state.memberships[0].membership.members.values())


def _save(state: states.State, index: int, data: bytes) -> None:
    """Replaces the contents of the disk by a snapshot and later records."""
    state.snapshot = states.SavedSnapshot(index, data)
    kept: list[records.Record] = [
        records.TermRecord(state.term, state.voted_for),
        *(
            records.EntryRecord(entry_index, entry)
            for entry_index, entry in state.log.numbered_after(index)
        ),
    ]
    encoded = tuple(records.encode(record) for record in kept)
    state.recorded_commit = state.commit_index
    state.applied_bytes = 0
    state.step.effects.append(
        state.journal.save_snapshot(data, encoded, state.log.last_index)
    )


def receive_chunk(state: states.State, chunk: consensus.SnapshotChunk) -> int:
    """Stores the next chunk and returns how many bytes are received.

    A chunk at any other offset is ignored. A chunk of another snapshot or term
    starts the transfer anew.
    """
    incoming = state.incoming
    if incoming is None or (incoming.term, incoming.index) != (
        state.term,
        chunk.index,
    ):
        incoming = states.IncomingSnapshot(state.term, chunk.index, bytearray())
        state.incoming = incoming
    if chunk.offset == len(incoming.data):
        incoming.data.extend(chunk.data)
    return len(incoming.data)


def install(state: states.State) -> bool:
    """Replaces the state with the snapshot received.

    Returns:
        False if the snapshot can't be decoded; it is dropped.
    """
    incoming = state.incoming
    state.incoming = None
    if incoming is None:
        return False
    data = bytes(incoming.data)
    snapshot = records.decode_snapshot(data)
    if isinstance(snapshot, failure.Failure):
        return False
    if state.log.term_at(snapshot.index) == snapshot.term:
        state.log.compact(snapshot.index)
    else:
        # The snapshot is known to agree only with the committed entries.
        state.journal.truncate(state.commit_index)
        state.log = log.Log(snapshot.index, snapshot.term)
    _restore(state, snapshot)
    _save(state, snapshot.index, data)
    return True


def _restore(state: states.State, snapshot: records.Snapshot) -> None:
    restored = states.IndexedMembership(
        snapshot.index, membership.Membership(snapshot.members)
    )
    later = [
        entry
        for entry in state.memberships
        if snapshot.index < entry.index <= state.log.last_index
    ]
    state.memberships = [restored, *later]
    state.end_standing()
    state.commit_index = snapshot.index
    state.machine.restore(snapshot.state)
    state.output(outputs.Restored(snapshot.index))
    if not later:
        state.output(
            outputs.MembershipChanged(snapshot.index, snapshot.members)
        )


def recover(
    state: states.State, data: bytes | None, encoded: Sequence[bytes]
) -> failure.Failure | None:
    """Restores the state from disk and applies the committed entries.

    Args:
        state: State of a replica that has not started.
        data: The last snapshot, if any.
        encoded: The records after it, in order.

    Returns:
        Why the contents of the disk can't be read, or None.
    """
    if data is not None:
        snapshot = records.decode_snapshot(data)
        if isinstance(snapshot, failure.Failure):
            return snapshot
        state.log = log.Log(snapshot.index, snapshot.term)
        state.snapshot = states.SavedSnapshot(snapshot.index, data)
        _restore(state, snapshot)
    committed = 0
    for record in map(records.decode, encoded):
        if isinstance(record, failure.Failure):
            return record
        if isinstance(record, records.CommitRecord):
            committed = record.index
        elif (refused := _replay(state, record)) is not None:
            return refused
    state.journal.durable_index = state.log.last_index
    state.commit(min(committed, state.log.last_index))
    state.recorded_commit = state.commit_index
    state.commit_deadline_s = math.inf
    return None


def _replay(
    state: states.State,
    record: records.TermRecord | records.EntryRecord | records.RefusedRecord,
) -> failure.Failure | None:
    if isinstance(record, records.TermRecord):
        state.term = record.term
        state.voted_for = record.voted_for
        return None
    if isinstance(record, records.RefusedRecord):
        state.halt("identity-refused", record.detail)
        return None
    if not state.log.base_index < record.index <= state.log.last_index + 1:
        return failure.Failure(
            "bad-record-order",
            f"the log has entry {record.index} after entry"
            f" {state.log.last_index}; rejoin this host with an empty data"
            " folder",
        )
    if record.index <= state.log.last_index:
        state.truncate(record.index - 1)
    state.replay(record.entry)
    return None
