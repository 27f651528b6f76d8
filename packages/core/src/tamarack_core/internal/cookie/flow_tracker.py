"""What an entry host sees of flows and targets in the packets that pass.

Replies go straight to the callers, so that only callers are seen: an opening
that is repeated was not answered, an acknowledgement that moves on was.
"""

from collections.abc import Container

import msgspec

from tamarack_core import flow_packets
from tamarack_core.internal.cookie import target_liveness as silences
from tamarack_core.internal.cookie import target_table

MAX_FLOWS = 50_000
"""Flows that are remembered; 16 MB at about 330 bytes each."""

AWAY_S = 0.8
"""Time without a packet or a timer after which this host has been away, and
the repetitions that it reads say nothing."""

SEQUENCE_SPACE = 1 << 32


class Flow(msgspec.Struct):
    """A flow as this host sees it.

    Attributes:
        target: The target.
        last_s: Time of its last packet, in seconds.
        is_open: Whether a target has answered the opening.
        tried: Targets that were sent the opening.
        acknowledged: How much the caller has received.
        sequence: End of the payload that the caller has sent.
        waits_since_s: Time since which a request has no reply; None if none
            is waiting.
    """

    target: target_table.Entry
    last_s: float
    is_open: bool = False
    tried: tuple[str, ...] = ()
    acknowledged: int = 0
    sequence: int = 0
    waits_since_s: float | None = None


class Watch(msgspec.Struct):
    """What is seen of one target.

    Attributes:
        silence: Flows of the target that wait in vain.
        domain: Flows of its failure domain that do.
        flows: Flows that are open, or being opened, through this host.
        waiting: Flows whose last request has no reply.
    """

    silence: silences.Silence
    domain: silences.Silence
    flows: int = 0
    waiting: int = 0

    def note_repetition(self, now_s: float, key: flow_packets.FlowKey) -> None:
        """Takes note that a flow repeats a packet."""
        self.silence.note_repetition(now_s, key)
        self.domain.note_repetition(now_s, key)

    def note_answer(self, now_s: float) -> None:
        """Takes note of a sign of life."""
        self.silence.note_answer(now_s)
        self.domain.note_answer(now_s)

    def is_avoided(self, now_s: float) -> bool:
        """Returns whether openings had better go elsewhere."""
        return self.silence.is_avoided(now_s) or self.domain.is_avoided(now_s)

    def is_suspect(self, now_s: float) -> bool:
        """Returns whether several flows wait and none is answered."""
        return self.silence.is_suspect(now_s)

    def is_dark(self, now_s: float) -> bool:
        """Returns whether open flows had better be given up."""
        return self.silence.is_dark(now_s) or self.domain.is_dark(now_s)


