"""Leases of targets: each target has one aggregator among the entry hosts.

Renewals go no further than the aggregator; it sends only changes to the other
hosts.
"""

from collections.abc import Callable
import dataclasses
import hashlib

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.targets import announcement_checks
from tamarack_core.internal.targets import lease_table
from tamarack_core.internal.targets import outbox as outbox_lib
from tamarack_core.messages import targets as target_messages
from tamarack_core.packets import ip

TIMER = "target-leases"
TICK_S = 0.5
EXPIRED_RETENTION_S = 600.0
"""Time after which an expired target is removed."""

FORWARD_S = 5.0
"""Time for which a change is resent until the aggregator broadcasts it."""

_DIGEST_BYTES = 8


@dataclasses.dataclass(slots=True)
class ForwardedChange:
    """A change that this host received and another host aggregates.

    Attributes:
        announcement: Announcement of the target.
        received_s: Monotonic time in seconds at which this host received it.
    """

    announcement: requests.Announce
    received_s: float


class LeaseAggregator:
    """Component that keeps the leases of targets and broadcasts changes.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        table: Announced targets.
        members: Returns the other live entry hosts of the failure domain.
        outbox: Changes that other hosts have not acknowledged.
        announced_s: Monotonic time in seconds of the last announcement of
            each target that this host aggregates, by packed address.
        forwards: Changes that the aggregator has not broadcast yet, by packed
            address.
        unconfirmed: Targets that have not been announced since this host
            became their aggregator.
        known_members: Names of the other live members at the last tick.
    """

    __slots__ = (
        "announced_s",
        "context",
        "forwards",
        "known_members",
        "members",
        "outbox",
        "table",
        "unconfirmed",
    )

    def __init__(
        self,
        context: context_lib.Context,
        target_table: lease_table.TargetLeaseTable,
        live_members: Callable[[], tuple[peers.Peer, ...]],
    ) -> None:
        """Initializes the lease aggregator.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            target_table: Table to keep up to date.
            live_members: Returns the other live entry hosts of the failure
                domain.
        """
        self.context = context
        self.table = target_table
        self.members = live_members
        self.outbox = outbox_lib.Outbox()
        self.announced_s: dict[bytes, float] = {}
        self.forwards: dict[bytes, ForwardedChange] = {}
        self.unconfirmed: set[bytes] = set()
        self.known_members: set[str] = set()

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            events.Started: self.handle_started,
            TIMER: self.handle_timer,
            target_messages.TargetForwarded: self.handle_forwarded,
            target_messages.TargetChanged: self.handle_changed,
            target_messages.TargetReceived: self.handle_received,
        }

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Starts the timer."""
        return [effects.StartTimer(TIMER, TICK_S)]

    def accept(
        self, now_s: float, announcement: requests.Announce, age_s: float = 0.0
    ) -> list[effects.Effect]:
        """Accepts an announcement at the host that received it.

        Args:
            now_s: Monotonic time in seconds.
            announcement: Announcement of the target.
            age_s: Seconds since a host received it.
        """
        address = ip.pack_address(announcement.address)
        aggregator = self._aggregator(address)
        if aggregator.host == self.context.host.host:
            return self._renew(now_s, address, announcement, age_s)
        self.forwards.pop(address, None)
        held = self.table.targets.get(address)
        if held is None or _is_change(held.announcement, announcement):
            self.forwards[address] = ForwardedChange(announcement, now_s)
        message = target_messages.TargetForwarded(announcement, age_s)
        return [effects.SendMessage(aggregator, message)]

    def _resend_forwards(self, now_s: float) -> list[effects.Effect]:
        """Resends the changes that their aggregators have not broadcast."""
        forwards = self.forwards
        self.forwards = {}
        result = []
        for address, forward in forwards.items():
            held = self.table.targets.get(address)
            age_s = now_s - forward.received_s
            if age_s > FORWARD_S:
                continue
            if held and not _is_change(held.announcement, forward.announcement):
                continue
            result.extend(self.accept(now_s, forward.announcement, age_s))
            self.forwards[address] = forward
        return result

    def handle_forwarded(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Accepts an announcement that another host received.

        A host that is not the aggregator in its own view accepts it as well,
        since views differ for a while when members join or leave.
        """
        message = event.message
        assert isinstance(message, target_messages.TargetForwarded)
        invalid = announcement_checks.check(message.announcement)
        if invalid is not None:
            return [self._record_skipped(event, invalid)]
        address = ip.pack_address(message.announcement.address)
        return self._renew(
            event.now_s, address, message.announcement, message.age_s
        )

    def handle_changed(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Applies a change that the aggregator accepted."""
        message = event.message
        assert isinstance(message, target_messages.TargetChanged)
        announcement = message.announcement
        received = effects.SendMessage(
            event.sender,
            target_messages.TargetReceived(
                announcement.address, message.sequence
            ),
        )
        invalid = announcement_checks.check(announcement)
        if invalid is not None:
            return [received, self._record_skipped(event, invalid)]
        address = ip.pack_address(announcement.address)
        expires_s = event.now_s if message.expired else lease_table.NEVER_S
        target = lease_table.TargetLease(
            announcement, message.sequence, event.sender.host, expires_s
        )
        held = self.table.targets.get(address)
        result: list[effects.Effect] = [received]
        if held is not None and held.order >= target.order:
            return result
        if self._aggregator(address).host == self.context.host.host:
            self.unconfirmed.add(address)
            if not message.expired:
                target.expires_s = event.now_s + announcement.lease_s
        self.table.put(target)
        result.extend(self._record(event.now_s, held, target))
        return result

    def _record_skipped(
        self, event: events.MessageArrived, invalid: failure.Failure
    ) -> effects.Effect:
        """Returns the time line record of a target that another host sent."""
        return self.context.record(
            event.now_s,
            "targets-skipped",
            reason=invalid.reason,
            detail=f"from {event.sender.host}: {invalid.detail}",
        )

    def handle_received(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Handles the acknowledgement of a change."""
        message = event.message
        assert isinstance(message, target_messages.TargetReceived)
        self.outbox.acknowledge(
            event.sender.host, message.address, message.sequence
        )
        return []

    def handle_timer(self, event: events.TimerFired) -> list[effects.Effect]:
        """Expires leases, sends targets to new members and resends changes."""
        now_s = event.now_s
        live = self.members()
        names = {peer.host for peer in live}
        result: list[effects.Effect] = [effects.StartTimer(TIMER, TICK_S)]
        result.extend(self.outbox.resend(now_s, names))
        result.extend(self._resend_forwards(now_s))
        new_members = [
            peer for peer in live if peer.host not in self.known_members
        ]
        has_changed = names != self.known_members
        self.known_members = names
        for address, target in list(self.table.targets.items()):
            if not self._is_aggregator(address):
                self.announced_s.pop(address, None)
                continue
            if has_changed:
                result.extend(self._take_over(now_s, target, new_members))
            result.extend(self._expire(now_s, address, target))
        return result

    def _renew(
        self,
        now_s: float,
        address: bytes,
        announcement: requests.Announce,
        age_s: float,
    ) -> list[effects.Effect]:
        """Renews the lease of a target; broadcasts what has changed."""
        at_s = now_s - age_s
        held = self.table.targets.get(address)
        if at_s < self.announced_s.get(address, at_s):
            return []
        if held and announcement.incarnation < held.announcement.incarnation:
            return []
        self.announced_s[address] = at_s
        expires_s = at_s + announcement.lease_s
        is_new = held is None or held.expires_s <= now_s
        is_confirmed = not is_new and address not in self.unconfirmed
        if (
            held
            and is_confirmed
            and not _is_change(held.announcement, announcement)
        ):
            held.announcement = announcement
            held.expires_s = expires_s
            return []
        self.unconfirmed.discard(address)
        sequence = held.sequence + 1 if held else 1
        host = self.context.host.host
        target = lease_table.TargetLease(
            announcement, sequence, host, expires_s
        )
        self.table.put(target)
        result = self._record(now_s, held, target)
        message = target_messages.TargetChanged(announcement, sequence)
        return result + self.outbox.send(now_s, self.members(), message)

    def _take_over(
        self,
        now_s: float,
        target: lease_table.TargetLease,
        new_members: list[peers.Peer],
    ) -> list[effects.Effect]:
        """Starts the lease of a target that this host aggregates from now on.

        The target is also sent to the members that have just joined.
        """
        address = ip.pack_address(target.announcement.address)
        if target.expires_s == lease_table.NEVER_S:
            self.unconfirmed.add(address)
            target.expires_s = now_s + target.announcement.lease_s
        message = target_messages.TargetChanged(
            target.announcement, target.sequence, target.expires_s <= now_s
        )
        return self.outbox.send(now_s, new_members, message)

    def _expire(
        self, now_s: float, address: bytes, target: lease_table.TargetLease
    ) -> list[effects.Effect]:
        """Ends a lease that has run out; later removes the target."""
        if target.expires_s > now_s:
            return []
        if now_s - target.expires_s > EXPIRED_RETENTION_S:
            self.table.remove(address)
            self.announced_s.pop(address, None)
            return []
        if address not in self.announced_s and address not in self.unconfirmed:
            return []
        self.announced_s.pop(address, None)
        self.unconfirmed.discard(address)
        target.sequence += 1
        target.aggregator = self.context.host.host
        message = target_messages.TargetChanged(
            target.announcement, target.sequence, expired=True
        )
        result: list[effects.Effect] = [
            self.context.record(
                now_s,
                "target-expired",
                service=target.announcement.service,
                target=target.announcement.address,
                reason="lease-ran-out",
            )
        ]
        return result + self.outbox.send(now_s, self.members(), message)

    def _aggregator(self, address: bytes) -> peers.Peer:
        """Returns the live host with the highest weight for a target."""
        return max(
            (self.context.host, *self.members()),
            key=lambda peer: _weight(address, peer.host),
        )

    def _is_aggregator(self, address: bytes) -> bool:
        """Returns whether this host aggregates a target."""
        return self._aggregator(address).host == self.context.host.host

    def _record(
        self,
        now_s: float,
        before: lease_table.TargetLease | None,
        after: lease_table.TargetLease,
    ) -> list[effects.Effect]:
        """Returns the time line record of a change of state at this host."""
        state = _state(after)
        if before is not None and _state(before) == state:
            return []
        return [
            self.context.record(
                now_s,
                f"target-{state}",
                service=after.announcement.service,
                target=after.announcement.address,
            )
        ]


def _state(target: lease_table.TargetLease) -> str:
    """Returns the state of a target as text, for event names."""
    return str(target.announcement.state)


def _is_change(old: requests.Announce, new: requests.Announce) -> bool:
    """Returns whether an announcement is more than a renewal."""
    return (
        old.service,
        old.domain,
        old.state,
        old.slots,
        old.connections,
        old.incarnation,
        old.healthy,
    ) != (
        new.service,
        new.domain,
        new.state,
        new.slots,
        new.connections,
        new.incarnation,
        new.healthy,
    )


def _weight(address: bytes, host: str) -> bytes:
    """Returns the pseudo-random weight of a host for a target."""
    return hashlib.blake2b(
        address + host.encode(), digest_size=_DIGEST_BYTES
    ).digest()
