"""Addresses, ports and settings of a planned deployment."""

import dataclasses
import ipaddress
import itertools

from tamarack_core import assembly
from tamarack_core import peers
from tamarack_lab import fabric as fabric_lib
from tamarack_lab.caller import settings as caller_settings
from tamarack_lab.deployment import plan as plans
from tamarack_lab.deployment import port_allocator as port_allocators
from tamarack_lab.proxy import settings as proxy_lib
from tamarack_lab.target import settings as target_settings
from tamarack_node import settings as node_settings

_CALLERS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Listening:
    """Where a host binds its sockets behind a proxy.

    Attributes:
        control: Endpoint in place of the one that other hosts know.
        data: The same for Geneve; None on a host without the entry role.
    """

    control: peers.Endpoint
    data: peers.Endpoint | None


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
        listening: Where the hosts bind their sockets, by name, when a proxy
            is between them; hosts reach each other through it.
    """

    plan: plans.DeploymentPlan
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
    ports: port_allocators.PortAllocator
    listening: dict[str, Listening] = dataclasses.field(default_factory=dict)

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
        listening = self.listening.get(host.host)
        return node_settings.Settings(
            host=host.host,
            domain=host.domain,
            roles=(assembly.Role.ENTRY if is_entry else assembly.Role.CONTROL,),
            control=host.control,
            data=host.data,
            control_listen=listening.control if listening else None,
            data_listen=listening.data if listening else None,
            fabric=self.fabric if is_entry else None,
            peers=tuple(peer for peer in self.hosts if peer != host),
            data_folder="" if is_entry else f"{self.folder}/{host.host}",
            voters=tuple(peer.host for peer in self.controls),
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
            endpoint
            for endpoint in map(self.data_endpoint, self.in_domain(domain))
            if endpoint is not None
        )

    def data_endpoint(self, entry: peers.Peer) -> peers.Endpoint | None:
        """Returns where the fabric sends the packets of an entry host."""
        listening = self.listening.get(entry.host)
        return listening.data if listening else entry.data

    def put_behind_proxy(self) -> None:
        """Gives each failure domain loopback addresses of its own.

        The endpoints that the hosts have so far become those of a proxy.
        """
        numbers = {d: n for n, d in enumerate(self.plan.domains, start=1)}
        for host in self.hosts:
            address = domain_address(numbers[host.domain])
            self.listening[host.host] = Listening(
                self.ports.allocate(address),
                self.ports.allocate(address) if host.data else None,
            )

    def proxy_settings(self) -> proxy_lib.Settings:
        """Returns the settings of the proxy between the hosts."""
        return proxy_lib.Settings(
            links=tuple(
                link
                for host in self.hosts
                for link in _links(host, self.listening[host.host])
            ),
            seed=self.seed,
        )

    def partition_faults(self, domain: str) -> list[proxy_lib.Fault]:
        """Returns faults that cut a failure domain off from the others."""
        number = self.plan.domains.index(domain) + 1
        inside = domain_address(number)
        outside = tuple(
            domain_address(other + 1)
            for other in range(len(self.plan.domains))
            if other + 1 != number
        )
        return [
            proxy_lib.Fault(
                links=(f"{domain}/*",), senders=outside, partition=True
            ),
            *(
                proxy_lib.Fault(
                    links=(f"{other}/*",), senders=(inside,), partition=True
                )
                for other in self.plan.domains
                if other != domain
            ),
        ]

    def control_endpoints(self, domain: str) -> tuple[peers.Endpoint, ...]:
        """Returns where the entry hosts of a failure domain take HTTP."""
        return tuple(entry.control for entry in self.in_domain(domain))

    def members(self) -> list[target_settings.TargetSpec]:
        """Returns all targets, spread over the failure domains."""
        numbers = itertools.count()
        domains = self.plan.domains
        return [
            target_settings.TargetSpec(
                service=service.name,
                address=_address(service.network, number),
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
            (_address(network, number), next(domains))
            for network in self.plan.callers
            for number in range(_CALLERS)
        ]

    def _caller_routes(self) -> list[fabric_lib.Route]:
        """Returns the routes to the callers."""
        return [
            fabric_lib.Route(address, self.callers, domain)
            for address, domain in self._caller_addresses()
        ]

    def _target_routes(self) -> list[fabric_lib.Route]:
        """Returns the routes to the targets."""
        return [
            fabric_lib.Route(member.address, self.targets, member.domain)
            for member in self.members()
        ]


def build(
    plan: plans.DeploymentPlan,
    folder: str,
    seed: int,
    ports: port_allocators.PortAllocator | None = None,
) -> Layout:
    """Returns the layout of a deployment on free loopback ports.

    Args:
        plan: The deployment.
        folder: Folder of durable state.
        seed: Seed of all chance.
        ports: Gives out free ports; shared by deployments side by side.
    """
    ports = ports or port_allocators.PortAllocator()
    domains = itertools.cycle(plan.domains)
    entries = [
        _entry(f"{plan.name}-entry-{number + 1}", next(domains), ports)
        for number in range(plan.entry_hosts)
    ]
    domains = itertools.cycle(plan.domains)
    controls = [
        peers.Peer(
            f"{plan.name}-control-{number + 1}", next(domains), ports.allocate()
        )
        for number in range(plan.control_hosts)
    ]
    return Layout(
        plan=plan,
        folder=folder,
        seed=seed,
        fabric=ports.allocate(),
        fabric_http=ports.allocate(),
        targets=ports.allocate(),
        targets_http=ports.allocate(),
        callers=ports.allocate(),
        callers_http=ports.allocate(),
        entries=entries,
        controls=controls,
        ports=ports,
    )


def _entry(
    name: str, domain: str, ports: port_allocators.PortAllocator
) -> peers.Peer:
    """Returns an entry host on free ports."""
    return peers.Peer(name, domain, ports.allocate(), ports.allocate())


def _address(network: str, number: int) -> str:
    """Returns an address of a network, counted from 0."""
    return str(ipaddress.ip_network(network)[number + 1])


def domain_address(number: int) -> str:
    """Returns the loopback address of the hosts of a failure domain.

    Args:
        number: Number of the failure domain, from 1.
    """
    return f"127.0.{number}.1"


def _links(host: peers.Peer, listening: Listening) -> list[proxy_lib.Link]:
    """Returns the links of the proxy to a host."""
    name = f"{host.domain}/{host.host}"
    udp, tcp = proxy_lib.Protocol.UDP, proxy_lib.Protocol.TCP
    links = [
        proxy_lib.Link(
            f"{name}/messages", udp, host.control, listening.control
        ),
        proxy_lib.Link(f"{name}/http", tcp, host.control, listening.control),
    ]
    if host.data is not None and listening.data is not None:
        links.append(
            proxy_lib.Link(f"{name}/data", udp, host.data, listening.data)
        )
    return links


def _target_service(service: plans.Service) -> target_settings.Service:
    """Returns what the targets of a service have in common."""
    return target_settings.Service(
        ports=tuple(
            target_settings.Port(
                work_class=work_class.name,
                port=work_class.settings.target_port,
                protocol=work_class.settings.protocol,
                cost=work_class.settings.cost,
            )
            for work_class in service.classes
        ),
        slots=service.slots,
        connections=service.connections,
    )
