"""Times and sizes of the replicated log."""

import msgspec

KIB = 1024


class LogParameters(msgspec.Struct, frozen=True):
    """Times and sizes; all replicas should use the same.

    Attributes:
        heartbeat_interval_s: Seconds between heartbeats of the leader.
        election_timeout_min_s: A replica that heard its leader within this
            many seconds grants no vote.
        election_timeout_max_s: Upper bound of the randomized timeout; a
            leader without a quorum of answers for so long steps down.
        read_timeout_s: Seconds until an unanswered read fails.
        commit_record_delay_s: Seconds until the commit index is written down
            on its own, when no other record takes it along.
        command_bytes: Largest command.
        append_bytes: Bytes of entries in one request; one entry always fits.
        append_entries: Entries in one request.
        window_requests: Unanswered requests with entries to one replica.
        window_bytes: Unanswered bytes of entries to one replica.
        chunk_bytes: Bytes of a snapshot in one message.
        backlog_entries: Uncommitted entries before proposals are refused.
        compaction_entries: Applied entries since the last snapshot before
            the next one.
        retained_entries: Entries before the snapshot that stay in memory for
            slow followers.
        promotion_entries: Entries that a learner may lack when it becomes a
            voter.
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
    backlog_entries: int = 4096
    compaction_entries: int = 1000
    retained_entries: int = 100
    promotion_entries: int = 100
