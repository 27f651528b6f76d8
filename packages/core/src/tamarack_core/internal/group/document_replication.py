"""Replication of numbered documents among the control hosts of a group."""

import math
import random

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import evacuations
from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core import sync
from tamarack_core.internal.cold_targets import budget
from tamarack_core.internal.consensus import interface
from tamarack_core.internal.consensus import log_parameters
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import replica as replicas
from tamarack_core.internal.consensus import replication
from tamarack_core.internal.documents import state_machine as machines
from tamarack_core.internal.group import allotment_proposals
from tamarack_core.internal.group import evacuation_requests
from tamarack_core.internal.group import host_directory
from tamarack_core.internal.group import membership_policy
from tamarack_core.internal.group import planned_stop
from tamarack_core.internal.group import publish_requests
from tamarack_core.internal.registry import publisher as publishers
from tamarack_core.messages import consensus
from tamarack_core.storage import disk as disks

TIMER = "group"

TICK_S = 0.1
"""Interval of the maintenance of pending work, in seconds."""

HELLO_INTERVAL_S = 0.5
"""Time between two `ControlHello` messages to each control host, in seconds."""

CHANGE_INTERVAL_S = 0.2
"""Time between two membership changes, in seconds."""

NAMES_PER_HELLO = 8
"""Entry hosts named by one `ControlHello`. The message crosses between failure
domains, so its size must not grow with the number of entry hosts."""

LOG_PARAMETERS = log_parameters.LogParameters(
    heartbeat_interval_s=0.15,
    election_timeout_min_s=0.6,
    election_timeout_max_s=1.2,
    read_timeout_s=0.8,
    commit_record_delay_s=0.25,
    command_bytes=1024 * log_parameters.KIB,
    chunk_bytes=1024 * log_parameters.KIB,
    compaction_entries=200,
    retained_entries=50,
    promotion_entries=5,
)
"""Parameters of the replicated log. The latency between control hosts is 3 to
12 ms, and an election must complete within the 3 s in which a configuration
has to be in force."""