class FlowTracker:
    """Flows and targets as the packets show them.

    Attributes:
        flows: Flows by their key, the longest idle first.
        targets: Watches by name of the target.
        domains: Silences by failure domain.
        responsive: Targets that gave a sign of life, the last one at the end.
        turned_s: Time of the last packet or timer, in seconds.
    """

    __slots__ = ("domains", "flows", "responsive", "targets", "turned_s")

    def __init__(self) -> None:
        """Creates an empty record."""
        self.flows: dict[flow_packets.FlowKey, Flow] = {}
        self.targets: dict[str, Watch] = {}
        self.domains: dict[str, silences.Silence] = {}
        self.responsive: dict[str, None] = {}
        self.turned_s = float("inf")

    def turn(self, now_s: float) -> bool:
        """Takes note that this host runs.

        Returns:
            Whether it was away; all silence is forgiven then.
        """
        was_away = now_s - self.turned_s > AWAY_S
        if was_away:
            for watch in self.targets.values():
                watch.note_answer(now_s)
        self.turned_s = now_s
        return was_away

    def watch(self, entry: target_table.Entry) -> Watch:
        """Returns the watch of a target."""
        found = self.targets.get(entry.target.name)
        if found is None:
            name = entry.target.domain
            domain = self.domains.get(name)
            if domain is None:
                domain = self.domains[name] = silences.Silence(silences.DOMAIN)
            found = Watch(silences.Silence(silences.TARGET), domain)
            self.targets[entry.target.name] = found
        return found

    def note_opening(
        self,
        now_s: float,
        key: flow_packets.FlowKey,
        target: target_table.Entry,
    ) -> None:
        """Takes note that an opening is sent to a target."""
        held = self.flows.pop(key, None)
        tried: tuple[str, ...] = ()
        if held is not None:
            self._release(held)
            if not held.is_open:
                tried = held.tried
        self.flows[key] = Flow(
            target, now_s, tried=(*tried, target.target.name)
        )
        watch = self.watch(target)
        watch.flows += 1
        watch.silence.note_opening(now_s)
        watch.domain.note_opening(now_s)
        if len(self.flows) > MAX_FLOWS:
            self.end(next(iter(self.flows)))

    def note_unanswered(
        self, now_s: float, key: flow_packets.FlowKey
    ) -> tuple[str, ...]:
        """Takes note that a caller repeats its opening.

        Returns:
            The targets that did not answer it.
        """
        held = self.flows.get(key)
        if held is None or held.is_open:
            return ()
        self.watch(held.target).note_repetition(now_s, key)
        return held.tried

    def note_packet(
        self,
        now_s: float,
        target: target_table.Entry,
        packet: flow_packets.FlowPacket,
    ) -> bool:
        """Takes note of a packet of an open flow.

        Args:
            now_s: Monotonic time in seconds.
            target: The target that it goes to.
            packet: The packet.

        Returns:
            Whether the caller repeats what it sent before.
        """
        key = packet.flow
        flow = self.flows.pop(key, None)
        watch = self.watch(target)
        if flow is None or flow.target.target.name != target.target.name:
            # Met in its middle, a flow shows nothing of its target.
            if flow is not None:
                self._release(flow)
            flow = Flow(
                target,
                now_s,
                is_open=True,
                acknowledged=packet.acknowledged,
                sequence=packet.sequence,
            )
            watch.flows += 1
        self.flows[key] = flow
        flow.last_s = now_s
        if not flow.is_open:
            flow.is_open = True
            flow.sequence = packet.sequence
            self.note_answer(now_s, target)
        elif packet.acknowledged != flow.acknowledged:
            self.note_answer(now_s, target)
            self._stop_waiting(flow, watch)
        flow.acknowledged = packet.acknowledged
        if not packet.payload_bytes:
            return False
        return self._note_payload(now_s, flow, packet, watch)

    def note_answer(self, now_s: float, target: target_table.Entry) -> None:
        """Takes note that a target, and so its domain, gave a sign of life.

        A flow shows it, or an answer to a probe.
        """
        self.watch(target).note_answer(now_s)
        name = target.target.name
        self.responsive.pop(name, None)
        self.responsive[name] = None

    def _note_payload(
        self,
        now_s: float,
        flow: Flow,
        packet: flow_packets.FlowPacket,
        watch: Watch,
    ) -> bool:
        """Takes note of payload; returns as `note_packet`."""
        end = packet.sequence + packet.payload_bytes
        ahead = (end - flow.sequence) % SEQUENCE_SPACE
        if 0 < ahead < SEQUENCE_SPACE // 2:
            flow.sequence = end
            if flow.waits_since_s is None:
                flow.waits_since_s = now_s
                watch.waiting += 1
            return False
        watch.note_repetition(now_s, packet.flow)
        return True

    def _stop_waiting(self, flow: Flow, watch: Watch) -> None:
        """Takes note that a reply has come."""
        if flow.waits_since_s is not None:
            flow.waits_since_s = None
            watch.waiting -= 1

    def end(self, key: flow_packets.FlowKey) -> None:
        """Forgets a flow."""
        flow = self.flows.pop(key, None)
        if flow is not None:
            self._release(flow)

    def _release(self, flow: Flow) -> None:
        """Takes a flow off its target."""
        watch = self.watch(flow.target)
        watch.flows -= 1
        self._stop_waiting(flow, watch)

    def forget_targets(self, known: Container[str]) -> None:
        """Forgets targets that are not known any more and have no flows.

        Args:
            known: Names of the targets that are known.
        """
        for name, watch in list(self.targets.items()):
            if name not in known and not watch.flows:
                del self.targets[name]
                self.responsive.pop(name, None)

    def forget_idle(self, now_s: float, idle_s: float) -> None:
        """Forgets flows without a packet for `idle_s` seconds."""
        while self.flows:
            key, flow = next(iter(self.flows.items()))
            if now_s - flow.last_s <= idle_s:
                return
            self.end(key)
