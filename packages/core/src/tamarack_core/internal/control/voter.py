"""Control role: the replicated log, patches and reads of one control host."""

import random

import msgspec

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.consensus import interface
from tamarack_core.internal.consensus import log_parameters
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import records
from tamarack_core.internal.consensus import replica as replicas
from tamarack_core.internal.control import bootstrap
from tamarack_core.internal.control import linearizable_reads
from tamarack_core.internal.control import members
from tamarack_core.internal.control import submissions
from tamarack_core.internal.distribution import configuration_distributor
from tamarack_core.internal.patches import state_machine as machines
from tamarack_core.messages import consensus
from tamarack_core.messages import control
from tamarack_core.storage import disk as disks

TICK_INTERVAL_S = 0.25
TIMER = "control"
# The log numbers its own writes from 1 on.
FOUNDING_SEQUENCE = 0


class VoterControl:
    """Part that replicates patches and answers operators.

    Attributes:
        context: Identity, chance, time and counters.
        distributor: Puts accepted configurations into force on this host.
        machine: The replicated state.
        replica: The replicated log.
        submissions: Patches without a verdict.
        joining: How this host becomes a voter.
        disk: What the data folder held at the start.
        is_blank: Whether the data folder has never held anything.
        reading: Requests that wait for a read index.
        unreadable: Why the disk can't be read, if it can't.
    """

    __slots__ = (
        "context",
        "disk",
        "distributor",
        "is_blank",
        "joining",
        "machine",
        "reading",
        "replica",
        "submissions",
        "unreadable",
    )

    def __init__(
        self,
        context: context_lib.Context,
        distributor: configuration_distributor.ConfigurationDistributor,
        named: tuple[peers.Peer, ...],
        disk: disks.DiskContents,
        parameters: log_parameters.LogParameters | None = None,
    ) -> None:
        """Creates the part from what the disk holds.

        Args:
            context: Identity, chance, time and counters.
            distributor: Puts accepted configurations into force here.
            named: First voters in the order of the settings.
            disk: What the data folder held at the start.
            parameters: Times and sizes of the log; the defaults if None.
        """
        own = membership.Member(context.host, disk.incarnation)
        self.context = context
        self.distributor = distributor
        self.disk = disk
        self.is_blank = disk.snapshot is None and not disk.records
        self.machine = machines.PatchStateMachine()
        self.replica = replicas.Replica(
            own,
            (),
            random.Random(context.random.getrandbits(64)),
            self.machine,
            parameters,
        )
        self.submissions = submissions.Submissions(
            context, self.machine, self._propose
        )
        self.joining = bootstrap.VoterBootstrap(own, named)
        self.reading = linearizable_reads.LinearizableReads(
            self.machine, self.replica
        )
        self.unreadable = self.replica.recover(disk.snapshot, disk.records)

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        handlers: dict[reducer.Key, reducer.Handler] = dict.fromkeys(
            consensus.MESSAGE_TYPES, self.handle_consensus
        )
        handlers.update(
            {
                events.Started: self.handle_started,
                events.StopRequested: self.handle_stop,
                events.WriteCompleted: self.handle_write_completed,
                interface.TIMER: self.handle_log_timer,
                TIMER: self.handle_tick,
                control.Introduction: self.handle_introduction,
                control.PatchForward: self.handle_forward,
                control.PatchResponse: self.handle_answer,
                requests.SubmitPatch: self.handle_patch,
                requests.ReadConfiguration: self.handle_read,
                requests.ReadLog: self.handle_read,
                requests.ReadMembers: self.handle_read_members,
                requests.ChangeMember: self.handle_change_member,
            }
        )
        return handlers

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Starts to take part; a blank host introduces itself first."""
        if self.unreadable is not None:
            return [effects.Stop(1, self.unreadable.detail)]
        found = self._carry(event.now_s, self.replica.start(event.now_s))
        found.extend(self.handle_tick(event))
        return found

    def handle_stop(self, event: events.StopRequested) -> list[effects.Effect]:
        """Hands over the leadership before the process ends."""
        step = self.replica.transfer_leadership(event.now_s)
        if isinstance(step, failure.Failure):
            return []
        return self._carry(event.now_s, step)

    def handle_consensus(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Hands a message of another replica to the log."""
        message = event.message
        assert isinstance(message, consensus.Message)
        self.is_blank = False if self._is_addressed(message) else self.is_blank
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
        if event.sequence == FOUNDING_SEQUENCE:
            return self._start_founded(event.now_s)
        step = self.replica.handle_write_completed(event.now_s, event.sequence)
        return self._carry(event.now_s, step)

    def handle_tick(
        self, event: events.TimerFired | events.Started
    ) -> list[effects.Effect]:
        """Moves on what waits: introductions and patches."""
        found: list[effects.Effect] = [
            effects.StartTimer(TIMER, TICK_INTERVAL_S)
        ]
        if self.is_blank and self.joining.is_ready_to_found():
            found.append(self._found())
        elif not self.replica.state.is_voter:
            found.extend(self.joining.introduce(is_blank=self.is_blank))
        step = self.submissions.tick(event.now_s)
        found.extend(self._carry(event.now_s, step))
        for step in self.reading.tick(event.now_s):
            found.extend(self._carry(event.now_s, step))
        return found

    def handle_introduction(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Takes note of a host that wants to take part."""
        message = event.message
        assert isinstance(message, control.Introduction)
        self.joining.note(event.sender, message)
        step = self.joining.admit(
            event.now_s, self.replica, event.sender, message
        )
        return self._carry(event.now_s, step)

    def handle_patch(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Takes a patch of an operator."""
        patch = event.request
        assert isinstance(patch, requests.SubmitPatch)
        origin = submissions.Origin(request_id=event.request_id)
        step = self.submissions.submit(event.now_s, patch, origin)
        return self._carry(event.now_s, step)

    def handle_forward(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Takes a patch from another control host."""
        message = event.message
        assert isinstance(message, control.PatchForward)
        origin = submissions.Origin(peer=event.sender, token=message.token)
        step = self.submissions.submit(event.now_s, message.patch, origin)
        return self._carry(event.now_s, step)

    def handle_answer(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Takes the leader's answer to a forwarded patch."""
        message = event.message
        assert isinstance(message, control.PatchResponse)
        return self.submissions.handle_answer(event.now_s, message)

    def handle_read(self, event: events.RequestArrived) -> list[effects.Effect]:
        """Asks for a read index; the answer follows when it is reached."""
        return self._carry(event.now_s, self.reading.ask(event.now_s, event))

    def handle_read_members(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Answers with the members of the log."""
        answer = members.describe(self.replica, self.joining)
        return [effects.Respond(event.request_id, answer)]

    def handle_change_member(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Changes one member, if this host leads."""
        request = event.request
        assert isinstance(request, requests.ChangeMember)
        proposal = members.change(
            event.now_s, self.replica, self.joining, request
        )
        if isinstance(proposal, failure.Failure):
            refused = requests.Refused(proposal.reason, proposal.detail)
            return [effects.Respond(event.request_id, refused)]
        started = requests.MemberChangeStarted()
        return [
            *self._carry(event.now_s, proposal.step),
            effects.Respond(event.request_id, started),
        ]

    def _is_addressed(self, message: consensus.Message) -> bool:
        """Returns whether a message is meant for this incarnation."""
        return message.header.destination == self.disk.incarnation

    def _found(self) -> effects.Effect:
        """Founds the system: writes down a membership of this host alone."""
        self.is_blank = False
        snapshot = records.Snapshot(
            0, 0, (self.joining.own,), self.machine.snapshot()
        )
        data = records.encode(snapshot)
        self.disk = msgspec.structs.replace(self.disk, snapshot=data)
        return effects.SaveSnapshot(FOUNDING_SEQUENCE, data, ())

    def _start_founded(self, now_s: float) -> list[effects.Effect]:
        """Starts the log anew from the membership written down."""
        self.unreadable = self.replica.recover(self.disk.snapshot, ())
        return self._carry(now_s, self.replica.start(now_s))

    def _propose(
        self, now_s: float, command: bytes
    ) -> outputs.Proposal | failure.Failure:
        """Appends a command if this host leads.

        The first patch waits until a majority of the named voters takes part,
        so that it isn't kept by the founder alone.
        """
        voters = self.replica.state.latest_membership.voters
        if not self.machine.version and len(voters) <= self._minority():
            return failure.Failure(
                "founding", f"{len(voters)} voters take part; wait for more"
            )
        return self.replica.propose(now_s, command)

    def _minority(self) -> int:
        """Returns the largest number of named voters that is no majority."""
        return len(self.joining.named) // 2

    def _carry(self, now_s: float, step: outputs.Step) -> list[effects.Effect]:
        """Returns the effects of a step and of what it made happen."""
        found = list(step.effects)
        for output in step.outputs:
            found.extend(self._handle_output(now_s, output))
        decisions = self.machine.take_decisions()
        found.extend(self.submissions.handle_decisions(decisions))
        found.extend(self._record_decisions(now_s, decisions))
        found.extend(self._put_in_force(now_s))
        return found

    def _put_in_force(self, now_s: float) -> list[effects.Effect]:
        """Puts new versions into force on this host, which spreads them."""
        found: list[effects.Effect] = []
        for delta in self.machine.take_deltas():
            found.extend(self.distributor.put_delta(now_s, delta))
        # After a restart or a snapshot, single changes aren't known.
        if (
            self.machine.version
            > self.distributor.config_store.numbered.version
        ):
            found.extend(self.distributor.put(now_s, self.machine.numbered()))
        return found

    def _record_decisions(
        self, now_s: float, decisions: list[machines.Decision]
    ) -> list[effects.Effect]:
        """Returns the time line entries of verdicts, at the leader alone."""
        if not self.replica.state.is_leader:
            return []
        return [
            self.context.record(
                now_s,
                "patch-decided",
                version=decision.verdict.version,
                verdict=decision.verdict.state,
                detail=f"patch {decision.patch_id}",
            )
            for decision in decisions
        ]

    def _handle_output(
        self, now_s: float, output: outputs.Output
    ) -> list[effects.Effect]:
        """Handles one thing that happened in the log."""
        match output:
            case outputs.Applied():
                self.submissions.handle_applied(output)
            case outputs.Restored():
                return self.submissions.handle_restored()
            case outputs.ReadCompleted(token):
                return self.reading.complete(token)
            case outputs.ReadFailed(token, reason):
                return self.reading.fail(now_s, token, reason)
            case outputs.LeaderChanged():
                return self._change_leader(now_s, output)
            case outputs.Halted(reason, detail):
                return [effects.Stop(1, f"{reason}: {detail}")]
            case outputs.MembershipChanged():
                return [self._record_membership(now_s, output)]
        return []

    def _change_leader(
        self, now_s: float, changed: outputs.LeaderChanged
    ) -> list[effects.Effect]:
        """Follows a new leader; what waits is placed with it at once."""
        self.submissions.is_leading = changed.is_self
        self.submissions.leader = None if changed.is_self else changed.leader
        leader = changed.leader.host if changed.leader else ""
        found: list[effects.Effect] = [
            self.context.record(
                now_s, "leader-changed", detail=f"{leader} {changed.term}"
            )
        ]
        step = self.submissions.tick(now_s)
        found.extend(self._carry(now_s, step))
        return found

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
