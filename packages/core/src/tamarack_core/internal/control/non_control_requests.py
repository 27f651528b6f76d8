"""Answers operators at a host without the control role."""

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.distribution import configuration_store


class NonControlRequests:
    """Part that answers what needs no control host, and refuses the rest.

    Attributes:
        config_store: Configuration in force at this host.
        control_hosts: Endpoints of the control hosts, for the operator.
    """

    __slots__ = ("config_store", "control_hosts")

    def __init__(
        self,
        config_store: configuration_store.ConfigurationStore,
        control_hosts: tuple[str, ...],
    ) -> None:
        """Creates the part.

        Args:
            config_store: Configuration in force at this host.
            control_hosts: Endpoints of the control hosts, for the operator.
        """
        self.config_store = config_store
        self.control_hosts = control_hosts

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {
            requests.SubmitPatch: self.refuse,
            requests.ReadLog: self.refuse,
            requests.ReadMembers: self.refuse,
            requests.ChangeMember: self.refuse,
            requests.ReadConfiguration: self.handle_read,
        }

    def refuse(self, event: events.RequestArrived) -> list[effects.Effect]:
        """Refuses a request and names the hosts to ask."""
        hosts = " ".join(self.control_hosts)
        refused = requests.Refused(
            "not-a-control-host", f"ask a control host: {hosts or 'unknown'}"
        )
        return [effects.Respond(event.request_id, refused)]

    def handle_read(self, event: events.RequestArrived) -> list[effects.Effect]:
        """Answers with the configuration in force at this host."""
        answer = requests.ConfigurationRead(self.config_store.numbered)
        return [effects.Respond(event.request_id, answer)]
