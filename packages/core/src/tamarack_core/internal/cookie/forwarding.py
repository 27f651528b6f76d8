"""Forwards packets by the tag that they carry, and places new flows."""

from collections.abc import Iterator

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import failure
from tamarack_core import flow_packets
from tamarack_core import outside
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core.internal.cookie import choosing
from tamarack_core.internal.cookie import mirror as mirrors
from tamarack_core.internal.cookie import probing
from tamarack_core.internal.cookie import routes as routes_lib
from tamarack_core.internal.cookie import tags
from tamarack_core.internal.cookie import watching

TIMER = "forwarding"

TICK_S = 0.25
"""Time between searches for idle flows and dead targets, in seconds."""

END_S = 0.3
"""Time between the withdrawal of a target and the reset of its flows, in
seconds; it may still be on its way out."""

ALIVE_S = 0.3
"""Time for which a sign of life outweighs what another host found, in
seconds; finding a target dead takes as long."""

LINGER_S = 1.3
"""Time for which a stopping host carries packets, in seconds; the fabric asks
twice a second and leaves a host out after two misses. The sooner the host is
back, the fewer hosts of a failure domain are away at once."""

DEFAULT_IDLE_S = 15.0
"""Time after which a flow is forgotten while no document states one."""


class Forwarding:
    """Part that takes the packets of callers.

    Attributes:
        context: Identity, chance, time and counters.
        codec: Form of packets on the wire.
        mirror: Follows a control host.
        routes: Routes in force.
        targets: Known targets.
        seen: What the packets show of flows and targets.
        probes: What probes show of targets.
        is_stopping: Whether the host is about to end.
    """

    __slots__ = (
        "codec",
        "context",
        "is_stopping",
        "mirror",
        "probes",
        "routes",
        "seen",
        "targets",
    )

    def __init__(
        self,
        context: context_lib.Context,
        codec: flow_packets.PacketCodec,
        mirror: mirrors.Mirror,
    ) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            codec: Form of packets on the wire.
            mirror: Follows a control host.
        """
        self.context = context
        self.codec = codec
        self.mirror = mirror
        self.routes = mirror.routes
        self.targets = mirror.targets
        self.seen = watching.Watching()
        self.probes = probing.Probing()
        self.is_stopping = False

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {
            events.DatagramArrived: self.handle_datagram,
            events.Started: self.handle_started,
            events.StopRequested: self.handle_stop,
            events.TargetProbed: self.handle_probed,
            sync.Doubt: self.handle_doubt,
            TIMER: self.handle_timer,
            "linger": self.handle_end,
            outside.ReadReadiness: self.handle_readiness,
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
        self._turn(now_s)
        idle_s = self.routes.idle_timeout_s or DEFAULT_IDLE_S
        self.seen.forget_idle(now_s, idle_s)
        if len(self.seen.targets) > len(self.targets.by_name):
            self.seen.forget_targets(self.targets.by_name)
        found: list[effects.Effect] = [
            effects.StartTimer(TIMER, TICK_S),
            *self.probes.tick(now_s),
        ]
        for entry in self.targets.by_name.values():
            if entry.is_overdue and self.seen.watch(entry).flows:
                found += self.probes.ask(now_s, entry)
            if entry.gone_s is not None and now_s - entry.gone_s >= END_S:
                found += self._give_up(now_s, entry, "target-gone")
        return found

    def _turn(self, now_s: float) -> None:
        """Takes note that this host runs, and forgives all if it was away."""
        if self.seen.turn(now_s):
            self.probes.forgive()

    def handle_probed(self, event: events.TargetProbed) -> list[effects.Effect]:
        """Takes the end of a probe; a dead target loses its flows."""
        self._turn(event.now_s)
        if event.is_answered:
            return self._take_answer(event.now_s, event.target)
        return self.probes.note_failure(
            event.now_s, event.target, self._references()
        )

    def _take_answer(self, now_s: float, name: str) -> list[effects.Effect]:
        """Takes the answer of a target, and believes failures before it."""
        was_dead = self.probes.note_answer(name)
        entry = self.targets.by_name.get(name)
        found: list[effects.Effect] = []
        if entry is not None:
            self.seen.note_probe_answer(now_s, entry)
            if was_dead:
                found.append(self._record_life(now_s, entry, "target-alive"))
        for probe in self.probes.waiting_for(name):
            found += self._believe(now_s, probe)
        return found

    def _believe(
        self, now_s: float, probe: probing.Probe
    ) -> list[effects.Effect]:
        """Gives up a target whose probe was in vain while others answer."""
        probe.reference = ""
        entry = self.targets.by_name.get(probe.entry.target.name)
        if entry is None or entry.is_gone:
            return []
        if entry.target.born_ms != probe.entry.target.born_ms:
            # Another life of the target began meanwhile.
            return []
        if self.seen.watch(entry).silence.answered_s >= probe.asked_s:
            # Its flows go on; only the probe was lost.
            return []
        probe.is_dead = True
        return [
            self._record_life(now_s, entry, "target-dead"),
            *self._give_up(now_s, entry, "target-silent"),
            *self._ask_neighbors(now_s, probe),
            *self._tell(probe),
        ]

    def _tell(self, dead: probing.Probe) -> list[effects.Effect]:
        """Tells other hosts of a dead target, unless they told this one."""
        followed = self.mirror.followed
        if followed is None or dead.is_hinted:
            return []
        doubt = sync.Doubt((dead.entry.target.name,))
        return [effects.SendMessage(followed, doubt)]

    def handle_doubt(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Asks the targets that another host found dead."""
        message = event.message
        assert isinstance(message, sync.Doubt)
        now_s = event.now_s
        entries = map(self.targets.by_name.get, message.targets)
        return [
            effect
            for entry in entries
            if entry is not None
            and not entry.is_gone
            and not self.probes.is_dead(entry)
            and now_s - self.seen.watch(entry).silence.answered_s > ALIVE_S
            for effect in self.probes.ask(now_s, entry, is_hinted=True)
        ]

    def _ask_neighbors(
        self, now_s: float, dead: probing.Probe
    ) -> list[effects.Effect]:
        """Asks the other targets of the domain of a dead one.

        Where a domain is cut off, callers need not find out target by target.
        """
        domain = dead.entry.target.domain
        return [
            effect
            for entry in self.targets.by_name.values()
            if entry.target.domain == domain
            and not entry.is_gone
            and not self.probes.is_dead(entry)
            and (watch := self.seen.watch(entry)).flows
            and watch.silence.answered_s < dead.asked_s
            for effect in self.probes.ask(
                now_s, entry, is_hinted=dead.is_hinted
            )
        ]

    def _record_life(
        self, now_s: float, entry: tags.Entry, name: str
    ) -> effects.Effect:
        """Returns the time line entry of what probes showed."""
        return self.context.record(
            now_s,
            name,
            service=entry.target.service,
            target=entry.target.name,
            reason="probe",
            detail=f"announced {now_s - entry.since_s:.1f} s ago",
        )

    def _references(self) -> Iterator[tags.Entry]:
        """Yields the targets that gave signs of life, the last one first."""
        for name in reversed(self.seen.answered):
            entry = self.targets.by_name.get(name)
            if entry is not None and not entry.is_gone:
                yield entry

    def _give_up(
        self, now_s: float, entry: tags.Entry, reason: str
    ) -> list[effects.Effect]:
        """Resets all known flows of a target.

        Idle flows too: what a caller sends on one later would be lost, and
        may be something that can't be repeated.
        """
        name = entry.target.name
        if not self.seen.watch(entry).flows:
            return []
        found: list[effects.Effect] = []
        for key, flow in list(self.seen.flows.items()):
            if flow.target.target.name == name:
                found += self._reset(
                    now_s, key, flow.acknowledged, entry, reason
                )
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
        return [effects.Respond(event.request_id, outside.Readiness(is_ready))]

    def handle_datagram(
        self, event: events.DatagramArrived
    ) -> list[effects.Effect]:
        """Forwards, refuses or drops a packet."""
        self._turn(event.now_s)
        packet = self.codec.decode(event.data)
        if isinstance(packet, failure.Failure):
            return self._drop(packet.reason)
        if packet.is_opening:
            return self._place(event.now_s, packet)
        return self._carry(event.now_s, packet)

    def _place(
        self, now_s: float, packet: flow_packets.FlowPacket
    ) -> list[effects.Effect]:
        """Chooses a target for an opening, or refuses it."""
        if not self.mirror.is_synced:
            return self._drop("opening-before-sync")
        route = self.routes.find(packet.flow)
        if route is None:
            return self._refuse(now_s, packet, "no-route")
        service = routes_lib.service_of(route, packet.flow)
        tried: tuple[str, ...] = ()
        found: list[effects.Effect] = []
        if packet.copy_number:
            tried = self.seen.note_unanswered(now_s, packet.flow)
            found = self._ask_unanswered(now_s, packet.flow)
        candidates = self.targets.by_service.get(service, {}).values()
        entry = choosing.choose(
            candidates,
            self.seen,
            self.probes,
            now_s,
            tried,
            self.context.random,
        )
        if entry is None:
            if candidates:
                return self._refuse(now_s, packet, "targets-dead", service)
            if not self.mirror.is_settled:
                return self._drop("opening-before-targets")
            return self._refuse(now_s, packet, "no-target", service)
        return found + self._open(now_s, packet, entry)

    def _ask_unanswered(
        self, now_s: float, key: flow_packets.FlowKey
    ) -> list[effects.Effect]:
        """Asks the target that did not answer an opening."""
        flow = self.seen.flows.get(key)
        if flow is None or flow.is_open:
            return []
        return self.probes.ask(now_s, flow.target)

    def _open(
        self,
        now_s: float,
        packet: flow_packets.FlowPacket,
        entry: tags.Entry,
    ) -> list[effects.Effect]:
        """Sends an opening to a target."""
        self.seen.note_opening(now_s, packet.flow, entry)
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
            return self._drop(reason)
        if self.mirror.is_synced and self.routes.find(packet.flow) is None:
            return self._reset_packet(now_s, packet, entry, "route-removed")
        if entry.gone_s is not None and now_s - entry.gone_s >= END_S:
            return self._reset_packet(now_s, packet, entry, "target-gone")
        if packet.is_reset or packet.is_last:
            if packet.is_reset:
                self.seen.end(packet.flow)
            return self._forward(packet, entry)
        is_repeated = self.seen.note_packet(now_s, entry, packet)
        if self._is_dead(now_s, entry):
            return self._reset_packet(now_s, packet, entry, "target-silent")
        found = self._forward(packet, entry)
        if is_repeated:
            found += self.probes.ask(now_s, entry)
        return found

    def _is_dead(self, now_s: float, entry: tags.Entry) -> bool:
        """Returns whether the flows of a target wait in vain.

        A target that also misses its announcements needs less evidence.
        """
        if self.probes.is_dead(entry):
            return True
        watch = self.seen.watch(entry)
        if entry.is_overdue and watch.is_suspect(now_s):
            return True
        return watch.is_dark(now_s)

    def _forward(
        self, packet: flow_packets.FlowPacket, entry: tags.Entry
    ) -> list[effects.Effect]:
        """Returns the effect that hands a packet to a target."""
        target = entry.target
        data = self.codec.encode_forward(packet, target.name, entry.tag)
        if data is None:
            return self._drop("target-name")
        self.context.counters["packets-forwarded"] += 1
        return [effects.SendDatagram(target.endpoint, data)]

    def _reset_packet(
        self,
        now_s: float,
        packet: flow_packets.FlowPacket,
        entry: tags.Entry,
        reason: str,
    ) -> list[effects.Effect]:
        """Resets the flow of a packet, unless that is what it asks for."""
        if packet.is_reset:
            self.seen.end(packet.flow)
            return self._drop(reason)
        return self._reset(
            now_s, packet.flow, packet.acknowledged, entry, reason
        )

    def _reset(
        self,
        now_s: float,
        key: flow_packets.FlowKey,
        acknowledged: int,
        entry: tags.Entry,
        reason: str,
    ) -> list[effects.Effect]:
        """Tells a caller that its flow can't live; it may have run."""
        self.seen.end(key)
        return [
            self._send_reset(key, acknowledged, reason),
            self.context.record(
                now_s,
                "flow-reset",
                service=entry.target.service,
                target=entry.target.name,
                flow=flow_packets.describe(key),
                version=self.routes.number,
                verdict="may-have-run",
                reason=reason,
                detail=f"announced {now_s - entry.since_s:.1f} s ago",
            ),
        ]

    def _refuse(
        self,
        now_s: float,
        packet: flow_packets.FlowPacket,
        reason: str,
        service: str = "",
    ) -> list[effects.Effect]:
        """Refuses an opening at once; nothing of it has run."""
        return [
            self._send_reset(packet.flow, 0, reason),
            self.context.record(
                now_s,
                "flow-refused",
                service=service,
                flow=flow_packets.describe(packet.flow),
                version=self.routes.number,
                verdict="not-run",
                reason=reason,
            ),
        ]

    def _send_reset(
        self, key: flow_packets.FlowKey, acknowledged: int, reason: str
    ) -> effects.Effect:
        """Returns the effect that resets a flow at its caller."""
        self.context.counters[f"reset-{reason}"] += 1
        endpoint, data = self.codec.encode_reset(key, acknowledged)
        return effects.SendDatagram(endpoint, data)

    def _drop(self, reason: str) -> list[effects.Effect]:
        """Counts a packet that is dropped."""
        self.context.counters[f"dropped-{reason}"] += 1
        return []
