"""Addresses, ports and settings of a planned deployment."""

import dataclasses
import itertools

from tamarack_core import assembly
from tamarack_core import peers
from tamarack_lab import fabric as fabric_lib
from tamarack_lab.caller import settings as caller_settings
from tamarack_lab.deployment import plan as plans
from tamarack_lab.deployment import ports as ports_lib
from tamarack_lab.target import settings as target_settings
from tamarack_node import settings as node_settings

_CALLERS = 20


@dataclasses.dataclass(slots=True)
class Layout:
    """Where everything of a deployment is.

    Attributes:
        plan: The deployment.
        fabric: Endpoint of the fabric.
        fabric_http: HTTP endpoint of the fabric.
        targets: UDP endpoint of the target process.
        targets_http: HTTP endpoint of the target process.
        callers: UDP endpoint of the caller process.
        callers_http: HTTP endpoint of the caller process.
        entries: Entry hosts, in the order of their start.
        controls: Control hosts.
        folder: Folder of durable state.
        seed: Seed of all chance.
        ports: Gives out free ports.
    """

    plan: plans.Plan
    folder: str
    seed: int
    fabric: peers.Endpoint
    fabric_http: peers.Endpoint
    targets: peers.Endpoint
    targets_http: peers.Endpoint
    callers: peers.Endpoint
    callers_http: peers.Endpoint
    entries: list[peers.Peer]
    controls: list[peers.Peer]
    ports: ports_lib.Ports

    @property
    def hosts(self) -> list[peers.Peer]:
        """All hosts of the system."""
        return [*self.controls, *self.entries]

    def in_domain(self, domain: str) -> list[peers.Peer]:
        """Returns the entry hosts of a failure domain."""
        return [entry for entry in self.entries if entry.domain == domain]

    def replace(self, lost: peers.Peer, name: str) -> peers.Peer:
        """Returns a new entry host that stands in for a lost one.

        Args:
            lost: Entry host that is gone for good.
            name: Name of the new one.
        """
        found = _entry(name, lost.domain, self.ports)
        self.entries[self.entries.index(lost)] = found
        return found

    def host_settings(self, host: peers.Peer) -> node_settings.Settings:
        """Returns the settings of a host of the system."""
        is_entry = host.data is not None
        return node_settings.Settings(
            host=host.host,
            domain=host.domain,
            roles=(assembly.Role.ENTRY if is_entry else assembly.Role.CONTROL,),
            control=host.control,
            data=host.data,
            fabric=self.fabric if is_entry else None,
            peers=tuple(peer for peer in self.hosts if peer != host),
            data_folder="" if is_entry else f"{self.folder}/{host.host}",
            seed=self.seed,
        )

    def fabric_settings(self) -> fabric_lib.Settings:
        """Returns the settings of the fabric."""
        return fabric_lib.Settings(
            listen=self.fabric,
            http=self.fabric_http,
            seed=self.seed,
            domains={
                domain: self.data_endpoints(domain)
                for domain in self.plan.domains
            },
            services=tuple(
                fabric_lib.Service(service.address)
                for service in self.plan.services
            ),
            routes=(*self._target_routes(), *self._caller_routes()),
        )

    def data_endpoints(self, domain: str) -> tuple[peers.Endpoint, ...]:
        """Returns where the entry hosts of a failure domain take packets."""
        return tuple(
            entry.data for entry in self.in_domain(domain) if entry.data
        )

    def control_endpoints(self, domain: str) -> tuple[peers.Endpoint, ...]:
        """Returns where the entry hosts of a failure domain take HTTP."""
        return tuple(entry.control for entry in self.in_domain(domain))

    def members(self) -> list[target_settings.Member]:
        """Returns all targets, spread over the failure domains."""
        numbers = itertools.count()
        domains = self.plan.domains
        return [
            target_settings.Member(
                service=service.name,
                address=f"{service.network}.{number + 1}",
                domain=domains[next(numbers) % len(domains)],
            )
            for service in self.plan.services
            for number in range(service.targets)
        ]

    def target_settings(self) -> target_settings.Settings:
        """Returns the settings of the target process."""
        return target_settings.Settings(
            listen=self.targets,
            fabric=self.fabric,
            http=self.targets_http,
            services={
                service.name: _target_service(service)
                for service in self.plan.services
            },
            targets=tuple(self.members()),
            entries={
                domain: self.control_endpoints(domain)
                for domain in self.plan.domains
            },
            lease_s=6.0,
            drain_s=5.0,
            seed=self.seed,
        )

    def caller_settings(
        self, duration_s: float, grace_s: float
    ) -> caller_settings.Settings:
        """Returns the settings of the caller process.

        Args:
            duration_s: Seconds during which connections are opened.
            grace_s: Seconds given to bounded connections after that.
        """
        return caller_settings.Settings(
            listen=self.callers,
            fabric=self.fabric,
            http=self.callers_http,
            addresses=tuple(address for address, _ in self._caller_addresses()),
            loads=tuple(
                work_class.load(service)
                for service in self.plan.services
                for work_class in service.classes
            ),
            duration_s=duration_s,
            grace_s=grace_s,
            seed=self.seed,
        )

    def _caller_addresses(self) -> list[tuple[str, str]]:
        """Returns the callers' addresses, each with its failure domain."""
        domains = itertools.cycle(self.plan.domains)
        return [
            (f"{self.plan.callers}.{number + 1}", next(domains))
            for number in range(_CALLERS)
        ]

    def _caller_routes(self) -> list[fabric_lib.Route]:
        """Returns the routes to the callers."""
        return [
            fabric_lib.Route(f"{address}/32", self.callers, domain)
            for address, domain in self._caller_addresses()
        ]

    def _target_routes(self) -> list[fabric_lib.Route]:
        """Returns the routes to the targets."""
        return [
            fabric_lib.Route(
                f"{member.address}/32", self.targets, member.domain
            )
            for member in self.members()
        ]


def build(plan: plans.Plan, folder: str, seed: int) -> Layout:
    """Returns the layout of a deployment on free loopback ports.

    Args:
        plan: The deployment.
        folder: Folder of durable state.
        seed: Seed of all chance.
    """
    ports = ports_lib.Ports()
    domains = itertools.cycle(plan.domains)
    entries = [
        _entry(f"{plan.name}-entry-{number + 1}", next(domains), ports)
        for number in range(plan.entry_hosts)
    ]
    domains = itertools.cycle(plan.domains)
    controls = [
        peers.Peer(
            f"{plan.name}-control-{number + 1}", next(domains), ports.take()
        )
        for number in range(plan.control_hosts)
    ]
    return Layout(
        plan=plan,
        folder=folder,
        seed=seed,
        fabric=ports.take(),
        fabric_http=ports.take(),
        targets=ports.take(),
        targets_http=ports.take(),
        callers=ports.take(),
        callers_http=ports.take(),
        entries=entries,
        controls=controls,
        ports=ports,
    )


def _entry(name: str, domain: str, ports: ports_lib.Ports) -> peers.Peer:
    """Returns an entry host on free ports."""
    return peers.Peer(name, domain, ports.take(), ports.take())


def _target_service(service: plans.Service) -> target_settings.Service:
    """Returns what the targets of a service have in common."""
    return target_settings.Service(
        ports=tuple(
            target_settings.Port(
                work_class=work_class.name,
                port=work_class.settings.target_port,
                cost=work_class.settings.cost,
            )
            for work_class in service.classes
        ),
        slots=service.slots,
        connections=service.connections,
    )
