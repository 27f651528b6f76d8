"""Reads the replicated state out of the contents of a log file."""

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
    """State that a log file holds.

    Attributes:
        numbered: The newest configuration that the host knew to be accepted.
        term: Term of the log.
        commit_index: Last entry that the host knew to be committed.
        last_index: Last entry of the log.
        members: Members of the replicated log as `host/incarnation`.
        patches: Accepted patches that the log still lists.
        patch_ids: Patch ids whose first answer is kept.
    """

    numbered: configuration.Numbered
    term: int
    commit_index: int
    last_index: int
    members: tuple[str, ...]
    patches: int
    patch_ids: int


def summarize(contents: frames.Contents) -> Summary | failure.Failure:
    """Returns the state in a log file, or why it can't be read."""
    machine = machines.PatchStateMachine()
    reader = membership.Member(
        peers.Peer("reader", "", peers.Endpoint("0.0.0.0", 0)), ""
    )
    # It never starts, so that it neither votes nor draws a number.
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
