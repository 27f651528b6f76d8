"""Handling of the flows that this host owns."""

from tamarack_core import effects
from tamarack_core import peers
from tamarack_core import verdict as verdict_lib
from tamarack_core.internal.entry import entry_hosts as hosts_lib
from tamarack_core.internal.entry import flow_queries
from tamarack_core.internal.entry import flow_records as records_lib
from tamarack_core.internal.entry import flow_rejection
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.entry import transit_packet as transit_lib
from tamarack_core.internal.flows import hop_option
from tamarack_core.internal.flows import ownership
from tamarack_core.internal.flows import placement
from tamarack_core.internal.flows import table as table_lib
from tamarack_core.packets import ip

# An opening without a reply is tried on another target after this time.
OPENING_RETRY_S = 2.5
# From this many forwarded packets of a flow on, the owner returns packets to
# the host that forwards them, which learns the target. Most short flows end
# before.
RETURN_AFTER_PACKETS = 4

_SEQUENCE_MASK = 0xFFFFFFFF
_COUNT_LIMIT = 255


class FlowOwner:
    """Serves packets of the flows that this host owns.

    Attributes:
        entry_hosts: The other entry hosts.
        records: Flow records of this host.
        queries: Queries about flows that this host does not know.
        rejector: Drops packets and resets flows.
    """

    __slots__ = ("entry_hosts", "queries", "records", "rejector")

    def __init__(
        self,
        entry_hosts: hosts_lib.EntryHosts,
        records: records_lib.FlowRecords,
        queries: flow_queries.FlowQueries,
        rejector: flow_rejection.FlowRejector,
    ) -> None:
        """Initializes the owner.

        Args:
            entry_hosts: The other entry hosts.
            records: Flow records of this host.
            queries: Queries about flows that this host does not know.
            rejector: Drops packets and resets flows.
        """
        self.entry_hosts = entry_hosts
        self.records = records
        self.queries = queries
        self.rejector = rejector

    def serve(
        self, transit: transit_lib.TransitPacket, tag: int
    ) -> list[effects.Effect]:
        """Serves a packet of a flow that this host owns.

        Args:
            transit: The packet, inbound or outbound.
            tag: Tag of the host that forwarded it; 0 for a packet from the
                fabric.
        """
        slot = self.records.find(transit.now_s, transit.key)
        if transit.is_tcp() and transit.is_syn():
            return self._handle_syn(transit, slot)
        if slot is None:
            return self._handle_unknown(transit)
        if self._is_stale_reply(transit, slot):
            return self.rejector.drop("late-answer")
        self.records.take_over(transit.now_s, slot, transit.port)
        is_over = self._update_state(transit, slot)
        return self._forward(transit, slot, tag, is_over)

    def serve_unknown(
        self, transit: transit_lib.TransitPacket
    ) -> list[effects.Effect]:
        """Serves a packet whose flow no backup knows.

        Args:
            transit: The packet, inbound.
        """
        slot = self.records.find(transit.now_s, transit.key)
        if slot is not None:
            return self.serve(transit, 0)
        if not transit.is_tcp() or transit.is_syn():
            return self._choose_target(transit, b"")
        if self.queries.is_exhausted(transit):
            if not self.entry_hosts.is_grace_period_over(transit.now_s):
                return self.rejector.drop("unknown-flow-unsettled")
            return self.rejector.reset_open(transit, "unknown-flow")
        return self.queries.query_hosts(transit)

    def _handle_syn(
        self, transit: transit_lib.TransitPacket, slot: int | None
    ) -> list[effects.Effect]:
        """Handles a SYN."""
        if (
            transit.packet.payload_bytes
            and not transit.port.settings.idempotent
        ):
            return self.rejector.drop("syn-payload")
        if slot is None:
            return self._open_unknown(transit)
        table = self.records.table
        flags = table.flags[slot]
        if flags & table_lib.CLOSED:
            return self._choose_target(
                transit, self.records.required_target(transit.now_s, slot)
            )
        if not flags & table_lib.ESTABLISHED:
            if self._may_leave_target(transit, slot):
                return self._retry_opening(transit, slot)
        elif self._is_idle(transit, slot):
            return self._retry_opening(transit, slot)
        # A target that still has the old connection handles the new SYN itself
        # (RFC 9293, section 3.10.7.4).
        self.records.take_over(transit.now_s, slot, transit.port)
        table.initial_sequence[slot] = transit.packet.sequence
        table.fast_until_s[slot] = transit.now_s
        return self._send_to_fabric(transit, slot)

    def _open_unknown(
        self, transit: transit_lib.TransitPacket
    ) -> list[effects.Effect]:
        """Opens a flow that this host has no record of.

        After a change of members, the previous owner may have a flow with the
        same key, of which other hosts hold copies, so the first backup is
        queried before a target is chosen.
        """
        age_s = transit.now_s - self.entry_hosts.changed_s
        order = self.entry_hosts.order(transit.port, transit.key)
        if age_s > records_lib.COPY_LIFETIME_S or len(order) < 2:
            return self._choose_target(transit, b"")
        packet = transit.packet.data
        return self.entry_hosts.forward(
            order[1], packet, hop_option.Kind.QUERY, 1
        )

    def _may_leave_target(
        self, transit: transit_lib.TransitPacket, slot: int
    ) -> bool:
        """Returns whether an opening may be tried on another target."""
        age_s = transit.now_s - self.records.table.opened_s[slot]
        return age_s >= OPENING_RETRY_S and not self.records.required_target(
            transit.now_s, slot
        )

    def _retry_opening(
        self, transit: transit_lib.TransitPacket, slot: int
    ) -> list[effects.Effect]:
        """Chooses another target for an opening that got no reply.

        Without a retry budget the opening stays with its target.
        """
        if not self.records.chooser.may_retry(transit.now_s, transit.port):
            return self._send_to_fabric(transit, slot)
        self.records.close(
            transit.now_s,
            slot,
            transit.port,
            target_choice.Progress.UNRESPONSIVE,
        )
        return self._choose_target(transit, b"")

    def _is_idle(self, transit: transit_lib.TransitPacket, slot: int) -> bool:
        """Returns whether no host has seen a packet of a flow recently."""
        age_s = transit.now_s - self.records.table.seen_s[slot]
        return age_s > 2 * records_lib.COPY_LIFETIME_S

    def _choose_target(
        self, transit: transit_lib.TransitPacket, required: bytes
    ) -> list[effects.Effect]:
        """Opens a flow with the target that the chooser returns."""
        now_s = transit.now_s
        port = transit.port
        choice = self.records.chooser.choose(
            now_s, target_choice.Opening(transit.key, port, required)
        )
        if isinstance(choice, target_choice.Refusal):
            return self._refuse(transit, choice)
        if required and choice.target != required:
            self._cancel_opening(transit, choice.target)
            return self.rejector.drop("time-wait")
        slot = self.records.store_owned(
            now_s,
            transit.key,
            choice.target,
            transit.packet.sequence,
            bool(required),
        )
        if slot is None:
            self._cancel_opening(transit, choice.target)
            return self.rejector.refuse(
                transit, verdict_lib.not_run("flow-table-full")
            )
        if not transit.is_tcp():
            self.records.table.flags[slot] |= table_lib.ESTABLISHED
        return self._send_to_fabric(transit, slot)

    def _refuse(
        self,
        transit: transit_lib.TransitPacket,
        refusal: target_choice.Refusal,
    ) -> list[effects.Effect]:
        """Refuses an opening, or drops it if a reset could be wrong.

        A host that has just joined may not know the targets yet. It drops the
        opening, so that the caller's TCP retransmits it a second later. An
        opening that was sent to a target before the evacuation may have opened
        the flow there, so a copy of it is dropped too.
        """
        verdict = refusal.verdict
        has_no_target = verdict.reason in target_choice.NO_TARGET_REASONS
        if has_no_target and self.entry_hosts.is_warming_up(transit.now_s):
            return self.rejector.drop("warming")
        if refusal.has_evacuated and self._is_copy_of_sent(transit):
            return self.rejector.drop("opening-evacuated")
        if verdict.reason == target_choice.DOMAIN_EVACUATED:
            self.rejector.context.counters["refused-domain-evacuated"] += 1
        return self.rejector.refuse(transit, verdict)

    def _is_copy_of_sent(self, transit: transit_lib.TransitPacket) -> bool:
        """Returns whether the same opening was sent to a target before."""
        slot = self.records.find(transit.now_s, transit.key)
        table = self.records.table
        return (
            slot is not None
            and transit.is_tcp()
            and not table.flags[slot] & table_lib.ESTABLISHED
            and table.initial_sequence[slot] == transit.packet.sequence
        )

    def _cancel_opening(
        self, transit: transit_lib.TransitPacket, target: bytes
    ) -> None:
        """Cancels an opening that the chooser has counted."""
        self.records.chooser.observe(
            transit.now_s,
            target_choice.Observation(
                target_choice.Progress.CLOSED, target, transit.port, 0.0
            ),
        )

    def _handle_unknown(
        self, transit: transit_lib.TransitPacket
    ) -> list[effects.Effect]:
        """Handles a packet of a flow that this host does not know."""
        if transit.addressing is transit_lib.Addressing.OUTBOUND:
            return self._learn_from_reply(transit)
        if transit.packet.flags & ip.TCP_RST:
            return self.rejector.drop("unknown-flow")
        order = self.entry_hosts.order(transit.port, transit.key)
        if len(order) > 1:
            return self.entry_hosts.forward(
                order[1], transit.packet.data, hop_option.Kind.QUERY, 1
            )
        return self.serve_unknown(transit)

    def _learn_from_reply(
        self, transit: transit_lib.TransitPacket
    ) -> list[effects.Effect]:
        """Learns a flow from a reply of its target.

        Only a SYN-ACK, or a reply during the grace period of `EntryHosts`,
        counts as part of an open flow; any other may be a late one.
        """
        now_s = transit.now_s
        target = transit.target()
        is_over = transit.packet.flags & (ip.TCP_RST | ip.TCP_FIN)
        is_current = (
            transit.is_syn_ack()
            or not self.entry_hosts.is_grace_period_over(now_s)
        )
        slot = None
        if is_current and not is_over:
            slot = self.records.learn(now_s, transit.key, target)
        if slot is None:
            return [
                effects.SendDatagram(None, transit.datagram_for_fabric(target))
            ]
        if transit.is_syn_ack():
            self.records.table.initial_sequence[slot] = (
                transit.acknowledged_sequence()
            )
        self.records.take_over(now_s, slot, transit.port)
        return self._forward(transit, slot, 0, False)

    def _is_stale_reply(
        self, transit: transit_lib.TransitPacket, slot: int
    ) -> bool:
        """Returns whether a reply belongs to an earlier flow."""
        if transit.addressing is not transit_lib.Addressing.OUTBOUND:
            return False
        table = self.records.table
        if transit.target() != table.target_of(slot):
            return True
        initial_sequence = table.initial_sequence[slot]
        return (
            transit.is_tcp()
            and transit.is_syn_ack()
            and initial_sequence != 0
            and initial_sequence != transit.acknowledged_sequence()
        )

    def _update_state(
        self, transit: transit_lib.TransitPacket, slot: int
    ) -> bool:
        """Updates the state of a flow; returns whether it has just ended."""
        table = self.records.table
        state = table.flags[slot]
        if not transit.is_tcp() or state & table_lib.CLOSED:
            return False
        is_reply = transit.addressing is transit_lib.Addressing.OUTBOUND
        flags = transit.packet.flags
        if flags & ip.TCP_RST:
            if self._is_stale_reset(transit, slot):
                return False
            self._close(transit, slot, _reset_progress(is_reply, state))
            return True
        if not state & table_lib.ESTABLISHED:
            state = self._establish(transit, slot)
        if is_reply and transit.packet.payload_bytes:
            state = self._observe_reply(transit, slot)
        if flags & ip.TCP_FIN:
            state |= table_lib.TARGET_FIN if is_reply else table_lib.CALLER_FIN
            table.flags[slot] = state
        both = table_lib.TARGET_FIN | table_lib.CALLER_FIN
        if state & both == both:
            self._close(transit, slot, target_choice.Progress.CLOSED)
            return True
        return False

    def _is_stale_reset(
        self, transit: transit_lib.TransitPacket, slot: int
    ) -> bool:
        """Returns whether a caller resets a connection before this flow."""
        table = self.records.table
        if transit.addressing is transit_lib.Addressing.OUTBOUND:
            return False
        if table.flags[slot] & table_lib.ESTABLISHED:
            return False
        expected = (table.initial_sequence[slot] + 1) & _SEQUENCE_MASK
        return transit.packet.sequence != expected

    def _establish(self, transit: transit_lib.TransitPacket, slot: int) -> int:
        """Marks a flow as established; returns the new flags."""
        table = self.records.table
        table.flags[slot] |= table_lib.ESTABLISHED
        self.records.observe(
            transit.now_s,
            slot,
            transit.port,
            target_choice.Progress.ESTABLISHED,
        )
        return table.flags[slot]

    def _observe_reply(
        self, transit: transit_lib.TransitPacket, slot: int
    ) -> int:
        """Observes the first payload of the target; returns the new flags."""
        table = self.records.table
        if not table.flags[slot] & table_lib.REPLIED:
            table.flags[slot] |= table_lib.REPLIED
            self.records.observe(
                transit.now_s,
                slot,
                transit.port,
                target_choice.Progress.REPLIED,
            )
        return table.flags[slot]

    def _close(
        self,
        transit: transit_lib.TransitPacket,
        slot: int,
        progress: target_choice.Progress,
    ) -> None:
        """Closes a flow."""
        self.records.close(transit.now_s, slot, transit.port, progress)

    def _forward(
        self,
        transit: transit_lib.TransitPacket,
        slot: int,
        tag: int,
        is_over: bool,
    ) -> list[effects.Effect]:
        """Forwards a packet, through the hosts that must learn the flow."""
        table = self.records.table
        order = self.entry_hosts.order(transit.port, transit.key)
        table.seen_s[slot] = int(transit.now_s)
        if is_over:
            return self._forward_via_backups(
                transit, slot, order, hop_option.Kind.CLOSED
            )
        if table.flags[slot] & table_lib.CLOSED:
            return self._send_to_fabric(transit, slot)
        count = self._wanted_backups(transit, slot)
        backups = order[1 : 1 + count]
        if transit.is_syn_ack() or placement.missing(
            table.placed[slot], backups
        ):
            if table.flags[slot] & table_lib.ESTABLISHED:
                table.placed[slot] = placement.pack(backups)
                table.fast_until_s[slot] = (
                    transit.now_s + records_lib.BACKUP_CHECK_S
                )
                return self._forward_via_backups(
                    transit, slot, order, hop_option.Kind.COPY
                )
        else:
            table.fast_until_s[slot] = (
                transit.now_s + records_lib.BACKUP_CHECK_S
            )
        if tag and self._should_return(transit, slot, tag):
            packet = transit.packet_for_host(table.target_of(slot))
            return self.entry_hosts.forward_to_tag(
                tag, packet, hop_option.Kind.RETURN, 2
            )
        return self._send_to_fabric(transit, slot)

    def _wanted_backups(
        self, transit: transit_lib.TransitPacket, slot: int
    ) -> int:
        """Returns the number of backups that a flow should have now."""
        age_s = transit.now_s - self.records.table.opened_s[slot]
        if age_s >= records_lib.BACKUP_CHECK_S:
            return ownership.ORDER_HOSTS - 1
        return records_lib.backups_at_opening(transit.port)

    def _should_return(
        self, transit: transit_lib.TransitPacket, slot: int, tag: int
    ) -> bool:
        """Counts a forwarded packet; returns whether to return it."""
        forwarded = self.records.table.forwarded
        forwarded[slot] = min(forwarded[slot] + 1, _COUNT_LIMIT)
        return (
            forwarded[slot] >= RETURN_AFTER_PACKETS
            and tag in self.entry_hosts.endpoints
            and not transit.packet.flags & _CLOSING_FLAGS
        )

    def _forward_via_backups(
        self,
        transit: transit_lib.TransitPacket,
        slot: int,
        order: tuple[peers.Peer, ...],
        kind: hop_option.Kind,
    ) -> list[effects.Effect]:
        """Forwards a packet through the backups."""
        count = self._wanted_backups(transit, slot)
        backups = [
            peer
            for peer in order[: count + 1]
            if not self.entry_hosts.is_self(peer)
        ]
        if not backups:
            return self._send_to_fabric(transit, slot)
        packet = transit.packet_for_host(self.records.table.target_of(slot))
        # The tag field of a copy holds the number of backups wanted.
        hop_value = hop_option.pack(kind, 1, count)
        return self.entry_hosts.forward_with_hop(backups[0], packet, hop_value)

    def _send_to_fabric(
        self, transit: transit_lib.TransitPacket, slot: int
    ) -> list[effects.Effect]:
        """Sends a packet to the fabric."""
        target = self.records.table.target_of(slot)
        return [effects.SendDatagram(None, transit.datagram_for_fabric(target))]


_CLOSING_FLAGS = ip.TCP_FIN | ip.TCP_RST


def _reset_progress(is_reply: bool, state: int) -> target_choice.Progress:
    """Returns the progress that a reset stands for."""
    if not is_reply:
        return target_choice.Progress.CLOSED
    if state & table_lib.ESTABLISHED:
        return target_choice.Progress.RESET_BY_TARGET
    return target_choice.Progress.REFUSED_BY_TARGET
