"""Sizes of a system and the budgets of its hosts."""

import pathlib

import msgspec

SECONDS_PER_DAY = 86_400.0


class Size(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Size of a system.

    Attributes:
        name: Name of the size.
        hosts: Entry hosts.
        targets: Targets.
        addresses: Service addresses; one service has one address.
        flows: Open flows.
        openings_per_s: New flows a second.
        regions: Regions.
        domains: Failure domains.
        changes_per_day: Configuration changes a day.
        host_failures_per_day: Entry hosts that fail a day.
        host_restarts_per_day: Entry hosts restarted or replaced a day.
        voters: Control hosts that vote.
        relays: Hosts that pass configurations on.
    """

    name: str
    hosts: int
    targets: int
    addresses: int
    flows: int
    openings_per_s: float
    regions: int
    domains: int
    changes_per_day: int
    host_failures_per_day: int
    host_restarts_per_day: int
    voters: int
    relays: int

    @property
    def hosts_per_domain(self) -> float:
        """Entry hosts of one failure domain."""
        return self.hosts / self.domains

    @property
    def targets_per_domain(self) -> float:
        """Targets of one failure domain."""
        return self.targets / self.domains

    @property
    def flows_per_host(self) -> float:
        """Open flows that one entry host owns."""
        return self.flows / self.hosts

    @property
    def openings_per_host(self) -> float:
        """New flows a second that one entry host owns."""
        return self.openings_per_s / self.hosts

    @property
    def changes_per_s(self) -> float:
        """Configuration changes a second."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def children_per_relay(self) -> float:
        """Entry hosts that fetch from one relay."""
        return self.hosts / max(self.relays, 1)

    @property
    def membership_changes_per_domain(self) -> float:
        """Entry hosts a second that leave or join one failure domain."""
        daily = 2 * (self.host_failures_per_day + self.host_restarts_per_day)
        return daily / SECONDS_PER_DAY / self.domains


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a host may spend for control.

    Attributes:
        processor_share: Share of a core.
        memory_bytes: Resident memory in bytes.
        bytes_per_s: Bytes a second, sent and received.
        in_force_s: Seconds until a configuration is in force everywhere.
        control_hosts: Hosts that may be set aside for control.
    """

    processor_share: float
    memory_bytes: float
    bytes_per_s: float
    in_force_s: float
    control_hosts: int


class TargetsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sizes to compute and the budget to hold them against.

    Attributes:
        budget: What a host may spend for control.
        sizes: Sizes from today's to the target.
    """

    budget: Budget
    sizes: tuple[Size, ...]


def load(path: pathlib.Path) -> TargetsFile:
    """Returns the sizes in a file.

    Args:
        path: The file.

    Raises:
        msgspec.ValidationError: The file has another form; names the field.
        OSError: The file can't be read.
    """
    return msgspec.json.decode(path.read_bytes(), type=TargetsFile)
