"""Owner and backups of each flow, by rendezvous hash over the members.

The flows of a service are owned by a group of a few hosts, so that these have
an accurate view of the load of its targets. The next host in the order of the
service is the standby, which holds copies of their flows in case it joins the
group.
"""

import dataclasses
import zlib

from tamarack_core import peers
from tamarack_core.internal.balancing import owner_group

# The owner and two backups.
ORDER_HOSTS = 3
# Few enough that the orders of all services of a failure domain fit in memory.
BUCKETS = 64

_BUCKET_MASK = BUCKETS - 1
_WORD_MASK = (1 << 64) - 1
_SPREAD = 0x9E3779B97F4A7C15
_MIX = 0xD6E8FEB86659FD93


@dataclasses.dataclass(slots=True)
class OwnerGroup:
    """First hosts in the order of a service.

    Attributes:
        hosts: The hosts, by descending weight; standbys come last.
        opening_hosts: Hosts that own the flows of the service.
        orders: Owner and backups by bucket of flows, filled on demand.
    """

    hosts: list[peers.Peer]
    opening_hosts: int
    orders: dict[int, tuple[peers.Peer, ...]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def size(self) -> int:
        """Number of hosts wanted; there may be fewer members."""
        return max(self.opening_hosts + 1, ORDER_HOSTS)


class Ownership:
    """Owner group of each service, computed on demand.

    Attributes:
        members: Seed of the score of each member, by peer.
        groups: Owner group by service, filled on demand.
    """

    __slots__ = ("groups", "members")

    def __init__(self) -> None:
        """Initializes the ownership without members."""
        self.members: dict[peers.Peer, int] = {}
        self.groups: dict[str, OwnerGroup] = {}

    def order(
        self, service: str, opening_hosts: int, key: bytes
    ) -> tuple[peers.Peer, ...]:
        """Returns the owner and the backups of a flow, as many as exist.

        Args:
            service: Name of the service.
            opening_hosts: Hosts that own the flows of the service.
            key: Flow key.
        """
        group = self.groups.get(service)
        if group is None or group.opening_hosts != opening_hosts:
            group = self._compute_group(service, opening_hosts)
        bucket = zlib.crc32(key) & _BUCKET_MASK
        order = group.orders.get(bucket)
        if order is None:
            order = self._order(group, bucket)
            group.orders[bucket] = order
        return order

    def set_members(self, members: list[peers.Peer]) -> None:
        """Replaces the members; only the groups that change are dropped.

        Args:
            members: Members that may own flows.
        """
        wanted = set(members)
        removed = {peer for peer in self.members if peer not in wanted}
        added = [peer for peer in members if peer not in self.members]
        for peer in removed:
            del self.members[peer]
        for peer in added:
            self.members[peer] = zlib.crc32(peer.host.encode()) * _SPREAD
        stale = [
            service
            for service, group in self.groups.items()
            if _is_stale(service, group, removed, added)
        ]
        for service in stale:
            del self.groups[service]

    def _compute_group(self, service: str, opening_hosts: int) -> OwnerGroup:
        """Computes and stores the group of a service."""
        group = OwnerGroup([], opening_hosts)
        group.hosts = owner_group.members(service, self.members, group.size)
        self.groups[service] = group
        return group

    def _order(self, group: OwnerGroup, bucket: int) -> tuple[peers.Peer, ...]:
        """Returns the owner and the backups of a bucket of flows."""
        owners = sorted(
            group.hosts[: group.opening_hosts],
            key=lambda peer: _score(bucket, self.members[peer]),
            reverse=True,
        )
        return (*owners, *group.hosts[group.opening_hosts :])[:ORDER_HOSTS]


def _is_stale(
    service: str,
    group: OwnerGroup,
    removed: set[peers.Peer],
    added: list[peers.Peer],
) -> bool:
    """Returns whether a change of members changes a group."""
    if len(group.hosts) < group.size or not removed.isdisjoint(group.hosts):
        return True
    floor = owner_group.weight(service, group.hosts[-1].host)
    return any(owner_group.weight(service, peer.host) > floor for peer in added)


def _score(bucket: int, seed: int) -> int:
    """Returns the pseudo-random score of a member for a bucket."""
    mixed = (bucket * _SPREAD ^ seed) & _WORD_MASK
    mixed = (mixed ^ mixed >> 32) * _MIX & _WORD_MASK
    mixed = (mixed ^ mixed >> 32) * _MIX & _WORD_MASK
    return mixed ^ mixed >> 32
