"""Outbox: changes of targets that are resent until they are acknowledged."""

from collections.abc import Iterable
import dataclasses

from tamarack_core import effects
from tamarack_core import peers
from tamarack_core.messages import targets as target_messages

RESEND_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True)
class PendingChange:
    """A change that a host has not acknowledged.

    Attributes:
        peer: The host.
        message: The change.
        sent_s: Monotonic time in seconds at which it was last sent.
    """

    peer: peers.Peer
    message: target_messages.TargetChanged
    sent_s: float


class Outbox:
    """Newest unacknowledged change by host and target.

    Attributes:
        pending: Unacknowledged changes by host name and target address.
    """

    __slots__ = ("pending",)

    def __init__(self) -> None:
        """Initializes an empty outbox."""
        self.pending: dict[tuple[str, str], PendingChange] = {}

    def send(
        self,
        now_s: float,
        receivers: Iterable[peers.Peer],
        message: target_messages.TargetChanged,
    ) -> list[effects.Effect]:
        """Sends a change; it replaces an earlier one of the same target."""
        result: list[effects.Effect] = []
        for peer in receivers:
            key = (peer.host, message.announcement.address)
            self.pending[key] = PendingChange(peer, message, now_s)
            result.append(effects.SendMessage(peer, message))
        return result

    def acknowledge(self, host: str, address: str, sequence: int) -> None:
        """Removes a change unless it is newer than the acknowledged one."""
        pending = self.pending.get((host, address))
        if pending is not None and pending.message.sequence <= sequence:
            del self.pending[host, address]

    def resend(self, now_s: float, live: set[str]) -> list[effects.Effect]:
        """Resends overdue changes; removes those for hosts that are not live.

        Args:
            now_s: Monotonic time in seconds.
            live: Names of the live hosts.
        """
        self.pending = {
            key: pending
            for key, pending in self.pending.items()
            if key[0] in live
        }
        overdue = [
            pending
            for pending in self.pending.values()
            if now_s - pending.sent_s >= RESEND_INTERVAL_S
        ]
        for pending in overdue:
            pending.sent_s = now_s
        return [
            effects.SendMessage(pending.peer, pending.message)
            for pending in overdue
        ]
