"""Finds flows that have gone silent, and resets them.

Something between the two ends may lose track of a flow: its payload goes on
being sent, no reply of any kind comes back, and other flows to the same target
proceed. A host that sees a caller repeat the same payload for `SILENCE_S` asks
all other hosts of the failure domain whether they have seen a reply. If none
has, and none has by the next repetition either, both ends get a reset, so that
the caller connects anew. The second question spares the flows of a target that
was cut off and has just come back: their repetition is answered in between.
"""

import dataclasses

from tamarack_core import effects
from tamarack_core import events
from tamarack_core.internal.entry import entry_hosts as domain_lib
from tamarack_core.internal.entry import flow_records as records_lib
from tamarack_core.internal.entry import flow_rejection
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import packet_router
from tamarack_core.internal.entry import transit_packet as passage_lib
from tamarack_core.internal.flows import table as table_lib
from tamarack_core.messages import flows
from tamarack_core.packets import ip
from tamarack_core.packets import reset

# A repetition this late is beyond the usual losses of a link.
SILENCE_S = 8.0
# Other flows of the target must have gone on for this long beside the payload
# without a reply; else the target itself may have been cut off.
PROCEED_S = 4.0
# Unanswered questions are asked again at the next repetition after this time.
ASK_AGAIN_S = 4.0
# A flow asked about longer ago is asked about anew.
NOTED_S = 120.0
MAX_SUSPICIONS = 1_000


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A flow that may have gone silent.

    Attributes:
        asked_s: Monotonic time at which the other hosts were asked.
        waiting: Names of the hosts that have not answered.
        is_target_heard: Whether a host has heard the target on other flows.
        packet: The repeated packet of the caller.
        port: Service port of the flow.
    """

    asked_s: float
    waiting: set[str]
    is_target_heard: bool
    packet: ip.Packet
    port: lookup.ServicePort


class StalledFlowDetector:
    """Watches the flows that pass through this host.

    Attributes:
        entry_hosts: The other entry hosts.
        records: The flow table.
        refusing: Resets to callers.
        router: Carries the reset of a target to the owner of the flow.
        heard_s: Monotonic time of the last packet of each target.
        suspicions: Suspected flows by key.
        noted_s: Monotonic time of the first question about a flow, by key.
    """

    __slots__ = (
        "entry_hosts",
        "heard_s",
        "noted_s",
        "records",
        "refusing",
        "router",
        "suspicions",
    )

    def __init__(
        self,
        entry_hosts: domain_lib.EntryHosts,
        records: records_lib.FlowRecords,
        refusals: flow_rejection.FlowRejector,
        steering_of_host: packet_router.PacketRouter,
    ) -> None:
        """Creates the watch of a host that has seen no packet.

        Args:
            entry_hosts: The other entry hosts.
            records: The flow table.
            refusals: Resets to callers.
            steering_of_host: Carries the reset of a target to the owner.
        """
        self.entry_hosts = entry_hosts
        self.records = records
        self.refusing = refusals
        self.router = steering_of_host
        self.heard_s: dict[bytes, float] = {}
        self.suspicions: dict[bytes, Suspicion] = {}
        self.noted_s: dict[bytes, float] = {}

    def note_reply(self, now_s: float, key: bytes, target: bytes) -> None:
        """Takes note of a packet of a target.

        Args:
            now_s: Monotonic time in seconds.
            key: Flow key.
            target: Packed address of the target.
        """
        self.heard_s[target] = now_s
        if self.noted_s:
            self.noted_s.pop(key, None)
        slot = self.records.table.slots.get(key)
        if slot is not None:
            self.records.table.replied_s[slot] = int(now_s)

    def note_payload(
        self,
        now_s: float,
        packet: ip.Packet,
        port: lookup.ServicePort,
        key: bytes,
    ) -> list[effects.Effect]:
        """Takes note of payload of a caller; asks if it is repeated late.

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
        if packet.sequence != table.repeated[slot]:
            table.repeated[slot] = packet.sequence
            table.unanswered_s[slot] = int(now_s)
            return []
        if now_s - table.unanswered_s[slot] < SILENCE_S:
            return []
        return self._suspect(now_s, packet, port, key, slot)

    def handle_question(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Answers whether this host has seen a reply on a flow."""
        message = event.message
        assert isinstance(message, flows.StalledFlowQuery)
        since_s = event.now_s - message.age_s
        table = self.records.table
        slot = table.slots.get(message.key)
        has_reply = slot is not None and table.replied_s[slot] >= int(since_s)
        is_heard = self._is_heard(event.now_s, message.target, since_s)
        if slot is not None and not has_reply:
            # The next repetition may come through this host.
            table.repeated[slot] = message.sequence
            table.unanswered_s[slot] = max(0, int(since_s))
            if is_heard:
                self._note(event.now_s, message.key)
        answer = flows.StalledFlowResponse(message.key, has_reply, is_heard)
        return [effects.SendMessage(event.sender, answer)]

    def handle_answer(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Takes in an answer; resets the flow if no host has seen a reply."""
        message = event.message
        assert isinstance(message, flows.StalledFlowResponse)
        suspicion = self.suspicions.get(message.key)
        if suspicion is None:
            return []
        if message.has_reply:
            self._acquit(event.now_s, message.key)
            return []
        suspicion.waiting.discard(event.sender.host)
        suspicion.is_target_heard |= message.is_target_heard
        return self._conclude(event.now_s, message.key, suspicion)

    def _suspect(
        self,
        now_s: float,
        packet: ip.Packet,
        port: lookup.ServicePort,
        key: bytes,
        slot: int,
    ) -> list[effects.Effect]:
        """Asks all other hosts about a flow, unless just asked."""
        table = self.records.table
        if table.flags[slot] & table_lib.CLOSED:
            return []
        # A host that can't be reached may see the replies of the flow.
        if not self.entry_hosts.is_settled(now_s):
            return []
        if table.replied_s[slot] >= table.unanswered_s[slot]:
            table.unanswered_s[slot] = int(now_s)
            return []
        earlier = self.suspicions.get(key)
        if earlier is not None and now_s - earlier.asked_s < ASK_AGAIN_S:
            return []
        if earlier is None and len(self.suspicions) >= MAX_SUSPICIONS:
            self._forget_old(now_s)
            return []
        target = table.target_of(slot)
        others = self.entry_hosts.membership.other_members()
        suspicion = Suspicion(
            asked_s=now_s,
            waiting={peer.host for peer in others},
            is_target_heard=self._is_heard(
                now_s, target, table.unanswered_s[slot]
            ),
            packet=packet,
            port=port,
        )
        self.suspicions[key] = suspicion
        age_s = now_s - table.unanswered_s[slot]
        question = flows.StalledFlowQuery(key, target, age_s, packet.sequence)
        if not others:
            return self._conclude(now_s, key, suspicion)
        return [effects.SendMessage(peer, question) for peer in others]

    def _conclude(
        self, now_s: float, key: bytes, suspicion: Suspicion
    ) -> list[effects.Effect]:
        """Resets a flow once every host has answered without a reply.

        If no flow to the target proceeds, the target may be cut off and come
        back, so TCP is left to ride it out.
        """
        if suspicion.waiting:
            return []
        if not suspicion.is_target_heard:
            self._acquit(now_s, key)
            return []
        del self.suspicions[key]
        first_s = self._note(now_s, key)
        if now_s - first_s < ASK_AGAIN_S:
            return []
        del self.noted_s[key]
        passage = passage_lib.TransitPacket(
            now_s,
            suspicion.packet,
            passage_lib.Form.INBOUND,
            suspicion.port,
            key,
            0,
        )
        found = self.refusing.reset_open(passage, "silent-flow")
        found.extend(self.router.handle(_reset_of_caller(passage)))
        return found

    def _note(self, now_s: float, key: bytes) -> float:
        """Returns the time of the first question about a flow; notes it."""
        first_s = self.noted_s.get(key)
        if first_s is None or now_s - first_s > NOTED_S:
            if len(self.noted_s) >= MAX_SUSPICIONS:
                self._forget_old(now_s)
            self.noted_s[key] = first_s = now_s
        return first_s

    def _acquit(self, now_s: float, key: bytes) -> None:
        """Drops a suspicion."""
        self.suspicions.pop(key, None)
        self.noted_s.pop(key, None)
        table = self.records.table
        slot = table.slots.get(key)
        if slot is not None:
            table.unanswered_s[slot] = int(now_s)

    def _is_heard(self, now_s: float, target: bytes, since_s: float) -> bool:
        """Returns whether other flows of a target have proceeded.

        Args:
            now_s: Monotonic time in seconds.
            target: Packed address of the target.
            since_s: Monotonic time since which a flow has had no reply.
        """
        heard_s = self.heard_s.get(target)
        if heard_s is None or now_s - heard_s > SILENCE_S:
            return False
        return heard_s - since_s >= PROCEED_S

    def _forget_old(self, now_s: float) -> None:
        """Drops what is no longer of use; bounds the memory."""
        old = [
            key
            for key, suspicion in self.suspicions.items()
            if now_s - suspicion.asked_s >= ASK_AGAIN_S
        ]
        for key in old:
            del self.suspicions[key]
        fresh = {
            key: first_s
            for key, first_s in self.noted_s.items()
            if now_s - first_s <= NOTED_S
        }
        self.noted_s = {} if len(fresh) >= MAX_SUSPICIONS else fresh


def _reset_of_caller(
    passage: passage_lib.TransitPacket,
) -> passage_lib.TransitPacket:
    """Returns the reset that the caller would send to its target."""
    packet = passage.packet
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
    return dataclasses.replace(passage, packet=built)
