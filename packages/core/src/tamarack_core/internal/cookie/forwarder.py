"""Forwards packets by the tags in their cookies, and assigns new flows."""

from collections.abc import Sequence

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import failure
from tamarack_core import flow_packets
from tamarack_core import reducer
from tamarack_core import target_announcement
from tamarack_core.internal.cold_targets import budget
from tamarack_core.internal.cookie import admission
from tamarack_core.internal.cookie import cold_openings
from tamarack_core.internal.cookie import failure_detector
from tamarack_core.internal.cookie import flow_rejection
from tamarack_core.internal.cookie import routes as routes_lib
from tamarack_core.internal.cookie import subscription as subscriptions
from tamarack_core.internal.cookie import target_choice
from tamarack_core.internal.cookie import target_probes
from tamarack_core.internal.cookie import target_table

TIMER = "forwarding"

TICK_S = 0.25
"""Interval of the checks for idle flows and ended targets, in seconds."""

WITHDRAWAL_GRACE_S = 0.3
"""Time from the withdrawal of a target, or from its last reply if that is
later, to the reset of its flows, in seconds. A target whose withdrawal was not
acknowledged goes on for a while."""

LINGER_S = 1.3
"""Time for which a stopping host still forwards packets, in seconds. The fabric
polls twice a second and removes a host after two failures. A short time lets
the host return sooner, so that fewer hosts of a failure domain are down at
once."""

DEFAULT_IDLE_TIMEOUT_S = 15.0
"""Idle timeout of flows before the first document arrives, in seconds."""


