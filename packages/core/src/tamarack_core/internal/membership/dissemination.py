"""Spread of membership changes on messages that are sent anyway."""

import math

from tamarack_core.internal.membership import view
from tamarack_core.messages import membership

UPDATES_PER_MESSAGE = 3
SPREAD_FACTOR = 3


class Dissemination:
    """Changes that still have to be passed on.

    Attributes:
        remaining: Number of messages that a change still rides on, by host.
    """

    __slots__ = ("remaining",)

    def __init__(self) -> None:
        """Creates an empty queue."""
        self.remaining: dict[str, int] = {}

    def add(self, host: str, members: int) -> None:
        """Queues the newest state of a member.

        Args:
            host: Name of the member that changed.
            members: Number of members, which sets how often it is passed on.
        """
        self.remaining[host] = SPREAD_FACTOR * math.ceil(math.log2(members + 2))

    def take(
        self, known: view.MembershipView, receiver: str
    ) -> tuple[membership.Update, ...]:
        """Returns the changes that ride on the next message.

        A receiver that is not held to be alive is told so first, so that it
        can refute.

        Args:
            known: View of this host.
            receiver: Name of the host that the message goes to.
        """
        chosen = sorted(
            (host for host in self.remaining if host in known.members),
            key=self.remaining.__getitem__,
            reverse=True,
        )[:UPDATES_PER_MESSAGE]
        for host in chosen:
            self._count(host)
        about_receiver = known.members.get(receiver)
        if (
            about_receiver is not None
            and about_receiver.state is not membership.State.ALIVE
            and receiver not in chosen
        ):
            chosen = [receiver, *chosen[: UPDATES_PER_MESSAGE - 1]]
        return tuple(known.members[host].to_update() for host in chosen)

    def _count(self, host: str) -> None:
        """Counts one message that carries a change."""
        self.remaining[host] -= 1
        if not self.remaining[host]:
            del self.remaining[host]
