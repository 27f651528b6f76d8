"""Routing of packets to the owners of their flows."""

from tamarack_core import effects
from tamarack_core import peers
from tamarack_core.internal.entry import entry_hosts as hosts_lib
from tamarack_core.internal.entry import flow_owner as owner_lib
from tamarack_core.internal.entry import flow_records as records_lib
from tamarack_core.internal.entry import flow_rejection
from tamarack_core.internal.entry import transit_packet as transit_lib
from tamarack_core.internal.flows import hop_option
from tamarack_core.internal.flows import table as table_lib
from tamarack_core.packets import ip

_STATE_FLAGS = ip.TCP_SYN | ip.TCP_FIN | ip.TCP_RST


class PacketRouter:
    """Handles all packets that the fast path does not.

    The owner of a flow serves its packets. Packets from other hosts also carry
    flows to learn, copies for backups, and queries.

    Attributes:
        entry_hosts: The other entry hosts.
        records: Flow records of this host.
        owner: Serves the flows that this host owns.
        rejector: Drops packets and resets flows.
    """

    __slots__ = ("entry_hosts", "owner", "records", "rejector")

    def __init__(
        self,
        entry_hosts: hosts_lib.EntryHosts,
        records: records_lib.FlowRecords,
        owner: owner_lib.FlowOwner,
        rejector: flow_rejection.FlowRejector,
    ) -> None:
        """Initializes the router.

        Args:
            entry_hosts: The other entry hosts.
            records: Flow records of this host.
            owner: Serves the flows that this host owns.
            rejector: Drops packets and resets flows.
        """
        self.entry_hosts = entry_hosts
        self.records = records
        self.owner = owner
        self.rejector = rejector

    def handle(
        self, transit: transit_lib.TransitPacket
    ) -> list[effects.Effect]:
        """Serves a packet or forwards it to another host.

        Args:
            transit: The packet.
        """
        self.entry_hosts.refresh(transit.now_s)
        if not self.entry_hosts.membership.is_ready(transit.now_s):
            return self.rejector.drop("joining")
        if not transit.hop_value:
            return self._route(transit, 1, 0)
        count = hop_option.count_of(transit.hop_value)
        tag = hop_option.tag_of(transit.hop_value)
        match hop_option.kind_of(transit.hop_value):
            case hop_option.Kind.FORWARD:
                return self._route(transit, count + 1, tag)
            case hop_option.Kind.RETURN:
                return self._handle_return(transit)
            case hop_option.Kind.COPY | hop_option.Kind.CLOSED as kind:
                return self._handle_copy(transit, kind, count, tag)
            case hop_option.Kind.QUERY:
                return self._handle_query(transit, count, tag)
            case hop_option.Kind.UNKNOWN:
                return self._query_next_backup(transit, count)
        return self.rejector.drop("unknown-hop-kind")

    def _route(
        self, transit: transit_lib.TransitPacket, count: int, tag: int
    ) -> list[effects.Effect]:
        """Serves a packet as the owner or forwards it to the owner.

        Args:
            transit: The packet, inbound or outbound.
            count: Number of hosts visited, this one included.
            tag: Tag of the first host that forwarded it; 0 for none.
        """
        order = self.entry_hosts.order(transit.port, transit.key)
        if not order or self.entry_hosts.is_self(order[0]):
            return self.owner.serve(transit, tag)
        if count > hop_option.MAX_COUNT:
            return self.rejector.drop("hop-limit")
        if not tag:
            self._prepare_forwarding(transit)
            tag = self.entry_hosts.tag
        hop_value = hop_option.pack(hop_option.Kind.FORWARD, count, tag)
        return self.entry_hosts.forward_with_hop(
            order[0], transit.packet.data, hop_value
        )

    def _prepare_forwarding(self, transit: transit_lib.TransitPacket) -> None:
        """Decides whether this host's copy serves the following packets."""
        table = self.records.table
        slot = table.slots.get(transit.key)
        if slot is None:
            return
        if transit.packet.flags & _STATE_FLAGS:
            # The flow opens or closes, so the copy may soon be outdated. Of a
            # closed flow, the time of the close is still needed if this host
            # becomes the owner.
            if not table.flags[slot] & table_lib.CLOSED:
                table.confirmed_s[slot] = 0.0
            table.fast_until_s[slot] = 0.0
            return
        age_s = transit.now_s - table.confirmed_s[slot]
        is_usable = age_s < records_lib.COPY_LIFETIME_S
        if is_usable and not table.flags[slot] & table_lib.CLOSED:
            table.fast_until_s[slot] = transit.now_s + records_lib.RETRY_S

    def _handle_return(
        self, transit: transit_lib.TransitPacket
    ) -> list[effects.Effect]:
        """Learns from a packet that the owner or a queried host returns."""
        target = transit.target()
        slot = self.records.learn(transit.now_s, transit.key, target)
        order = self.entry_hosts.order(transit.port, transit.key)
        if slot is not None and order and self.entry_hosts.is_self(order[0]):
            self.records.take_over(transit.now_s, slot, transit.port)
        return [effects.SendDatagram(None, transit.datagram_for_fabric(target))]

    def _handle_copy(
        self,
        transit: transit_lib.TransitPacket,
        kind: hop_option.Kind,
        count: int,
        wanted: int,
    ) -> list[effects.Effect]:
        """Stores a flow as a backup and forwards the packet."""
        target = transit.target()
        if self._is_conflict(transit, target):
            return self.rejector.drop("conflicting-answer")
        slot = self._store_copy(transit, target)
        table = self.records.table
        if slot is not None and kind is hop_option.Kind.CLOSED:
            table.flags[slot] |= table_lib.CLOSED
            table.fast_until_s[slot] = transit.now_s
        following = self._next_backup(transit, count, wanted)
        if following is None:
            return [
                effects.SendDatagram(None, transit.datagram_for_fabric(target))
            ]
        hop_value = hop_option.pack(kind, count + 1, wanted)
        return self.entry_hosts.forward_with_hop(
            following, transit.packet.data, hop_value
        )

    def _store_copy(
        self, transit: transit_lib.TransitPacket, target: bytes
    ) -> int | None:
        """Stores a flow as a backup; returns its slot."""
        table = self.records.table
        slot = table.slots.get(transit.key)
        if slot is not None and transit.is_syn_ack():
            self._prepare_reuse(transit, slot, target)
        slot = self.records.learn(transit.now_s, transit.key, target)
        if slot is None:
            return None
        table.flags[slot] |= table_lib.BACKUP
        if transit.is_syn_ack():
            table.initial_sequence[slot] = transit.acknowledged_sequence()
            table.opened_s[slot] = transit.now_s
        return slot

    def _prepare_reuse(
        self, transit: transit_lib.TransitPacket, slot: int, target: bytes
    ) -> None:
        """Prepares a record for a new flow with the same key."""
        table = self.records.table
        if table.target_of(slot) != target:
            self.records.release(transit.now_s, slot, transit.port)
            table.set_target(slot, target)
        kept = table.flags[slot] & table_lib.OWNED
        table.flags[slot] = kept | table_lib.ESTABLISHED

    def _is_conflict(
        self, transit: transit_lib.TransitPacket, target: bytes
    ) -> bool:
        """Returns whether another target has accepted the same opening.

        For a moment, two hosts may both act as the owner and choose different
        targets. The first SYN-ACK that a common backup receives wins.
        """
        table = self.records.table
        slot = table.slots.get(transit.key)
        if slot is None or not transit.is_syn_ack():
            return False
        open_flags = table_lib.ESTABLISHED | table_lib.CLOSED
        return (
            table.flags[slot] & open_flags == table_lib.ESTABLISHED
            and table.initial_sequence[slot] == transit.acknowledged_sequence()
            and table.target_of(slot) != target
        )

    def _next_backup(
        self, transit: transit_lib.TransitPacket, count: int, wanted: int
    ) -> peers.Peer | None:
        """Returns the backup after this host; None at the end."""
        if count >= wanted:
            return None
        others = [
            peer
            for peer in self.entry_hosts.order(transit.port, transit.key)[1:]
            if not self.entry_hosts.is_self(peer)
        ]
        return others[-1] if others else None

    def _handle_query(
        self, transit: transit_lib.TransitPacket, count: int, tag: int
    ) -> list[effects.Effect]:
        """Handles a query of an owner that does not know a packet's flow."""
        if tag not in self.entry_hosts.endpoints:
            return self.rejector.drop("unknown-host")
        table = self.records.table
        slot = self.records.find(transit.now_s, transit.key)
        if (
            slot is not None
            and transit.is_syn()
            and not self.records.is_recent(transit.now_s, slot)
        ):
            slot = None
        if slot is None:
            return self.entry_hosts.forward_to_tag(
                tag, transit.packet.data, hop_option.Kind.UNKNOWN, count
            )
        packet = transit.packet_for_host(table.target_of(slot))
        return self.entry_hosts.forward_to_tag(
            tag, packet, hop_option.Kind.RETURN, 2
        )

    def _query_next_backup(
        self, transit: transit_lib.TransitPacket, count: int
    ) -> list[effects.Effect]:
        """Queries the next backup, or serves an unknown flow after the last."""
        order = self.entry_hosts.order(transit.port, transit.key)
        if not order or not self.entry_hosts.is_self(order[0]):
            return self._route(transit, count + 1, 0)
        if count + 1 < len(order):
            return self.entry_hosts.forward(
                order[count + 1],
                transit.packet.data,
                hop_option.Kind.QUERY,
                count + 1,
            )
        return self.owner.serve_unknown(transit)
