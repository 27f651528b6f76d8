"""Linearizable reads of the replicated state.

A read never returns an older state than an earlier read returned.
"""

import itertools

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import requests
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import replica as replicas
from tamarack_core.internal.patches import state_machine as machines

READ_TIMEOUT_S = 6.0
"""Time for which a read is retried, in seconds; a read index request to the
leader may be lost."""

RETRY_AFTER_S = 0.5
"""Delay before the operator should retry, in seconds; an election takes about
that long."""


class LinearizableReads:
    """Read requests that wait until the state has reached their read index.

    Attributes:
        machine: The replicated state machine.
        replica: The replicated log.
        pending: Requests that wait for their read index, by token.
        failed: Requests to retry at the next tick.
    """

    __slots__ = ("_tokens", "failed", "machine", "pending", "replica")

    def __init__(
        self, machine: machines.PatchStateMachine, replica: replicas.Replica
    ) -> None:
        """Initializes without requests.

        Args:
            machine: The replicated state machine.
            replica: The replicated log.
        """
        self.machine = machine
        self.replica = replica
        self.pending: dict[int, events.RequestArrived] = {}
        self.failed: list[events.RequestArrived] = []
        self._tokens = itertools.count(1)

    def begin(self, now_s: float, event: events.RequestArrived) -> outputs.Step:
        """Requests a read index; also used for retries."""
        token = next(self._tokens)
        self.pending[token] = event
        return self.replica.read_index(now_s, token)

    def tick(self, now_s: float) -> list[outputs.Step]:
        """Retries the failed reads."""
        failed, self.failed = self.failed, []
        return [self.begin(now_s, event) for event in failed]

    def complete(self, token: int) -> list[effects.Effect]:
        """Responds to a read whose index has been applied."""
        event = self.pending.pop(token, None)
        if event is None:
            return []
        response: requests.Response
        if isinstance(event.request, requests.ReadLog):
            response = self._read_log(event.request)
        else:
            response = requests.ConfigurationRead(self.machine.numbered())
        return [effects.Respond(event.request_id, response)]

    def fail(
        self, now_s: float, token: int, reason: str
    ) -> list[effects.Effect]:
        """Retries an unconfirmed read later, or refuses it when overdue."""
        event = self.pending.pop(token, None)
        if event is None:
            return []
        if now_s - event.now_s < READ_TIMEOUT_S:
            self.failed.append(event)
            return []
        refused = requests.Refused(
            "no-quorum",
            f"{reason}: the newest version can't be confirmed; retry later, or"
            " read the status of the hosts for the versions in force",
            RETRY_AFTER_S,
        )
        return [effects.Respond(event.request_id, refused)]

    def _read_log(self, request: requests.ReadLog) -> requests.Response:
        """Returns the accepted patches after a version."""
        return requests.LogRead(
            self.machine.version,
            tuple(
                requests.LogEntry(
                    entry.version,
                    entry.patch_id,
                    entry.author,
                    entry.note,
                    entry.time_ms,
                    entry.changed,
                    entry.operations,
                )
                for entry in self.machine.history.entries
                if entry.version > request.after
            ),
        )
