"""Publish requests of operators that wait for the replicated log."""

import msgspec

from tamarack_core import documents
from tamarack_core import effects
from tamarack_core import external_requests
from tamarack_core import failure
from tamarack_core import requests
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import replica as replicas
from tamarack_core.internal.consensus import replication
from tamarack_core.internal.consensus import state as states
from tamarack_core.internal.documents import state_machine as machines

TIMEOUT_S = 0.9
"""Time after which a pending request is answered as unavailable, in seconds;
operators try another host after a second."""

MAX_PENDING_BYTES = 4 * 1024 * 1024
"""Bytes of the documents that may wait before another one; one document of any
size always may."""

RETRY_AFTER_S = 0.5
"""Delay before the operator should retry, in seconds; an election takes about
that long."""


class PendingRequest(msgspec.Struct):
    """A publish request that has no response yet.

    Attributes:
        request_id: Number of the request.
        document: The document.
        deadline_s: Time at which the operator is told to retry, in seconds.
        size_bytes: Bytes of the document.
    """

    request_id: int
    document: documents.Document
    deadline_s: float
    size_bytes: int


class PublishRequests:
    """Proposes documents at the leader and responds once they are in force.

    Attributes:
        machine: The replicated state machine.
        replica: The replicated log.
        last_proposed: The document that results from the last proposal; the
            document in force while no proposal is pending.
        proposal_index: Index of the last proposal in the log.
        proposal_term: Term of the last proposal.
        pending: Requests that have no response yet.
    """

    __slots__ = (
        "last_proposed",
        "machine",
        "pending",
        "proposal_index",
        "proposal_term",
        "replica",
    )

    def __init__(
        self,
        machine: machines.DocumentStateMachine,
        replica: replicas.Replica,
    ) -> None:
        """Initializes without pending requests.

        Args:
            machine: The replicated state machine.
            replica: The replicated log.
        """
        self.machine = machine
        self.replica = replica
        self.last_proposed = machine.document
        self.proposal_index = 0
        self.proposal_term = 0
        self.pending: list[PendingRequest] = []

    def submit(
        self, now_s: float, request_id: int, document: documents.Document
    ) -> outputs.Step:
        """Handles a publish request.

        Args:
            now_s: Monotonic time in seconds.
            request_id: Number of the request.
            document: The document to publish.
        """
        refused = documents.check(document)
        if refused is not None:
            response = requests.Refused(refused.reason, refused.detail)
            return _respond(request_id, response)
        if document.number <= self.machine.document.number:
            number = self.machine.document.number
            return _respond(
                request_id, external_requests.DocumentPublished(number)
            )
        state = self.replica.state
        if not state.is_leader:
            return _respond(request_id, leader_response(state))
        size_bytes = documents.size_bytes(document)
        pending_bytes = sum(request.size_bytes for request in self.pending)
        if pending_bytes and pending_bytes + size_bytes > MAX_PENDING_BYTES:
            return _respond(
                request_id, external_requests.Unavailable("busy", RETRY_AFTER_S)
            )
        self.pending.append(
            PendingRequest(request_id, document, now_s + TIMEOUT_S, size_bytes)
        )
        return self._propose(now_s, document)

    def _propose(
        self, now_s: float, document: documents.Document
    ) -> outputs.Step:
        """Proposes a document that is newer than all earlier proposals."""
        if not replication.has_committed_in_term(self.replica.state):
            return outputs.Step()
        self._update_last_proposed()
        if document.number <= self.last_proposed.number:
            return outputs.Step()
        change = documents.difference(self.last_proposed, document)
        proposal = self.replica.propose(now_s, machines.encode(change))
        if isinstance(proposal, failure.Failure):
            return outputs.Step()
        self.last_proposed = document
        self.proposal_index = proposal.index
        self.proposal_term = proposal.term
        return proposal.step

    def _update_last_proposed(self) -> None:
        """Restarts at the document in force if no proposal is pending."""
        state = self.replica.state
        is_lost = self.proposal_term != state.term
        is_applied = self.proposal_index <= state.commit_index
        if is_lost or is_applied:
            self.last_proposed = self.machine.document

    def respond_to_pending(self, now_s: float) -> list[effects.Effect]:
        """Responds to requests whose document is in force or that timed out.

        Once this host no longer leads, all pending requests are pointed to
        the new leader.
        """
        number = self.machine.document.number
        result: list[effects.Effect] = []
        kept = []
        for request in self.pending:
            if request.document.number <= number:
                response: requests.Response = (
                    external_requests.DocumentPublished(number)
                )
            elif not self.replica.state.is_leader:
                response = leader_response(self.replica.state)
            elif now_s >= request.deadline_s:
                response = external_requests.Unavailable(
                    "no-quorum", RETRY_AFTER_S
                )
            else:
                kept.append(request)
                continue
            result.append(effects.Respond(request.request_id, response))
        self.pending = kept
        return result

    def retry(self, now_s: float) -> list[outputs.Step]:
        """Proposes pending documents that could not be proposed before."""
        if not self.replica.state.is_leader:
            return []
        ordered = sorted(
            self.pending, key=lambda request: request.document.number
        )
        return [self._propose(now_s, request.document) for request in ordered]


def leader_response(
    state: states.State,
) -> external_requests.Elsewhere | external_requests.Unavailable:
    """Returns the response that points the operator to the leader.

    Args:
        state: State of the replicated log.
    """
    if state.leader is None:
        return external_requests.Unavailable("no-leader", RETRY_AFTER_S)
    return external_requests.Elsewhere(state.leader.peer)


def _respond(request_id: int, response: requests.Response) -> outputs.Step:
    return outputs.Step(effects=[effects.Respond(request_id, response)])