class DocumentReplicator:
    """Component that replicates documents and orders, and repairs membership.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        directory: The known control hosts.
        publisher: Pushes documents to subscribers.
        machine: The replicated state machine.
        replica: The replicated log.
        publish_requests: Publish requests that have no response yet.
        evacuation_requests: Evacuation orders that have no response yet.
        allotments: Proposes allotments of cold targets at the leader.
        named_hosts: Number of entry hosts named in `ControlHello` messages.
        reads: Monotonic time in seconds at which each read that waits for a
            read index arrived, by request id.
        wanted_voters: Number of voters needed to tolerate the configured
            number of lost hosts.
        unreadable: Why the data folder can't be read, or None.
        exposure: Why the group can't bear another loss, at the leader; empty if
            it can.
        hello_s: Time of the last `ControlHello`, in seconds.
        changed_s: Time of the last membership change, in seconds.
        stop: Progress of the stop of this host.
    """

    __slots__ = (
        "allotments",
        "changed_s",
        "context",
        "directory",
        "evacuation_requests",
        "exposure",
        "hello_s",
        "machine",
        "named_hosts",
        "publish_requests",
        "publisher",
        "reads",
        "replica",
        "stop",
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
        evacuation: evacuations.Settings,
        tolerance: budget.Tolerance,
        parameters: log_parameters.LogParameters = LOG_PARAMETERS,
    ) -> None:
        """Initializes the replicated log from the data folder.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            directory: The known control hosts.
            publisher: Pushes documents to subscribers.
            disk: Contents of the data folder at the start.
            founders: Members of a system that starts for the first time;
                empty on a host that joins.
            tolerated_hosts: Number of control hosts that may be lost at once.
            evacuation: Settings of evacuations.
            tolerance: By how much openings may exceed the rate of a cold
                target.
            parameters: Parameters of the replicated log.
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
        self.publish_requests = publish_requests.PublishRequests(
            self.machine, self.replica
        )
        self.evacuation_requests = evacuation_requests.EvacuationRequests(
            context, evacuation, self.machine, self.replica, directory
        )
        publisher.allotments = self.machine.allotments
        self.allotments = allotment_proposals.AllotmentProposals(
            context,
            directory,
            publisher,
            self.machine,
            self.replica,
            tolerance,
        )
        self.named_hosts = 0
        self.reads: dict[int, float] = {}
        self.wanted_voters = 2 * tolerated_hosts + 1
        self.unreadable = self.replica.recover(disk.snapshot, disk.records)
        self.exposure = ""
        self.hello_s = -math.inf
        self.changed_s = -math.inf
        self.stop = planned_stop.PlannedStop()

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
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
                sync.VoterReleased: self.handle_release,
                external_requests.PublishDocument: self.handle_publish,
                external_requests.OrderEvacuation: self.handle_evacuation,
                external_requests.ReadDocument: self.handle_read,
            }
        )
        return handlers

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Starts the replicated log; stops if the disk is unreadable."""
        if self.unreadable is not None:
            return [effects.Stop(1, self.unreadable.detail)]
        result: list[effects.Effect] = [
            self.context.record(
                event.now_s,
                "host-started",
                version=self.machine.document.number,
                detail=self._describe_log(),
            )
        ]
        result += self._collect_effects(
            event.now_s, self.replica.start(event.now_s)
        )
        result += self.handle_tick(event)
        return result

    def _describe_log(self) -> str:
        """Returns what was recovered from the disk."""
        state = self.replica.state
        base_index, size_bytes = 0, 0
        if state.snapshot is not None:
            base_index = state.snapshot.index
            size_bytes = len(state.snapshot.data)
        last_index = state.log.last_index
        log_bytes = state.log.size_bytes(base_index + 1, last_index)
        return (
            f"snapshot of {size_bytes} bytes, {last_index - base_index} entries"
            f" of {log_bytes} bytes"
        )

    def handle_stop(self, event: events.StopRequested) -> list[effects.Effect]:
        """Transfers the leadership, and asks the leader for a replacement."""
        if self.stop.is_requested:
            return []
        self.stop.requested_s = event.now_s
        result: list[effects.Effect] = [
            self.context.record(event.now_s, "host-stopping"),
            effects.StartTimer("stop", planned_stop.MIN_STOP_S),
        ]
        step = self.replica.transfer_leadership(event.now_s)
        if not isinstance(step, failure.Failure):
            result += self._collect_effects(event.now_s, step)
        return [*result, *self._send_hellos(event.now_s)]

    def handle_release(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Refuses reads from now on: the leader answers members only."""
        message = event.message
        assert isinstance(message, sync.VoterReleased)
        own = self.replica.state.own.incarnation
        if not self.stop.is_requested or message.incarnation != own:
            return []
        if self.stop.is_released:
            return []
        self.stop.is_released = True
        waiting = list(self.reads)
        self.reads.clear()
        return [
            self.context.record(event.now_s, "voter-released"),
            *[_unavailable(token, "stopping") for token in waiting],
            *self.publisher.set_confirmed(event.now_s, "stopping"),
        ]

    def handle_end(self, event: events.TimerFired) -> list[effects.Effect]:
        """Ends the process, unless its vote is still to be handed over."""
        now_s = event.now_s
        if not self.stop.is_due(
            now_s, self.replica.state, self.directory, self.wanted_voters
        ):
            return [effects.StartTimer("stop", TICK_S)]
        return [
            self.context.record(now_s, "host-stopped"),
            effects.Stop(0, "stop requested"),
        ]

    def handle_seeds(self, event: events.SeedsChanged) -> list[effects.Effect]:
        """Replaces the seeds; the other known control hosts are kept."""
        self.directory.seeds = event.seeds
        return []

    def handle_consensus(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Passes a message of another replica to the log."""
        message = event.message
        assert isinstance(message, consensus.Message)
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
        step = self.replica.handle_write_completed(event.now_s, event.sequence)
        return self._collect_effects(event.now_s, step)

    def handle_hello(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Stores the sender and the live hosts that it reports."""
        message = event.message
        assert isinstance(message, sync.ControlHello)
        self.directory.observe(event.now_s, event.sender, message)
        self.directory.add_reported(event.now_s, message.known)
        if not message.is_stopping or not self._has_released(
            message.incarnation
        ):
            return []
        released = sync.VoterReleased(message.incarnation)
        return [effects.SendMessage(event.sender, released)]

    def _has_released(self, incarnation: str) -> bool:
        """Returns whether a host is certainly no longer a voter."""
        state = self.replica.state
        latest = state.memberships[-1]
        return (
            state.is_leader
            and replication.has_committed_in_term(state)
            and latest.index <= state.commit_index
            and incarnation not in latest.membership.voters
        )

    def handle_tick(
        self, event: events.TimerFired | events.Started
    ) -> list[effects.Effect]:
        """Runs the maintenance.

        It retries publish requests and responds to them, tells subscribers
        whether there is contact with a quorum, announces this host to the
        other control hosts and, at the leader, repairs the membership.
        """
        now_s = event.now_s
        self._update_gauges()
        result: list[effects.Effect] = [effects.StartTimer(TIMER, TICK_S)]
        result += self.publisher.set_confirmed(now_s, self._find_doubt(now_s))
        for step in (
            *self.publish_requests.retry(now_s),
            self.evacuation_requests.propose_next(now_s),
            *self.allotments.propose_due(now_s),
        ):
            result += self._collect_effects(now_s, step)
        result += self.publish_requests.respond_to_pending(now_s)
        result += self.evacuation_requests.expire(now_s)
        is_hello_due = now_s - self.hello_s >= HELLO_INTERVAL_S
        if is_hello_due or self.stop.is_requested:
            result += self._send_hellos(now_s)
        if self.replica.state.is_leader and not self.stop.is_requested:
            group = self._group_state(now_s)
            result += self._record_exposure(now_s, group)
            result += self._repair_membership(now_s, group)
        else:
            self.exposure = ""
            self.context.gauges.pop("loss_tolerated", None)
        return result

    def _record_exposure(
        self, now_s: float, group: membership_policy.GroupState
    ) -> list[effects.Effect]:
        """Returns the time line entry if it changed whether a loss is borne."""
        exposure = membership_policy.find_exposure(now_s, group)
        self.context.gauges["loss_tolerated"] = float(not exposure)
        if exposure == self.exposure:
            return []
        self.exposure = exposure
        name = "loss-not-tolerated" if exposure else "loss-tolerated"
        return [self.context.record(now_s, name, reason=exposure)]

    def _find_doubt(self, now_s: float) -> str:
        """Returns why this host may hold an earlier state, or an empty string.

        Documents, orders and allotments come by the log. Changes of targets
        come from each control host by itself, but any quorum passes on those
        that another quorum knows.
        """
        state = self.replica.state
        if self.stop.is_released:
            return "stopping"
        if not replication.is_confirmed(state, now_s):
            return "log"
        contacts = self.directory.contacts(now_s)
        answering = [
            member.incarnation
            for member in state.latest_membership.members.values()
            if member.incarnation == state.own.incarnation
            or member.peer.control in contacts
        ]
        if not state.latest_membership.has_quorum(answering):
            return "targets"
        return ""

    def _update_gauges(self) -> None:
        """Updates the sizes of what a start would read, and of the backlog."""
        state = self.replica.state
        snapshot = state.snapshot
        self.context.gauges.update(
            snapshot_bytes=0 if snapshot is None else len(snapshot.data),
            log_applied_bytes=state.applied_bytes,
            log_unsynced_bytes=state.journal.unsynced_bytes,
        )

    def _send_hellos(self, now_s: float) -> list[effects.Effect]:
        """Announces this host and the live hosts to the other control hosts."""
        self.hello_s = now_s
        self.directory.expire(now_s)
        self.directory.add_reported(now_s, self._members())
        live = self.directory.live(now_s)
        subscribed = len(self.publisher.entry_subscribers(now_s))
        self.publisher.entry_hosts.observe(
            now_s, subscribed + self.directory.entry_hosts(now_s)
        )
        hello = sync.ControlHello(
            self.replica.state.own.incarnation,
            live,
            subscribed,
            self.stop.is_requested,
            accepts_orders=True,
            entry_names=self._next_names(now_s),
            accepts_standbys=True,
        )
        result = self.publisher.set_controls(now_s, live)
        result += [
            effects.SendMessage(peer, hello) for peer in self.directory.others()
        ]
        return result

    def _next_names(self, now_s: float) -> tuple[str, ...]:
        """Returns the next few of the subscribed entry hosts, in turn."""
        names = sorted(
            peer.host
            for peer in self.publisher.entry_subscribers(now_s)
            if 0 < len(peer.host) <= host_directory.MAX_NAME_CHARACTERS
        )
        if len(names) <= NAMES_PER_HELLO:
            return tuple(names)
        first = self.named_hosts % len(names)
        self.named_hosts += NAMES_PER_HELLO
        return tuple((names + names)[first : first + NAMES_PER_HELLO])

    def _members(self) -> tuple[peers.Peer, ...]:
        """Returns the member hosts in the log.

        They keep the group reachable after all seeds have been replaced.
        """
        members = self.replica.state.latest_membership.members.values()
        return tuple(member.peer for member in members)

    def _repair_membership(
        self, now_s: float, group: membership_policy.GroupState
    ) -> list[effects.Effect]:
        """Proposes the next membership change; called at the leader only."""
        if now_s - self.changed_s < CHANGE_INTERVAL_S:
            return []
        change = membership_policy.next_change(now_s, group)
        if change is None:
            return []
        proposal = self.replica.change_membership(now_s, change)
        if isinstance(proposal, failure.Failure):
            self.context.counters[f"change-refused-{proposal.reason}"] += 1
            return []
        self.changed_s = now_s
        return self._collect_effects(now_s, proposal.step)

    def _heard_s(self) -> dict[str, float]:
        """Returns when each other member was last heard, in seconds.

        A new leader knows from the messages before its election which voters
        are unresponsive.
        """
        known_hosts = self.directory.known_hosts
        heard_s = {}
        for incarnation, progress in self.replica.state.progress.items():
            heard_s[incarnation] = progress.answered_s
            known = known_hosts.get(progress.member.peer.control)
            if (
                progress.answered_round == 0
                and known is not None
                and known.incarnation == incarnation
            ):
                heard_s[incarnation] = known.seen_s
        return heard_s

    def _group_state(self, now_s: float) -> membership_policy.GroupState:
        """Returns the state of the group as the leader knows it."""
        state = self.replica.state
        newest = state.log.last_index - state.parameters.promotion_entries
        return membership_policy.GroupState(
            members=state.latest_membership,
            own=state.own.incarnation,
            known_hosts=self.directory.known_hosts,
            heard_s=self._heard_s(),
            lag_s={
                incarnation: progress.lag_s(now_s)
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
        """Handles a publish request of an operator."""
        request = event.request
        assert isinstance(request, external_requests.PublishDocument)
        step = self.publish_requests.submit(
            event.now_s, event.request_id, request.document
        )
        result: list[effects.Effect] = [
            self._record_request(event.now_s, request, step)
        ]
        result += self._collect_effects(event.now_s, step)
        return result

    def _record_request(
        self,
        now_s: float,
        request: external_requests.PublishDocument,
        step: outputs.Step,
    ) -> effects.Effect:
        """Returns the time line entry of a publish request."""
        verdict, reason = _describe_response(step)
        return self.context.record(
            now_s,
            "document-arrived",
            version=request.document.number,
            verdict=verdict,
            reason=reason,
        )

    def handle_evacuation(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Handles an evacuation order of an operator."""
        request = event.request
        assert isinstance(request, external_requests.OrderEvacuation)
        step = self.evacuation_requests.submit(
            event.now_s, event.request_id, request.order
        )
        return self._collect_effects(event.now_s, step)

    def handle_read(self, event: events.RequestArrived) -> list[effects.Effect]:
        """Requests a read index; the response follows once it is applied."""
        if self.stop.is_released:
            return [_unavailable(event.request_id, "stopping")]
        self.reads[event.request_id] = event.now_s
        step = self.replica.read_index(event.now_s, event.request_id)
        return self._collect_effects(event.now_s, step)

    def _collect_effects(
        self, now_s: float, step: outputs.Step
    ) -> list[effects.Effect]:
        """Returns the effects of a step and of handling its outputs."""
        result = list(step.effects)
        for output in step.outputs:
            result += self._handle_output(now_s, output)
        if self.machine.new_documents:
            result += self.publisher.publish_documents(now_s, self.machine)
            result += self.publish_requests.respond_to_pending(now_s)
        if self.machine.evacuations.has_changed:
            commands = self.machine.evacuations.take_new()
            result += self.publisher.publish_evacuations(
                now_s, self.machine.evacuations.state
            )
            result += self.evacuation_requests.observe_applied(now_s, commands)
            next_step = self.evacuation_requests.propose_next(now_s)
            result += self._collect_effects(now_s, next_step)
        if self.machine.evacuations.skipped:
            result.append(self._record_skipped(now_s))
        if self.machine.allotments.skipped:
            count = self.machine.allotments.skipped
            self.machine.allotments.skipped = 0
            self.context.counters["allotments-skipped"] += count
            result.append(
                self.context.record(
                    now_s,
                    "allotments-skipped",
                    reason="unreadable",
                    detail=f"{count} commands",
                )
            )
        if self.machine.allotments.new_allotments:
            allotments = self.machine.allotments.take_new()
            self.allotments.observe_applied(now_s, allotments)
            result += self.publisher.publish_allotments(now_s, allotments)
        return result

    def _record_skipped(self, now_s: float) -> effects.Effect:
        """Returns the time line entry of orders that could not be read."""
        count, self.machine.evacuations.skipped = (
            self.machine.evacuations.skipped,
            0,
        )
        self.context.counters["orders-skipped"] += count
        return self.context.record(
            now_s, "orders-skipped", reason="unreadable", detail=f"{count}"
        )

    def _handle_output(
        self, now_s: float, output: outputs.Output
    ) -> list[effects.Effect]:
        """Handles an output of the replicated log."""
        match output:
            case outputs.ReadCompleted(token):
                return self._respond_to_read(token)
            case outputs.ReadFailed(token, reason):
                self.reads.pop(token, None)
                return [_unavailable(token, reason)]
            case outputs.LeaderChanged():
                return self._record_leader(now_s, output)
            case outputs.MembershipChanged():
                return [self._record_membership(now_s, output)]
            case outputs.StandInStarted(lost):
                self.context.counters["stand-ins-started"] += 1
                return [
                    self.context.record(
                        now_s, "stand-in-started", detail=f"for {lost}"
                    )
                ]
            case outputs.Halted(reason, detail):
                return [effects.Stop(1, f"{reason}: {detail}")]
        return []

    def _respond_to_read(self, token: int) -> list[effects.Effect]:
        """Responds to a read with the document in force."""
        if self.reads.pop(token, None) is None:
            return []
        document = self.machine.document
        if document.number == 0:
            return [_unavailable(token, "no-document")]
        return [
            effects.Respond(token, external_requests.DocumentRead(document))
        ]

    def _record_leader(
        self, now_s: float, changed: outputs.LeaderChanged
    ) -> list[effects.Effect]:
        """Returns the time line entry of a change of leader."""
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
        """Returns the time line entry of a membership change."""
        described = " ".join(
            f"{member.peer.host}/{member.incarnation}{_describe_role(member)}"
            for member in changed.members
        )
        return self.context.record(
            now_s, "membership-changed", detail=described
        )


def _describe_role(member: membership.Member) -> str:
    """Returns the role of a member other than a voter, in brackets."""
    if member.is_leaving:
        return "(leaving)"
    if member.is_joining:
        return "(joining)"
    if member.is_standby:
        return "(standby)"
    return "" if member.is_voter else "(learner)"


def _describe_response(step: outputs.Step) -> tuple[str, str]:
    """Returns the verdict and reason of the response in a step."""
    response = next(
        (
            effect.response
            for effect in step.effects
            if isinstance(effect, effects.Respond)
        ),
        None,
    )
    match response:
        case None:
            return ("waiting", "")
        case requests.Refused(reason=reason):
            return ("refused", reason)
        case external_requests.Unavailable(reason=reason):
            return ("Unavailable", reason)
    return (type(response).__name__, "")


def _unavailable(request_id: int, reason: str) -> effects.Effect:
    response = external_requests.Unavailable(
        reason, publish_requests.RETRY_AFTER_S
    )
    return effects.Respond(request_id, response)
