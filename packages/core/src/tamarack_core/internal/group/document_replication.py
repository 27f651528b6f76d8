"""Control role for numbered documents: the log, orders, reads, membership."""

import math
import random

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core import sync
from tamarack_core.internal.consensus import interface
from tamarack_core.internal.consensus import log_parameters
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import replica as replicas
from tamarack_core.internal.documents import state_machine as machines
from tamarack_core.internal.group import host_directory
from tamarack_core.internal.group import membership_policy
from tamarack_core.internal.group import publish_requests
from tamarack_core.internal.registry import publisher as publishers
from tamarack_core.messages import consensus
from tamarack_core.storage import disk as disks

TIMER = "group"

TICK_S = 0.1
"""Time between two looks at what waits, in seconds."""

HELLO_INTERVAL_S = 0.5
"""Time between two messages to each other control host, in seconds."""

CHANGE_INTERVAL_S = 0.2
"""Time between two membership changes, in seconds."""

STOP_S = 0.6
"""Time that a stopping host has to hand over and answer, in seconds."""

LOG_PARAMETERS = log_parameters.LogParameters(
    heartbeat_interval_s=0.15,
    election_timeout_min_s=0.6,
    election_timeout_max_s=1.2,
    read_timeout_s=0.8,
    commit_record_delay_s=0.25,
    command_bytes=1024 * log_parameters.KIB,
    compaction_entries=200,
    retained_entries=50,
    promotion_entries=5,
)
"""Times and sizes of the log. Control hosts are 3 to 12 ms apart and must
elect within the 3 s in which a configuration has to be in force."""


