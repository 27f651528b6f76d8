"""View of the members of a failure domain at one host."""

import zlib

from tamarack_core import peers
from tamarack_core.messages import membership

OWNING_STATES = frozenset((membership.State.ALIVE, membership.State.SUSPECT))
PRESENT_STATES = frozenset(
    (
        membership.State.ALIVE,
        membership.State.SUSPECT,
        membership.State.LEAVING,
    )
)


class Member:
    """One member in the view of this host.

    Attributes:
        peer: Identity and addresses.
        incarnation: Highest known incarnation.
        state: State at that incarnation.
        since_s: Monotonic time of the last change of state, in seconds.
    """

    __slots__ = ("incarnation", "peer", "since_s", "state")

    def __init__(
        self,
        peer: peers.Peer,
        incarnation: int,
        state: membership.State,
        since_s: float,
    ) -> None:
        """Initializes a member from the first update about it."""
        self.peer = peer
        self.incarnation = incarnation
        self.state = state
        self.since_s = since_s

    def to_update(self) -> membership.Update:
        """Returns the update that describes the member."""
        return membership.Update(
            self.peer.host,
            self.peer.control,
            self.peer.data,
            self.incarnation,
            self.state,
        )

    def fingerprint(self) -> int:
        """Returns a checksum of name, incarnation and state.

        Alive and suspect members have the same fingerprint, because
        suspicion is temporary.
        """
        state = max(self.state, membership.State.SUSPECT)
        text = f"{self.peer.host}/{self.incarnation}/{state}"
        return zlib.crc32(text.encode())


class MembershipView:
    """All members that this host knows.

    Attributes:
        domain: Failure domain.
        members: Members by host name, including this host.
        epoch: Number that rises when the set of members that may own flows
            changes.
        digest: Digest of the view; equal at hosts with equal views.
    """

    __slots__ = ("digest", "domain", "epoch", "members")

    def __init__(self, domain: str) -> None:
        """Initializes an empty view.

        Args:
            domain: Failure domain whose members the view holds.
        """
        self.domain = domain
        self.members: dict[str, Member] = {}
        self.epoch = 0
        self.digest = 0

    def apply(self, update: membership.Update, now_s: float) -> bool:
        """Applies an update unless it is outdated.

        Args:
            update: State of a member, as another host or this host sees it.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the update changed the view.
        """
        member = self.members.get(update.host)
        if member is None:
            member = self._add(update, now_s)
            self.digest ^= member.fingerprint()
            self.epoch += update.state in OWNING_STATES
            return True
        if (update.incarnation, update.state) <= (
            member.incarnation,
            member.state,
        ):
            return False
        was_owning = member.state in OWNING_STATES
        self.digest ^= member.fingerprint()
        if update.incarnation > member.incarnation:
            member.peer = self._peer(update)
        member.incarnation = update.incarnation
        if member.state != update.state:
            member.since_s = now_s
        member.state = update.state
        self.digest ^= member.fingerprint()
        self.epoch += was_owning != (member.state in OWNING_STATES)
        return True

    def remove(self, host: str) -> None:
        """Removes a member that died or left long ago."""
        self.digest ^= self.members.pop(host).fingerprint()

    def owning(self) -> list[peers.Peer]:
        """Returns the members that may own flows, including this host."""
        return [
            member.peer
            for member in self.members.values()
            if member.state in OWNING_STATES
        ]

    def present(self, without: str = "") -> list[Member]:
        """Returns the members that are alive, suspect or leaving.

        Args:
            without: Name of a member to leave out.
        """
        return [
            member
            for host, member in self.members.items()
            if host != without and member.state in PRESENT_STATES
        ]

    def dead(self) -> list[Member]:
        """Returns the dead members; those that have left are not among them."""
        return [
            member
            for member in self.members.values()
            if member.state is membership.State.DEAD
        ]

    def page(self, after: str, limit: int) -> list[Member]:
        """Returns a page of members in order of their names.

        Args:
            after: Name after which the page begins; empty for the first page.
            limit: Maximum number of members to return.
        """
        names = sorted(host for host in self.members if host > after)
        return [self.members[host] for host in names[:limit]]

    def _add(self, update: membership.Update, now_s: float) -> Member:
        """Adds a member that was unknown so far."""
        member = Member(
            self._peer(update), update.incarnation, update.state, now_s
        )
        self.members[update.host] = member
        return member

    def _peer(self, update: membership.Update) -> peers.Peer:
        """Returns the peer that an update describes."""
        return peers.Peer(update.host, self.domain, update.control, update.data)
