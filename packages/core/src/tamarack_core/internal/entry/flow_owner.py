"""Decisions about the flows that this host owns."""

from tamarack_core import effects
from tamarack_core import peers
from tamarack_core import verdict as verdict_lib
from tamarack_core.internal.entry import entry_hosts as domain_lib
from tamarack_core.internal.entry import flow_queries
from tamarack_core.internal.entry import flow_records as records_lib
from tamarack_core.internal.entry import flow_rejection
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.entry import transit_packet as passage_lib
from tamarack_core.internal.flows import hop_option
from tamarack_core.internal.flows import ownership
from tamarack_core.internal.flows import placement
from tamarack_core.internal.flows import table as table_lib
from tamarack_core.packets import ip

# An opening without an answer is tried on another target after this time.
REOPEN_S = 2.5
# From this packet on, a host that hands over packets of a flow gets them
# back and learns. Most short flows end before.
RETURN_AFTER_PACKETS = 4

_SEQUENCE_MASK = 0xFFFFFFFF
_COUNT_LIMIT = 255


class FlowOwner:
    """Serves packets of the flows that this host owns.

    Attributes:
        entry_hosts: The other entry hosts.
        records: The flow table.
        asking: Questions about flows that this host does not know.
        refusing: Resets to callers.
    """

    __slots__ = ("asking", "entry_hosts", "records", "refusing")

    def __init__(
        self,
        entry_hosts: domain_lib.EntryHosts,
        records: records_lib.FlowRecords,
        questions: flow_queries.FlowQueries,
        refusals: flow_rejection.FlowRejector,
    ) -> None:
        """Creates the owner side of the data path.

        Args:
            entry_hosts: The other entry hosts.
            records: The flow table.
            questions: Questions about flows that this host does not know.
            refusals: Resets to callers.
        """
        self.entry_hosts = entry_hosts
        self.records = records
        self.asking = questions
        self.refusing = refusals

    def serve(
        self, passage: passage_lib.TransitPacket, tag: int
    ) -> list[effects.Effect]:
        """Carries a packet of a flow that this host owns.

        Args:
            passage: The packet, inbound or outbound.
            tag: Tag of the host that handed it over; 0 from the fabric.
        """
        slot = self.records.find(passage.now_s, passage.key)
        if passage.is_tcp() and passage.is_opening():
            return self._open(passage, slot)
        if slot is None:
            return self._miss(passage)
        if self._is_late(passage, slot):
            return self.refusing.drop("late-answer")
        self.records.take_over(passage.now_s, slot, passage.port)
        is_over = self._advance(passage, slot)
        return self._route(passage, slot, tag, is_over)

    def serve_unknown(
        self, passage: passage_lib.TransitPacket
    ) -> list[effects.Effect]:
        """Carries a packet whose flow no backup knows.

        Args:
            passage: The packet, inbound.
        """
        slot = self.records.find(passage.now_s, passage.key)
        if slot is not None:
            return self.serve(passage, 0)
        if not passage.is_tcp() or passage.is_opening():
            return self._choose(passage, b"")
        if self.asking.is_exhausted(passage):
            if not self.entry_hosts.is_settled(passage.now_s):
                return self.refusing.drop("unknown-flow-unsettled")
            return self.refusing.reset_open(passage, "unknown-flow")
        return self.asking.ask(passage)

    def _open(
        self, passage: passage_lib.TransitPacket, slot: int | None
    ) -> list[effects.Effect]:
        """Handles a SYN."""
        if (
            passage.packet.payload_bytes
            and not passage.port.settings.idempotent
        ):
            return self.refusing.drop("syn-payload")
        if slot is None:
            return self._open_unknown(passage)
        table = self.records.table
        flags = table.flags[slot]
        if flags & table_lib.CLOSED:
            return self._choose(passage, self._preferred(passage, slot))
        if not flags & table_lib.ESTABLISHED:
            if passage.now_s - table.opened_s[slot] >= REOPEN_S:
                return self._reopen(passage, slot)
        elif self._is_idle(passage, slot):
            return self._reopen(passage, slot)
        # A target that still holds the old connection answers the new one
        # itself (RFC 9293, section 3.10.7.4).
        self.records.take_over(passage.now_s, slot, passage.port)
        table.initial[slot] = passage.packet.sequence
        table.due_s[slot] = passage.now_s
        return self._emit(passage, slot)

    def _open_unknown(
        self, passage: passage_lib.TransitPacket
    ) -> list[effects.Effect]:
        """Opens a flow that this host holds no record of.

        After a change of owners, the one before may hold a flow with the same
        key, of which other hosts have copies; it is asked first.
        """
        age_s = passage.now_s - self.entry_hosts.changed_s
        order = self.entry_hosts.order(passage.port, passage.key)
        if age_s > records_lib.COPY_LIFETIME_S or len(order) < 2:
            return self._choose(passage, b"")
        packet = passage.packet.data
        return self.entry_hosts.hand(order[1], packet, hop_option.Kind.ASK, 1)

    def _reopen(
        self, passage: passage_lib.TransitPacket, slot: int
    ) -> list[effects.Effect]:
        """Chooses again for an opening that got no answer.

        Without a retry budget the opening stays with its target.
        """
        if not self.records.chooser.may_retry(passage.now_s, passage.port):
            return self._emit(passage, slot)
        self.records.close(
            passage.now_s,
            slot,
            passage.port,
            target_choice.Progress.UNRESPONSIVE,
        )
        return self._choose(passage, b"")

    def _is_idle(self, passage: passage_lib.TransitPacket, slot: int) -> bool:
        """Returns whether no host has seen a packet of a flow lately."""
        age_s = passage.now_s - self.records.table.seen_s[slot]
        return age_s > 2 * records_lib.COPY_LIFETIME_S

    def _preferred(
        self, passage: passage_lib.TransitPacket, slot: int
    ) -> bytes:
        """Returns the only target that a reused key may go to.

        Packets of the flow that was closed may still arrive, and other hosts
        may hold a copy of it until its lifetime is over. With the same target
        neither does harm.
        """
        table = self.records.table
        age_s = passage.now_s - table.valid_s[slot]
        if age_s > records_lib.COPY_LIFETIME_S:
            return b""
        if not table.flags[slot] & table_lib.ESTABLISHED:
            return b""
        return table.target_of(slot)

    def _choose(
        self, passage: passage_lib.TransitPacket, preferred: bytes
    ) -> list[effects.Effect]:
        """Opens a flow."""
        now_s = passage.now_s
        port = passage.port
        choice = self.records.chooser.choose(
            now_s, target_choice.Opening(passage.key, port, preferred)
        )
        if isinstance(choice, target_choice.Refusal):
            return self._refuse(passage, choice.verdict)
        if preferred and choice.target != preferred:
            self._forget(passage, choice.target)
            return self.refusing.drop("time-wait")
        slot = self.records.put_owned(
            now_s, passage.key, choice.target, passage.packet.sequence
        )
        if slot is None:
            self._forget(passage, choice.target)
            return self.refusing.refuse(
                passage, verdict_lib.not_run("flow-table-full")
            )
        if not passage.is_tcp():
            self.records.table.flags[slot] |= table_lib.ESTABLISHED
        return self._emit(passage, slot)

    def _refuse(
        self, passage: passage_lib.TransitPacket, verdict: verdict_lib.Verdict
    ) -> list[effects.Effect]:
        """Refuses an opening, unless the caller had better try again.

        A host that has just joined may not know the targets yet. It drops the
        opening, so that the caller's TCP sends it again a second later.
        """
        is_blind = verdict.reason == target_choice.NO_READY_TARGET
        if is_blind and self.entry_hosts.is_warming(passage.now_s):
            return self.refusing.drop("warming")
        return self.refusing.refuse(passage, verdict)

    def _forget(
        self, passage: passage_lib.TransitPacket, target: bytes
    ) -> None:
        """Takes back an opening that the chooser has counted."""
        self.records.chooser.observe(
            passage.now_s,
            target_choice.Observation(
                target_choice.Progress.CLOSED, target, passage.port, 0.0
            ),
        )

    def _miss(self, passage: passage_lib.TransitPacket) -> list[effects.Effect]:
        """Handles a packet of a flow that this host does not know."""
        if passage.form is passage_lib.Form.OUTBOUND:
            return self._adopt(passage)
        if passage.packet.flags & ip.TCP_RST:
            return self.refusing.drop("unknown-flow")
        order = self.entry_hosts.order(passage.port, passage.key)
        if len(order) > 1:
            return self.entry_hosts.hand(
                order[1], passage.packet.data, hop_option.Kind.ASK, 1
            )
        return self.serve_unknown(passage)

    def _adopt(
        self, passage: passage_lib.TransitPacket
    ) -> list[effects.Effect]:
        """Learns a flow from a reply of its target.

        Only a reply that opens a flow, or one that comes while owners change,
        is taken for a flow that goes on; any other may be a late one.
        """
        now_s = passage.now_s
        target = passage.target()
        is_over = passage.packet.flags & (ip.TCP_RST | ip.TCP_FIN)
        is_news = passage.is_acceptance() or not self.entry_hosts.is_settled(
            now_s
        )
        slot = None
        if is_news and not is_over:
            slot = self.records.learn(now_s, passage.key, target)
        if slot is None:
            return [effects.SendDatagram(None, passage.for_fabric(target))]
        if passage.is_acceptance():
            self.records.table.initial[slot] = passage.acknowledged()
        self.records.take_over(now_s, slot, passage.port)
        return self._route(passage, slot, 0, False)

    def _is_late(self, passage: passage_lib.TransitPacket, slot: int) -> bool:
        """Returns whether a reply belongs to an earlier flow."""
        if passage.form is not passage_lib.Form.OUTBOUND:
            return False
        table = self.records.table
        if passage.target() != table.target_of(slot):
            return True
        initial = table.initial[slot]
        return (
            passage.is_tcp()
            and passage.is_acceptance()
            and initial != 0
            and initial != passage.acknowledged()
        )

    def _advance(self, passage: passage_lib.TransitPacket, slot: int) -> bool:
        """Follows the life of a flow; returns whether it has just ended."""
        table = self.records.table
        state = table.flags[slot]
        if not passage.is_tcp() or state & table_lib.CLOSED:
            return False
        is_reply = passage.form is passage_lib.Form.OUTBOUND
        flags = passage.packet.flags
        if flags & ip.TCP_RST:
            if self._is_old_reset(passage, slot):
                return False
            self._close(passage, slot, _reset_progress(is_reply, state))
            return True
        if not state & table_lib.ESTABLISHED:
            state = self._establish(passage, slot)
        if is_reply and passage.packet.payload_bytes:
            state = self._note_reply(passage, slot)
        if flags & ip.TCP_FIN:
            state |= table_lib.TARGET_FIN if is_reply else table_lib.CALLER_FIN
            table.flags[slot] = state
        both = table_lib.TARGET_FIN | table_lib.CALLER_FIN
        if state & both == both:
            self._close(passage, slot, target_choice.Progress.CLOSED)
            return True
        return False

    def _is_old_reset(
        self, passage: passage_lib.TransitPacket, slot: int
    ) -> bool:
        """Returns whether a caller resets what it held before its opening."""
        table = self.records.table
        if passage.form is passage_lib.Form.OUTBOUND:
            return False
        if table.flags[slot] & table_lib.ESTABLISHED:
            return False
        expected = (table.initial[slot] + 1) & _SEQUENCE_MASK
        return passage.packet.sequence != expected

    def _establish(self, passage: passage_lib.TransitPacket, slot: int) -> int:
        """Notes that the target has answered; returns the new flags."""
        table = self.records.table
        table.flags[slot] |= table_lib.ESTABLISHED
        self.records.observe(
            passage.now_s,
            slot,
            passage.port,
            target_choice.Progress.ESTABLISHED,
        )
        return table.flags[slot]

    def _note_reply(self, passage: passage_lib.TransitPacket, slot: int) -> int:
        """Notes the first payload of the target; returns the new flags."""
        table = self.records.table
        if not table.flags[slot] & table_lib.REPLIED:
            table.flags[slot] |= table_lib.REPLIED
            self.records.observe(
                passage.now_s,
                slot,
                passage.port,
                target_choice.Progress.REPLIED,
            )
        return table.flags[slot]

    def _close(
        self,
        passage: passage_lib.TransitPacket,
        slot: int,
        progress: target_choice.Progress,
    ) -> None:
        """Ends a flow."""
        self.records.close(passage.now_s, slot, passage.port, progress)

    def _route(
        self,
        passage: passage_lib.TransitPacket,
        slot: int,
        tag: int,
        is_over: bool,
    ) -> list[effects.Effect]:
        """Sends a packet on, by way of the hosts that must learn from it."""
        table = self.records.table
        order = self.entry_hosts.order(passage.port, passage.key)
        table.seen_s[slot] = int(passage.now_s)
        if is_over:
            return self._pass_along(
                passage, slot, order, hop_option.Kind.CLOSED
            )
        if table.flags[slot] & table_lib.CLOSED:
            return self._emit(passage, slot)
        count = self._wanted_backups(passage, slot)
        backups = order[1 : 1 + count]
        if passage.is_acceptance() or placement.missing(
            table.placed[slot], backups
        ):
            if table.flags[slot] & table_lib.ESTABLISHED:
                table.placed[slot] = placement.pack(backups)
                table.due_s[slot] = passage.now_s + records_lib.OWNER_CARE_S
                return self._pass_along(
                    passage, slot, order, hop_option.Kind.COPY
                )
        else:
            table.due_s[slot] = passage.now_s + records_lib.OWNER_CARE_S
        if tag and self._is_returned(passage, slot, tag):
            packet = passage.for_host(table.target_of(slot))
            return self.entry_hosts.hand_back(
                tag, packet, hop_option.Kind.RETURN, 2
            )
        return self._emit(passage, slot)

    def _wanted_backups(
        self, passage: passage_lib.TransitPacket, slot: int
    ) -> int:
        """Returns the number of backups that a flow should have now."""
        age_s = passage.now_s - self.records.table.opened_s[slot]
        if age_s >= records_lib.OWNER_CARE_S:
            return ownership.ORDER_HOSTS - 1
        return records_lib.backups_at_opening(passage.port)

    def _is_returned(
        self, passage: passage_lib.TransitPacket, slot: int, tag: int
    ) -> bool:
        """Counts a packet handed over; returns whether it goes back."""
        handed = self.records.table.handed
        handed[slot] = min(handed[slot] + 1, _COUNT_LIMIT)
        return (
            handed[slot] >= RETURN_AFTER_PACKETS
            and tag in self.entry_hosts.endpoints
            and not passage.packet.flags & _ENDING
        )

    def _pass_along(
        self,
        passage: passage_lib.TransitPacket,
        slot: int,
        order: tuple[peers.Peer, ...],
        kind: hop_option.Kind,
    ) -> list[effects.Effect]:
        """Sends a packet on by way of the backups."""
        count = self._wanted_backups(passage, slot)
        backups = [
            peer
            for peer in order[: count + 1]
            if not self.entry_hosts.is_self(peer)
        ]
        if not backups:
            return self._emit(passage, slot)
        packet = passage.for_host(self.records.table.target_of(slot))
        # The tag of a copy is the number of backups that are to have it.
        word = hop_option.pack(kind, 1, count)
        return self.entry_hosts.hand_word(backups[0], packet, word)

    def _emit(
        self, passage: passage_lib.TransitPacket, slot: int
    ) -> list[effects.Effect]:
        """Sends a packet to the fabric."""
        target = self.records.table.target_of(slot)
        return [effects.SendDatagram(None, passage.for_fabric(target))]


_ENDING = ip.TCP_FIN | ip.TCP_RST


def _reset_progress(is_reply: bool, state: int) -> target_choice.Progress:
    """Returns what a reset means for the chooser."""
    if not is_reply:
        return target_choice.Progress.CLOSED
    if state & table_lib.ESTABLISHED:
        return target_choice.Progress.RESET_BY_TARGET
    return target_choice.Progress.REFUSED_BY_TARGET
