"""Configuration in force at this host; its version only rises."""

from tamarack_core import configuration
from tamarack_core.internal.entry import lookup


class Holder:
    """Holds the newest configuration that this host has received.

    Attributes:
        numbered: Configuration in force.
        lookup: Lookup tables derived from it.
        since_ms: Wall-clock time in ms at which it came into force.
    """

    __slots__ = ("lookup", "numbered", "since_ms")

    def __init__(self) -> None:
        """Holds the empty configuration, version 0."""
        self.numbered = configuration.Numbered(0, configuration.Configuration())
        self.lookup = lookup.Lookup(self.numbered.configuration)
        self.since_ms = 0

    def put(self, numbered: configuration.Numbered, wall_ms: int) -> bool:
        """Puts a configuration into force unless a newer one is.

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
        return True
