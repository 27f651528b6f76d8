"""Descriptions of deployments, including those of the current users."""

import dataclasses

from tamarack_core import configuration
from tamarack_lab.caller import settings as caller_settings

BOUNDED = configuration.Lifetime.BOUNDED
LONG_LIVED = configuration.Lifetime.LONG_LIVED


@dataclasses.dataclass(frozen=True, slots=True)
class WorkClass:
    """A work class and the load that callers generate for it.

    Attributes:
        name: Name of the work class.
        settings: Settings in the configuration.
        rate: New connections per second.
        most: Maximum number of concurrent connections; 0 for no limit.
        answer_bytes: Length of the padding of each response in bytes.
    """

    name: str
    settings: configuration.WorkClass
    rate: float
    most: int = 0
    answer_bytes: int = 0

    def load(self, service: "Service") -> caller_settings.Load:
        """Returns the load that callers generate for this work class."""
        return caller_settings.Load(
            service=service.name,
            work_class=self.name,
            address=service.address,
            port=self.settings.port,
            protocol=self.settings.protocol,
            lifetime=self.settings.lifetime,
            rate=self.rate,
            most=self.most,
            answer_bytes=self.answer_bytes,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and its targets.

    Attributes:
        name: Name of the service.
        address: Service address.
        network: Network of its targets in CIDR notation.
        targets: Number of targets.
        classes: Work classes.
        weights: Weights of broken connections and of uneven load.
        slots: Requests that a target runs concurrently.
        connections: Maximum number of connections of a target.
    """

    name: str
    address: str
    network: str
    targets: int
    classes: tuple[WorkClass, ...]
    weights: configuration.Weights = dataclasses.field(
        default_factory=configuration.Weights
    )
    slots: int = 2
    connections: int = 2000

    def configuration(self) -> configuration.Service:
        """Returns the configuration of the service."""
        return configuration.Service(
            addresses=(self.address,),
            classes={c.name: c.settings for c in self.classes},
            target_networks=(self.network,),
            weights=self.weights,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """Description of a deployment.

    Attributes:
        name: Name of the deployment.
        domains: Names of the failure domains.
        entry_hosts: Number of entry hosts, spread over the domains.
        control_hosts: Number of control hosts, spread over the domains.
        services: Services and their targets.
        callers: Networks of the callers in CIDR notation.
    """

    name: str
    domains: tuple[str, ...]
    entry_hosts: int
    control_hosts: int
    services: tuple[Service, ...]
    callers: tuple[str, ...] = ("10.7.0.0/24",)

    def document(self) -> configuration.Configuration:
        """Returns the configuration document with all services."""
        return configuration.Configuration(
            {service.name: service.configuration() for service in self.services}
        )


ASOCIACION = DeploymentPlan(
    name="asociacion",
    domains=("stgo-a", "stgo-b", "rancagua"),
    entry_hosts=7,
    control_hosts=3,
    services=(
        Service(
            name="agenda",
            address="10.9.0.1",
            network="10.1.1.0/24",
            targets=7,
            classes=(
                WorkClass(
                    "routes",
                    configuration.WorkClass(
                        port=80,
                        target_port=8080,
                        lifetime=LONG_LIVED,
                        cost=1.0,
                    ),
                    rate=10.0,
                    most=100,
                ),
                WorkClass(
                    "reports",
                    configuration.WorkClass(
                        port=81,
                        target_port=8081,
                        lifetime=BOUNDED,
                        cost=3.0,
                        idempotent=False,
                    ),
                    rate=15.0,
                ),
            ),
            weights=configuration.Weights(broken_flows=1.0, imbalance=2.0),
        ),
        Service(
            name="informe",
            address="10.9.0.2",
            network="10.1.2.0/24",
            targets=3,
            classes=(
                WorkClass(
                    "certificates",
                    configuration.WorkClass(
                        port=80,
                        target_port=8080,
                        lifetime=BOUNDED,
                        cost=2.0,
                    ),
                    rate=15.0,
                ),
            ),
        ),
    ),
)

GLOCKENTON = DeploymentPlan(
    name="glockenton",
    domains=("at-east-a", "at-east-b", "at-east-c", "at-east-d"),
    entry_hosts=7,
    control_hosts=3,
    services=(
        Service(
            name="schedule-svc",
            address="10.9.0.1",
            network="10.1.1.0/24",
            targets=7,
            classes=(
                WorkClass(
                    "feeds",
                    configuration.WorkClass(
                        port=80,
                        target_port=8080,
                        lifetime=LONG_LIVED,
                        cost=1.0,
                    ),
                    rate=10.0,
                    most=100,
                ),
                WorkClass(
                    "edits",
                    configuration.WorkClass(
                        port=81,
                        target_port=8081,
                        lifetime=BOUNDED,
                        cost=2.0,
                        idempotent=False,
                    ),
                    rate=15.0,
                ),
            ),
            weights=configuration.Weights(broken_flows=2.0, imbalance=1.0),
        ),
        Service(
            name="chime-store",
            address="10.9.0.2",
            network="10.1.2.0/24",
            targets=4,
            classes=(
                WorkClass(
                    "recordings",
                    configuration.WorkClass(
                        port=80,
                        target_port=8080,
                        lifetime=BOUNDED,
                        cost=2.0,
                    ),
                    rate=6.0,
                    answer_bytes=50_000,
                ),
            ),
        ),
    ),
)
