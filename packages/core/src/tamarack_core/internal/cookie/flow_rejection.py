"""What callers are told: refusals, resets, and packets that are dropped."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import flow_packets
from tamarack_core.internal.cookie import flow_tracker
from tamarack_core.internal.cookie import routes as routes_lib
from tamarack_core.internal.cookie import target_table


class FlowRejector:
    """Tells callers what became of their flows.

    Attributes:
        context: Identity, chance, time and counters.
        codec: Form of packets on the wire.
        routes: Routes in force.
        tracker: What the packets show of flows and targets.
    """

    __slots__ = ("codec", "context", "routes", "tracker")

    def __init__(
        self,
        context: context_lib.Context,
        codec: flow_packets.PacketCodec,
        routes: routes_lib.RouteTable,
        tracker: flow_tracker.FlowTracker,
    ) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            codec: Form of packets on the wire.
            routes: Routes in force.
            tracker: What the packets show of flows and targets.
        """
        self.context = context
        self.codec = codec
        self.routes = routes
        self.tracker = tracker

    def give_up(
        self, now_s: float, entry: target_table.Entry, reason: str
    ) -> list[effects.Effect]:
        """Resets all known flows of a target.

        Idle flows too: what a caller sends on one later would be lost, and
        may be something that can't be repeated.
        """
        name = entry.target.name
        if not self.tracker.watch(entry).flows:
            return []
        found: list[effects.Effect] = []
        for key, flow in list(self.tracker.flows.items()):
            if flow.target.target.name == name:
                found += self.reset(
                    now_s, key, flow.acknowledged, entry, reason
                )
        return found

    def reset(
        self,
        now_s: float,
        key: flow_packets.FlowKey,
        acknowledged: int,
        entry: target_table.Entry,
        reason: str,
    ) -> list[effects.Effect]:
        """Tells a caller that its flow can't live; it may have run."""
        self.tracker.end(key)
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

    def refuse(
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

    def drop(self, reason: str) -> list[effects.Effect]:
        """Counts a packet that is dropped."""
        self.context.counters[f"dropped-{reason}"] += 1
        return []
