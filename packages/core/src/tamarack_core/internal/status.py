"""Responds to requests for the status of this host."""

from collections.abc import Callable

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.distribution import configuration_store


class StatusReporter:
    """Component that reports the status of this host.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        config_store: Configuration in force.
        roles: Roles of this host.
        members: Returns the names of the other hosts considered alive; empty
            before this host has joined them.
        targets: Returns the number of known targets.
        flows: Returns the number of known flows.
    """

    __slots__ = (
        "config_store",
        "context",
        "flows",
        "members",
        "roles",
        "targets",
    )

    def __init__(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        roles: tuple[str, ...],
        members: Callable[[], tuple[str, ...]],
        targets: Callable[[], int],
        flows: Callable[[], int],
    ) -> None:
        """Initializes the status reporter.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            config_store: Configuration in force.
            roles: Roles of this host.
            members: Returns the names of the other hosts considered alive;
                empty before this host has joined them.
            targets: Returns the number of known targets.
            flows: Returns the number of known flows.
        """
        self.context = context
        self.config_store = config_store
        self.roles = roles
        self.members = members
        self.targets = targets
        self.flows = flows

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {requests.ReadStatus: self.handle_status}

    def handle_status(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Responds with the status of this host."""
        numbered = self.config_store.numbered
        response = requests.StatusRead(
            host=self.context.host.host,
            domain=self.context.host.domain,
            roles=self.roles,
            version=numbered.version,
            since_ms=self.config_store.since_ms,
            members=self.members(),
            targets=self.targets(),
            flows=self.flows(),
            counters=dict(self.context.counters),
            evacuated_domains=numbered.configuration.evacuated_domains,
        )
        return [effects.Respond(event.request_id, response)]
