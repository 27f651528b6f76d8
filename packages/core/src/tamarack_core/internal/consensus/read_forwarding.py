"""Reads at any replica: the leader confirms them, a follower asks it to."""

from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import reads
from tamarack_core.internal.consensus import state as states
from tamarack_core.messages import consensus

REQUEST_NUMBER_BITS = 52


def begin(state: states.State, now_s: float, token: int) -> None:
    """Begins a read of this replica's caller."""
    if state.is_leader:
        state.reads.waiting.append(reads.Read(state.own.incarnation, token))
    elif state.leader is None or state.halted:
        state.output(outputs.ReadFailed(token, "no-leader"))
    else:
        _ask_leader(state, state.leader, now_s, token)


def _ask_leader(
    state: states.State,
    leader: membership.Member,
    now_s: float,
    token: int,
) -> None:
    # A number that is drawn isn't mistaken for one of before a restart.
    number = state.random.getrandbits(REQUEST_NUMBER_BITS)
    state.forwarded[number] = reads.ForwardedRead(
        token, now_s + state.parameters.read_timeout_s
    )
    header = state.header(leader.incarnation)
    state.send(leader.peer, consensus.ReadRequest(header, number))


def handle_request(state: states.State, message: consensus.ReadRequest) -> None:
    """Takes a read of another replica, if this one leads."""
    if state.is_leader:
        read = reads.Read(message.header.source, message.number)
        state.reads.waiting.append(read)


def handle_response(
    state: states.State, message: consensus.ReadResponse
) -> None:
    """Takes note of the index that a forwarded read has to wait for."""
    forwarded = state.forwarded.get(message.number)
    if forwarded is not None:
        forwarded.index = message.index


def complete(state: states.State) -> None:
    """Completes the forwarded reads whose index is applied."""
    done = [
        number
        for number, read in state.forwarded.items()
        if read.index is not None and read.index <= state.commit_index
    ]
    for number in done:
        read = state.forwarded.pop(number)
        state.output(outputs.ReadCompleted(read.token, read.index or 0))


def fail_late(state: states.State, now_s: float) -> None:
    """Fails the forwarded reads that were not answered in time."""
    late = [
        number
        for number, read in state.forwarded.items()
        if now_s >= read.deadline_s
    ]
    for number in late:
        token = state.forwarded.pop(number).token
        state.output(outputs.ReadFailed(token, "timeout"))
