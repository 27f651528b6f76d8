"""Checks the announcements of targets at the host that receives them."""

import ipaddress

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.targets import lease_aggregator as aggregation_lib

MAX_LEASE_S = 60.0


class AnnouncementValidator:
    """Part that handles the announcements of targets.

    Attributes:
        context: Identity, chance, time and counters.
        config_store: Configuration in force, which names the target networks.
        aggregation: Keeps the leases.
    """

    __slots__ = ("aggregation", "config_store", "context")

    def __init__(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        aggregation: aggregation_lib.LeaseAggregator,
    ) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            config_store: Configuration in force.
            aggregation: Keeps the leases.
        """
        self.context = context
        self.config_store = config_store
        self.aggregation = aggregation

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {requests.Announce: self.handle_announce}

    def handle_announce(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Refuses an announcement, or hands it to the aggregation."""
        announcement = event.request
        assert isinstance(announcement, requests.Announce)
        refusal = self._check(announcement)
        if refusal is None:
            refusal = self._check_held(event.now_s, announcement)
        if refusal is not None:
            return [effects.Respond(event.request_id, refusal)]
        answer = requests.Announced(announcement.lease_s)
        return [
            *self.aggregation.accept(event.now_s, announcement),
            effects.Respond(event.request_id, answer),
        ]

    def _check_held(
        self, now_s: float, announcement: requests.Announce
    ) -> requests.Refused | None:
        """Returns why an announcement clashes with the one held."""
        address = ipaddress.ip_address(announcement.address).packed
        held = self.aggregation.table.targets.get(address)
        if held is None or held.expires_s <= now_s:
            return None
        newest = held.announcement.incarnation
        if announcement.incarnation >= newest:
            return None
        return requests.Refused(
            "stale-incarnation",
            f"incarnation {announcement.incarnation} of "
            f"{announcement.address} is older than {newest}; "
            "raise it at each start of the target",
        )

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
        if announcement.slots < 1 or announcement.connections < 1:
            return requests.Refused(
                "bad-capacity",
                f"slots {announcement.slots} and connections "
                f"{announcement.connections} must be at least 1; "
                "announce what the target can take",
            )
        if not 0 < announcement.lease_s <= MAX_LEASE_S:
            return requests.Refused(
                "bad-lease",
                f"lease_s {announcement.lease_s} is out of range; "
                f"choose more than 0 and at most {MAX_LEASE_S:g}",
            )
        service = self.config_store.lookup.find_service(address)
        if service != announcement.service:
            return requests.Refused(
                "wrong-service",
                f"address {announcement.address} belongs to "
                f"{service or 'no service'}, not {announcement.service}; "
                "announce from a target network of the service",
            )
        return None
