"""Patches that wait for a verdict at one control host."""

from collections.abc import Callable
import dataclasses

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import requests
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.patches import commands
from tamarack_core.internal.patches import state_machine as machines
from tamarack_core.messages import control

RETRY_INTERVAL_S = 1.0
TIMEOUT_S = 6.0
"""Time for which a patch waits for a verdict, in seconds; longer than an
election and shorter than the timeout of the HTTP server."""
TOKEN_BITS = 52

NO_LEADER = "no-leader"

Propose = Callable[[float, bytes], outputs.Proposal | failure.Failure]
Response = requests.PatchVerdict | requests.Refused


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Requester of a verdict: an operator or another control host.

    Attributes:
        request_id: Number of the operator's request at this host, or 0.
        peer: Control host that forwarded the patch, if one did.
        token: Token of the forward, repeated in the response to that host.
    """

    request_id: int = 0
    peer: peers.Peer | None = None
    token: int = 0


@dataclasses.dataclass(slots=True)
class Submission:
    """A patch that waits for its verdict.

    Attributes:
        patch: The patch.
        digest: Digest of the patch.
        origin: Requester of the verdict.
        deadline_s: Monotonic time at which waiting ends, in seconds.
        is_absent: Whether it is certain that no copy of this patch has
            entered a log.
        index: Index in the log of this leader, or 0.
        term: Term of that log entry.
        token: Token of the last forward, or 0.
        forwarded_s: Monotonic time of the last forward, in seconds.
    """

    patch: requests.SubmitPatch
    digest: bytes
    origin: Origin
    deadline_s: float
    is_absent: bool
    index: int = 0
    term: int = 0
    token: int = 0
    forwarded_s: float = 0.0


class Submissions:
    """Forwards patches to the leader and returns their verdicts.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        machine: The replicated state machine.
        propose: Appends a command to the log if this host leads.
        leader: Host of the leader; None if it is unknown or this host.
        is_leading: Whether this host leads.
        pending: Patches without a verdict.
    """

    __slots__ = (
        "context",
        "is_leading",
        "leader",
        "machine",
        "pending",
        "propose",
    )

    def __init__(
        self,
        context: context_lib.Context,
        machine: machines.PatchStateMachine,
        propose: Propose,
    ) -> None:
        """Initializes without patches.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            machine: The replicated state machine.
            propose: Appends a command to the log if this host leads.
        """
        self.context = context
        self.machine = machine
        self.propose = propose
        self.leader: peers.Peer | None = None
        self.is_leading = False
        self.pending: list[Submission] = []

    def submit(
        self, now_s: float, patch: requests.SubmitPatch, origin: Origin
    ) -> outputs.Step:
        """Handles a patch from an operator or from another control host."""
        refused = commands.check(patch)
        if refused is None:
            refused = commands.check_nesting(patch)
        if refused is not None:
            verdict = requests.PatchVerdict(
                requests.PatchState.INVALID,
                path=refused.path,
                reason=f"{refused.reason}: {refused.detail}",
            )
            return outputs.Step([self._respond(origin, patch, verdict)])
        recorded = self.machine.recorded_verdict(patch)
        if recorded is not None:
            return outputs.Step([self._respond(origin, patch, recorded)])
        submission = Submission(
            patch,
            commands.digest(patch),
            origin,
            now_s + TIMEOUT_S,
            is_absent=not patch.is_resend,
        )
        self.pending.append(submission)
        return self._dispatch(now_s, submission)

    def handle_response(
        self, now_s: float, message: control.PatchResponse
    ) -> list[effects.Effect]:
        """Handles the leader's response to a forwarded patch."""
        for submission in self.pending:
            if (
                submission.token == message.token
                and submission.patch.patch_id == message.patch_id
            ):
                return self._apply_response(submission, message.response)
        return []

    def handle_decisions(
        self, decisions: list[machines.Decision]
    ) -> list[effects.Effect]:
        """Responds to the requesters of committed patches."""
        result: list[effects.Effect] = []
        for decision in decisions:
            key = (decision.patch_id, decision.digest)
            for submission in self._matching(key):
                result.append(self._finish(submission, decision.verdict))
        return result

    def handle_restored(self) -> list[effects.Effect]:
        """Responds to patches that were decided in a restored state."""
        decided = [
            (submission, verdict)
            for submission in self.pending
            if (verdict := self.machine.recorded_verdict(submission.patch))
        ]
        return [
            self._finish(submission, verdict) for submission, verdict in decided
        ]

    def handle_applied(self, applied: outputs.Applied) -> None:
        """Clears the index of proposals that another entry replaced.

        A later tick proposes these patches again.
        """
        for submission in self.pending:
            if (
                submission.index == applied.index
                and submission.term != applied.term
            ):
                submission.index = 0

    def tick(self, now_s: float) -> outputs.Step:
        """Retries patches without a response and times out overdue ones."""
        step = outputs.Step()
        for submission in list(self.pending):
            if now_s >= submission.deadline_s:
                step.effects.append(self._time_out(submission))
                continue
            if submission.index:
                continue
            if now_s - submission.forwarded_s >= RETRY_INTERVAL_S:
                retried = self._dispatch(now_s, submission)
                step.effects.extend(retried.effects)
                step.outputs.extend(retried.outputs)
        return step

    def _dispatch(self, now_s: float, submission: Submission) -> outputs.Step:
        """Proposes a patch here or forwards it to the leader."""
        if self.is_leading:
            return self._propose(now_s, submission)
        if submission.origin.peer is not None:
            refused = requests.Refused(NO_LEADER, "this host is not the leader")
            return outputs.Step([self._finish(submission, refused)])
        if self.leader is None:
            return outputs.Step()
        submission.token = self.context.random.getrandbits(TOKEN_BITS)
        submission.forwarded_s = now_s
        # The network may delay and duplicate a forward, so that even after a
        # refusal the patch may still enter the log.
        submission.is_absent = False
        forward = control.PatchForward(submission.token, submission.patch)
        return outputs.Step([effects.SendMessage(self.leader, forward)])

    def _propose(self, now_s: float, submission: Submission) -> outputs.Step:
        """Appends a patch to the log of this leader.

        A patch that is pending in the log already is not appended again.
        """
        key = (submission.patch.patch_id, submission.digest)
        for other in self._matching(key):
            if other.index:
                submission.index = other.index
                submission.term = other.term
                submission.is_absent = False
                return outputs.Step()
        wall_ms = self.context.wall_ms(now_s)
        command = commands.Submit(submission.patch, wall_ms)
        proposal = self.propose(now_s, commands.encode(command))
        if isinstance(proposal, failure.Failure):
            if proposal.reason == "too-large":
                verdict = requests.PatchVerdict(
                    requests.PatchState.INVALID, reason=proposal.detail
                )
                return outputs.Step([self._finish(submission, verdict)])
            return outputs.Step()
        submission.index = proposal.index
        submission.term = proposal.term
        submission.is_absent = False
        return proposal.step

    def _apply_response(
        self, submission: Submission, response: Response
    ) -> list[effects.Effect]:
        """Handles the response of the leader to a forwarded patch."""
        if isinstance(response, requests.Refused):
            # The next tick retries, possibly with another leader.
            submission.token = 0
            submission.forwarded_s = 0.0
            return []
        if response.state is requests.PatchState.UNKNOWN:
            return []
        return [self._finish(submission, response)]

    def _time_out(self, submission: Submission) -> effects.Effect:
        """Responds that no verdict was reached before the deadline."""
        if submission.is_absent:
            verdict = requests.PatchVerdict(
                requests.PatchState.NO_QUORUM,
                reason="no leader with a quorum is reachable from this host;"
                " the patch was not accepted and will not be",
            )
        else:
            verdict = requests.PatchVerdict(
                requests.PatchState.UNKNOWN,
                reason="no verdict before the timeout; send the patch again"
                " with the same id",
            )
        return self._finish(submission, verdict)

    def _finish(
        self, submission: Submission, response: Response
    ) -> effects.Effect:
        """Removes a submission and responds to its requester."""
        self.pending.remove(submission)
        return self._respond(submission.origin, submission.patch, response)

    def _respond(
        self, origin: Origin, patch: requests.SubmitPatch, response: Response
    ) -> effects.Effect:
        """Returns the effect that sends a response to the requester."""
        if origin.peer is None:
            return effects.Respond(origin.request_id, response)
        message = control.PatchResponse(origin.token, patch.patch_id, response)
        return effects.SendMessage(origin.peer, message)

    def _matching(self, key: tuple[str, bytes]) -> list[Submission]:
        """Returns the submissions of one patch."""
        return [
            submission
            for submission in self.pending
            if (submission.patch.patch_id, submission.digest) == key
        ]
