"""Cost model of each role at a given system size."""

from collections.abc import Mapping
import enum
import itertools

import msgspec

from tamarack_lab.capacity import sizes

US_PER_S = 1_000_000.0
RENEWAL_INTERVAL_S = 3.0
# Drains, ejections and restarts per target and day.
TARGET_CHANGES_PER_DAY = 4.0
# Capacity of the bounded table in which a host that is neither owner nor backup
# of a flow caches its target.
LEARNED_FLOWS = 65_536


class Role(enum.StrEnum):
    """Role of a host whose cost is computed."""

    ENTRY = "entry"
    AGGREGATOR = "aggregator"
    RELAY = "relay"
    VOTER = "voter"


class Resource(enum.StrEnum):
    """Resource that a role consumes."""

    MEMORY = "memory"
    PROCESSOR = "processor"
    TRAFFIC = "traffic"


class Term(msgspec.Struct, frozen=True):
    """One term of the cost of a role.

    Attributes:
        role: The role.
        resource: Memory in bytes, processor as a share of a core, or traffic
            in bytes per second.
        name: Purpose for which the resource is consumed.
        amount: Amount consumed.
        mechanism: Mechanism that bounds the amount.
    """

    role: Role
    resource: Resource
    name: str
    amount: float
    mechanism: str


class Total(msgspec.Struct, frozen=True):
    """Cost of a role in one resource compared with the budget.

    Attributes:
        role: The role.
        resource: The resource.
        amount: Sum of the terms.
        budget: Largest amount allowed.
        is_exceeded: Whether the sum exceeds the budget.
        dominant: Name of the largest term.
    """

    role: Role
    resource: Resource
    amount: float
    budget: float
    is_exceeded: bool
    dominant: str


def terms(size: sizes.Size, slope: Mapping[str, float]) -> list[Term]:
    """Returns the cost terms of all roles.

    Args:
        size: Size of the system.
        slope: Value of each slope by name.
    """
    return list(
        itertools.chain(
            _entry_memory(size, slope),
            _entry_processor(size, slope),
            _entry_traffic(size, slope),
            _aggregator(size, slope),
            _relay(size, slope),
            _voter(size, slope),
        )
    )


def totals(all_terms: list[Term], budget: sizes.Budget) -> list[Total]:
    """Returns the sums of terms by role and resource.

    An aggregator is an entry host, so its sum includes the entry role.

    Args:
        all_terms: Terms of one size.
        budget: Budget of a host.
    """
    limits = {
        Resource.MEMORY: budget.memory_bytes,
        Resource.PROCESSOR: budget.processor_share,
        Resource.TRAFFIC: budget.bytes_per_s,
    }
    sums = []
    for role, resource in itertools.product(Role, Resource):
        selected = [
            term
            for term in all_terms
            if term.resource is resource
            and (
                term.role is role
                or (role is Role.AGGREGATOR and term.role is Role.ENTRY)
            )
        ]
        amount = sum(term.amount for term in selected)
        sums.append(
            Total(
                role=role,
                resource=resource,
                amount=amount,
                budget=limits[resource],
                is_exceeded=amount > limits[resource],
                dominant=max(selected, key=lambda term: term.amount).name,
            )
        )
    return sums


def _entry_memory(size: sizes.Size, slope: Mapping[str, float]) -> list[Term]:
    """Returns the memory terms of an entry host."""
    owned = size.flows_per_host
    in_domain = size.flows / size.domains
    learned = min(LEARNED_FLOWS, in_domain)
    rows = (
        ("process", slope["entry_base_bytes"], "one interpreter a host"),
        (
            "flows owned",
            owned * slope["flow_bytes"],
            "one owner a flow; compact bounded table",
        ),
        (
            "flows learned",
            learned * slope["learned_flow_bytes"],
            "bounded table with eviction; the owner is asked on a miss",
        ),
        (
            "services",
            size.addresses * slope["service_bytes"],
            "one document a service; tables changed in place",
        ),
        (
            "targets",
            size.targets_per_domain * slope["target_bytes"],
            "target state stays inside the failure domain",
        ),
        (
            "members",
            size.hosts_per_domain * slope["member_bytes"],
            "membership stays inside the failure domain",
        ),
    )
    return _make(Role.ENTRY, Resource.MEMORY, rows)


def _entry_processor(
    size: sizes.Size, slope: Mapping[str, float]
) -> list[Term]:
    """Returns the processor terms of an entry host for control work."""
    rows = (
        (
            "configuration changes",
            size.changes_per_s * slope["change_us"] / US_PER_S,
            "deltas of the services changed; tables changed in place",
        ),
        (
            "membership and versions",
            (
                slope["membership_us_per_s"]
                + slope["member_us_per_s"] * size.hosts_per_domain
            )
            / US_PER_S,
            "a constant number of probes a second; the view is looked through",
        ),
        (
            "tracking of flows",
            size.openings_per_host * slope["tracked_opening_us"] / US_PER_S,
            "only flows off their default target, in batches",
        ),
        (
            "load exchange",
            slope["load_us_per_s"] / US_PER_S,
            "bounded exchange with few members a second",
        ),
    )
    return _make(Role.ENTRY, Resource.PROCESSOR, rows)


