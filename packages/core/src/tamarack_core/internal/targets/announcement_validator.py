"""Validation of announcements at the host that receives them."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.targets import announcement_checks
from tamarack_core.internal.targets import lease_aggregator
from tamarack_core.packets import ip


class AnnouncementValidator:
    """Component that validates and accepts the announcements of targets.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        config_store: Configuration in force, which lists the target networks.
        aggregator: Keeps the leases.
    """

    __slots__ = ("aggregator", "config_store", "context")

    def __init__(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        aggregator: lease_aggregator.LeaseAggregator,
    ) -> None:
        """Initializes the announcement validator.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            config_store: Configuration in force.
            aggregator: Keeps the leases.
        """
        self.context = context
        self.config_store = config_store
        self.aggregator = aggregator

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {requests.Announce: self.handle_announce}

    def handle_announce(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Refuses an announcement, or passes it to the lease aggregator."""
        announcement = event.request
        assert isinstance(announcement, requests.Announce)
        refusal = self._check_content(announcement)
        if refusal is None:
            refusal = self._check_incarnation(event.now_s, announcement)
        if refusal is not None:
            return [effects.Respond(event.request_id, refusal)]
        response = requests.Announced(announcement.lease_s)
        return [
            *self.aggregator.accept(event.now_s, announcement),
            effects.Respond(event.request_id, response),
        ]

    def _check_incarnation(
        self, now_s: float, announcement: requests.Announce
    ) -> requests.Refused | None:
        """Returns the refusal if the stored announcement is newer."""
        address = ip.pack_address(announcement.address)
        held = self.aggregator.table.targets.get(address)
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

    def _check_content(
        self, announcement: requests.Announce
    ) -> requests.Refused | None:
        """Returns the refusal if the announcement is invalid."""
        invalid = announcement_checks.check(announcement)
        if invalid is not None:
            return requests.Refused(invalid.reason, invalid.detail)
        address = ip.pack_address(announcement.address)
        service = self.config_store.lookup.find_service(address)
        if service != announcement.service:
            return requests.Refused(
                "wrong-service",
                f"address {announcement.address} belongs to "
                f"{service or 'no service'}, not {announcement.service}; "
                "announce from a target network of the service",
            )
        return None
