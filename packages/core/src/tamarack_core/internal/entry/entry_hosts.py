"""Entry hosts of the failure domain, as the routing of flows sees them."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import peers
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.flows import hop_option
from tamarack_core.internal.flows import ownership
from tamarack_core.internal.membership import host_membership
from tamarack_core.internal.membership import view
from tamarack_core.messages import membership as membership_messages
from tamarack_core.packets import geneve

# An unreachable host may be partitioned rather than dead. Until this time has
# passed, flows that only it may know do not count as lost.
PARTITION_GRACE_S = 30.0
# A new host learns all targets within two rounds of lease renewals.
WARM_UP_S = 8.0


class EntryHosts:
    """Entry hosts of the failure domain, this host included.

    Orders them for each flow, the owner first and then the backups, by the
    latest membership view, and forwards packets to them.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        membership: Membership of this host.
        ownership: Order of the members for each flow.
        endpoints: Data endpoint of each member by tag.
        tag: Tag of this host.
        epoch: Epoch of the membership view in use.
        changed_s: Monotonic time at which the view last changed.
        grace_end_s: Monotonic time from which a flow that no reachable host
            knows counts as lost.
    """

    __slots__ = (
        "changed_s",
        "context",
        "endpoints",
        "epoch",
        "grace_end_s",
        "membership",
        "ownership",
        "tag",
    )

    def __init__(
        self,
        context: context_lib.Context,
        membership: host_membership.HostMembership,
    ) -> None:
        """Initializes the entry hosts; there are no members before `refresh`.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            membership: Membership of this host.
        """
        self.context = context
        self.membership = membership
        self.ownership = ownership.Ownership()
        self.endpoints: dict[int, peers.Endpoint] = {}
        self.tag = hop_option.tag(context.host)
        self.epoch = 0
        self.changed_s = 0.0
        self.grace_end_s = 0.0

    def refresh(self, now_s: float) -> bool:
        """Applies the latest membership view; returns whether it changed.

        Args:
            now_s: Monotonic time in seconds.
        """
        current = self.membership.view()
        if current.epoch == self.epoch:
            return False
        if not self.epoch:
            self.grace_end_s = now_s + PARTITION_GRACE_S
        self.epoch = current.epoch
        self.changed_s = now_s
        before = set(self.ownership.members)
        members = [peer for peer in current.owning() if peer.data is not None]
        if self._is_any_dead(current, before - set(members)):
            self.grace_end_s = now_s + PARTITION_GRACE_S
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

    def is_grace_period_over(self, now_s: float) -> bool:
        """Returns whether a flow that no reachable host knows counts as lost.

        A host that has never reached any of its seeds can't tell, so that its
        grace period does not end.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self.membership.swim.is_joining:
            return False
        return now_s >= self.grace_end_s

    def is_warming_up(self, now_s: float) -> bool:
        """Returns whether this host may not know all targets yet.

        Args:
            now_s: Monotonic time in seconds.
        """
        return now_s < self.membership.started_s + WARM_UP_S

    def is_self(self, peer: peers.Peer) -> bool:
        """Returns whether a peer is this host."""
        return peer.host == self.context.host.host

    def forward(
        self, peer: peers.Peer, packet: bytes, kind: hop_option.Kind, count: int
    ) -> list[effects.Effect]:
        """Returns the effect that forwards a packet to another host.

        Args:
            peer: The other host, which has a data endpoint.
            packet: The packet.
            kind: Why it is forwarded.
            count: Number of hosts visited, this one included.
        """
        return self.forward_with_hop(
            peer, packet, hop_option.pack(kind, count, self.tag)
        )

    def forward_with_hop(
        self, peer: peers.Peer, packet: bytes, hop_value: int
    ) -> list[effects.Effect]:
        """Returns the effect that forwards a packet with a given hop value."""
        self.context.counters["extra-hops"] += 1
        datagram = geneve.encapsulate_hop(packet, hop_value)
        return [effects.SendDatagram(peer.data, datagram)]

    def forward_to_tag(
        self, tag: int, packet: bytes, kind: hop_option.Kind, count: int
    ) -> list[effects.Effect]:
        """Returns the effect that forwards a packet to the host with a tag.

        Args:
            tag: Tag of the receiver, one of `endpoints`.
            packet: The packet.
            kind: Why it is forwarded.
            count: Number of hosts visited or queried.
        """
        self.context.counters["extra-hops"] += 1
        datagram = geneve.encapsulate_hop(
            packet, hop_option.pack(kind, count, self.tag)
        )
        return [effects.SendDatagram(self.endpoints[tag], datagram)]

    def _is_any_dead(
        self, current: view.MembershipView, lost: set[peers.Peer]
    ) -> bool:
        """Returns whether a lost member is dead rather than having left."""
        return any(
            current.members[peer.host].state is membership_messages.State.DEAD
            for peer in lost
            if peer.host in current.members
        )
