"""A host's view of the members of its failure domain."""

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
    """One member, as this host sees it.

    Attributes:
        peer: Identity and addresses.
        incarnation: Highest incarnation heard of.
        state: State at that incarnation.
        since_s: Monotonic time of the last change of state.
    """

    __slots__ = ("incarnation", "peer", "since_s", "state")

    def __init__(
        self,
        peer: peers.Peer,
        incarnation: int,
        state: membership.State,
        since_s: float,
    ) -> None:
        """Creates a member from the first report on it."""
        self.peer = peer
        self.incarnation = incarnation
        self.state = state
        self.since_s = since_s

    def to_update(self) -> membership.Update:
        """Returns the member in the form that hosts exchange."""
        return membership.Update(
            self.peer.host,
            self.peer.control,
            self.peer.data,
            self.incarnation,
            self.state,
        )

    def fingerprint(self) -> int:
        """Returns a number that stands for name, incarnation and state.

        Suspicion is left out, since it passes.
        """
        state = max(self.state, membership.State.SUSPECT)
        text = f"{self.peer.host}/{self.incarnation}/{state}"
        return zlib.crc32(text.encode())


class MembershipView:
    """All members that this host has heard of.

    Attributes:
        domain: Failure domain.
        members: Members by host name, this host included.
        epoch: Number that rises when the set of owning members changes.
        digest: Digest of the view; equal at hosts with equal views.
    """

    __slots__ = ("digest", "domain", "epoch", "members")

    def __init__(self, domain: str) -> None:
        """Creates an empty view.

        Args:
            domain: Failure domain whose members the view holds.
        """
        self.domain = domain
        self.members: dict[str, Member] = {}
        self.epoch = 0
        self.digest = 0

    def apply(self, update: membership.Update, now_s: float) -> bool:
        """Takes in a report; returns whether it was news.

        Args:
            update: The report.
            now_s: Monotonic time in seconds.
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

    def forget(self, host: str) -> None:
        """Drops a member that died or left long ago."""
        self.digest ^= self.members.pop(host).fingerprint()

    def owning(self) -> list[peers.Peer]:
        """Returns the members that may own flows, this host included."""
        return [
            member.peer
            for member in self.members.values()
            if member.state in OWNING_STATES
        ]

    def present(self, without: str = "") -> list[Member]:
        """Returns the members that are reachable or only suspected.

        Args:
            without: Name of a member to leave out.
        """
        return [
            member
            for host, member in self.members.items()
            if host != without and member.state in PRESENT_STATES
        ]

    def gone(self) -> list[Member]:
        """Returns the members that are held to be dead."""
        return [
            member
            for member in self.members.values()
            if member.state is membership.State.DEAD
        ]

    def page(self, after: str, limit: int) -> list[Member]:
        """Returns members in order of their names.

        Args:
            after: Name after which to begin; empty for the first page.
            limit: Largest number of members to return.
        """
        names = sorted(host for host in self.members if host > after)
        return [self.members[host] for host in names[:limit]]

    def _add(self, update: membership.Update, now_s: float) -> Member:
        """Adds a member heard of for the first time."""
        member = Member(
            self._peer(update), update.incarnation, update.state, now_s
        )
        self.members[update.host] = member
        return member

    def _peer(self, update: membership.Update) -> peers.Peer:
        """Returns the peer that an update describes."""
        return peers.Peer(update.host, self.domain, update.control, update.data)
