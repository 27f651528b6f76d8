"""What the routing of flows knows about the other entry hosts."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import peers
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.flows import hop_option
from tamarack_core.internal.flows import ownership
from tamarack_core.internal.membership import host_membership
from tamarack_core.internal.membership import view
from tamarack_core.messages import membership
from tamarack_core.packets import geneve

# A host that is unreachable may be cut off rather than dead. Until this time
# has passed, nothing that only it may know is taken as lost.
PARTITION_PATIENCE_S = 30.0
# Two rounds of the renewal of leases bring all targets to a new host.
WARMING_S = 8.0


class EntryHosts:
    """Owners and backups by the newest view of the members.

    Attributes:
        context: Identity, chance, time and counters.
        membership: Membership of this host.
        ownership: Order of the members for each flow.
        endpoints: Data endpoint of each member by tag.
        tag: Tag of this host.
        epoch: Epoch of the view that is in force here.
        changed_s: Monotonic time at which the view last changed.
        settled_s: Monotonic time from which on what no host knows is lost.
    """

    __slots__ = (
        "changed_s",
        "context",
        "endpoints",
        "epoch",
        "membership",
        "ownership",
        "settled_s",
        "tag",
    )

    def __init__(
        self,
        context: context_lib.Context,
        membership_of_host: host_membership.HostMembership,
    ) -> None:
        """Creates the domain of a host that has not started.

        Args:
            context: Identity, chance, time and counters.
            membership_of_host: Membership of this host.
        """
        self.context = context
        self.membership = membership_of_host
        self.ownership = ownership.Ownership()
        self.endpoints: dict[int, peers.Endpoint] = {}
        self.tag = hop_option.tag(context.host)
        self.epoch = 0
        self.changed_s = 0.0
        self.settled_s = 0.0

    def refresh(self, now_s: float) -> bool:
        """Puts the newest view into force; returns whether it changed.

        Args:
            now_s: Monotonic time in seconds.
        """
        current = self.membership.view()
        if current.epoch == self.epoch:
            return False
        if not self.epoch:
            self.settled_s = now_s + PARTITION_PATIENCE_S
        self.epoch = current.epoch
        self.changed_s = now_s
        before = set(self.ownership.members)
        members = [peer for peer in current.owning() if peer.data is not None]
        if self._is_any_dead(current, before - set(members)):
            self.settled_s = now_s + PARTITION_PATIENCE_S
        self.ownership.set_members(members)
        self.endpoints = {
            hop_option.tag(member.peer): member.peer.data
            for member in current.present(self.context.host.host)
            if member.peer.data is not None
        }
        return True

    def order(
        self, port: lookup.ServicePort, key: bytes
    ) -> tuple[peers.Peer, ...]:
        """Returns the owner and the backups of a flow.

        Args:
            port: Service port of the flow.
            key: Flow key.
        """
        return self.ownership.order(port.service, port.opening_hosts, key)

    def is_settled(self, now_s: float) -> bool:
        """Returns whether what no reachable host knows is lost.

        A host that has never reached any of its seeds can't tell.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self.membership.swim.is_joining:
            return False
        return now_s >= self.settled_s

    def is_warming(self, now_s: float) -> bool:
        """Returns whether this host has started too lately to know much.

        Args:
            now_s: Monotonic time in seconds.
        """
        return now_s < self.membership.started_s + WARMING_S

    def is_self(self, peer: peers.Peer) -> bool:
        """Returns whether a peer is this host."""
        return peer.host == self.context.host.host

    def hand(
        self, peer: peers.Peer, packet: bytes, kind: hop_option.Kind, count: int
    ) -> list[effects.Effect]:
        """Returns the effect that hands a packet to another host.

        Args:
            peer: The other host, which has a data endpoint.
            packet: The packet.
            kind: Why it is handed over.
            count: Number of hosts visited, this one included.
        """
        return self.hand_word(
            peer, packet, hop_option.pack(kind, count, self.tag)
        )

    def hand_word(
        self, peer: peers.Peer, packet: bytes, word: int
    ) -> list[effects.Effect]:
        """Returns the effect that hands over a packet with a given word."""
        self.context.counters["extra-hops"] += 1
        datagram = geneve.encapsulate_hop(packet, word)
        return [effects.SendDatagram(peer.data, datagram)]

    def hand_back(
        self, tag: int, packet: bytes, kind: hop_option.Kind, count: int
    ) -> list[effects.Effect]:
        """Returns the effect that hands a packet to the host with a tag.

        Args:
            tag: Tag of the receiver, one of `endpoints`.
            packet: The packet.
            kind: Why it is handed back.
            count: Number of hosts visited or asked.
        """
        self.context.counters["extra-hops"] += 1
        datagram = geneve.encapsulate_hop(
            packet, hop_option.pack(kind, count, self.tag)
        )
        return [effects.SendDatagram(self.endpoints[tag], datagram)]

    def _is_any_dead(
        self, current: view.MembershipView, lost: set[peers.Peer]
    ) -> bool:
        """Returns whether a member was lost without a word."""
        return any(
            current.members[peer.host].state is membership.State.DEAD
            for peer in lost
            if peer.host in current.members
        )
