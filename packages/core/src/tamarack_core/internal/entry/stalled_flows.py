"""Detection and reset of stalled flows.

A device between caller and target may lose the state of a flow: the caller
keeps sending payload, no reply of any kind comes back, and other flows to the
same target proceed. A host that sees a caller retransmit the same payload for
`STALL_TIMEOUT_S` queries all other hosts of the failure domain for a reply. If
none has seen one, and a second query at a later retransmission finds none
either, both ends get a reset, so that the caller reconnects. The second query
spares the flows of a target that was cut off and has just come back: their
retransmission gets a reply between the two queries.
"""

import dataclasses

from tamarack_core import effects
from tamarack_core import events
from tamarack_core.internal.entry import entry_hosts as hosts_lib
from tamarack_core.internal.entry import flow_records as records_lib
from tamarack_core.internal.entry import flow_rejection
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import packet_router
from tamarack_core.internal.entry import transit_packet as transit_lib
from tamarack_core.internal.flows import table as table_lib
from tamarack_core.messages import flows
from tamarack_core.packets import ip
from tamarack_core.packets import reset

# A payload that is still retransmitted after this time exceeds the usual packet
# loss of a link.
STALL_TIMEOUT_S = 8.0
# The target must have sent packets of other flows at least this long after the
# payload without a reply; otherwise the target itself may have been cut off.
TARGET_ACTIVITY_S = 4.0
# Minimum time between two queries about a flow. The second one is sent at the
# next retransmission after it.
QUERY_INTERVAL_S = 4.0
# A query after this time counts as the first one about the flow again.
FIRST_QUERY_LIFETIME_S = 120.0
MAX_SUSPICIONS = 1_000


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A flow that may be stalled.

    Attributes:
        queried_s: Monotonic time at which the other hosts were queried.
        waiting: Names of the hosts that have not responded.
        is_target_heard: Whether a host has seen packets of the target on
            other flows.
        packet: The retransmitted packet of the caller.
        port: Service port of the flow.
    """

    queried_s: float
    waiting: set[str]
    is_target_heard: bool
    packet: ip.Packet
    port: lookup.ServicePort


class StalledFlowDetector:
    """Detects and resets stalled flows that pass through this host.

    Attributes:
        entry_hosts: The other entry hosts.
        records: Flow records of this host.
        rejector: Sends resets to callers.
        router: Routes the reset for the target to the owner of the flow.
        target_seen_s: Monotonic time of the last packet of each target, by
            packed address.
        suspicions: Suspected flows by key.
        first_query_s: Monotonic time of the first query about a flow, by key.
    """

    __slots__ = (
        "entry_hosts",
        "first_query_s",
        "records",
        "rejector",
        "router",
        "suspicions",
        "target_seen_s",
    )

    def __init__(
        self,
        entry_hosts: hosts_lib.EntryHosts,
        records: records_lib.FlowRecords,
        rejector: flow_rejection.FlowRejector,
        router: packet_router.PacketRouter,
    ) -> None:
        """Initializes the detector.

        Args:
            entry_hosts: The other entry hosts.
            records: Flow records of this host.
            rejector: Sends resets to callers.
            router: Routes the reset for the target to the owner.
        """
        self.entry_hosts = entry_hosts
        self.records = records
        self.rejector = rejector
        self.router = router
        self.target_seen_s: dict[bytes, float] = {}
        self.suspicions: dict[bytes, Suspicion] = {}
        self.first_query_s: dict[bytes, float] = {}

    def observe_reply(self, now_s: float, key: bytes, target: bytes) -> None:
        """Handles a packet of a target.

        Args:
            now_s: Monotonic time in seconds.
            key: Flow key.
            target: Packed address of the target.
        """
        self.target_seen_s[target] = now_s
        if self.first_query_s:
            self.first_query_s.pop(key, None)
        slot = self.records.table.slots.get(key)
        if slot is not None:
            self.records.table.replied_s[slot] = int(now_s)

    def observe_payload(
        self,
        now_s: float,
        packet: ip.Packet,
        port: lookup.ServicePort,
        key: bytes,
    ) -> list[effects.Effect]:
        """Handles payload of a caller; queries other hosts if it is repeated.

        A retransmission counts only `STALL_TIMEOUT_S` after the first packet.

        Args:
            now_s: Monotonic time in seconds.
            packet: A TCP packet with payload, inbound.
            port: Service port of the flow.
            key: Flow key.
        """
        table = self.records.table
        slot = table.slots.get(key)
        if slot is None:
            return []
        if packet.sequence != table.payload_sequence[slot]:
            table.payload_sequence[slot] = packet.sequence
            table.unanswered_since_s[slot] = int(now_s)
            return []
        if now_s - table.unanswered_since_s[slot] < STALL_TIMEOUT_S:
            return []
        return self._suspect(now_s, packet, port, key, slot)

    def handle_query(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Responds whether this host has seen a reply on a flow."""
        message = event.message
        assert isinstance(message, flows.StalledFlowQuery)
        since_s = event.now_s - message.age_s
        table = self.records.table
        slot = table.slots.get(message.key)
        has_reply = slot is not None and table.replied_s[slot] >= int(since_s)
        is_active = self._is_target_active(event.now_s, message.target, since_s)
        if slot is not None and not has_reply:
            # The next retransmission may pass through this host.
            table.payload_sequence[slot] = message.sequence
            table.unanswered_since_s[slot] = max(0, int(since_s))
            if is_active:
                self._record_first_query(event.now_s, message.key)
        response = flows.StalledFlowResponse(message.key, has_reply, is_active)
        return [effects.SendMessage(event.sender, response)]

    def handle_response(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Handles a response; resets the flow if no host has seen a reply."""
        message = event.message
        assert isinstance(message, flows.StalledFlowResponse)
        suspicion = self.suspicions.get(message.key)
        if suspicion is None:
            return []
        if message.has_reply:
            self._clear(event.now_s, message.key)
            return []
        suspicion.waiting.discard(event.sender.host)
        suspicion.is_target_heard |= message.is_target_heard
        return self._evaluate(event.now_s, message.key, suspicion)

    def _suspect(
        self,
        now_s: float,
        packet: ip.Packet,
        port: lookup.ServicePort,
        key: bytes,
        slot: int,
    ) -> list[effects.Effect]:
        """Queries all other hosts about a flow, unless queried recently."""
        table = self.records.table
        if table.flags[slot] & table_lib.CLOSED:
            return []
        # During the grace period an unreachable host may see the replies.
        if not self.entry_hosts.is_grace_period_over(now_s):
            return []
        if table.replied_s[slot] >= table.unanswered_since_s[slot]:
            table.unanswered_since_s[slot] = int(now_s)
            return []
        earlier = self.suspicions.get(key)
        if earlier is not None and now_s - earlier.queried_s < QUERY_INTERVAL_S:
            return []
        if earlier is None and len(self.suspicions) >= MAX_SUSPICIONS:
            self._expire(now_s)
            return []
        target = table.target_of(slot)
        others = self.entry_hosts.membership.other_members()
        suspicion = Suspicion(
            queried_s=now_s,
            waiting={peer.host for peer in others},
            is_target_heard=self._is_target_active(
                now_s, target, table.unanswered_since_s[slot]
            ),
            packet=packet,
            port=port,
        )
        self.suspicions[key] = suspicion
        age_s = now_s - table.unanswered_since_s[slot]
        query = flows.StalledFlowQuery(key, target, age_s, packet.sequence)
        if not others:
            return self._evaluate(now_s, key, suspicion)
        return [effects.SendMessage(peer, query) for peer in others]

    def _evaluate(
        self, now_s: float, key: bytes, suspicion: Suspicion
    ) -> list[effects.Effect]:
        """Resets a flow after two queries to which no host reported a reply.

        If no other flow of the target proceeds, the target may be cut off
        temporarily, so the flow is left to the retransmissions of TCP.
        """
        if suspicion.waiting:
            return []
        if not suspicion.is_target_heard:
            self._clear(now_s, key)
            return []
        del self.suspicions[key]
        first_s = self._record_first_query(now_s, key)
        if now_s - first_s < QUERY_INTERVAL_S:
            return []
        del self.first_query_s[key]
        transit = transit_lib.TransitPacket(
            now_s,
            suspicion.packet,
            transit_lib.Addressing.INBOUND,
            suspicion.port,
            key,
            0,
        )
        result = self.rejector.reset_open(transit, "silent-flow")
        result.extend(self.router.handle(_caller_reset(transit)))
        return result

    def _record_first_query(self, now_s: float, key: bytes) -> float:
        """Returns the time of the first query about a flow; now if new."""
        first_s = self.first_query_s.get(key)
        if first_s is None or now_s - first_s > FIRST_QUERY_LIFETIME_S:
            if len(self.first_query_s) >= MAX_SUSPICIONS:
                self._expire(now_s)
            self.first_query_s[key] = first_s = now_s
        return first_s

    def _clear(self, now_s: float, key: bytes) -> None:
        """Clears a suspicion; the flow counts as replied to now."""
        self.suspicions.pop(key, None)
        self.first_query_s.pop(key, None)
        table = self.records.table
        slot = table.slots.get(key)
        if slot is not None:
            table.unanswered_since_s[slot] = int(now_s)

    def _is_target_active(
        self, now_s: float, target: bytes, since_s: float
    ) -> bool:
        """Returns whether other flows of a target proceed.

        Args:
            now_s: Monotonic time in seconds.
            target: Packed address of the target.
            since_s: Monotonic time since which the flow has had no reply.
        """
        target_seen_s = self.target_seen_s.get(target)
        if target_seen_s is None or now_s - target_seen_s > STALL_TIMEOUT_S:
            return False
        return target_seen_s - since_s >= TARGET_ACTIVITY_S

    def _expire(self, now_s: float) -> None:
        """Removes old suspicions and query times, to bound the memory.

        If too many query times are recent, all of them are removed.
        """
        old = [
            key
            for key, suspicion in self.suspicions.items()
            if now_s - suspicion.queried_s >= QUERY_INTERVAL_S
        ]
        for key in old:
            del self.suspicions[key]
        fresh = {
            key: first_s
            for key, first_s in self.first_query_s.items()
            if now_s - first_s <= FIRST_QUERY_LIFETIME_S
        }
        self.first_query_s = {} if len(fresh) >= MAX_SUSPICIONS else fresh


def _caller_reset(
    transit: transit_lib.TransitPacket,
) -> transit_lib.TransitPacket:
    """Returns the reset that the caller would send to its target."""
    packet = transit.packet
    built = ip.parse(
        reset.build(
            packet.source,
            packet.source_port,
            packet.destination,
            packet.destination_port,
            packet.sequence,
            packet.acknowledgment,
            ip.TCP_RST | ip.TCP_ACK,
        )
    )
    assert isinstance(built, ip.Packet)
    return dataclasses.replace(transit, packet=built)
