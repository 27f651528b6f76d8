"""Configuration in force at this host; its version never decreases."""

import dataclasses
import itertools

from tamarack_core import configuration
from tamarack_core.internal.entry import lookup
from tamarack_core.messages import distribution

MAX_CHANGES = 1_000
# A delta of more than this fraction of all services is no smaller than a
# snapshot.
MAX_DELTA_FRACTION = 0.5
MIN_DELTA_SERVICES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What changed between two versions.

    Attributes:
        base_version: Version before the change.
        version: Version after the change.
        names: Names of the changed services.
        has_evacuations: Whether the evacuated domains changed.
    """

    base_version: int
    version: int
    names: frozenset[str]
    has_evacuations: bool = False


class ConfigurationStore:
    """Store of the newest configuration that this host has received.

    Attributes:
        numbered: Configuration in force.
        lookup: Lookup tables derived from it.
        since_ms: Wall-clock time in ms at which it came into force.
        changes: Newest consecutive changes, the oldest first.
    """

    __slots__ = ("changes", "lookup", "numbered", "since_ms")

    def __init__(self) -> None:
        """Initializes the store with the empty configuration, version 0."""
        self.numbered = configuration.VersionedConfiguration(
            0, configuration.Configuration()
        )
        self.lookup = lookup.Lookup(self.numbered.configuration)
        self.since_ms = 0
        self.changes: list[Change] = []

    def put(
        self, numbered: configuration.VersionedConfiguration, wall_ms: int
    ) -> bool:
        """Puts a configuration into force if it is newer.

        Args:
            numbered: The configuration.
            wall_ms: Wall-clock time in milliseconds.

        Returns:
            Whether the configuration came into force.
        """
        if numbered.version <= self.numbered.version:
            return False
        self.lookup = lookup.Lookup(numbered.configuration)
        self.numbered = numbered
        self.since_ms = wall_ms
        # It is unknown which services differ from the previous version.
        self.changes.clear()
        return True

    def put_delta(self, delta: distribution.Delta, wall_ms: int) -> bool:
        """Puts a delta into force if it fits and is newer.

        Args:
            delta: The delta.
            wall_ms: Wall-clock time in milliseconds.

        Returns:
            Whether a newer version came into force.
        """
        current_version = self.numbered.version
        if not delta.base_version <= current_version < delta.version:
            return False
        current = self.numbered.configuration
        evacuated = delta.evacuated_domains
        services = dict(current.services)
        for name, service in delta.changes.items():
            services.pop(name, None)
            if service is not None:
                services[name] = service
        self.lookup.apply(delta.changes)
        self.numbered = configuration.VersionedConfiguration(
            delta.version,
            configuration.Configuration(
                services,
                current.evacuated_domains if evacuated is None else evacuated,
            ),
        )
        self.since_ms = wall_ms
        change = Change(
            current_version,
            delta.version,
            frozenset(delta.changes),
            evacuated is not None,
        )
        self.changes.append(change)
        del self.changes[:-MAX_CHANGES]
        return True

    def newer_than(
        self, version: int
    ) -> distribution.Delta | distribution.Snapshot:
        """Returns the smaller message that updates a host: delta or snapshot.

        Args:
            version: Version in force at the host.
        """
        if not self.changes or version < self.changes[0].base_version:
            return distribution.Snapshot(self.numbered)
        current = self.numbered.configuration
        services = current.services
        missing = [
            change for change in self.changes if change.version > version
        ]
        names = set(
            itertools.chain.from_iterable(change.names for change in missing)
        )
        limit = max(MIN_DELTA_SERVICES, MAX_DELTA_FRACTION * len(services))
        if len(names) > limit:
            return distribution.Snapshot(self.numbered)
        return distribution.Delta(
            version,
            self.numbered.version,
            {name: services.get(name) for name in sorted(names)},
            current.evacuated_domains
            if any(change.has_evacuations for change in missing)
            else None,
        )
