"""Summary of the replicated state in a log file."""

import dataclasses
import random

from tamarack_core import configuration
from tamarack_core import failure
from tamarack_core import peers
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import replica as replicas
from tamarack_core.internal.patches import state_machine as machines
from tamarack_core.storage import frames


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Replicated state in a log file.

    Attributes:
        numbered: Newest configuration known to be accepted.
        term: Current term of the replica.
        commit_index: Last index known to be committed.
        last_index: Index of the last entry of the log.
        members: Members of the replicated log as `host/incarnation`.
        patches: Number of accepted patches kept in the history.
        patch_ids: Number of patch ids whose verdict is kept.
    """

    numbered: configuration.VersionedConfiguration
    term: int
    commit_index: int
    last_index: int
    members: tuple[str, ...]
    patches: int
    patch_ids: int


def summarize(contents: frames.Contents) -> Summary | failure.Failure:
    """Summarizes a log file, or returns why it can't be read."""
    machine = machines.PatchStateMachine()
    reader = membership.Member(
        peers.Peer("reader", "", peers.Endpoint("0.0.0.0", 0)), ""
    )
    # The replica never starts: it doesn't vote and uses no random numbers.
    replica = replicas.Replica(reader, (), random.Random(0), machine)
    refused = replica.recover(contents.snapshot, contents.records)
    if refused is not None:
        return refused
    state = replica.state
    return Summary(
        numbered=machine.numbered(),
        term=state.term,
        commit_index=state.commit_index,
        last_index=state.log.last_index,
        members=tuple(
            f"{member.peer.host}/{member.incarnation}"
            for member in state.latest_membership.members.values()
        ),
        patches=len(machine.history.entries),
        patch_ids=len(machine.verdicts.by_id),
    )
