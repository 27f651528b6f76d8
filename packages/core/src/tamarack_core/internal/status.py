"""Answers status requests about this host."""

from collections.abc import Callable

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.distribution import configuration_store


class Status:
    """Part that reports the state of this host.

    Attributes:
        context: Identity, chance, time and counters.
        config_store: Configuration in force.
        roles: Roles of this host.
        members: Returns the hosts held to be alive.
        targets: Returns the number of targets known.
        flows: Returns the number of flows known.
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
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            config_store: Configuration in force.
            roles: Roles of this host.
            members: Returns the hosts held to be alive.
            targets: Returns the number of targets known.
            flows: Returns the number of flows known.
        """
        self.context = context
        self.config_store = config_store
        self.roles = roles
        self.members = members
        self.targets = targets
        self.flows = flows

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {requests.ReadStatus: self.handle_status}

    def handle_status(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Answers with the state of this host."""
        answer = requests.StatusRead(
            host=self.context.host.host,
            domain=self.context.host.domain,
            roles=self.roles,
            version=self.config_store.numbered.version,
            since_ms=self.config_store.since_ms,
            members=self.members(),
            targets=self.targets(),
            flows=self.flows(),
            counters=dict(self.context.counters),
        )
        return [effects.Respond(event.request_id, answer)]
