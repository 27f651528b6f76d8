"""Data path: forwards packets between callers and targets."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import failure
from tamarack_core import reducer
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.entry import entry_hosts as hosts_lib
from tamarack_core.internal.entry import flow_maintenance
from tamarack_core.internal.entry import flow_owner
from tamarack_core.internal.entry import flow_queries
from tamarack_core.internal.entry import flow_records
from tamarack_core.internal.entry import flow_rejection
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import packet_router
from tamarack_core.internal.entry import stalled_flows
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.entry import transit_packet as transit_lib
from tamarack_core.internal.membership import host_membership
from tamarack_core.messages import flows
from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tamarack_core.packets import rewrite

# Packets with these flags open or close a flow; they skip the fast path.
_STATE_FLAGS = ip.TCP_SYN | ip.TCP_FIN | ip.TCP_RST


class DataPath:
    """Component that handles datagrams from the fabric and from other hosts.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        config_store: Configuration in force.
        records: Flow records of this host.
        rejector: Drops packets and resets flows.
        stall_detector: Finds and resets stalled flows.
        router: Handles all packets that the fast path does not.
        maintenance: Expires, takes over and repairs flows.
    """

    __slots__ = (
        "config_store",
        "context",
        "maintenance",
        "records",
        "rejector",
        "router",
        "stall_detector",
    )

    def __init__(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        chooser: target_choice.Chooser,
        membership: host_membership.HostMembership,
    ) -> None:
        """Initializes the data path.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            config_store: Configuration in force.
            chooser: Chooses the target of a new flow.
            membership: Membership of this host.
        """
        self.context = context
        self.config_store = config_store
        self.records = flow_records.FlowRecords(context, chooser)
        self.rejector = flow_rejection.FlowRejector(context)
        entry_hosts = hosts_lib.EntryHosts(context, membership)
        queries = flow_queries.FlowQueries(context, membership)
        self.router = packet_router.PacketRouter(
            entry_hosts,
            self.records,
            flow_owner.FlowOwner(
                entry_hosts, self.records, queries, self.rejector
            ),
            self.rejector,
        )
        self.stall_detector = stalled_flows.StalledFlowDetector(
            entry_hosts, self.records, self.rejector, self.router
        )
        self.maintenance = flow_maintenance.FlowMaintenance(
            entry_hosts, self.records, queries, config_store
        )

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            events.DatagramArrived: self.handle_datagram,
            events.Started: self.maintenance.handle_started,
            flow_maintenance.TIMER: self.maintenance.handle_timer,
            flows.FlowCopies: self.maintenance.handle_copies,
            flows.FlowQuery: self.maintenance.handle_query,
            flows.FlowResponse: self.maintenance.handle_response,
            flows.StalledFlowQuery: self.stall_detector.handle_query,
            flows.StalledFlowResponse: self.stall_detector.handle_response,
        }

    def handle_datagram(
        self, event: events.DatagramArrived
    ) -> list[effects.Effect]:
        """Rewrites and forwards a packet, or drops it and counts the reason."""
        datagram = geneve.decapsulate(event.data)
        if isinstance(datagram, failure.Failure):
            return self.rejector.drop(datagram.reason)
        packet = ip.parse(datagram.packet)
        if isinstance(packet, failure.Failure):
            return self.rejector.drop(packet.reason)
        tables = self.config_store.lookup
        now_s = event.now_s
        hop_value = datagram.hop_value
        port = tables.find_inbound(packet)
        if port is not None:
            key = lookup.flow_key(packet)
            stall_queries = self._observe_payload(now_s, packet, port, key)
            if stall_queries:
                addressing = transit_lib.Addressing.INBOUND
                sent = self._route(
                    now_s, packet, addressing, port, key, hop_value
                )
                return [*stall_queries, *sent]
            if not hop_value and not packet.flags & _STATE_FLAGS:
                sent = self._forward_inbound(now_s, packet, port, key)
                if sent:
                    return sent
            addressing = transit_lib.Addressing.INBOUND
            return self._route(now_s, packet, addressing, port, key, hop_value)
        port = tables.find_outbound(packet)
        if port is not None:
            key = lookup.reply_key(packet, port)
            self.stall_detector.observe_reply(now_s, key, packet.source)
            if not hop_value and not packet.flags & _STATE_FLAGS:
                sent = self._forward_outbound(now_s, packet, port, key)
                if sent:
                    return sent
            addressing = transit_lib.Addressing.OUTBOUND
            return self._route(now_s, packet, addressing, port, key, hop_value)
        return self._route_rewritten(now_s, packet, hop_value)

    def _observe_payload(
        self,
        now_s: float,
        packet: ip.Packet,
        port: lookup.ServicePort,
        key: bytes,
    ) -> list[effects.Effect]:
        """Passes a caller's TCP payload to the detector of stalled flows."""
        if packet.payload == len(packet.data) or not packet.flags & ip.TCP_ACK:
            return []
        return self.stall_detector.observe_payload(now_s, packet, port, key)

    def _forward_inbound(
        self,
        now_s: float,
        packet: ip.Packet,
        port: lookup.ServicePort,
        key: bytes,
    ) -> list[effects.Effect]:
        """Forwards a caller's packet on the fast path.

        Returns:
            The effect; empty if the flow is not on the fast path.
        """
        table = self.records.table
        slot = table.slots.get(key)
        if slot is None or now_s >= table.fast_until_s[slot]:
            return []
        table.seen_s[slot] = int(now_s)
        rewritten = rewrite.destination(
            packet, table.targets[table.target[slot]], port.target_port
        )
        return [effects.SendDatagram(None, geneve.encapsulate(rewritten))]

    def _forward_outbound(
        self,
        now_s: float,
        packet: ip.Packet,
        port: lookup.ServicePort,
        key: bytes,
    ) -> list[effects.Effect]:
        """Forwards a target's packet on the fast path.

        Returns:
            The effect; empty if the flow is not on the fast path or has
            another target.
        """
        table = self.records.table
        slot = table.slots.get(key)
        if (
            slot is None
            or now_s >= table.fast_until_s[slot]
            or table.targets[table.target[slot]] != packet.source
        ):
            return []
        table.seen_s[slot] = int(now_s)
        rewritten = rewrite.source(packet, port.address, port.port)
        return [effects.SendDatagram(None, geneve.encapsulate(rewritten))]

    def _route_rewritten(
        self, now_s: float, packet: ip.Packet, hop_value: int
    ) -> list[effects.Effect]:
        """Routes a packet that another host has rewritten for its target."""
        port = (
            self.config_store.lookup.find_rewritten(packet)
            if hop_value
            else None
        )
        if port is None:
            return self.rejector.drop("no-service")
        key = lookup.rewritten_key(packet, port)
        addressing = transit_lib.Addressing.REWRITTEN
        return self._route(now_s, packet, addressing, port, key, hop_value)

    def _route(
        self,
        now_s: float,
        packet: ip.Packet,
        addressing: transit_lib.Addressing,
        port: lookup.ServicePort,
        key: bytes,
        hop_value: int,
    ) -> list[effects.Effect]:
        """Passes a packet to the router."""
        return self.router.handle(
            transit_lib.TransitPacket(
                now_s, packet, addressing, port, key, hop_value
            )
        )
