"""Bootstrap of the first voters and admission of later ones.

The founder is the first voter in the settings. It bootstraps the replicated
log with itself as the only member, but only after every other voter in the
settings has introduced itself with a blank data folder. A founder that lost
its disk receives introductions of hosts whose folders aren't blank, and waits
to be added like any other host. The leader then adds each voter of the
settings as a learner and promotes it. A host that lost its disk has a new
incarnation and is added again once its old incarnation has been removed.
"""

import dataclasses

from tamarack_core import effects
from tamarack_core import failure
from tamarack_core import peers
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import replica as replicas
from tamarack_core.messages import control

INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class IntroducedHost:
    """A control host that sent an `Introduction`.

    Attributes:
        peer: The host.
        incarnation: Identifier of its data folder.
        is_blank: Whether its data folder has never held anything.
    """

    peer: peers.Peer
    incarnation: str
    is_blank: bool


class VoterBootstrap:
    """Introduces this host, and at the leader admits introduced hosts.

    Attributes:
        own: This host with its incarnation.
        initial_voters: First voters in the order of the settings, including
            this host if it is one.
        introduced: Hosts that introduced themselves, by host name.
    """

    __slots__ = ("initial_voters", "introduced", "own")

    def __init__(
        self, own: membership.Member, initial_voters: tuple[peers.Peer, ...]
    ) -> None:
        """Initializes without introduced hosts.

        Args:
            own: This host with its incarnation.
            initial_voters: First voters in the order of the settings.
        """
        self.own = own
        self.initial_voters = initial_voters
        self.introduced: dict[str, IntroducedHost] = {}

    def can_bootstrap(self) -> bool:
        """Returns whether this blank host may bootstrap the system."""
        if (
            not self.initial_voters
            or self.initial_voters[0].host != self.own.peer.host
        ):
            return False
        return all(
            peer.host in self.introduced and self.introduced[peer.host].is_blank
            for peer in self.initial_voters[1:]
        )

    def introduce(self, *, is_blank: bool) -> list[effects.Effect]:
        """Returns the messages that introduce this host to the others."""
        message = control.Introduction(self.own.incarnation, is_blank)
        return [
            effects.SendMessage(peer, message)
            for peer in self.initial_voters
            if peer.host != self.own.peer.host
        ]

    def observe(
        self, sender: peers.Peer, message: control.Introduction
    ) -> None:
        """Stores a host that introduced itself."""
        self.introduced[sender.host] = IntroducedHost(
            sender, message.incarnation, message.is_blank
        )

    def admit(
        self,
        now_s: float,
        replica: replicas.Replica,
        sender: peers.Peer,
        message: control.Introduction,
    ) -> outputs.Step:
        """Proposes to add or promote a host; does nothing if not the leader.

        Args:
            now_s: Monotonic time in seconds.
            replica: The replicated log of this host.
            sender: The host that introduced itself.
            message: Its introduction.
        """
        change = self._next_change(
            replica.state.latest_membership, sender, message
        )
        if change is None or not replica.state.is_leader:
            return outputs.Step()
        proposal = replica.change_membership(now_s, change)
        if isinstance(proposal, failure.Failure):
            # Another change is in progress or the learner is behind. The host
            # introduces itself again later.
            return outputs.Step()
        return proposal.step

    def _next_change(
        self,
        members: membership.Membership,
        sender: peers.Peer,
        message: control.Introduction,
    ) -> membership.Change | None:
        """Returns the next change towards making the sender a voter."""
        is_initial_voter = any(
            peer.host == sender.host for peer in self.initial_voters
        )
        if not is_initial_voter:
            return None
        known = members.members.get(message.incarnation)
        if known is not None:
            if known.is_voter:
                return None
            return membership.Change(
                membership.ChangeKind.PROMOTE, message.incarnation
            )
        hosts = {member.peer.host for member in members.members.values()}
        if sender.host in hosts or not message.is_blank:
            return None
        return membership.Change(
            membership.ChangeKind.ADD_LEARNER, message.incarnation, sender
        )
