"""Accepts announcements of targets and passes them on in the domain."""

import ipaddress

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.distribution import holder
from tamarack_core.internal.targets import table
from tamarack_core.messages import targets as target_messages
from tamarack_core.packets import ip

MAX_LEASE_S = 60.0


class Announcements:
    """Part that handles the announcements of targets.

    Attributes:
        context: Identity, chance, time and counters.
        holder: Configuration in force, which names the target networks.
        table: Announced targets.
        peers: Other entry hosts of the failure domain.
    """

    __slots__ = ("context", "holder", "peers", "table")

    def __init__(
        self,
        context: context_lib.Context,
        configuration_holder: holder.Holder,
        target_table: table.TargetTable,
        entry_peers: tuple[peers.Peer, ...],
    ) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            configuration_holder: Configuration in force.
            target_table: Table to keep up to date.
            entry_peers: Other entry hosts of the failure domain.
        """
        self.context = context
        self.holder = configuration_holder
        self.table = target_table
        self.peers = entry_peers

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {
            requests.Announce: self.handle_announce,
            target_messages.TargetChanged: self.handle_changed,
        }

    def handle_announce(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Stores an announcement and passes it on."""
        announcement = event.request
        assert isinstance(announcement, requests.Announce)
        refusal = self._check(announcement)
        if refusal is not None:
            return [effects.Respond(event.request_id, refusal)]
        sequence = self.context.wall_ms(event.now_s)
        found: list[effects.Effect] = self._store(
            event.now_s, announcement, sequence
        )
        message = target_messages.TargetChanged(announcement, sequence)
        found.extend(effects.SendMessage(peer, message) for peer in self.peers)
        answer = requests.Announced(announcement.lease_s)
        found.append(effects.Respond(event.request_id, answer))
        return found

    def handle_changed(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Stores an announcement that another host accepted."""
        message = event.message
        assert isinstance(message, target_messages.TargetChanged)
        return self._store(event.now_s, message.announcement, message.sequence)

    def _store(
        self, now_s: float, announcement: requests.Announce, sequence: int
    ) -> list[effects.Effect]:
        """Stores an announcement; records a change of state."""
        address = ip.pack_address(announcement.address)
        before = self.table.targets.get(address)
        if not self.table.put(now_s, announcement, sequence):
            return []
        if before and before.announcement.state is announcement.state:
            return []
        return [
            self.context.record(
                now_s,
                f"target-{announcement.state}",
                service=announcement.service,
                target=announcement.address,
            )
        ]

    def _check(
        self, announcement: requests.Announce
    ) -> requests.Refused | None:
        """Returns why an announcement is refused, if it is."""
        try:
            address = ipaddress.ip_address(announcement.address).packed
        except ValueError:
            return requests.Refused(
                "bad-address",
                f"address {announcement.address!r} is not an IP address; "
                "announce the IPv4 or IPv6 address of the target",
            )
        if not 0 < announcement.lease_s <= MAX_LEASE_S:
            return requests.Refused(
                "bad-lease",
                f"lease_s {announcement.lease_s} is out of range; "
                f"choose more than 0 and at most {MAX_LEASE_S:g}",
            )
        service = self.holder.lookup.find_service(address)
        if service != announcement.service:
            return requests.Refused(
                "wrong-service",
                f"address {announcement.address} belongs to "
                f"{service or 'no service'}, not {announcement.service}; "
                "announce from a target network of the service",
            )
        return None
