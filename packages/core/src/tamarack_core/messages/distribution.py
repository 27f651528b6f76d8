"""Messages that distribute the configuration."""

import msgspec

from tamarack_core import configuration


class VersionOffer(msgspec.Struct, frozen=True, tag="version-offer"):
    """Version in force at the sender, and optionally a query for newer ones.

    Attributes:
        version: Version in force at the sender.
        since_ms: Wall-clock time in ms at which it came into force there.
        wants_answer: Whether this is a query: the receiver responds with its
            version or the missing changes, and pushes newer versions for a
            while.
    """

    version: int
    since_ms: int = 0
    wants_answer: bool = False


class Delta(msgspec.Struct, frozen=True, omit_defaults=True, tag="delta"):
    """All services that changed between two versions.

    Attributes:
        base_version: Oldest version that the delta applies to; it also applies
            to later ones.
        version: Version after the delta.
        changes: Services as of `version`; None for a removed one.
        evacuated_domains: All evacuated domains as of `version`; None if they
            didn't change. A host of an earlier release never states them.
    """

    base_version: int
    version: int
    changes: dict[str, configuration.Service | None]
    evacuated_domains: tuple[str, ...] | None = None


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """A complete configuration.

    Attributes:
        numbered: The configuration with its version.
    """

    numbered: configuration.VersionedConfiguration


Message = VersionOffer | Delta | Snapshot
