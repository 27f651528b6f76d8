"""Documents on their way into the replicated log, and who waits for them."""

import msgspec

from tamarack_core import documents
from tamarack_core import effects
from tamarack_core import external_requests
from tamarack_core import failure
from tamarack_core import requests
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import replica as replicas
from tamarack_core.internal.consensus import replication
from tamarack_core.internal.documents import state_machine as machines

PATIENCE_S = 0.9
"""Time for which an operator waits, in seconds; operators turn to another
host after a second."""

RETRY_AFTER_S = 0.5
"""When to come back, in seconds; an election takes about that long."""


class Waiting(msgspec.Struct):
    """An operator that waits for a document.

    Attributes:
        request_id: Number of the request.
        document: The document.
        deadline_s: Time at which the operator is told to ask again.
    """

    request_id: int
    document: documents.Document
    deadline_s: float


class PublishRequests:
    """Proposes documents at the leader and answers when they are in force.

    Attributes:
        machine: The replicated state.
        replica: The replicated log.
        tail: The document that the last proposal makes; that in force while
            nothing is proposed.
        tail_index: Place of the last proposal in the log.
        tail_term: Term of the last proposal.
        waiting: Operators without an answer.
    """

    __slots__ = (
        "machine",
        "replica",
        "tail",
        "tail_index",
        "tail_term",
        "waiting",
    )

    def __init__(
        self, machine: machines.DocumentStateMachine, replica: replicas.Replica
    ) -> None:
        """Creates the part.

        Args:
            machine: The replicated state.
            replica: The replicated log.
        """
        self.machine = machine
        self.replica = replica
        self.tail = machine.document
        self.tail_index = 0
        self.tail_term = 0
        self.waiting: list[Waiting] = []

    def submit(
        self, now_s: float, request_id: int, document: documents.Document
    ) -> outputs.Step:
        """Takes a document of an operator.

        Args:
            now_s: Monotonic time in seconds.
            request_id: Number of the request.
            document: The document.
        """
        refused = documents.check(document)
        if refused is not None:
            answer = requests.Refused(refused.reason, refused.detail)
            return _answer(request_id, answer)
        if document.number <= self.machine.document.number:
            number = self.machine.document.number
            return _answer(
                request_id, external_requests.DocumentPublished(number)
            )
        state = self.replica.state
        if not state.is_leader:
            return _answer(request_id, self._point_to_leader())
        self.waiting.append(Waiting(request_id, document, now_s + PATIENCE_S))
        return self._propose(now_s, document)

    def _point_to_leader(
        self,
    ) -> external_requests.Elsewhere | external_requests.Unavailable:
        """Returns where the operator should turn."""
        leader = self.replica.state.leader
        if leader is None:
            return external_requests.Unavailable("no-leader", RETRY_AFTER_S)
        return external_requests.Elsewhere(leader.peer)

    def _propose(
        self, now_s: float, document: documents.Document
    ) -> outputs.Step:
        """Appends a document that is newer than all proposed before."""
        if not replication.has_committed_in_term(self.replica.state):
            return outputs.Step()
        self._follow_tail()
        if document.number <= self.tail.number:
            return outputs.Step()
        change = documents.difference(self.tail, document)
        proposal = self.replica.propose(now_s, machines.encode(change))
        if isinstance(proposal, failure.Failure):
            return outputs.Step()
        self.tail = document
        self.tail_index = proposal.index
        self.tail_term = proposal.term
        return proposal.step

    def _follow_tail(self) -> None:
        """Begins again at the document in force, if nothing is on its way."""
        state = self.replica.state
        is_lost = self.tail_term != state.term
        is_applied = self.tail_index <= state.commit_index
        if is_lost or is_applied:
            self.tail = self.machine.document

    def settle(self, now_s: float) -> list[effects.Effect]:
        """Answers the operators whose document is in force, or too late."""
        number = self.machine.document.number
        found: list[effects.Effect] = []
        kept = []
        for waiting in self.waiting:
            if waiting.document.number <= number:
                answer: requests.Response = external_requests.DocumentPublished(
                    number
                )
            elif not self.replica.state.is_leader:
                answer = self._point_to_leader()
            elif now_s >= waiting.deadline_s:
                answer = external_requests.Unavailable(
                    "no-quorum", RETRY_AFTER_S
                )
            else:
                kept.append(waiting)
                continue
            found.append(effects.Respond(waiting.request_id, answer))
        self.waiting = kept
        return found

    def retry(self, now_s: float) -> list[outputs.Step]:
        """Proposes what could not be proposed before."""
        if not self.replica.state.is_leader:
            return []
        ordered = sorted(
            self.waiting, key=lambda waiting: waiting.document.number
        )
        return [self._propose(now_s, waiting.document) for waiting in ordered]


def _answer(request_id: int, answer: requests.Response) -> outputs.Step:
    return outputs.Step(effects=[effects.Respond(request_id, answer)])
