"""Evacuation orders of operators that wait for the replicated log.

Each order goes through the log, even one that repeats what is in force: the
state that a host has applied may lag, so an acknowledgment without the log
could be false.

Orders carry no number. An operator repeats an order until it is acknowledged,
so a duplicate that was delayed on its way may arrive after the opposite order
was acknowledged. Its content doesn't distinguish it from a new order. An order
that would change the state is refused for now if the same order was applied
within the time for which operators repeat orders: a new order is then repeated
and obeyed within that time, a duplicate isn't. What an order would change is
known only once all earlier orders are applied, so a leader proposes one order
at a time, and the first one after it has committed an entry of its term.
"""

import msgspec

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import evacuations
from tamarack_core import external_requests
from tamarack_core import failure
from tamarack_core import requests
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import replica as replicas
from tamarack_core.internal.consensus import replication
from tamarack_core.internal.documents import evacuation_log
from tamarack_core.internal.documents import state_machine as machines
from tamarack_core.internal.group import host_directory
from tamarack_core.internal.group import publish_requests

MAX_PENDING = 500
"""Most orders that wait at once. Each holds a connection of an operator, who
repeats an order once a second at most."""

MAX_LOGGED_CHARACTERS = 80
"""Characters of an unchecked name in an order that are logged."""

_TOKEN_BITS = 64


class PendingOrder(msgspec.Struct):
    """An order that has no response yet.

    Attributes:
        request_id: Number of the request.
        order: The order.
        arrived_s: Time at which it arrived, in seconds.
        token: Identifier of the command that applies it; empty before it is in
            the log of this leader.
    """

    request_id: int
    order: evacuations.Order
    arrived_s: float
    token: str = ""


