"""Dissemination of membership changes, piggybacked on probes and acks."""

import math

from tamarack_core.internal.membership import view
from tamarack_core.messages import membership

UPDATES_PER_MESSAGE = 3
RETRANSMIT_FACTOR = 3


class Dissemination:
    """Queue of membership changes to disseminate.

    Attributes:
        remaining: Number of messages that are yet to carry the state of a
            member, by host name.
    """

    __slots__ = ("remaining",)

    def __init__(self) -> None:
        """Initializes an empty queue."""
        self.remaining: dict[str, int] = {}

    def add(self, host: str, members: int) -> None:
        """Queues the newest state of a member.

        Args:
            host: Name of the member that changed.
            members: Number of members, which determines how often the state
                is sent.
        """
        self.remaining[host] = RETRANSMIT_FACTOR * math.ceil(
            math.log2(members + 2)
        )

    def select_updates(
        self, known: view.MembershipView, receiver: str
    ) -> tuple[membership.Update, ...]:
        """Returns the updates that the next message carries.

        If the receiver is not alive in the view, its own state comes first,
        so that it can refute it.

        Args:
            known: View of the members at this host.
            receiver: Name of the host that the message goes to.
        """
        chosen = sorted(
            (host for host in self.remaining if host in known.members),
            key=self.remaining.__getitem__,
            reverse=True,
        )[:UPDATES_PER_MESSAGE]
        for host in chosen:
            self._count_transmission(host)
        receiver_member = known.members.get(receiver)
        if (
            receiver_member is not None
            and receiver_member.state is not membership.State.ALIVE
            and receiver not in chosen
        ):
            chosen = [receiver, *chosen[: UPDATES_PER_MESSAGE - 1]]
        return tuple(known.members[host].to_update() for host in chosen)

    def _count_transmission(self, host: str) -> None:
        """Counts one message that carries the state of a member."""
        self.remaining[host] -= 1
        if not self.remaining[host]:
            del self.remaining[host]
