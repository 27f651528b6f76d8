"""Times and sizes of the replicated log."""

import msgspec

KIB = 1024
MIB = 1024 * KIB


class LogParameters(msgspec.Struct, frozen=True):
    """Times and sizes; should be equal at all replicas.

    Attributes:
        heartbeat_interval_s: Seconds between heartbeats of the leader.
        election_timeout_min_s: Lower bound of the randomized election timeout
            in seconds; a replica that received a message of its leader within
            this time grants no vote.
        election_timeout_max_s: Upper bound of the randomized election timeout
            in seconds; a leader without responses from a quorum for this long
            steps down.
        read_timeout_s: Seconds until an unconfirmed forwarded read fails.
        commit_record_delay_s: Seconds until the commit index is written on its
            own if no other record is written before.
        command_bytes: Maximum size of a command.
        append_bytes: Maximum bytes of entries in one request; a single entry
            may exceed it.
        append_entries: Maximum number of entries in one request.
        window_requests: Maximum number of requests with entries in flight to
            one replica.
        window_bytes: Bytes of entries in flight to one replica at which no
            further request is sent.
        chunk_bytes: Maximum bytes of a snapshot in one message.
        snapshot_advantage: Bytes of the entries that a replica lacks, as a
            multiple of those of a snapshot that covers them, above which it is
            sent the snapshot.
        backlog_entries: Uncommitted entries at which proposals are refused.
        backlog_bytes: Bytes of uncommitted entries, or of records that are not
            synced, at which proposals are refused.
        compaction_entries: Entries applied since the last snapshot at which
            the next one is taken.
        compaction_bytes: Bytes of entries applied since the last snapshot at
            which the next one is taken; the size of the last snapshot if that
            is larger.
        retained_entries: Maximum number of entries before the snapshot that
            stay in memory for slow followers.
        retained_bytes: Maximum bytes of these entries.
        promotion_entries: Maximum number of entries by which a learner may be
            behind when it becomes a voter.
        standing_interval_s: Seconds between the requests by which a standby
            keeps its standing.
        standing_s: Seconds from a granted request for which the standing
            lasts.
        release_s: Seconds for which a quorum must hold the removal of a standby
            that doesn't respond. It exceeds `standing_s` by the drift of clocks
            in that time.
    """

    heartbeat_interval_s: float = 0.5
    election_timeout_min_s: float = 1.5
    election_timeout_max_s: float = 3.0
    read_timeout_s: float = 3.0
    commit_record_delay_s: float = 1.0
    command_bytes: int = 256 * KIB
    append_bytes: int = 32 * KIB
    append_entries: int = 64
    window_requests: int = 4
    window_bytes: int = 128 * KIB
    chunk_bytes: int = 32 * KIB
    snapshot_advantage: float = 2.0
    backlog_entries: int = 4096
    backlog_bytes: int = 8 * MIB
    compaction_entries: int = 1000
    compaction_bytes: int = 2 * MIB
    retained_entries: int = 100
    retained_bytes: int = MIB
    promotion_entries: int = 100
    standing_interval_s: float = 0.25
    standing_s: float = 3.6
    release_s: float = 4.0
