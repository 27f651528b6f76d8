"""Evacuation orders of operators that wait for the replicated log.

Each order goes through the log, even one that repeats what is in force: the
state that a host has applied may lag, so an acknowledgment without the log
could be false.

Orders carry no number. An operator repeats an order until it is acknowledged,
so a duplicate that was delayed on its way may arrive after the opposite order
was acknowledged. Its content doesn't distinguish it from a new order. An order
that would change the state is refused for now if the same order was applied
within the time for which operators repeat orders: a new order is then repeated
and obeyed within that time, a duplicate isn't.
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
from tamarack_core.internal.group import publish_requests

_TOKEN_BITS = 64


class PendingOrder(msgspec.Struct):
    """An order that has no response yet.

    Attributes:
        request_id: Number of the request.
        command: The command that applies it.
        deadline_s: Time at which the operator is told to retry, in seconds.
        is_proposed: Whether the command is in the log of this leader.
    """

    request_id: int
    command: evacuation_log.Command
    deadline_s: float
    is_proposed: bool = False


class EvacuationRequests:
    """Proposes orders at the leader and responds once they are applied.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        settings: Settings of evacuations.
        machine: The replicated state machine.
        replica: The replicated log.
        applied_s: Time at which this host last applied an order, in seconds,
            by order.
        pending: Orders that have no response yet.
    """

    __slots__ = (
        "applied_s",
        "context",
        "machine",
        "pending",
        "replica",
        "settings",
    )

    def __init__(
        self,
        context: context_lib.Context,
        settings: evacuations.Settings,
        machine: machines.DocumentStateMachine,
        replica: replicas.Replica,
    ) -> None:
        """Initializes without pending orders.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            settings: Settings of evacuations.
            machine: The replicated state machine.
            replica: The replicated log.
        """
        self.context = context
        self.settings = settings
        self.machine = machine
        self.replica = replica
        self.applied_s: dict[evacuations.Order, float] = {}
        self.pending: list[PendingOrder] = []

    def submit(
        self, now_s: float, request_id: int, order: evacuations.Order
    ) -> outputs.Step:
        """Handles an order.

        Args:
            now_s: Monotonic time in seconds.
            request_id: Number of the request.
            order: The order.
        """
        state = self.replica.state
        response: requests.Response | None = None
        if order.domain not in self.settings.domains:
            response = external_requests.NotFound(
                "unknown-domain", "use a failure domain of the deployment"
            )
        elif not state.is_leader:
            response = publish_requests.leader_response(state)
        elif replication.has_committed_in_term(
            state
        ) and not replication.is_confirmed(state, now_s):
            response = external_requests.Unavailable(
                "no-quorum", publish_requests.RETRY_AFTER_S
            )
        else:
            response = self._check_duplicate(now_s, order)
        if response is not None:
            return outputs.Step(effects=[effects.Respond(request_id, response)])
        token = f"{self.context.random.getrandbits(_TOKEN_BITS):016x}"
        pending = PendingOrder(
            request_id,
            evacuation_log.Command(order, token),
            now_s + publish_requests.TIMEOUT_S,
        )
        self.pending.append(pending)
        return self._propose(now_s, pending)

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
        self.context.counters["evacuation-orders-ambiguous"] += 1
        return external_requests.Unavailable("ambiguous-order", remaining_s)

    def _propose(self, now_s: float, pending: PendingOrder) -> outputs.Step:
        """Proposes an order, unless a new leader has to wait."""
        if not replication.has_committed_in_term(self.replica.state):
            return outputs.Step()
        proposal = self.replica.propose(
            now_s, machines.encode_order(pending.command)
        )
        if isinstance(proposal, failure.Failure):
            return outputs.Step()
        pending.is_proposed = True
        return proposal.step

    def retry(self, now_s: float) -> list[outputs.Step]:
        """Proposes pending orders that could not be proposed before."""
        if not self.replica.state.is_leader:
            return []
        return [
            self._propose(now_s, pending)
            for pending in list(self.pending)
            if not pending.is_proposed
        ]

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
        result: list[effects.Effect] = [
            effects.Respond(pending.request_id, response)
            for pending in self.pending
            if pending.command.token in tokens
        ]
        self.pending = [
            pending
            for pending in self.pending
            if pending.command.token not in tokens
        ]
        return result

    def expire(self, now_s: float) -> list[effects.Effect]:
        """Responds to orders that timed out, or that this host can't commit."""
        state = self.replica.state
        result: list[effects.Effect] = []
        kept = []
        for pending in self.pending:
            response: requests.Response
            if not state.is_leader:
                response = publish_requests.leader_response(state)
            elif now_s >= pending.deadline_s:
                response = external_requests.Unavailable(
                    "no-quorum", publish_requests.RETRY_AFTER_S
                )
            else:
                kept.append(pending)
                continue
            result.append(effects.Respond(pending.request_id, response))
        self.pending = kept
        return result
