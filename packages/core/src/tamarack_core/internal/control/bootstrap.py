"""How the first voters find together, and how later ones join.

The founder is the first host named in the settings. It founds the system
alone, but only when every named host has introduced itself with a blank data
folder: a founder that lost its disk meets hosts whose folders aren't blank,
and waits to be added like any other. The leader then adds each named host as
a learner and promotes it. A host that lost its disk has a new incarnation, and
is added again once its old incarnation has been removed.
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
class Introduced:
    """A control host that introduced itself.

    Attributes:
        peer: The host.
        incarnation: Identifier of its data folder.
        is_blank: Whether its data folder has never held anything.
    """

    peer: peers.Peer
    incarnation: str
    is_blank: bool


class VoterBootstrap:
    """Introduces this host, and at the leader adds those that do.

    Attributes:
        own: This host under its incarnation.
        named: Control hosts that the settings name as first voters, this
            host included if it is one.
        introduced: Hosts that introduced themselves, by host.
    """

    __slots__ = ("introduced", "named", "own")

    def __init__(
        self, own: membership.Member, named: tuple[peers.Peer, ...]
    ) -> None:
        """Creates the part.

        Args:
            own: This host under its incarnation.
            named: First voters in the order of the settings.
        """
        self.own = own
        self.named = named
        self.introduced: dict[str, Introduced] = {}

    def is_ready_to_found(self) -> bool:
        """Returns whether this blank host may found the system alone."""
        if not self.named or self.named[0].host != self.own.peer.host:
            return False
        return all(
            peer.host in self.introduced and self.introduced[peer.host].is_blank
            for peer in self.named[1:]
        )

    def introduce(self, *, is_blank: bool) -> list[effects.Effect]:
        """Returns the messages that introduce this host to the others."""
        message = control.Introduction(self.own.incarnation, is_blank)
        return [
            effects.SendMessage(peer, message)
            for peer in self.named
            if peer.host != self.own.peer.host
        ]

    def note(self, sender: peers.Peer, message: control.Introduction) -> None:
        """Takes note of a host that introduced itself."""
        self.introduced[sender.host] = Introduced(
            sender, message.incarnation, message.is_blank
        )

    def admit(
        self,
        now_s: float,
        replica: replicas.Replica,
        sender: peers.Peer,
        message: control.Introduction,
    ) -> outputs.Step:
        """Adds or promotes a host at the leader; elsewhere does nothing.

        Args:
            now_s: Monotonic time in seconds.
            replica: The replica of this host.
            sender: The host that introduced itself.
            message: Its introduction.
        """
        change = self._wanted(replica.state.latest_membership, sender, message)
        if change is None or not replica.state.is_leader:
            return outputs.Step()
        proposal = replica.change_membership(now_s, change)
        if isinstance(proposal, failure.Failure):
            # Another change runs, or the learner is behind: it will
            # introduce itself again.
            return outputs.Step()
        return proposal.step

    def _wanted(
        self,
        members: membership.Membership,
        sender: peers.Peer,
        message: control.Introduction,
    ) -> membership.Change | None:
        """Returns the change that brings the sender closer to a vote."""
        is_named = any(peer.host == sender.host for peer in self.named)
        if not is_named:
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