def _entry_traffic(size: sizes.Size, slope: Mapping[str, float]) -> list[Term]:
    """Returns the traffic terms of an entry host for control messages."""
    changes = size.membership_changes_per_domain
    target_changes = (
        size.targets_per_domain * TARGET_CHANGES_PER_DAY / sizes.SECONDS_PER_DAY
    )
    restarts_per_s = size.host_restarts_per_day / sizes.SECONDS_PER_DAY
    rows = (
        (
            "membership",
            slope["membership_bytes_per_s"]
            + changes * slope["member_change_bytes"],
            "a constant number of probes a second; bounded piggyback",
        ),
        (
            "configuration changes",
            size.changes_per_s * slope["delta_bytes"]
            + slope["offer_bytes_per_s"],
            "deltas; versions compared with one source a period",
        ),
        (
            "configuration at a restart",
            restarts_per_s
            * size.addresses
            * slope["snapshot_bytes"]
            / size.hosts,
            "a snapshot from a relay or a peer of the domain",
        ),
        (
            "tracking of flows",
            size.openings_per_host * slope["tracked_opening_bytes"],
            "only flows off their default target, in batches",
        ),
        (
            "target changes",
            target_changes * slope["target_change_bytes"],
            "renewals end at the aggregator; only changes travel",
        ),
        (
            "load exchange",
            slope["load_bytes_per_s"],
            "bounded exchange with few members a second",
        ),
    )
    return _make(Role.ENTRY, Resource.TRAFFIC, rows)


def _aggregator(size: sizes.Size, slope: Mapping[str, float]) -> list[Term]:
    """Returns the terms for the targets that renew leases at a host."""
    renewals_per_s = (
        size.targets_per_domain / size.hosts_per_domain / RENEWAL_INTERVAL_S
    )
    mechanism = "each target renews at one host of its domain"
    own_targets = size.targets_per_domain / size.hosts_per_domain
    return [
        *_make(
            Role.AGGREGATOR,
            Resource.MEMORY,
            (("own targets", own_targets * slope["target_bytes"], mechanism),),
        ),
        *_make(
            Role.AGGREGATOR,
            Resource.PROCESSOR,
            (
                (
                    "renewals",
                    renewals_per_s * slope["renewal_us"] / US_PER_S,
                    mechanism,
                ),
            ),
        ),
        *_make(
            Role.AGGREGATOR,
            Resource.TRAFFIC,
            (("renewals", renewals_per_s * slope["renewal_bytes"], mechanism),),
        ),
    ]


def _relay(size: sizes.Size, slope: Mapping[str, float]) -> list[Term]:
    """Returns the terms of a relay."""
    children = size.children_per_relay if size.relays else 0.0
    memory = (
        ("process", slope["entry_base_bytes"], "one interpreter a host"),
        (
            "services",
            size.addresses * slope["service_bytes"],
            "one document a service",
        ),
    )
    mechanism = "changes of a period joined; each child gets them once"
    per_s = size.changes_per_s * children
    return [
        *_make(Role.RELAY, Resource.MEMORY, memory),
        *_make(
            Role.RELAY,
            Resource.PROCESSOR,
            (
                (
                    "children",
                    per_s * slope["relay_child_us"] / US_PER_S,
                    mechanism,
                ),
                (
                    "changes",
                    size.changes_per_s * slope["relay_change_us"] / US_PER_S,
                    "deltas of the services changed",
                ),
            ),
        ),
        *_make(
            Role.RELAY,
            Resource.TRAFFIC,
            (
                ("children", per_s * slope["relay_change_bytes"], mechanism),
                (
                    "version offers",
                    children * slope["relay_child_bytes_per_s"],
                    "a host offers its version to one source a period",
                ),
            ),
        ),
    ]


def _voter(size: sizes.Size, slope: Mapping[str, float]) -> list[Term]:
    """Returns the terms of the leader among the voters."""
    followers = size.voters - 1
    receivers = max(size.relays, 1)
    memory = (
        ("process", slope["entry_base_bytes"], "one interpreter a host"),
        (
            "services",
            size.addresses * slope["service_bytes"],
            "one document a service; log cut by snapshots",
        ),
    )
    traffic = (
        (
            "replication",
            size.changes_per_s * followers * slope["voter_follower_bytes"]
            + followers * slope["voter_idle_bytes_per_s"],
            "batches; 3 to 7 voters",
        ),
        (
            "relays",
            receivers
            * (
                size.changes_per_s * slope["relay_change_bytes"]
                + slope["relay_child_bytes_per_s"]
            ),
            "deltas to relays, not to entry hosts",
        ),
    )
    return [
        *_make(Role.VOTER, Resource.MEMORY, memory),
        *_make(
            Role.VOTER,
            Resource.PROCESSOR,
            (
                (
                    "patches",
                    size.changes_per_s * slope["voter_patch_us"] / US_PER_S,
                    "only the services that a patch names are read",
                ),
                (
                    "relays",
                    size.changes_per_s
                    * receivers
                    * slope["relay_child_us"]
                    / US_PER_S,
                    "deltas to relays, not to entry hosts",
                ),
            ),
        ),
        *_make(Role.VOTER, Resource.TRAFFIC, traffic),
    ]


def _make(
    role: Role,
    resource: Resource,
    rows: tuple[tuple[str, float, str], ...],
) -> list[Term]:
    """Returns the terms of one role and resource."""
    return [
        Term(role, resource, name, amount, mechanism)
        for name, amount, mechanism in rows
    ]
