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

_CALLERS_PER_NETWORK = 20


@dataclasses.dataclass(frozen=True, slots=True)
class BindEndpoints:
    """Endpoints that a host binds its sockets to behind a proxy.

    Attributes:
        control: Endpoint for HTTP and messages; other hosts use the
            advertised endpoint, which is that of the proxy.
        data: Endpoint for Geneve; None on a host without the entry role.
    """

    control: peers.Endpoint
    data: peers.Endpoint | None


@dataclasses.dataclass(slots=True)
class Layout:
    """Addresses, ports and folders of a deployment.

    Attributes:
        plan: Description of the deployment.
        fabric: Endpoint of the fabric.
        fabric_http: HTTP endpoint of the fabric.
        targets: UDP endpoint of the target process.
        targets_http: HTTP endpoint of the target process.
        callers: UDP endpoint of the caller process.
        callers_http: HTTP endpoint of the caller process.
        entries: Entry hosts in the order in which they are started.
        controls: Control hosts.
        folder: Folder of the durable state.
        seed: Seed of all random generators.
        ports: Allocator of free ports.
        bind_endpoints: Endpoints that the hosts bind, by host name, if they
            reach each other through a proxy; otherwise empty.
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
    bind_endpoints: dict[str, BindEndpoints] = dataclasses.field(
        default_factory=dict
    )

    @property
    def hosts(self) -> list[peers.Peer]:
        """All control hosts and entry hosts."""
        return [*self.controls, *self.entries]

    def entries_in_domain(self, domain: str) -> list[peers.Peer]:
        """Returns the entry hosts of a failure domain."""
        return [entry for entry in self.entries if entry.domain == domain]

    def replace(self, lost: peers.Peer, name: str) -> peers.Peer:
        """Replaces a lost entry host by a new one and returns the new one.

        Args:
            lost: Entry host that won't return.
            name: Name of the new entry host.
        """
        replacement = _entry(name, lost.domain, self.ports)
        self.entries[self.entries.index(lost)] = replacement
        return replacement

    def host_settings(self, host: peers.Peer) -> node_settings.Settings:
        """Returns the settings of a control host or an entry host."""
        is_entry = host.data is not None
        bind_endpoints = self.bind_endpoints.get(host.host)
        return node_settings.Settings(
            host=host.host,
            domain=host.domain,
            roles=(assembly.Role.ENTRY if is_entry else assembly.Role.CONTROL,),
            control=host.control,
            data=host.data,
            control_listen=bind_endpoints.control if bind_endpoints else None,
            data_listen=bind_endpoints.data if bind_endpoints else None,
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
        """Returns the endpoints for packets of a domain's entry hosts."""
        return tuple(
            endpoint
            for endpoint in map(
                self.data_endpoint, self.entries_in_domain(domain)
            )
            if endpoint is not None
        )

    def data_endpoint(self, entry: peers.Peer) -> peers.Endpoint | None:
        """Returns the endpoint to which the fabric sends packets of a host."""
        bind_endpoints = self.bind_endpoints.get(entry.host)
        return bind_endpoints.data if bind_endpoints else entry.data

    def put_behind_proxy(self) -> None:
        """Gives each failure domain its own loopback address.

        The previous endpoints of the hosts become those of a proxy.
        """
        numbers = {d: n for n, d in enumerate(self.plan.domains, start=1)}
        for host in self.hosts:
            address = domain_address(numbers[host.domain])
            self.bind_endpoints[host.host] = BindEndpoints(
                self.ports.allocate(address),
                self.ports.allocate(address) if host.data else None,
            )

    def proxy_settings(self) -> proxy_lib.Settings:
        """Returns the settings of the proxy between the hosts."""
        return proxy_lib.Settings(
            links=tuple(
                link
                for host in self.hosts
                for link in _proxy_links(host, self.bind_endpoints[host.host])
            ),
            seed=self.seed,
        )

    def partition_faults(self, domain: str) -> list[proxy_lib.Fault]:
        """Returns the proxy faults that isolate a failure domain."""
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
        """Returns the HTTP endpoints of the entry hosts of a domain."""
        return tuple(entry.control for entry in self.entries_in_domain(domain))

    def target_specs(self) -> list[target_settings.TargetSpec]:
        """Returns all targets, distributed over the failure domains."""
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
            targets=tuple(self.target_specs()),
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
            duration_s: Duration in seconds in which connections are opened.
            grace_s: Seconds after that for bounded connections to finish.
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
        """Returns the address and failure domain of each caller."""
        domains = itertools.cycle(self.plan.domains)
        return [
            (_address(network, number), next(domains))
            for network in self.plan.callers
            for number in range(_CALLERS_PER_NETWORK)
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
            for member in self.target_specs()
        ]


def build(
    plan: plans.DeploymentPlan,
    folder: str,
    seed: int,
    ports: port_allocators.PortAllocator | None = None,
) -> Layout:
    """Allocates loopback ports and returns the layout of a deployment.

    Args:
        plan: Description of the deployment.
        folder: Folder of the durable state.
        seed: Seed of all random generators.
        ports: Allocator of free ports; shared by concurrent deployments.
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
    """Returns an entry host with newly allocated ports."""
    return peers.Peer(name, domain, ports.allocate(), ports.allocate())


def _address(network: str, number: int) -> str:
    """Returns the host address with an index, from 0, in a network."""
    return str(ipaddress.ip_network(network)[number + 1])


def domain_address(number: int) -> str:
    """Returns the loopback address that the hosts of a domain bind.

    Args:
        number: Number of the failure domain, starting at 1.
    """
    return f"127.0.{number}.1"


def _proxy_links(
    host: peers.Peer, bind_endpoints: BindEndpoints
) -> list[proxy_lib.Link]:
    """Returns the proxy links that lead to a host."""
    name = f"{host.domain}/{host.host}"
    udp, tcp = proxy_lib.Protocol.UDP, proxy_lib.Protocol.TCP
    links = [
        proxy_lib.Link(
            f"{name}/messages", udp, host.control, bind_endpoints.control
        ),
        proxy_lib.Link(
            f"{name}/http", tcp, host.control, bind_endpoints.control
        ),
    ]
    if host.data is not None and bind_endpoints.data is not None:
        links.append(
            proxy_lib.Link(f"{name}/data", udp, host.data, bind_endpoints.data)
        )
    return links


def _target_service(service: plans.Service) -> target_settings.Service:
    """Returns the settings that all targets of a service share."""
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
