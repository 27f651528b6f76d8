"""What the routing of flows knows about the other entry hosts."""

import itertools

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import peers
from tamarack_core.internal.balancing import owner_group
from tamarack_core.internal.distribution import holder
from tamarack_core.internal.flows import hops
from tamarack_core.internal.flows import ownership
from tamarack_core.internal.membership import part as membership_part
from tamarack_core.internal.membership import view
from tamarack_core.messages import membership
from tamarack_core.packets import geneve

# A host that is unreachable may be cut off rather than dead. Until this time
# has passed, nothing that only it may know is taken as lost.
PARTITION_PATIENCE_S = 30.0


class Domain:
    """Owners and backups by the newest view of the members.

    Attributes:
        context: Identity, chance, time and counters.
        membership: Membership of this host.
        ownership: Order of the members for each flow.
        holder: Configuration in force.
        owners: Order within the owner group, by service and group size.
        endpoints: Data endpoint of each member by tag.
        tag: Tag of this host.
        epoch: Epoch of the view that is in force here.
        settled_s: Monotonic time from which on what no host knows is lost.
    """

    __slots__ = (
        "context",
        "endpoints",
        "epoch",
        "holder",
        "membership",
        "owners",
        "ownership",
        "settled_s",
        "tag",
    )

    def __init__(
        self,
        context: context_lib.Context,
        configuration_holder: holder.Holder,
        membership_of_host: membership_part.Membership,
    ) -> None:
        """Creates the domain of a host that has not started.

        Args:
            context: Identity, chance, time and counters.
            configuration_holder: Configuration in force.
            membership_of_host: Membership of this host.
        """
        self.context = context
        self.membership = membership_of_host
        self.ownership = ownership.Ownership()
        self.holder = configuration_holder
        self.owners: dict[tuple[str, int], ownership.Ownership] = {}
        self.endpoints: dict[int, peers.Endpoint] = {}
        self.tag = hops.tag(context.host)
        self.epoch = 0
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
        before = set(self.ownership.members)
        members = [peer for peer in current.owning() if peer.data is not None]
        if self._is_any_dead(current, before - set(members)):
            self.settled_s = now_s + PARTITION_PATIENCE_S
        self.ownership.set_members(members)
        self.owners.clear()
        self.endpoints = {
            hops.tag(member.peer): member.peer.data
            for member in current.present(self.context.host.host)
            if member.peer.data is not None
        }
        return True

    def order(self, key: bytes) -> tuple[peers.Peer, ...]:
        """Returns the owner and the backups of a flow.

        The owner is one of the few hosts that know the load of the service;
        the backups are any hosts.
        """
        order = self.ownership.order(key)
        port = self.holder.lookup.find_key(key)
        if port is None:
            return order
        owners = self._owners(port.service).order(key)[:1]
        rest = (peer for peer in order if peer not in owners)
        return tuple(itertools.islice((*owners, *rest), ownership.ORDER_HOSTS))

    def _owners(self, service: str) -> ownership.Ownership:
        """Returns the order within the owner group of a service."""
        settings = self.holder.numbered.configuration.services[service]
        found = self.owners.get((service, settings.opening_hosts))
        if found is None:
            found = ownership.Ownership()
            group = owner_group.members(
                service, self.ownership.members, settings.opening_hosts
            )
            found.set_members(group)
            self.owners[service, settings.opening_hosts] = found
        return found

    def is_settled(self, now_s: float) -> bool:
        """Returns whether what no reachable host knows is lost.

        A host that has never reached any of its seeds can't tell.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self.membership.detector.is_joining:
            return False
        return now_s >= self.settled_s

    def is_me(self, peer: peers.Peer) -> bool:
        """Returns whether a peer is this host."""
        return peer.host == self.context.host.host

    def hand(
        self, peer: peers.Peer, packet: bytes, kind: hops.Kind, count: int
    ) -> list[effects.Effect]:
        """Returns the effect that hands a packet to another host.

        Args:
            peer: The other host, which has a data endpoint.
            packet: The packet.
            kind: Why it is handed over.
            count: Number of hosts visited, this one included.
        """
        return self.hand_word(peer, packet, hops.pack(kind, count, self.tag))

    def hand_word(
        self, peer: peers.Peer, packet: bytes, word: int
    ) -> list[effects.Effect]:
        """Returns the effect that hands over a packet with a given word."""
        self.context.counters["extra-hops"] += 1
        datagram = geneve.encapsulate_hop(packet, word)
        return [effects.SendDatagram(peer.data, datagram)]

    def hand_back(
        self, tag: int, packet: bytes, kind: hops.Kind, count: int
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
            packet, hops.pack(kind, count, self.tag)
        )
        return [effects.SendDatagram(self.endpoints[tag], datagram)]

    def _is_any_dead(self, current: view.View, lost: set[peers.Peer]) -> bool:
        """Returns whether a member was lost without a word."""
        return any(
            current.members[peer.host].state is membership.State.DEAD
            for peer in lost
            if peer.host in current.members
        )