class DocumentReplicator:
    """Part that replicates documents and keeps the group whole.

    Attributes:
        context: Identity, chance, time and counters.
        directory: The other control hosts.
        publisher: Pushes documents to followers.
        machine: The replicated state.
        replica: The replicated log.
        publishing: Documents on their way into the log.
        reads: Requests that wait for a read index, by token.
        wanted_voters: How many voters the stated losses ask for.
        unreadable: Why the disk can't be read, if it can't.
        hello_s: Time of the last `ControlHello`, in seconds.
        changed_s: Time of the last membership change, in seconds.
        is_stopping: Whether the host is about to end.
    """

    __slots__ = (
        "changed_s",
        "context",
        "directory",
        "hello_s",
        "is_stopping",
        "machine",
        "publisher",
        "publishing",
        "reads",
        "replica",
        "unreadable",
        "wanted_voters",
    )

    def __init__(
        self,
        context: context_lib.Context,
        directory: host_directory.ControlHostDirectory,
        publisher: publishers.Publisher,
        disk: disks.DiskContents,
        founders: tuple[membership.Member, ...],
        tolerated_hosts: int,
        parameters: log_parameters.LogParameters = LOG_PARAMETERS,
    ) -> None:
        """Creates the part from what the disk holds.

        Args:
            context: Identity, chance, time and counters.
            directory: The other control hosts.
            publisher: Pushes documents to followers.
            disk: What the data folder held at the start.
            founders: Members of a system that starts for the first time;
                empty on a host that joins.
            tolerated_hosts: Control hosts that may be lost at once.
            parameters: Times and sizes of the log.
        """
        own = membership.Member(context.host, disk.incarnation)
        self.context = context
        self.directory = directory
        self.publisher = publisher
        self.machine = machines.DocumentStateMachine()
        self.replica = replicas.Replica(
            own,
            founders,
            random.Random(context.random.getrandbits(64)),
            self.machine,
            parameters,
        )
        self.publishing = publish_requests.PublishRequests(
            self.machine, self.replica
        )
        self.reads: dict[int, float] = {}
        self.wanted_voters = 2 * tolerated_hosts + 1
        self.unreadable = self.replica.recover(disk.snapshot, disk.records)
        self.hello_s = -math.inf
        self.changed_s = -math.inf
        self.is_stopping = False

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        handlers: dict[reducer.Key, reducer.Handler] = dict.fromkeys(
            consensus.MESSAGE_TYPES, self.handle_consensus
        )
        handlers.update(
            {
                events.Started: self.handle_started,
                events.StopRequested: self.handle_stop,
                events.SeedsChanged: self.handle_seeds,
                events.WriteCompleted: self.handle_write_completed,
                interface.TIMER: self.handle_log_timer,
                TIMER: self.handle_tick,
                "stop": self.handle_end,
                sync.ControlHello: self.handle_hello,
                external_requests.PublishDocument: self.handle_publish,
                external_requests.ReadDocument: self.handle_read,
            }
        )
        return handlers

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Starts to take part."""
        if self.unreadable is not None:
            return [effects.Stop(1, self.unreadable.detail)]
        found: list[effects.Effect] = [
            self.context.record(
                event.now_s,
                "host-started",
                version=self.machine.document.number,
            )
        ]
        found += self._carry(event.now_s, self.replica.start(event.now_s))
        found += self.handle_tick(event)
        return found

    def handle_stop(self, event: events.StopRequested) -> list[effects.Effect]:
        """Hands over the leadership; the process ends a little later."""
        if self.is_stopping:
            return []
        self.is_stopping = True
        found: list[effects.Effect] = [
            self.context.record(event.now_s, "host-stopping"),
            effects.StartTimer("stop", STOP_S),
        ]
        step = self.replica.transfer_leadership(event.now_s)
        if not isinstance(step, failure.Failure):
            found += self._carry(event.now_s, step)
        return found

    def handle_end(self, event: events.TimerFired) -> list[effects.Effect]:
        """Ends the process."""
        return [
            self.context.record(event.now_s, "host-stopped"),
            effects.Stop(0, "stop requested"),
        ]

    def handle_seeds(self, event: events.SeedsChanged) -> list[effects.Effect]:
        """Takes other seeds; what was learned stays."""
        self.directory.seeds = event.seeds
        return []

    def handle_consensus(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Hands a message of another replica to the log."""
        message = event.message
        assert isinstance(message, consensus.Message)
        step = self.replica.handle_message(event.now_s, event.sender, message)
        return self._carry(event.now_s, step)

    def handle_log_timer(
        self, event: events.TimerFired
    ) -> list[effects.Effect]:
        """Hands a timer to the log."""
        return self._carry(event.now_s, self.replica.handle_timer(event.now_s))

    def handle_write_completed(
        self, event: events.WriteCompleted
    ) -> list[effects.Effect]:
        """Tells the log that a write is synced."""
        step = self.replica.handle_write_completed(event.now_s, event.sequence)
        return self._carry(event.now_s, step)

    def handle_hello(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Takes note of another control host."""
        message = event.message
        assert isinstance(message, sync.ControlHello)
        self.directory.note(event.now_s, event.sender, message.incarnation)
        self.directory.mention(event.now_s, message.known)
        return []

    def handle_tick(
        self, event: events.TimerFired | events.Started
    ) -> list[effects.Effect]:
        """Moves on what waits: orders, reads, hellos, membership."""
        now_s = event.now_s
        found: list[effects.Effect] = [effects.StartTimer(TIMER, TICK_S)]
        for step in self.publishing.retry(now_s):
            found += self._carry(now_s, step)
        found += self.publishing.settle(now_s)
        if now_s - self.hello_s >= HELLO_INTERVAL_S:
            self.hello_s = now_s
            found += self._greet(now_s)
        if self.replica.state.is_leader and not self.is_stopping:
            found += self._mend(now_s)
        return found

    def _greet(self, now_s: float) -> list[effects.Effect]:
        """Names this host to the others, and who else is alive."""
        self.directory.forget(now_s)
        self.directory.mention(now_s, self._members())
        live = self.directory.live(now_s)
        hello = sync.ControlHello(self.replica.state.own.incarnation, live)
        found = self.publisher.set_controls(now_s, live)
        found += [
            effects.SendMessage(peer, hello) for peer in self.directory.others()
        ]
        return found

    def _members(self) -> tuple[peers.Peer, ...]:
        """Returns the hosts that the log names; seeds may be long gone."""
        members = self.replica.state.latest_membership.members.values()
        return tuple(member.peer for member in members)

    def _mend(self, now_s: float) -> list[effects.Effect]:
        """Makes the membership change that is due, at the leader."""
        if now_s - self.changed_s < CHANGE_INTERVAL_S:
            return []
        change = membership_policy.next_change(now_s, self._situation())
        if change is None:
            return []
        proposal = self.replica.change_membership(now_s, change)
        if isinstance(proposal, failure.Failure):
            self.context.counters[f"change-refused-{proposal.reason}"] += 1
            return []
        self.changed_s = now_s
        return self._carry(now_s, proposal.step)

    def _situation(self) -> membership_policy.Situation:
        """Returns what the leader knows of the group."""
        state = self.replica.state
        newest = state.log.last_index - state.parameters.promotion_entries
        return membership_policy.Situation(
            members=state.latest_membership,
            own=state.own.incarnation,
            directory=self.directory.heard,
            answered_s={
                incarnation: progress.answered_s
                for incarnation, progress in state.progress.items()
            },
            caught_up={
                incarnation
                for incarnation, progress in state.progress.items()
                if progress.match_index >= newest
            },
            wanted_voters=self.wanted_voters,
        )

    def handle_publish(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Takes a document of an operator."""
        request = event.request
        assert isinstance(request, external_requests.PublishDocument)
        step = self.publishing.submit(
            event.now_s, event.request_id, request.document
        )
        found: list[effects.Effect] = [
            self._record_order(event.now_s, request, step)
        ]
        found += self._carry(event.now_s, step)
        return found

    def _record_order(
        self,
        now_s: float,
        request: external_requests.PublishDocument,
        step: outputs.Step,
    ) -> effects.Effect:
        """Returns the time line entry of an order that arrived."""
        answers = [
            effect.response
            for effect in step.effects
            if isinstance(effect, effects.Respond)
        ]
        reason = verdict = ""
        if answers and isinstance(answers[0], requests.Refused):
            verdict, reason = "refused", answers[0].reason
        elif answers:
            verdict = type(answers[0]).__name__
        return self.context.record(
            now_s,
            "document-arrived",
            version=request.document.number,
            verdict=verdict or "waiting",
            reason=reason,
        )

    def handle_read(self, event: events.RequestArrived) -> list[effects.Effect]:
        """Asks for a read index; the answer follows when it is reached."""
        self.reads[event.request_id] = event.now_s
        step = self.replica.read_index(event.now_s, event.request_id)
        return self._carry(event.now_s, step)

    def _carry(self, now_s: float, step: outputs.Step) -> list[effects.Effect]:
        """Returns the effects of a step and of what it made happen."""
        found = list(step.effects)
        for output in step.outputs:
            found += self._handle_output(now_s, output)
        if self.machine.passed:
            found += self.publisher.publish_documents(now_s, self.machine)
            found += self.publishing.settle(now_s)
        return found

    def _handle_output(
        self, now_s: float, output: outputs.Output
    ) -> list[effects.Effect]:
        """Handles one thing that happened in the log."""
        match output:
            case outputs.ReadCompleted(token):
                return self._answer_read(token)
            case outputs.ReadFailed(token, reason):
                self.reads.pop(token, None)
                return [_unavailable(token, reason)]
            case outputs.LeaderChanged():
                return self._change_leader(now_s, output)
            case outputs.MembershipChanged():
                return [self._record_membership(now_s, output)]
            case outputs.Halted(reason, detail):
                return [effects.Stop(1, f"{reason}: {detail}")]
        return []

    def _answer_read(self, token: int) -> list[effects.Effect]:
        """Answers a read with what is applied."""
        if self.reads.pop(token, None) is None:
            return []
        document = self.machine.document
        if document.number == 0:
            return [_unavailable(token, "no-document")]
        return [
            effects.Respond(token, external_requests.DocumentRead(document))
        ]

    def _change_leader(
        self, now_s: float, changed: outputs.LeaderChanged
    ) -> list[effects.Effect]:
        """Records a new leader."""
        leader: peers.Peer | None = changed.leader
        name = leader.host if leader is not None else "none"
        return [
            self.context.record(
                now_s, "leader-changed", detail=f"{name} term {changed.term}"
            )
        ]

    def _record_membership(
        self, now_s: float, changed: outputs.MembershipChanged
    ) -> effects.Effect:
        """Returns the time line entry of a membership."""
        described = " ".join(
            f"{member.peer.host}/{member.incarnation}"
            f"{'' if member.is_voter else '(learner)'}"
            for member in changed.members
        )
        return self.context.record(
            now_s, "membership-changed", detail=described
        )


def _unavailable(request_id: int, reason: str) -> effects.Effect:
    answer = external_requests.Unavailable(
        reason, publish_requests.RETRY_AFTER_S
    )
    return effects.Respond(request_id, answer)
