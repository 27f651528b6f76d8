"""Decides which host serves a packet, and learns from packets handed over."""

from tamarack_core import effects
from tamarack_core import peers
from tamarack_core.internal.entry import entry_hosts as domain_lib
from tamarack_core.internal.entry import flow_owner as owner_lib
from tamarack_core.internal.entry import flow_records as records_lib
from tamarack_core.internal.entry import flow_rejection
from tamarack_core.internal.entry import transit_packet as passage_lib
from tamarack_core.internal.flows import hop_option
from tamarack_core.internal.flows import table as table_lib
from tamarack_core.packets import ip

_CAREFUL = ip.TCP_SYN | ip.TCP_FIN | ip.TCP_RST


class PacketRouter:
    """Handles all packets that the fast path does not.

    Attributes:
        entry_hosts: The other entry hosts.
        records: The flow table.
        owner: Decisions about the flows that this host owns.
        refusing: Drops and resets.
    """

    __slots__ = ("entry_hosts", "owner", "records", "refusing")

    def __init__(
        self,
        entry_hosts: domain_lib.EntryHosts,
        records: records_lib.FlowRecords,
        owner: owner_lib.FlowOwner,
        refusals: flow_rejection.FlowRejector,
    ) -> None:
        """Creates the steering of a host.

        Args:
            entry_hosts: The other entry hosts.
            records: The flow table.
            owner: Decisions about the flows that this host owns.
            refusals: Drops and resets.
        """
        self.entry_hosts = entry_hosts
        self.records = records
        self.owner = owner
        self.refusing = refusals

    def handle(
        self, passage: passage_lib.TransitPacket
    ) -> list[effects.Effect]:
        """Carries a packet.

        Args:
            passage: The packet.
        """
        self.entry_hosts.refresh(passage.now_s)
        if not self.entry_hosts.membership.is_ready(passage.now_s):
            return self.refusing.drop("joining")
        if not passage.word:
            return self._steer(passage, 1, 0)
        count = hop_option.count_of(passage.word)
        tag = hop_option.tag_of(passage.word)
        match hop_option.kind_of(passage.word):
            case hop_option.Kind.HANDOVER:
                return self._steer(passage, count + 1, tag)
            case hop_option.Kind.RETURN:
                return self._take_return(passage)
            case hop_option.Kind.COPY | hop_option.Kind.CLOSED as kind:
                return self._take_copy(passage, kind, count, tag)
            case hop_option.Kind.ASK:
                return self._answer(passage, count, tag)
            case hop_option.Kind.UNKNOWN:
                return self._ask_next(passage, count)
        return self.refusing.drop("unknown-hop-kind")

    def _steer(
        self, passage: passage_lib.TransitPacket, count: int, tag: int
    ) -> list[effects.Effect]:
        """Serves a packet as the owner or hands it to the owner.

        Args:
            passage: The packet, inbound or outbound.
            count: Number of hosts visited, this one included.
            tag: Tag of the first host that handed it over; 0 for none.
        """
        order = self.entry_hosts.order(passage.port, passage.key)
        if not order or self.entry_hosts.is_self(order[0]):
            return self.owner.serve(passage, tag)
        if count > hop_option.MAX_COUNT:
            return self.refusing.drop("hop-limit")
        if not tag:
            self._prepare_handover(passage)
            tag = self.entry_hosts.tag
        word = hop_option.pack(hop_option.Kind.HANDOVER, count, tag)
        return self.entry_hosts.hand_word(order[0], passage.packet.data, word)

    def _prepare_handover(self, passage: passage_lib.TransitPacket) -> None:
        """Decides whether this host's copy serves the packets after this."""
        table = self.records.table
        slot = table.slots.get(passage.key)
        if slot is None:
            return
        if passage.packet.flags & _CAREFUL:
            # The flow begins or ends, so the copy may soon be wrong.
            table.valid_s[slot] = 0.0
            table.due_s[slot] = 0.0
            return
        age_s = passage.now_s - table.valid_s[slot]
        is_usable = age_s < records_lib.COPY_LIFETIME_S
        if is_usable and not table.flags[slot] & table_lib.CLOSED:
            table.due_s[slot] = passage.now_s + records_lib.RETRY_S

    def _take_return(
        self, passage: passage_lib.TransitPacket
    ) -> list[effects.Effect]:
        """Learns from a packet that the owner or an asked host hands back."""
        target = passage.target()
        slot = self.records.learn(passage.now_s, passage.key, target)
        order = self.entry_hosts.order(passage.port, passage.key)
        if slot is not None and order and self.entry_hosts.is_self(order[0]):
            self.records.take_over(passage.now_s, slot, passage.port)
        return [effects.SendDatagram(None, passage.for_fabric(target))]

    def _take_copy(
        self,
        passage: passage_lib.TransitPacket,
        kind: hop_option.Kind,
        count: int,
        wanted: int,
    ) -> list[effects.Effect]:
        """Holds a flow as a backup and passes the packet on."""
        target = passage.target()
        if self._is_conflict(passage, target):
            return self.refusing.drop("conflicting-answer")
        slot = self._store_copy(passage, target)
        table = self.records.table
        if slot is not None and kind is hop_option.Kind.CLOSED:
            table.flags[slot] |= table_lib.CLOSED
            table.due_s[slot] = passage.now_s
        following = self._next_backup(passage, count, wanted)
        if following is None:
            return [effects.SendDatagram(None, passage.for_fabric(target))]
        word = hop_option.pack(kind, count + 1, wanted)
        return self.entry_hosts.hand_word(following, passage.packet.data, word)

    def _store_copy(
        self, passage: passage_lib.TransitPacket, target: bytes
    ) -> int | None:
        """Stores a flow as a backup; returns its slot."""
        table = self.records.table
        slot = table.slots.get(passage.key)
        if slot is not None and passage.is_acceptance():
            self._retarget(passage, slot, target)
        slot = self.records.learn(passage.now_s, passage.key, target)
        if slot is None:
            return None
        table.flags[slot] |= table_lib.BACKUP
        if passage.is_acceptance():
            table.initial[slot] = passage.acknowledged()
            table.opened_s[slot] = passage.now_s
        return slot

    def _retarget(
        self, passage: passage_lib.TransitPacket, slot: int, target: bytes
    ) -> None:
        """Prepares a record for a new flow with the same key."""
        table = self.records.table
        if table.target_of(slot) != target:
            self.records.release(passage.now_s, slot, passage.port)
            table.set_target(slot, target)
        kept = table.flags[slot] & table_lib.OWNED
        table.flags[slot] = kept | table_lib.ESTABLISHED

    def _is_conflict(
        self, passage: passage_lib.TransitPacket, target: bytes
    ) -> bool:
        """Returns whether another target has accepted the same opening.

        Two hosts may hold themselves to be the owner for a moment and choose
        two targets. The first answer that a common backup sees counts.
        """
        table = self.records.table
        slot = table.slots.get(passage.key)
        if slot is None or not passage.is_acceptance():
            return False
        open_flags = table_lib.ESTABLISHED | table_lib.CLOSED
        return (
            table.flags[slot] & open_flags == table_lib.ESTABLISHED
            and table.initial[slot] == passage.acknowledged()
            and table.target_of(slot) != target
        )

    def _next_backup(
        self, passage: passage_lib.TransitPacket, count: int, wanted: int
    ) -> peers.Peer | None:
        """Returns the backup after this host; None at the end."""
        if count >= wanted:
            return None
        others = [
            peer
            for peer in self.entry_hosts.order(passage.port, passage.key)[1:]
            if not self.entry_hosts.is_self(peer)
        ]
        return others[-1] if others else None

    def _answer(
        self, passage: passage_lib.TransitPacket, count: int, tag: int
    ) -> list[effects.Effect]:
        """Serves a packet for an owner that does not know its flow."""
        if tag not in self.entry_hosts.endpoints:
            return self.refusing.drop("unknown-host")
        table = self.records.table
        slot = self.records.find(passage.now_s, passage.key)
        if (
            slot is not None
            and passage.is_opening()
            and not self.records.is_recent(passage.now_s, slot)
        ):
            slot = None
        if slot is None:
            return self.entry_hosts.hand_back(
                tag, passage.packet.data, hop_option.Kind.UNKNOWN, count
            )
        packet = passage.for_host(table.target_of(slot))
        return self.entry_hosts.hand_back(
            tag, packet, hop_option.Kind.RETURN, 2
        )

    def _ask_next(
        self, passage: passage_lib.TransitPacket, count: int
    ) -> list[effects.Effect]:
        """Asks the next backup, or gives up on the backups."""
        order = self.entry_hosts.order(passage.port, passage.key)
        if not order or not self.entry_hosts.is_self(order[0]):
            return self._steer(passage, count + 1, 0)
        if count + 1 < len(order):
            return self.entry_hosts.hand(
                order[count + 1],
                passage.packet.data,
                hop_option.Kind.ASK,
                count + 1,
            )
        return self.owner.serve_unknown(passage)
