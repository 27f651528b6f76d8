"""Forwards packets by the tag that they carry, and places new flows."""

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import failure
from tamarack_core import flow_packets
from tamarack_core import reducer
from tamarack_core.internal.cookie import failure_detector as judging_lib
from tamarack_core.internal.cookie import flow_rejection as answers_lib
from tamarack_core.internal.cookie import routes as routes_lib
from tamarack_core.internal.cookie import subscription as mirrors
from tamarack_core.internal.cookie import target_choice
from tamarack_core.internal.cookie import target_table

TIMER = "forwarding"

TICK_S = 0.25
"""Time between searches for idle flows and dead targets, in seconds."""

END_S = 0.3
"""Time between the withdrawal of a target and the reset of its flows, in
seconds; it may still be on its way out."""

LINGER_S = 1.3
"""Time for which a stopping host carries packets, in seconds; the fabric asks
twice a second and leaves a host out after two misses. The sooner the host is
back, the fewer hosts of a failure domain are away at once."""

DEFAULT_IDLE_S = 15.0
"""Time after which a flow is forgotten while no document states one."""


class Forwarder:
    """Part that takes the packets of callers.

    Attributes:
        context: Identity, chance, time and counters.
        codec: Form of packets on the wire.
        mirror: Follows a control host.
        answers: Tells callers what became of their flows.
        judging: Decides which targets are dead.
        routes: Routes in force.
        targets: Known targets.
        tracker: What the packets show of flows and targets.
        probes: What probes show of targets.
        is_stopping: Whether the host is about to end.
    """

    __slots__ = (
        "answers",
        "codec",
        "context",
        "is_stopping",
        "judging",
        "mirror",
        "probes",
        "routes",
        "targets",
        "tracker",
    )

    def __init__(
        self,
        answers: answers_lib.FlowRejector,
        judging: judging_lib.TargetFailureDetector,
        mirror: mirrors.ControlSubscription,
    ) -> None:
        """Creates the part.

        Args:
            answers: Tells callers what became of their flows.
            judging: Decides which targets are dead.
            mirror: Follows a control host.
        """
        self.context = answers.context
        self.codec = answers.codec
        self.mirror = mirror
        self.answers = answers
        self.judging = judging
        self.routes = mirror.routes
        self.targets = mirror.targets
        self.tracker = answers.tracker
        self.probes = judging.probes
        self.is_stopping = False

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {
            events.DatagramArrived: self.handle_datagram,
            events.Started: self.handle_started,
            events.StopRequested: self.handle_stop,
            TIMER: self.handle_timer,
            "linger": self.handle_end,
            external_requests.ReadReadiness: self.handle_readiness,
        }

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Records the start."""
        return [
            self.context.record(event.now_s, "host-started"),
            effects.StartTimer(TIMER, TICK_S),
        ]

    def handle_timer(self, event: events.TimerFired) -> list[effects.Effect]:
        """Forgets idle flows, and gives up those of targets that ended."""
        now_s = event.now_s
        self.judging.turn(now_s)
        idle_s = self.routes.idle_timeout_s or DEFAULT_IDLE_S
        self.tracker.forget_idle(now_s, idle_s)
        if len(self.tracker.targets) > len(self.targets.by_name):
            self.tracker.forget_targets(self.targets.by_name)
        found: list[effects.Effect] = [
            effects.StartTimer(TIMER, TICK_S),
            *self.probes.tick(now_s),
        ]
        for entry in self.targets.by_name.values():
            if entry.is_overdue and self.tracker.watch(entry).flows:
                found += self.probes.ask(now_s, entry)
            if entry.gone_s is not None and now_s - entry.gone_s >= END_S:
                found += self.answers.give_up(now_s, entry, "target-gone")
        return found

    def handle_stop(self, event: events.StopRequested) -> list[effects.Effect]:
        """Withdraws the readiness; packets are carried on for a while."""
        if self.is_stopping:
            return []
        self.is_stopping = True
        return [
            self.context.record(event.now_s, "host-stopping"),
            effects.StartTimer("linger", LINGER_S),
        ]

    def handle_end(self, event: events.TimerFired) -> list[effects.Effect]:
        """Ends the process after the fabric has turned elsewhere."""
        return [
            self.context.record(event.now_s, "host-stopped"),
            effects.Stop(0, "stop requested"),
        ]

    def handle_readiness(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Answers whether packets are welcome here."""
        is_ready = self.mirror.is_synced and not self.is_stopping
        return [
            effects.Respond(
                event.request_id, external_requests.Readiness(is_ready)
            )
        ]

    def handle_datagram(
        self, event: events.DatagramArrived
    ) -> list[effects.Effect]:
        """Forwards, refuses or drops a packet."""
        self.judging.turn(event.now_s)
        packet = self.codec.decode(event.data)
        if isinstance(packet, failure.Failure):
            return self.answers.drop(packet.reason)
        if packet.is_opening:
            return self._place(event.now_s, packet)
        return self._carry(event.now_s, packet)

    def _place(
        self, now_s: float, packet: flow_packets.FlowPacket
    ) -> list[effects.Effect]:
        """Chooses a target for an opening, or refuses it."""
        if not self.mirror.is_synced:
            return self.answers.drop("opening-before-sync")
        route = self.routes.find(packet.flow)
        if route is None:
            return self.answers.refuse(now_s, packet, "no-route")
        service = routes_lib.service_of(route, packet.flow)
        tried: tuple[str, ...] = ()
        found: list[effects.Effect] = []
        if packet.copy_number:
            tried = self.tracker.note_unanswered(now_s, packet.flow)
            found = self._ask_unanswered(now_s, packet.flow)
        candidates = self.targets.by_service.get(service, {}).values()
        entry = target_choice.choose(
            candidates,
            self.tracker,
            self.probes,
            now_s,
            tried,
            self.context.random,
        )
        if entry is None:
            if candidates:
                return self.answers.refuse(
                    now_s, packet, "targets-dead", service
                )
            if not self.mirror.is_settled:
                return self.answers.drop("opening-before-targets")
            return self.answers.refuse(now_s, packet, "no-target", service)
        return found + self._open(now_s, packet, entry)

    def _ask_unanswered(
        self, now_s: float, key: flow_packets.FlowKey
    ) -> list[effects.Effect]:
        """Asks the target that did not answer an opening."""
        flow = self.tracker.flows.get(key)
        if flow is None or flow.is_open:
            return []
        return self.probes.ask(now_s, flow.target)

    def _open(
        self,
        now_s: float,
        packet: flow_packets.FlowPacket,
        entry: target_table.Entry,
    ) -> list[effects.Effect]:
        """Sends an opening to a target."""
        self.tracker.note_opening(now_s, packet.flow, entry)
        self.context.counters["flows-placed"] += 1
        if packet.copy_number:
            self.context.counters["flows-placed-again"] += 1
        record = self.context.record(
            now_s,
            "flow-placed",
            service=entry.target.service,
            target=entry.target.name,
            flow=flow_packets.describe(packet.flow),
            version=self.routes.number,
            detail=f"copy {packet.copy_number} tag {entry.tag:08x}",
        )
        return [*self._forward(packet, entry), record]

    def _carry(
        self, now_s: float, packet: flow_packets.FlowPacket
    ) -> list[effects.Effect]:
        """Hands a packet of an open flow to the target that it names."""
        entry = self.targets.by_tag.get(packet.cookie)
        if entry is None:
            # The target may be unknown here alone, so nobody is told.
            reason = "no-cookie" if packet.cookie == 0 else "unknown-cookie"
            return self.answers.drop(reason)
        if self.mirror.is_synced and self.routes.find(packet.flow) is None:
            return self._reset_packet(now_s, packet, entry, "route-removed")
        if entry.gone_s is not None and now_s - entry.gone_s >= END_S:
            return self._reset_packet(now_s, packet, entry, "target-gone")
        if packet.is_reset or packet.is_last:
            if packet.is_reset:
                self.tracker.end(packet.flow)
            return self._forward(packet, entry)
        is_repeated = self.tracker.note_packet(now_s, entry, packet)
        if self.judging.is_dead(now_s, entry):
            return self._reset_packet(now_s, packet, entry, "target-silent")
        found = self._forward(packet, entry)
        if is_repeated:
            found += self.probes.ask(now_s, entry)
        return found

    def _forward(
        self, packet: flow_packets.FlowPacket, entry: target_table.Entry
    ) -> list[effects.Effect]:
        """Returns the effect that hands a packet to a target."""
        target = entry.target
        data = self.codec.encode_forward(packet, target.name, entry.tag)
        if data is None:
            return self.answers.drop("target-name")
        self.context.counters["packets-forwarded"] += 1
        return [effects.SendDatagram(target.endpoint, data)]

    def _reset_packet(
        self,
        now_s: float,
        packet: flow_packets.FlowPacket,
        entry: target_table.Entry,
        reason: str,
    ) -> list[effects.Effect]:
        """Resets the flow of a packet, unless that is what it asks for."""
        if packet.is_reset:
            self.tracker.end(packet.flow)
            return self.answers.drop(reason)
        return self.answers.reset(
            now_s, packet.flow, packet.acknowledged, entry, reason
        )