class Forwarder:
    """Component that forwards the packets of callers to targets.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        codec: Wire format of packets.
        subscription: Subscription to a control host.
        rejector: Resets flows and counts dropped packets.
        detector: Failure detector for targets.
        routes: Routes in force.
        targets: Known targets.
        tracker: State of flows and targets, observed in packets.
        probes: State of the target probes.
        admission: Admits, defers or refuses openings.
        cold: Limits of cold targets.
        is_stopping: Whether the host is shutting down.
    """

    __slots__ = (
        "admission",
        "codec",
        "cold",
        "context",
        "detector",
        "is_stopping",
        "probes",
        "rejector",
        "routes",
        "subscription",
        "targets",
        "tracker",
    )

    def __init__(
        self,
        rejector: flow_rejection.FlowRejector,
        detector: failure_detector.TargetFailureDetector,
        subscription: subscriptions.ControlSubscription,
        tolerance: budget.Tolerance,
    ) -> None:
        """Initializes the forwarder.

        Args:
            rejector: Resets flows and counts dropped packets.
            detector: Failure detector for targets.
            subscription: Subscription to a control host.
            tolerance: By how much openings may exceed the rate of a cold
                target.
        """
        self.context = rejector.context
        self.codec = rejector.codec
        self.subscription = subscription
        self.rejector = rejector
        self.detector = detector
        self.routes = subscription.routes
        self.targets = subscription.targets
        self.tracker = rejector.tracker
        self.probes = detector.probes
        self.admission = admission.AdmissionControl()
        self.cold = cold_openings.ColdOpenings(
            self.routes, self.targets, tolerance
        )
        self.is_stopping = False

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            events.DatagramArrived: self.handle_datagram,
            events.Started: self.handle_started,
            events.StopRequested: self.handle_stop,
            TIMER: self.handle_timer,
            "linger": self.handle_linger_end,
            external_requests.ReadReadiness: self.handle_read_readiness,
            external_requests.ExplainFlow: self.handle_explain_flow,
        }

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Records the start of the host, and starts the timer."""
        self.cold.start(event.now_s)
        return [
            self.context.record(event.now_s, "host-started"),
            effects.StartTimer(TIMER, TICK_S),
        ]

    def handle_timer(self, event: events.TimerFired) -> list[effects.Effect]:
        """Expires idle flows, probes, and resets flows of ended targets."""
        now_s = event.now_s
        self.detector.check_suspension(now_s)
        self.cold.observe(now_s)
        self.cold.limiter.expire(now_s)
        idle_s = self.routes.idle_timeout_s or DEFAULT_IDLE_TIMEOUT_S
        self.tracker.expire(now_s, idle_s)
        if self.subscription.follows_quorum(now_s):
            self.targets.expire_silent(now_s, self.tracker.used_targets())
        if len(self.tracker.targets) > len(self.targets.by_name):
            self.tracker.remove_targets(self.targets.by_name)
        result: list[effects.Effect] = [
            effects.StartTimer(TIMER, TICK_S),
            *self.detector.probe_dead(now_s),
            *self.detector.probe_overdue(now_s),
        ]
        for entry in self.targets.by_name.values():
            if self._has_ended(now_s, entry):
                result += self.rejector.reset_flows(
                    now_s, entry, "target-gone", entry.gone_s
                )
        return result

    def handle_stop(self, event: events.StopRequested) -> list[effects.Effect]:
        """Withdraws readiness; packets are forwarded for a while."""
        if self.is_stopping:
            return []
        self.is_stopping = True
        return [
            self.context.record(event.now_s, "host-stopping"),
            effects.StartTimer("linger", LINGER_S),
        ]

    def handle_linger_end(
        self, event: events.TimerFired
    ) -> list[effects.Effect]:
        """Stops the process once the fabric sends packets to other hosts."""
        return [
            self.context.record(event.now_s, "host-stopped"),
            effects.Stop(0, "stop requested"),
        ]

    def handle_read_readiness(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Responds whether the fabric may send packets to this host."""
        is_ready = self.subscription.has_document and not self.is_stopping
        return [
            effects.Respond(
                event.request_id, external_requests.Readiness(is_ready)
            )
        ]

    def handle_explain_flow(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Responds where a new flow would go now; changes nothing."""
        assert isinstance(event.request, external_requests.ExplainFlow)
        # Loaded on the first request, as it would lengthen each start.
        from tamarack_core.internal.cookie import flow_explanation

        response = flow_explanation.explain(self, event.now_s, event.request)
        return [effects.Respond(event.request_id, response)]

    def handle_datagram(
        self, event: events.DatagramArrived
    ) -> list[effects.Effect]:
        """Forwards, rejects or drops a packet."""
        self.detector.check_suspension(event.now_s)
        self.cold.observe(event.now_s)
        packet = self.codec.decode(event.data)
        if isinstance(packet, failure.Failure):
            return self.rejector.drop(packet.reason)
        if packet.is_opening:
            return self._handle_opening(event.now_s, packet)
        return self._handle_flow_packet(event.now_s, packet)

    def _handle_opening(
        self, now_s: float, packet: flow_packets.FlowPacket
    ) -> list[effects.Effect]:
        """Chooses a target for a new flow, or refuses the flow."""
        if not self.subscription.has_document:
            return self.rejector.drop("opening-before-sync")
        route = self.routes.find(packet.flow)
        if route is None:
            return self.rejector.refuse(now_s, packet, "no-route")
        service = routes_lib.service_of(route, packet.flow)
        tried: tuple[str, ...] = ()
        result: list[effects.Effect] = []
        if not packet.copy_number:
            self.subscription.load.observe_opening(service)
        else:
            tried = self.tracker.observe_repeated_opening(now_s, packet.flow)
            result = self._probe_unresponsive(now_s, packet.flow)
        candidates = self.targets.by_service.get(service, {}).values()
        if not candidates and self.targets.has_evacuated(service):
            # Refused at once, however busy the targets are.
            return [
                *result,
                *self._refuse_without_target(now_s, packet, service),
            ]
        admitted = self._decide_admission(now_s, packet, service, route, tried)
        if admitted is admission.Admission.DEFERRED:
            return [*result, *self.rejector.drop("opening-deferred")]
        if admitted is admission.Admission.REFUSED:
            return self.rejector.refuse(now_s, packet, "targets-busy", service)
        if self.cold.is_resuming(now_s, service):
            return [*result, *self.rejector.drop("opening-after-suspension")]
        permitted = self.cold.permitted(now_s, service, candidates)
        entry = target_choice.choose(
            permitted,
            self.tracker,
            self.probes,
            now_s,
            tried,
            self.context.random,
            self.subscription.load.weights_at(now_s),
            is_ramped_up=self.subscription.load.is_ramped_up(now_s, service),
        )
        if entry is None:
            if candidates and not permitted:
                return result + self._refuse_cold(now_s, packet, service)
            reason = "targets-dead" if candidates else ""
            return self._refuse_without_target(now_s, packet, service, reason)
        return result + self._forward_opening(now_s, packet, entry)

    def _refuse_cold(
        self, now_s: float, packet: flow_packets.FlowPacket, service: str
    ) -> list[effects.Effect]:
        """Refuses an opening while all targets are cold and without budget.

        An earlier copy of a repeated opening may have opened the flow, so a
        repeated one is dropped.
        """
        if packet.copy_number:
            return self.rejector.drop("opening-cold")
        candidates = self.targets.by_service[service].values()
        return self.rejector.refuse(
            now_s,
            packet,
            "targets-cold",
            service,
            self.cold.describe(now_s, candidates),
        )

    def _refuse_without_target(
        self,
        now_s: float,
        packet: flow_packets.FlowPacket,
        service: str,
        reason: str = "",
    ) -> list[effects.Effect]:
        """Refuses an opening that no target can get.

        An earlier copy of a repeated opening may have opened the flow at a
        target whose domain was evacuated since, so a repeated one is dropped.

        Args:
            now_s: Monotonic time in seconds.
            packet: The opening.
            service: Service of the flow.
            reason: Why no target can get it; empty if none accepts new flows.
        """
        is_evacuated = self.targets.has_evacuated(service)
        if packet.copy_number and is_evacuated:
            return self.rejector.drop("opening-evacuated")
        if not reason and not self.subscription.is_settled:
            # Targets outside the evacuated domains may be unknown as yet.
            return self.rejector.drop("opening-before-targets")
        detail = ""
        if is_evacuated:
            detail = (
                f"evacuations at revision {self.targets.evacuations.revision}"
            )
        reason = reason or ("domain-evacuated" if is_evacuated else "no-target")
        return self.rejector.refuse(now_s, packet, reason, service, detail)

    def _decide_admission(
        self,
        now_s: float,
        packet: flow_packets.FlowPacket,
        service: str,
        route: routes_lib.RouteEntry,
        tried: tuple[str, ...],
    ) -> admission.Admission:
        """Returns whether an opening is admitted.

        An opening that a target did not reply to isn't repeated because of
        load, and goes to another target.
        """
        entry_hosts = self.subscription.entry_hosts
        if tried or not entry_hosts:
            return admission.Admission.ADMITTED
        # Most hosts have few requests in progress, and many targets to sum up.
        if len(self.tracker.pending) <= admission.MIN_BUSY:
            self.admission.observe_room(service)
            return admission.Admission.ADMITTED
        alive = [
            entry
            for entry in self.targets.by_service.get(service, {}).values()
            if not self.probes.is_dead(entry)
        ]
        slots = sum(max(entry.target.slots, 1) for entry in alive)
        return self.admission.decide(
            now_s,
            service,
            route.kind,
            is_repeated=packet.copy_number > 0,
            pending=self.tracker.count_requests(
                service, now_s - admission.QUEUE_AGE_S
            ),
            share=slots / entry_hosts,
        )

    def _probe_unresponsive(
        self, now_s: float, key: flow_packets.FlowKey
    ) -> list[effects.Effect]:
        """Probes the target that did not reply to an opening packet."""
        flow = self.tracker.flows.get(key)
        if flow is None or flow.is_open:
            return []
        return self.probes.probe(
            now_s, flow.target, target_probes.Trigger.OPENING
        )

    def _forward_opening(
        self,
        now_s: float,
        packet: flow_packets.FlowPacket,
        entry: target_table.TargetEntry,
    ) -> list[effects.Effect]:
        """Sends an opening packet to a target, and records the choice."""
        self.tracker.observe_opening(now_s, packet.flow, entry)
        cold = self.cold.record(now_s, entry)
        self.context.counters["flows-placed"] += 1
        if cold:
            self.context.counters["flows-placed-cold"] += 1
        if packet.copy_number:
            self.context.counters["flows-placed-again"] += 1
        record = self.context.record(
            now_s,
            "flow-placed",
            service=entry.target.service,
            target=entry.target.name,
            flow=flow_packets.describe(packet.flow),
            version=self.routes.number,
            detail=f"copy {packet.copy_number} tag {entry.tag:08x}{cold}",
        )
        return [*self._send_to_target(packet, entry), record]

    def _handle_flow_packet(
        self, now_s: float, packet: flow_packets.FlowPacket
    ) -> list[effects.Effect]:
        """Forwards a packet of an open flow to the target of its cookie."""
        owners = self.targets.owners(packet.cookie)
        entry = self._find_owner(packet.flow, packet.cookie, owners)
        if entry is None:
            # Other entry hosts may know the target, so the flow isn't reset.
            reason = "unknown-cookie"
            if packet.cookie == 0:
                reason = "no-cookie"
            elif owners:
                reason = "shared-cookie"
            return self.rejector.drop(reason)
        if self._has_lost_route(packet.flow):
            return self._reset_flow(now_s, packet, entry, "route-removed")
        if packet.is_reset:
            self.tracker.remove_flow(packet.flow)
            return self._send_to_target(packet, entry)
        flow = self.tracker.flows.get(packet.flow)
        is_retransmission = self.tracker.observe_packet(now_s, entry, packet)
        # A flow that was not seen here before the end of its target may be one
        # of a later start of that target, which this host does not know yet.
        is_of_ended = flow is not None and flow.was_seen_by(entry.gone_s)
        is_stalled = is_retransmission and self.subscription.follows_quorum(
            now_s
        )
        if self._has_ended(now_s, entry) and (is_of_ended or is_stalled):
            return self._reset_flow(now_s, packet, entry, "target-gone")
        if packet.is_last and not packet.payload_bytes:
            return self._send_to_target(packet, entry)
        if self.detector.should_reset_flows(entry):
            return self._reset_flow(now_s, packet, entry, "target-silent")
        result = self._send_to_target(packet, entry)
        if is_retransmission:
            result += self.probes.probe(
                now_s, entry, target_probes.Trigger.RETRANSMISSION
            )
        return result

    def _find_owner(
        self,
        key: flow_packets.FlowKey,
        cookie: int,
        owners: Sequence[target_table.TargetEntry],
    ) -> target_table.TargetEntry | None:
        """Returns the target of a flow, of those that may have its tag.

        A target that doesn't hold the flow would reset it. If the others are
        gone, no live target loses a flow by that.
        """
        is_shared = len(owners) > 1 or any(
            entry.tag_use is target_announcement.TagUse.SHARED
            and entry.tag != cookie
            for entry in owners
        )
        if not is_shared:
            return owners[0] if owners else None
        flow = self.tracker.flows.get(key)
        if flow is not None:
            for entry in owners:
                if entry.target.name == flow.target.target.name:
                    return entry
        live = [entry for entry in owners if not entry.is_gone]
        return live[0] if len(live) == 1 < len(owners) else None

    def _has_ended(self, now_s: float, entry: target_table.TargetEntry) -> bool:
        """Returns whether a target is gone and has stopped replying."""
        if entry.gone_s is None:
            return False
        activity = self.tracker.targets.get(entry.target.name)
        is_replying = activity is not None and activity.has_replied(
            now_s, WITHDRAWAL_GRACE_S
        )
        return now_s - entry.gone_s >= WITHDRAWAL_GRACE_S and not is_replying

    def _has_lost_route(self, key: flow_packets.FlowKey) -> bool:
        """Returns whether the route of a flow was removed while it was open.

        A route that this host does not hold may be one that a newer document
        adds, by which another host opened the flow.
        """
        if self.routes.find(key) is not None:
            return False
        flow = self.tracker.flows.get(key)
        return flow is not None and self.routes.was_removed_since(
            key, flow.first_packet_s
        )

    def _send_to_target(
        self, packet: flow_packets.FlowPacket, entry: target_table.TargetEntry
    ) -> list[effects.Effect]:
        """Returns the effect that sends a packet to a target."""
        target = entry.target
        tag = entry.tag or packet.cookie
        data = self.codec.encode_forward(packet, target.name, tag)
        if data is None:
            return self.rejector.drop("target-name")
        self.context.counters["packets-forwarded"] += 1
        return [effects.SendDatagram(target.endpoint, data)]

    def _reset_flow(
        self,
        now_s: float,
        packet: flow_packets.FlowPacket,
        entry: target_table.TargetEntry,
        reason: str,
    ) -> list[effects.Effect]:
        """Resets the flow of a packet, unless the packet is a reset itself."""
        if packet.is_reset:
            self.tracker.remove_flow(packet.flow)
            return self.rejector.drop(reason)
        return self.rejector.reset_flow(
            now_s, packet.flow, packet.acknowledged, entry, reason
        )
