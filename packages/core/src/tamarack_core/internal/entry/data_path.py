"""Data path: carries packets between callers and targets."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import failure
from tamarack_core import reducer
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.entry import entry_hosts as domain_lib
from tamarack_core.internal.entry import flow_maintenance
from tamarack_core.internal.entry import flow_owner
from tamarack_core.internal.entry import flow_queries
from tamarack_core.internal.entry import flow_records
from tamarack_core.internal.entry import flow_rejection
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import packet_router
from tamarack_core.internal.entry import stalled_flows
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.entry import transit_packet as passage_lib
from tamarack_core.internal.membership import host_membership
from tamarack_core.messages import flows
from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tamarack_core.packets import rewrite

_CAREFUL = ip.TCP_SYN | ip.TCP_FIN | ip.TCP_RST


class DataPath:
    """Part that handles datagrams of the fabric and of other hosts.

    Attributes:
        context: Identity, chance, time and counters.
        config_store: Configuration in force.
        records: The flow table.
        refusing: Drops and resets.
        silence: Finds flows that have gone silent.
        router: Handles what the fast path does not.
        upkeep: Expires, takes over and repairs flows.
    """

    __slots__ = (
        "config_store",
        "context",
        "records",
        "refusing",
        "router",
        "silence",
        "upkeep",
    )

    def __init__(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        chooser: target_choice.Chooser,
        membership_of_host: host_membership.HostMembership,
    ) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            config_store: Configuration in force.
            chooser: Chooses the target of a new flow.
            membership_of_host: Membership of this host.
        """
        self.context = context
        self.config_store = config_store
        self.records = flow_records.FlowRecords(context, chooser)
        self.refusing = flow_rejection.FlowRejector(context)
        entry_hosts = domain_lib.EntryHosts(context, membership_of_host)
        questions = flow_queries.FlowQueries(context, membership_of_host)
        self.router = packet_router.PacketRouter(
            entry_hosts,
            self.records,
            flow_owner.FlowOwner(
                entry_hosts, self.records, questions, self.refusing
            ),
            self.refusing,
        )
        self.silence = stalled_flows.StalledFlowDetector(
            entry_hosts, self.records, self.refusing, self.router
        )
        self.upkeep = flow_maintenance.FlowMaintenance(
            entry_hosts, self.records, questions, config_store
        )

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {
            events.DatagramArrived: self.handle_datagram,
            events.Started: self.upkeep.handle_started,
            flow_maintenance.TIMER: self.upkeep.handle_timer,
            flows.FlowCopies: self.upkeep.handle_copies,
            flows.FlowQuery: self.upkeep.handle_query,
            flows.FlowResponse: self.upkeep.handle_answer,
            flows.StalledFlowQuery: self.silence.handle_question,
            flows.StalledFlowResponse: self.silence.handle_answer,
        }

    def handle_datagram(
        self, event: events.DatagramArrived
    ) -> list[effects.Effect]:
        """Rewrites a packet and sends it on, or counts why it is dropped."""
        datagram = geneve.decapsulate(event.data)
        if isinstance(datagram, failure.Failure):
            return self.refusing.drop(datagram.reason)
        packet = ip.parse(datagram.packet)
        if isinstance(packet, failure.Failure):
            return self.refusing.drop(packet.reason)
        tables = self.config_store.lookup
        now_s = event.now_s
        word = datagram.hops
        port = tables.find_inbound(packet)
        if port is not None:
            key = lookup.flow_key(packet)
            asked = self._note_payload(now_s, packet, port, key)
            if asked:
                form = passage_lib.Form.INBOUND
                sent = self._steer(now_s, packet, form, port, key, word)
                return [*asked, *sent]
            if not word and not packet.flags & _CAREFUL:
                sent = self._carry_in(now_s, packet, port, key)
                if sent:
                    return sent
            form = passage_lib.Form.INBOUND
            return self._steer(now_s, packet, form, port, key, word)
        port = tables.find_outbound(packet)
        if port is not None:
            key = lookup.reply_key(packet, port)
            self.silence.note_reply(now_s, key, packet.source)
            if not word and not packet.flags & _CAREFUL:
                sent = self._carry_out(now_s, packet, port, key)
                if sent:
                    return sent
            form = passage_lib.Form.OUTBOUND
            return self._steer(now_s, packet, form, port, key, word)
        return self._carry_inside(now_s, packet, word)

    def _note_payload(
        self,
        now_s: float,
        packet: ip.Packet,
        port: lookup.ServicePort,
        key: bytes,
    ) -> list[effects.Effect]:
        """Watches the payload of a caller for late repetitions."""
        if packet.payload == len(packet.data) or not packet.flags & ip.TCP_ACK:
            return []
        return self.silence.note_payload(now_s, packet, port, key)

    def _carry_in(
        self,
        now_s: float,
        packet: ip.Packet,
        port: lookup.ServicePort,
        key: bytes,
    ) -> list[effects.Effect]:
        """Sends a caller's packet to its target, if that is certain."""
        table = self.records.table
        slot = table.slots.get(key)
        if slot is None or now_s >= table.due_s[slot]:
            return []
        table.seen_s[slot] = int(now_s)
        rewritten = rewrite.destination(
            packet, table.targets[table.target[slot]], port.target_port
        )
        return [effects.SendDatagram(None, geneve.encapsulate(rewritten))]

    def _carry_out(
        self,
        now_s: float,
        packet: ip.Packet,
        port: lookup.ServicePort,
        key: bytes,
    ) -> list[effects.Effect]:
        """Sends a target's packet to its caller, if that is certain."""
        table = self.records.table
        slot = table.slots.get(key)
        if (
            slot is None
            or now_s >= table.due_s[slot]
            or table.targets[table.target[slot]] != packet.source
        ):
            return []
        table.seen_s[slot] = int(now_s)
        rewritten = rewrite.source(packet, port.address, port.port)
        return [effects.SendDatagram(None, geneve.encapsulate(rewritten))]

    def _carry_inside(
        self, now_s: float, packet: ip.Packet, word: int
    ) -> list[effects.Effect]:
        """Carries a packet that another host has rewritten."""
        port = self.config_store.lookup.find_inside(packet) if word else None
        if port is None:
            return self.refusing.drop("no-service")
        key = lookup.inside_key(packet, port)
        form = passage_lib.Form.INSIDE
        return self._steer(now_s, packet, form, port, key, word)

    def _steer(
        self,
        now_s: float,
        packet: ip.Packet,
        form: passage_lib.Form,
        port: lookup.ServicePort,
        key: bytes,
        word: int,
    ) -> list[effects.Effect]:
        """Carries a packet that needs care."""
        return self.router.handle(
            passage_lib.TransitPacket(now_s, packet, form, port, key, word)
        )