class EvacuationRequests:
    """Proposes orders at the leader and responds once they are applied.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        settings: Settings of evacuations.
        machine: The replicated state machine.
        replica: The replicated log.
        directory: The known control hosts.
        applied_s: Time at which this host last applied an order, in seconds,
            by order.
        pending: Orders that have no response yet.
        proposal_index: Index of the last proposal in the log.
        proposal_term: Term of the last proposal.
    """

    __slots__ = (
        "applied_s",
        "context",
        "directory",
        "machine",
        "pending",
        "proposal_index",
        "proposal_term",
        "replica",
        "settings",
    )

    def __init__(
        self,
        context: context_lib.Context,
        settings: evacuations.Settings,
        machine: machines.DocumentStateMachine,
        replica: replicas.Replica,
        directory: host_directory.ControlHostDirectory,
    ) -> None:
        """Initializes without pending orders.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            settings: Settings of evacuations.
            machine: The replicated state machine.
            replica: The replicated log.
            directory: The known control hosts.
        """
        self.context = context
        self.settings = settings
        self.machine = machine
        self.replica = replica
        self.directory = directory
        self.applied_s: dict[evacuations.Order, float] = {}
        self.pending: list[PendingOrder] = []
        self.proposal_index = 0
        self.proposal_term = 0

    def submit(
        self, now_s: float, request_id: int, order: evacuations.Order
    ) -> outputs.Step:
        """Handles an order.

        Args:
            now_s: Monotonic time in seconds.
            request_id: Number of the request.
            order: The order.
        """
        self.context.counters["evacuation-orders"] += 1
        pending = PendingOrder(request_id, order, now_s)
        response = self._find_refusal(now_s, order)
        if response is not None:
            return outputs.Step(self._respond(now_s, pending, response))
        self.pending.append(pending)
        step = self.propose_next(now_s)
        if pending in self.pending:
            step.effects.insert(0, self._record(now_s, pending, "waiting"))
        return step

    def _find_refusal(
        self, now_s: float, order: evacuations.Order
    ) -> requests.Response | None:
        """Returns the response to an order that can't be proposed, or None."""
        state = self.replica.state
        if order.domain not in self.settings.domains:
            return external_requests.NotFound(
                "unknown-domain", "use a failure domain of the deployment"
            )
        if not state.is_leader:
            silence_s = now_s - state.leader_seen_s
            if silence_s > state.parameters.election_timeout_max_s:
                # A learner that is cut off never learns of another leader.
                return _unavailable("no-leader")
            return publish_requests.leader_response(state)
        if not self.directory.all_accept_orders(now_s):
            return _unavailable("older-control-host")
        if replication.has_committed_in_term(
            state
        ) and not replication.is_confirmed(state, now_s):
            return _unavailable("no-quorum")
        if len(self.pending) >= MAX_PENDING:
            return _unavailable("too-many-orders")
        return None

    def propose_next(self, now_s: float) -> outputs.Step:
        """Proposes the order that waits longest, and its repeats with it.

        Args:
            now_s: Monotonic time in seconds.
        """
        result: list[effects.Effect] = []
        while self._can_propose():
            waiting = [pending for pending in self.pending if not pending.token]
            if not waiting:
                break
            order = waiting[0].order
            repeats = [pending for pending in waiting if pending.order == order]
            duplicate = self._check_duplicate(now_s, order)
            if duplicate is None:
                step = self._propose(now_s, order, repeats)
                return outputs.Step([*result, *step.effects], step.outputs)
            self.context.counters["evacuation-orders-ambiguous"] += 1
            for pending in repeats:
                self.pending.remove(pending)
                result += self._respond(now_s, pending, duplicate)
        return outputs.Step(result)

    def _can_propose(self) -> bool:
        """Returns whether this host leads and has applied all earlier orders.

        Orders of earlier terms are applied once an entry of this term is.
        """
        state = self.replica.state
        return (
            state.is_leader
            and replication.has_committed_in_term(state)
            and (
                self.proposal_term != state.term
                or self.proposal_index <= state.commit_index
            )
        )

    def _check_duplicate(
        self, now_s: float, order: evacuations.Order
    ) -> external_requests.Unavailable | None:
        """Returns the refusal of an order that may be a delayed duplicate."""
        if evacuations.is_in_force(self.machine.evacuations.state, order):
            return None
        applied_s = self.applied_s.get(order, float("-inf"))
        remaining_s = applied_s + self.settings.repeat_s - now_s
        if remaining_s <= 0.0:
            return None
        return external_requests.Unavailable("ambiguous-order", remaining_s)

    def _propose(
        self,
        now_s: float,
        order: evacuations.Order,
        repeats: list[PendingOrder],
    ) -> outputs.Step:
        """Appends an order to the log; if that fails, it waits."""
        token = f"{self.context.random.getrandbits(_TOKEN_BITS):016x}"
        command = evacuation_log.Command(order, token)
        proposal = self.replica.propose(now_s, machines.encode_order(command))
        if isinstance(proposal, failure.Failure):
            return outputs.Step()
        self.proposal_index = proposal.index
        self.proposal_term = proposal.term
        for pending in repeats:
            pending.token = token
        return proposal.step

    def observe_applied(
        self, now_s: float, commands: list[evacuation_log.Command]
    ) -> list[effects.Effect]:
        """Responds to the orders that were applied.

        Args:
            now_s: Monotonic time in seconds.
            commands: The commands applied since the last call.
        """
        for command in commands:
            self.applied_s[command.order] = now_s
        tokens = {command.token for command in commands}
        revision = self.machine.evacuations.state.revision
        response = external_requests.EvacuationOrdered(revision)
        result: list[effects.Effect] = []
        kept = []
        for pending in self.pending:
            if pending.token and pending.token in tokens:
                result += self._respond(now_s, pending, response)
            else:
                kept.append(pending)
        self.pending = kept
        return result

    def expire(self, now_s: float) -> list[effects.Effect]:
        """Responds to orders that timed out, or that this host can't commit.

        An order may be in the log of a new leader, so it is unknown whether it
        will be applied.

        Args:
            now_s: Monotonic time in seconds.
        """
        result: list[effects.Effect] = []
        kept = []
        for pending in self.pending:
            if not self.replica.state.is_leader:
                response = _unavailable("leadership-lost")
            elif now_s - pending.arrived_s >= publish_requests.TIMEOUT_S:
                response = _unavailable("no-quorum")
            else:
                kept.append(pending)
                continue
            result += self._respond(now_s, pending, response)
        self.pending = kept
        return result

    def _respond(
        self, now_s: float, pending: PendingOrder, response: requests.Response
    ) -> list[effects.Effect]:
        """Returns the response to an order and its time line entry."""
        verdict, reason, revision = "refused", "", 0
        match response:
            case external_requests.EvacuationOrdered(revision):
                verdict = "acknowledged"
            case external_requests.Elsewhere(peer):
                verdict, reason = "redirected", peer.host
            case external_requests.NotFound(reason):
                verdict = "refused"
            case external_requests.Unavailable(reason):
                verdict = "unavailable"
        self.context.counters[f"evacuation-orders-{verdict}"] += 1
        return [
            self._record(now_s, pending, verdict, reason, revision),
            effects.Respond(pending.request_id, response),
        ]

    def _record(
        self,
        now_s: float,
        pending: PendingOrder,
        verdict: str,
        reason: str = "",
        revision: int = 0,
    ) -> effects.Effect:
        """Returns the time line entry of an order."""
        order = pending.order
        return self.context.record(
            now_s,
            "evacuation-ordered",
            version=revision,
            verdict=verdict,
            reason=reason,
            detail=f"{order.action} {order.domain[:MAX_LOGGED_CHARACTERS]!r}"
            f" after {now_s - pending.arrived_s:.3f} s",
        )


def _unavailable(reason: str) -> external_requests.Unavailable:
    """Returns the response to an order that may be sent again."""
    return external_requests.Unavailable(reason, publish_requests.RETRY_AFTER_S)
