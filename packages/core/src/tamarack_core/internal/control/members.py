"""Requests of operators about the members of the replicated log."""

from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import requests
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import replica as replicas
from tamarack_core.internal.control import bootstrap as bootstrap_lib

_CHANGE_KINDS = {
    requests.MemberAction.ADD: membership.ChangeKind.ADD_LEARNER,
    requests.MemberAction.PROMOTE: membership.ChangeKind.PROMOTE,
    requests.MemberAction.REMOVE: membership.ChangeKind.REMOVE,
}


def describe(
    replica: replicas.Replica, bootstrap: bootstrap_lib.VoterBootstrap
) -> requests.MembersRead:
    """Returns the members and the introduced hosts that are not members."""
    state = replica.state
    known = state.latest_membership.members
    members = [
        _member(
            member.peer,
            member.incarnation,
            requests.MemberState.VOTER
            if member.is_voter
            else requests.MemberState.LEARNER,
        )
        for member in known.values()
    ]
    members += [
        _member(
            introduced.peer,
            introduced.incarnation,
            requests.MemberState.WAITING,
        )
        for introduced in bootstrap.introduced.values()
        if introduced.incarnation not in known
    ]
    leader = state.leader.peer.host if state.leader else ""
    return requests.MembersRead(leader, tuple(members))


def change(
    now_s: float,
    replica: replicas.Replica,
    bootstrap: bootstrap_lib.VoterBootstrap,
    request: requests.ChangeMember,
) -> outputs.Proposal | failure.Failure:
    """Proposes the change that an operator requested, if this host leads."""
    state = replica.state
    if not state.is_leader:
        leader = state.leader.peer if state.leader else None
        where = (
            f"{leader.host} at {leader.control.address}:{leader.control.port}"
            if leader
            else "unknown; retry later"
        )
        return failure.Failure("not-leader", f"the leader is {where}")
    requested = _find_change(state.latest_membership, bootstrap, request)
    if isinstance(requested, failure.Failure):
        return requested
    return replica.change_membership(now_s, requested)


def _find_change(
    members: membership.Membership,
    bootstrap: bootstrap_lib.VoterBootstrap,
    request: requests.ChangeMember,
) -> membership.Change | failure.Failure:
    """Returns the membership change that a request describes."""
    kind = _CHANGE_KINDS[request.action]
    if kind is membership.ChangeKind.ADD_LEARNER:
        waiting = bootstrap.introduced.get(request.host)
        if waiting is None:
            return failure.Failure(
                "unknown-member",
                f"{request.host} has not introduced itself; start it with this"
                " host in the list of voters in its settings",
            )
        return membership.Change(kind, waiting.incarnation, waiting.peer)
    incarnations = [
        member.incarnation
        for member in members.members.values()
        if member.peer.host == request.host
        and request.incarnation in ("", member.incarnation)
    ]
    if len(incarnations) == 1:
        return membership.Change(kind, incarnations[0])
    reason = "unknown-member" if not incarnations else "ambiguous-member"
    return failure.Failure(
        reason,
        f"{len(incarnations)} members match host {request.host}; list the"
        " members and specify the incarnation",
    )


def _member(
    peer: peers.Peer, incarnation: str, state: requests.MemberState
) -> requests.Member:
    """Returns a member as operators see it."""
    endpoint = f"{peer.control.address}:{peer.control.port}"
    return requests.Member(peer.host, peer.domain, endpoint, incarnation, state)
