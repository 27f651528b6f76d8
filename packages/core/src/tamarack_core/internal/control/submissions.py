"""Patches on their way to a verdict at one control host."""

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
# Longer than an election, and shorter than the timeout of the HTTP server.
PATIENCE_S = 6.0
TOKEN_BITS = 52

NO_LEADER = "no-leader"

Propose = Callable[[float, bytes], outputs.Proposal | failure.Failure]
Answer = requests.PatchVerdict | requests.Refused


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Who waits for a verdict.

    Attributes:
        request_id: Number of the operator's request here, or 0.
        peer: Control host that forwarded the patch, if one did.
        token: Number that the answer to that host repeats.
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
        origin: Who waits.
        deadline_s: When to give up waiting.
        is_absent: Whether it is certain that no sending of this patch has
            entered a log.
        index: Place in this leader's log, or 0.
        term: Term of that place.
        token: Number of the last forward, or 0.
        forwarded_s: When it was last forwarded.
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
    """Carries each patch to the leader and its verdict back.

    Attributes:
        context: Identity, chance, time and counters.
        machine: The replicated state.
        propose: Appends a command if this host leads.
        leader: Host of the leader, if it is known and another one.
        is_leading: Whether this host leads.
        waiting: Patches without a verdict.
    """

    __slots__ = (
        "context",
        "is_leading",
        "leader",
        "machine",
        "propose",
        "waiting",
    )

    def __init__(
        self,
        context: context_lib.Context,
        machine: machines.PatchStateMachine,
        propose: Propose,
    ) -> None:
        """Creates the part without a patch.

        Args:
            context: Identity, chance, time and counters.
            machine: The replicated state.
            propose: Appends a command if this host leads.
        """
        self.context = context
        self.machine = machine
        self.propose = propose
        self.leader: peers.Peer | None = None
        self.is_leading = False
        self.waiting: list[Submission] = []

    def submit(
        self, now_s: float, patch: requests.SubmitPatch, origin: Origin
    ) -> outputs.Step:
        """Takes a patch from an operator or from another control host."""
        refused = commands.check(patch)
        if refused is not None:
            verdict = requests.PatchVerdict(
                requests.PatchState.INVALID,
                path=refused.path,
                reason=f"{refused.reason}: {refused.detail}",
            )
            return outputs.Step([self._answer(origin, patch, verdict)])
        first = self.machine.first_answer(patch)
        if first is not None:
            return outputs.Step([self._answer(origin, patch, first)])
        submission = Submission(
            patch,
            commands.digest(patch),
            origin,
            now_s + PATIENCE_S,
            is_absent=not patch.is_resend,
        )
        self.waiting.append(submission)
        return self._place(now_s, submission)

    def handle_answer(
        self, now_s: float, message: control.PatchResponse
    ) -> list[effects.Effect]:
        """Handles the leader's answer to a forwarded patch."""
        for submission in self.waiting:
            if (
                submission.token == message.token
                and submission.patch.patch_id == message.patch_id
            ):
                return self._take_answer(submission, message.response)
        return []

    def handle_decisions(
        self, decisions: list[machines.Decision]
    ) -> list[effects.Effect]:
        """Answers those who wait for committed patches."""
        found: list[effects.Effect] = []
        for decision in decisions:
            key = (decision.patch_id, decision.digest)
            for submission in self._matching(key):
                found.append(self._finish(submission, decision.verdict))
        return found

    def handle_restored(self) -> list[effects.Effect]:
        """Looks up those who wait in a state that was replaced."""
        answered = [
            (submission, verdict)
            for submission in self.waiting
            if (verdict := self.machine.first_answer(submission.patch))
        ]
        return [
            self._finish(submission, verdict)
            for submission, verdict in answered
        ]

    def handle_applied(self, applied: outputs.Applied) -> None:
        """Takes note of proposals that lost their place to another entry."""
        for submission in self.waiting:
            if (
                submission.index == applied.index
                and submission.term != applied.term
            ):
                submission.index = 0

    def tick(self, now_s: float) -> outputs.Step:
        """Sends again what got no answer, and gives up what took too long."""
        step = outputs.Step()
        for submission in list(self.waiting):
            if now_s >= submission.deadline_s:
                step.effects.append(self._give_up(submission))
                continue
            if submission.index:
                continue
            if now_s - submission.forwarded_s >= RETRY_INTERVAL_S:
                placed = self._place(now_s, submission)
                step.effects.extend(placed.effects)
                step.outputs.extend(placed.outputs)
        return step

    def _place(self, now_s: float, submission: Submission) -> outputs.Step:
        """Proposes a patch here or forwards it to the leader."""
        if self.is_leading:
            return self._propose(now_s, submission)
        if submission.origin.peer is not None:
            refused = requests.Refused(NO_LEADER, "this host doesn't lead")
            return outputs.Step([self._finish(submission, refused)])
        if self.leader is None:
            return outputs.Step()
        submission.token = self.context.random.getrandbits(TOKEN_BITS)
        submission.forwarded_s = now_s
        # The network may deliver a forward late and twice, so that not even
        # a refusal makes it certain that the patch stays out of the log.
        submission.is_absent = False
        forward = control.PatchForward(submission.token, submission.patch)
        return outputs.Step([effects.SendMessage(self.leader, forward)])

    def _propose(self, now_s: float, submission: Submission) -> outputs.Step:
        """Appends a patch to the log of this leader, once."""
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

    def _take_answer(
        self, submission: Submission, response: Answer
    ) -> list[effects.Effect]:
        """Handles what the leader said."""
        if isinstance(response, requests.Refused):
            # The next tick tries again, perhaps with another leader.
            submission.token = 0
            submission.forwarded_s = 0.0
            return []
        if response.state is requests.PatchState.UNKNOWN:
            return []
        return [self._finish(submission, response)]

    def _give_up(self, submission: Submission) -> effects.Effect:
        """Answers that there is no verdict in time."""
        if submission.is_absent:
            verdict = requests.PatchVerdict(
                requests.PatchState.NO_QUORUM,
                reason="no leader with a quorum is reachable from here; the"
                " patch is not accepted and will not be",
            )
        else:
            verdict = requests.PatchVerdict(
                requests.PatchState.UNKNOWN,
                reason="no verdict in time; send the patch again with the"
                " same id",
            )
        return self._finish(submission, verdict)

    def _finish(self, submission: Submission, answer: Answer) -> effects.Effect:
        """Answers and forgets a submission."""
        self.waiting.remove(submission)
        return self._answer(submission.origin, submission.patch, answer)

    def _answer(
        self, origin: Origin, patch: requests.SubmitPatch, answer: Answer
    ) -> effects.Effect:
        """Returns the effect that answers whoever waits."""
        if origin.peer is None:
            return effects.Respond(origin.request_id, answer)
        message = control.PatchResponse(origin.token, patch.patch_id, answer)
        return effects.SendMessage(origin.peer, message)

    def _matching(self, key: tuple[str, bytes]) -> list[Submission]:
        """Returns the submissions of one patch."""
        return [
            submission
            for submission in self.waiting
            if (submission.patch.patch_id, submission.digest) == key
        ]
