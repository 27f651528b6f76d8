"""Requests of operators at hosts without the control role."""

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.distribution import configuration_store


class NonControlRequests:
    """Component that responds locally to reads of the configuration.

    It refuses all requests that need a control host.

    Attributes:
        config_store: Configuration in force at this host.
        control_hosts: Endpoints of the control hosts, for error messages.
    """

    __slots__ = ("config_store", "control_hosts")

    def __init__(
        self,
        config_store: configuration_store.ConfigurationStore,
        control_hosts: tuple[str, ...],
    ) -> None:
        """Initializes the component.

        Args:
            config_store: Configuration in force at this host.
            control_hosts: Endpoints of the control hosts, for error messages.
        """
        self.config_store = config_store
        self.control_hosts = control_hosts

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            requests.SubmitPatch: self.refuse,
            requests.ReadLog: self.refuse,
            requests.ReadMembers: self.refuse,
            requests.ChangeMember: self.refuse,
            requests.ReadConfiguration: self.handle_read,
        }

    def refuse(self, event: events.RequestArrived) -> list[effects.Effect]:
        """Refuses a request and lists the control hosts."""
        hosts = " ".join(self.control_hosts)
        refused = requests.Refused(
            "not-a-control-host",
            f"send the request to a control host: {hosts or 'unknown'}",
        )
        return [effects.Respond(event.request_id, refused)]

    def handle_read(self, event: events.RequestArrived) -> list[effects.Effect]:
        """Responds with the configuration in force at this host."""
        response = requests.ConfigurationRead(self.config_store.numbered)
        return [effects.Respond(event.request_id, response)]
