"""Linearizable reads at any replica; followers forward them to the leader."""

from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import reads
from tamarack_core.internal.consensus import state as states
from tamarack_core.messages import consensus

REQUEST_NUMBER_BITS = 52


def start_read(state: states.State, now_s: float, token: int) -> None:
    """Starts a read that the owner of this replica requested."""
    if state.is_leader:
        state.reads.waiting.append(reads.Read(state.own.incarnation, token))
    elif state.leader is None or state.halted:
        state.output(outputs.ReadFailed(token, "no-leader"))
    else:
        _forward_to_leader(state, state.leader, now_s, token)


def _forward_to_leader(
    state: states.State,
    leader: membership.Member,
    now_s: float,
    token: int,
) -> None:
    # The number is random so that a response to a request from before a
    # restart isn't matched to this one.
    number = state.random.getrandbits(REQUEST_NUMBER_BITS)
    state.forwarded_reads[number] = reads.ForwardedRead(
        token, now_s + state.parameters.read_timeout_s
    )
    header = state.header(leader.incarnation)
    state.send(leader.peer, consensus.ReadRequest(header, number))


def handle_request(state: states.State, message: consensus.ReadRequest) -> None:
    """Accepts a read of another replica if this one leads."""
    if state.is_leader:
        read = reads.Read(message.header.source, message.number)
        state.reads.waiting.append(read)


def handle_response(
    state: states.State, message: consensus.ReadResponse
) -> None:
    """Stores the read index for which a forwarded read has to wait."""
    read = state.forwarded_reads.get(message.number)
    if read is not None:
        read.index = message.index


def complete_applied(state: states.State) -> None:
    """Completes the forwarded reads whose index is applied."""
    done = [
        number
        for number, read in state.forwarded_reads.items()
        if read.index is not None and read.index <= state.commit_index
    ]
    for number in done:
        read = state.forwarded_reads.pop(number)
        state.output(outputs.ReadCompleted(read.token, read.index or 0))


def fail_expired(state: states.State, now_s: float) -> None:
    """Fails the forwarded reads that have timed out."""
    late = [
        number
        for number, read in state.forwarded_reads.items()
        if now_s >= read.deadline_s
    ]
    for number in late:
        token = state.forwarded_reads.pop(number).token
        state.output(outputs.ReadFailed(token, "timeout"))
