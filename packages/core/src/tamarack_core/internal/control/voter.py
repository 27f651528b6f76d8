"""Control role: replicated log, patches and reads at one control host.

It runs on every control host, learners included.
"""

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
BOOTSTRAP_SEQUENCE = 0
"""Sequence of the write of the first membership; the log numbers its own writes
from 1."""


class VoterControl:
    """Component that replicates patches and handles operator requests.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        distributor: Puts accepted configurations into force at this host.
        machine: The replicated state machine.
        replica: The replicated log.
        submissions: Patches without a verdict.
        bootstrap: Bootstrap of the log and admission of voters.
        disk: Contents of the data folder at the start; after a bootstrap also
            the snapshot that it saved.
        is_blank: Whether the data folder has never held anything.
        reads: Requests that wait for a read index.
        unreadable: Why the data folder can't be read, or None.
    """

    __slots__ = (
        "bootstrap",
        "context",
        "disk",
        "distributor",
        "is_blank",
        "machine",
        "reads",
        "replica",
        "submissions",
        "unreadable",
    )

    def __init__(
        self,
        context: context_lib.Context,
        distributor: configuration_distributor.ConfigurationDistributor,
        initial_voters: tuple[peers.Peer, ...],
        disk: disks.DiskContents,
        parameters: log_parameters.LogParameters | None = None,
    ) -> None:
        """Initializes the replicated log from the data folder.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            distributor: Puts accepted configurations into force at this host.
            initial_voters: First voters in the order of the settings.
            disk: Contents of the data folder at the start.
            parameters: Parameters of the replicated log; the defaults if None.
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
        self.bootstrap = bootstrap.VoterBootstrap(own, initial_voters)
        self.reads = linearizable_reads.LinearizableReads(
            self.machine, self.replica
        )
        self.unreadable = self.replica.recover(disk.snapshot, disk.records)

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
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
                control.PatchResponse: self.handle_patch_response,
                requests.SubmitPatch: self.handle_patch,
                requests.ReadConfiguration: self.handle_read,
                requests.ReadLog: self.handle_read,
                requests.ReadMembers: self.handle_read_members,
                requests.ChangeMember: self.handle_change_member,
            }
        )
        return handlers

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Starts the replicated log; stops if the disk is unreadable.

        A host that is not a voter introduces itself to the initial voters.
        """
        if self.unreadable is not None:
            return [effects.Stop(1, self.unreadable.detail)]
        result = self._collect_effects(
            event.now_s, self.replica.start(event.now_s)
        )
        result.extend(self.handle_tick(event))
        return result

    def handle_stop(self, event: events.StopRequested) -> list[effects.Effect]:
        """Transfers the leadership before the process ends."""
        step = self.replica.transfer_leadership(event.now_s)
        if isinstance(step, failure.Failure):
            return []
        return self._collect_effects(event.now_s, step)

    def handle_consensus(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Passes a message of another replica to the log."""
        message = event.message
        assert isinstance(message, consensus.Message)
        self.is_blank = False if self._is_addressed(message) else self.is_blank
        step = self.replica.handle_message(event.now_s, event.sender, message)
        return self._collect_effects(event.now_s, step)

    def handle_log_timer(
        self, event: events.TimerFired
    ) -> list[effects.Effect]:
        """Passes a timer event to the log."""
        return self._collect_effects(
            event.now_s, self.replica.handle_timer(event.now_s)
        )

    def handle_write_completed(
        self, event: events.WriteCompleted
    ) -> list[effects.Effect]:
        """Notifies the log that a write is synced to disk."""
        if event.sequence == BOOTSTRAP_SEQUENCE:
            return self._start_after_bootstrap(event.now_s)
        step = self.replica.handle_write_completed(event.now_s, event.sequence)
        return self._collect_effects(event.now_s, step)

    def handle_tick(
        self, event: events.TimerFired | events.Started
    ) -> list[effects.Effect]:
        """Runs the maintenance: bootstrap, introductions, patches and reads."""
        result: list[effects.Effect] = [
            effects.StartTimer(TIMER, TICK_INTERVAL_S)
        ]
        if self.is_blank and self.bootstrap.can_bootstrap():
            result.append(self._bootstrap_log())
        elif not self.replica.state.is_voter:
            result.extend(self.bootstrap.introduce(is_blank=self.is_blank))
        step = self.submissions.tick(event.now_s)
        result.extend(self._collect_effects(event.now_s, step))
        for step in self.reads.tick(event.now_s):
            result.extend(self._collect_effects(event.now_s, step))
        return result

    def handle_introduction(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Stores an introduction and admits the sender if this host leads."""
        message = event.message
        assert isinstance(message, control.Introduction)
        self.bootstrap.observe(event.sender, message)
        step = self.bootstrap.admit(
            event.now_s, self.replica, event.sender, message
        )
        return self._collect_effects(event.now_s, step)

    def handle_patch(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Handles a patch of an operator."""
        patch = event.request
        assert isinstance(patch, requests.SubmitPatch)
        origin = submissions.Origin(request_id=event.request_id)
        step = self.submissions.submit(event.now_s, patch, origin)
        return self._collect_effects(event.now_s, step)

    def handle_forward(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Handles a patch that another control host forwarded."""
        message = event.message
        assert isinstance(message, control.PatchForward)
        origin = submissions.Origin(peer=event.sender, token=message.token)
        step = self.submissions.submit(event.now_s, message.patch, origin)
        return self._collect_effects(event.now_s, step)

    def handle_patch_response(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Handles the leader's response to a forwarded patch."""
        message = event.message
        assert isinstance(message, control.PatchResponse)
        return self.submissions.handle_response(event.now_s, message)

    def handle_read(self, event: events.RequestArrived) -> list[effects.Effect]:
        """Requests a read index; the response follows once it is applied."""
        return self._collect_effects(
            event.now_s, self.reads.begin(event.now_s, event)
        )

    def handle_read_members(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Responds with the members of the log."""
        response = members.describe(self.replica, self.bootstrap)
        return [effects.Respond(event.request_id, response)]

    def handle_change_member(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Proposes a membership change if this host leads."""
        request = event.request
        assert isinstance(request, requests.ChangeMember)
        proposal = members.change(
            event.now_s, self.replica, self.bootstrap, request
        )
        if isinstance(proposal, failure.Failure):
            refused = requests.Refused(proposal.reason, proposal.detail)
            return [effects.Respond(event.request_id, refused)]
        started = requests.MemberChangeStarted()
        return [
            *self._collect_effects(event.now_s, proposal.step),
            effects.Respond(event.request_id, started),
        ]

    def _is_addressed(self, message: consensus.Message) -> bool:
        """Returns whether a message is addressed to this incarnation."""
        return message.header.destination == self.disk.incarnation

    def _bootstrap_log(self) -> effects.Effect:
        """Bootstraps the log: saves a membership with this host alone."""
        self.is_blank = False
        snapshot = records.Snapshot(
            0, 0, (self.bootstrap.own,), self.machine.snapshot()
        )
        data = records.encode(snapshot)
        self.disk = msgspec.structs.replace(self.disk, snapshot=data)
        return effects.SaveSnapshot(BOOTSTRAP_SEQUENCE, data, ())

    def _start_after_bootstrap(self, now_s: float) -> list[effects.Effect]:
        """Restarts the log from the saved membership."""
        self.unreadable = self.replica.recover(self.disk.snapshot, ())
        return self._collect_effects(now_s, self.replica.start(now_s))

    def _propose(
        self, now_s: float, command: bytes
    ) -> outputs.Proposal | failure.Failure:
        """Appends a command to the log if this host leads.

        The first patch waits until a majority of the initial voters are
        voters, so that it isn't stored by the founder alone.
        """
        voters = self.replica.state.latest_membership.voters
        if not self.machine.version and len(voters) <= self._minority():
            return failure.Failure(
                "founding", f"{len(voters)} voters have joined; wait for more"
            )
        return self.replica.propose(now_s, command)

    def _minority(self) -> int:
        """Returns the largest number of initial voters that is no majority."""
        return len(self.bootstrap.initial_voters) // 2

    def _collect_effects(
        self, now_s: float, step: outputs.Step
    ) -> list[effects.Effect]:
        """Returns the effects of a step and of handling its outputs."""
        result = list(step.effects)
        for output in step.outputs:
            result.extend(self._handle_output(now_s, output))
        decisions = self.machine.take_decisions()
        result.extend(self.submissions.handle_decisions(decisions))
        result.extend(self._record_decisions(now_s, decisions))
        result.extend(self._put_in_force(now_s))
        return result

    def _put_in_force(self, now_s: float) -> list[effects.Effect]:
        """Puts new versions into force at this host, which distributes them."""
        result: list[effects.Effect] = []
        for delta in self.machine.take_deltas():
            result.extend(self.distributor.put_delta(now_s, delta))
        # After a restart or a restored snapshot, the single changes aren't
        # known.
        if (
            self.machine.version
            > self.distributor.config_store.numbered.version
        ):
            result.extend(self.distributor.put(now_s, self.machine.numbered()))
        return result

    def _record_decisions(
        self, now_s: float, decisions: list[machines.Decision]
    ) -> list[effects.Effect]:
        """Returns the time line entries of verdicts; none unless leading."""
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
        """Handles an output of the replicated log."""
        match output:
            case outputs.Applied():
                self.submissions.handle_applied(output)
            case outputs.Restored():
                return self.submissions.handle_restored()
            case outputs.ReadCompleted(token):
                return self.reads.complete(token)
            case outputs.ReadFailed(token, reason):
                return self.reads.fail(now_s, token, reason)
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
        """Records a new leader and retries the pending patches that are due."""
        self.submissions.is_leading = changed.is_self
        self.submissions.leader = None if changed.is_self else changed.leader
        leader = changed.leader.host if changed.leader else ""
        result: list[effects.Effect] = [
            self.context.record(
                now_s, "leader-changed", detail=f"{leader} {changed.term}"
            )
        ]
        step = self.submissions.tick(now_s)
        result.extend(self._collect_effects(now_s, step))
        return result

    def _record_membership(
        self, now_s: float, changed: outputs.MembershipChanged
    ) -> effects.Effect:
        """Returns the time line entry of a membership change."""
        described = " ".join(
            f"{member.peer.host}/{member.incarnation}"
            f"{'' if member.is_voter else '(learner)'}"
            for member in changed.members
        )
        return self.context.record(
            now_s, "membership-changed", detail=described
        )
