"""System sizes and the budget of a host."""

import pathlib

import msgspec

SECONDS_PER_DAY = 86_400.0


class Size(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Size of a system.

    Attributes:
        name: Name of the size.
        hosts: Number of entry hosts.
        targets: Number of targets.
        addresses: Number of service addresses; a service has one address.
        flows: Number of open flows.
        openings_per_s: New flows per second.
        regions: Number of regions.
        domains: Number of failure domains.
        changes_per_day: Configuration changes per day.
        host_failures_per_day: Entry hosts that fail per day.
        host_restarts_per_day: Entry hosts restarted or replaced per day.
        voters: Number of voting control hosts.
        relays: Number of hosts that relay configurations.
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
        """Entry hosts per failure domain."""
        return self.hosts / self.domains

    @property
    def targets_per_domain(self) -> float:
        """Targets per failure domain."""
        return self.targets / self.domains

    @property
    def flows_per_host(self) -> float:
        """Open flows that one entry host owns."""
        return self.flows / self.hosts

    @property
    def openings_per_host(self) -> float:
        """New flows per second that one entry host owns."""
        return self.openings_per_s / self.hosts

    @property
    def changes_per_s(self) -> float:
        """Configuration changes per second."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def children_per_relay(self) -> float:
        """Entry hosts that fetch the configuration from one relay."""
        return self.hosts / max(self.relays, 1)

    @property
    def membership_changes_per_domain(self) -> float:
        """Entry hosts per second that leave or join one failure domain."""
        daily = 2 * (self.host_failures_per_day + self.host_restarts_per_day)
        return daily / SECONDS_PER_DAY / self.domains


class Budget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources that a host may consume for control work.

    Attributes:
        processor_share: Share of a core.
        memory_bytes: Resident memory in bytes.
        bytes_per_s: Bytes per second, sent and received.
        in_force_s: Seconds until a configuration is in force on all hosts.
        control_hosts: Number of hosts that may be dedicated to control.
    """

    processor_share: float
    memory_bytes: float
    bytes_per_s: float
    in_force_s: float
    control_hosts: int


class SizesFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sizes to compute and the budget to compare them with.

    Attributes:
        budget: Resources that a host may consume for control work.
        sizes: Sizes in ascending order, from today's to the target size.
    """

    budget: Budget
    sizes: tuple[Size, ...]


def load(path: pathlib.Path) -> SizesFile:
    """Returns the sizes in a file.

    Args:
        path: Path of the JSON file.

    Raises:
        msgspec.ValidationError: A field is missing, unknown or of another
            type; the message names it.
        OSError: The file can't be read.
    """
    return msgspec.json.decode(path.read_bytes(), type=SizesFile)
