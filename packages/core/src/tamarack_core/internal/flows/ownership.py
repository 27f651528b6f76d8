"""Owner and backups of each flow, by rendezvous hash over the members."""

import array
import hashlib
import zlib

from tamarack_core import peers

BUCKETS = 1 << 14
# The owner and two backups.
ORDER_HOSTS = 3

_BUCKET_MASK = BUCKETS - 1
_WORD_MASK = (1 << 64) - 1
_SPREAD = 0x9E3779B97F4A7C15
_MIX = 0xD6E8FEB86659FD93
# Above this number of joins at once it is cheaper to start over.
_MAX_INSERTIONS = 8


class Ownership:
    """Order of the members for each bucket of flows, computed on demand.

    Attributes:
        members: Seed of the score of each member, by peer.
    """

    __slots__ = ("_floors", "_orders", "members")

    def __init__(self) -> None:
        """Creates the ownership of a domain without members."""
        self.members: dict[peers.Peer, int] = {}
        self._orders: list[tuple[peers.Peer, ...] | None] = []
        self._floors = array.array("Q")
        self._reset()

    def order(self, key: bytes) -> tuple[peers.Peer, ...]:
        """Returns the owner and the backups of a flow, as far as there are.

        Args:
            key: Flow key.
        """
        bucket = zlib.crc32(key) & _BUCKET_MASK
        found = self._orders[bucket]
        if found is None:
            found = self._compute(bucket)
        return found

    def set_members(self, members: list[peers.Peer]) -> None:
        """Replaces the members; only the orders that change are dropped.

        Args:
            members: Members that may own flows.
        """
        wanted = set(members)
        removed = [peer for peer in self.members if peer not in wanted]
        added = [peer for peer in members if peer not in self.members]
        for peer in removed:
            del self.members[peer]
        for peer in added:
            self.members[peer] = _seed(peer)
        if len(added) > _MAX_INSERTIONS or len(self.members) <= ORDER_HOSTS:
            self._reset()
            return
        gone = set(removed)
        for bucket, order in enumerate(self._orders):
            if order is not None and self._is_stale(bucket, order, gone, added):
                self._orders[bucket] = None

    def _is_stale(
        self,
        bucket: int,
        order: tuple[peers.Peer, ...],
        gone: set[peers.Peer],
        added: list[peers.Peer],
    ) -> bool:
        """Returns whether a change of members changes an order."""
        if len(order) < ORDER_HOSTS or not gone.isdisjoint(order):
            return True
        floor = self._floors[bucket]
        return any(_score(bucket, self.members[peer]) > floor for peer in added)

    def _compute(self, bucket: int) -> tuple[peers.Peer, ...]:
        """Computes and stores the order of a bucket."""
        scores = sorted(
            (
                (_score(bucket, seed), peer.host, peer)
                for peer, seed in self.members.items()
            ),
            reverse=True,
        )[:ORDER_HOSTS]
        found = tuple(peer for _, _, peer in scores)
        self._orders[bucket] = found
        self._floors[bucket] = scores[-1][0] if scores else 0
        return found

    def _reset(self) -> None:
        """Drops all orders."""
        self._orders = [None] * BUCKETS
        self._floors = array.array("Q", bytes(8 * BUCKETS))


def _seed(peer: peers.Peer) -> int:
    """Returns the number from which the scores of a member derive."""
    digest = hashlib.blake2b(peer.host.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _score(bucket: int, seed: int) -> int:
    """Returns the pseudo-random score of a member for a bucket."""
    mixed = (bucket * _SPREAD & _WORD_MASK) ^ seed
    mixed = (mixed ^ mixed >> 32) * _MIX & _WORD_MASK
    mixed = (mixed ^ mixed >> 32) * _MIX & _WORD_MASK
    return mixed ^ mixed >> 32
