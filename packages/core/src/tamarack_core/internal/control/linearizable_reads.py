"""Reads of the replicated state that never go back."""

import itertools

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import requests
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import replica as replicas
from tamarack_core.internal.patches import state_machine as machines

# A question to the leader may be lost; it is repeated for so long.
READ_PATIENCE_S = 6.0

RETRY_AFTER_S = 0.5
"""When to read again, in seconds; an election takes about that long."""


class LinearizableReads:
    """Answers requests once the state is recent enough.

    Attributes:
        machine: The replicated state.
        replica: The replicated log.
        waiting: Requests that wait for a read index, by token.
        failed: Requests to be tried again at the next tick.
    """

    __slots__ = ("_tokens", "failed", "machine", "replica", "waiting")

    def __init__(
        self, machine: machines.PatchStateMachine, replica: replicas.Replica
    ) -> None:
        """Creates the part without a request.

        Args:
            machine: The replicated state.
            replica: The replicated log.
        """
        self.machine = machine
        self.replica = replica
        self.waiting: dict[int, events.RequestArrived] = {}
        self.failed: list[events.RequestArrived] = []
        self._tokens = itertools.count(1)

    def ask(self, now_s: float, event: events.RequestArrived) -> outputs.Step:
        """Asks for a read index, perhaps again."""
        token = next(self._tokens)
        self.waiting[token] = event
        return self.replica.read_index(now_s, token)

    def tick(self, now_s: float) -> list[outputs.Step]:
        """Tries again what failed."""
        failed, self.failed = self.failed, []
        return [self.ask(now_s, event) for event in failed]

    def complete(self, token: int) -> list[effects.Effect]:
        """Answers a read that has reached its index."""
        event = self.waiting.pop(token, None)
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
        """Tries a read again that was not confirmed, or refuses it."""
        event = self.waiting.pop(token, None)
        if event is None:
            return []
        if now_s - event.now_s < READ_PATIENCE_S:
            self.failed.append(event)
            return []
        refused = requests.Refused(
            "no-quorum",
            f"{reason}: the newest version can't be confirmed; ask again, or"
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
