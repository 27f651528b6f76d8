"""Rejection of flows: resets, refusals and dropped packets."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import flow_packets
from tamarack_core.internal.cookie import flow_tracker
from tamarack_core.internal.cookie import routes as routes_lib
from tamarack_core.internal.cookie import target_table


class FlowRejector:
    """Sends resets to callers and counts dropped packets.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        codec: Wire format of packets.
        routes: Routes in force.
        tracker: State of flows and targets, observed in packets.
    """

    __slots__ = ("codec", "context", "routes", "tracker")

    def __init__(
        self,
        context: context_lib.Context,
        codec: flow_packets.PacketCodec,
        routes: routes_lib.RouteTable,
        tracker: flow_tracker.FlowTracker,
    ) -> None:
        """Initializes the flow rejector.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            codec: Wire format of packets.
            routes: Routes in force.
            tracker: State of flows and targets, observed in packets.
        """
        self.context = context
        self.codec = codec
        self.routes = routes
        self.tracker = tracker

    def reset_flows(
        self,
        now_s: float,
        entry: target_table.TargetEntry,
        reason: str,
        seen_by_s: float | None = None,
    ) -> list[effects.Effect]:
        """Resets all known flows of a target, idle ones included.

        A later request on an idle flow would be lost, and the caller may not
        be able to repeat it.

        Args:
            now_s: Monotonic time in seconds.
            entry: The target.
            reason: Tag of the cause.
            seen_by_s: Time in seconds; flows whose first packet at this
                host came later are left. None for all.
        """
        return [
            effect
            for flow in self.tracker.activity_of(entry).all_flows()
            if flow.was_seen_by(seen_by_s)
            for effect in self.reset_flow(
                now_s, flow.key, flow.acknowledged, entry, reason
            )
        ]

    def reset_flow(
        self,
        now_s: float,
        key: flow_packets.FlowKey,
        acknowledged: int,
        entry: target_table.TargetEntry,
        reason: str,
    ) -> list[effects.Effect]:
        """Resets an open flow; its last request may have run."""
        flow = self.tracker.flows.get(key)
        idle = "unknown here"
        if flow is not None:
            idle = f"idle {now_s - flow.last_packet_s:.1f} s"
        self.tracker.remove_flow(key)
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
                detail=f"{idle}; last update"
                f" {now_s - entry.updated_s:.1f} s ago",
            ),
        ]

    def refuse(
        self,
        now_s: float,
        packet: flow_packets.FlowPacket,
        reason: str,
        service: str = "",
        detail: str = "",
    ) -> list[effects.Effect]:
        """Refuses to open a flow; nothing of it has run."""
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
                detail=detail,
            ),
        ]

    def _send_reset(
        self, key: flow_packets.FlowKey, acknowledged: int, reason: str
    ) -> effects.Effect:
        """Returns the effect that sends a reset to the caller of a flow."""
        self.context.counters[f"reset-{reason}"] += 1
        endpoint, data = self.codec.encode_reset(key, acknowledged)
        return effects.SendDatagram(endpoint, data)

    def drop(self, reason: str) -> list[effects.Effect]:
        """Counts a dropped packet."""
        self.context.counters[f"dropped-{reason}"] += 1
        return []
