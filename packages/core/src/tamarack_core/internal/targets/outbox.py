"""Messages about targets that are sent again until they are received."""

from collections.abc import Iterable
import dataclasses

from tamarack_core import effects
from tamarack_core import peers
from tamarack_core.messages import targets as target_messages

RESEND_S = 0.5


@dataclasses.dataclass(slots=True)
class Unreceived:
    """A change that a host has not confirmed.

    Attributes:
        peer: The host.
        message: The change.
        sent_s: Time of the last sending in seconds.
    """

    peer: peers.Peer
    message: target_messages.TargetChanged
    sent_s: float


class Outbox:
    """Newest unconfirmed change by host and target.

    Attributes:
        waiting: Unconfirmed changes by host name and target address.
    """

    __slots__ = ("waiting",)

    def __init__(self) -> None:
        """Creates an empty outbox."""
        self.waiting: dict[tuple[str, str], Unreceived] = {}

    def send(
        self,
        now_s: float,
        receivers: Iterable[peers.Peer],
        message: target_messages.TargetChanged,
    ) -> list[effects.Effect]:
        """Sends a change, in place of an earlier one of the same target."""
        found: list[effects.Effect] = []
        for peer in receivers:
            key = (peer.host, message.announcement.address)
            self.waiting[key] = Unreceived(peer, message, now_s)
            found.append(effects.SendMessage(peer, message))
        return found

    def confirm(self, host: str, address: str, sequence: int) -> None:
        """Takes note that a host has a change or a later one."""
        waiting = self.waiting.get((host, address))
        if waiting is not None and waiting.message.sequence <= sequence:
            del self.waiting[host, address]

    def resend(self, now_s: float, live: set[str]) -> list[effects.Effect]:
        """Sends again what is overdue; drops what is for absent hosts.

        Args:
            now_s: Monotonic time in seconds.
            live: Names of the hosts that are held to be alive.
        """
        self.waiting = {
            key: waiting
            for key, waiting in self.waiting.items()
            if key[0] in live
        }
        overdue = [
            waiting
            for waiting in self.waiting.values()
            if now_s - waiting.sent_s >= RESEND_S
        ]
        for waiting in overdue:
            waiting.sent_s = now_s
        return [
            effects.SendMessage(waiting.peer, waiting.message)
            for waiting in overdue
        ]
