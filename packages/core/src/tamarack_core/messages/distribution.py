"""Messages that spread the configuration."""

import msgspec

from tamarack_core import configuration


class VersionOffer(msgspec.Struct, frozen=True, tag="version-offer"):
    """The sender holds this configuration version.

    Attributes:
        version: Version in force at the sender.
        since_ms: Wall-clock time in ms at which it came into force there.
        wants_answer: Whether the receiver is to answer with what it holds;
            it also sends newer versions for a while.
    """

    version: int
    since_ms: int = 0
    wants_answer: bool = False


class Delta(msgspec.Struct, frozen=True, tag="delta"):
    """All services that changed between two versions.

    Attributes:
        base_version: The delta fits on this version and on later ones.
        version: Version that it leads to.
        changes: Services as of `version`; None for a removed one.
    """

    base_version: int
    version: int
    changes: dict[str, configuration.Service | None]


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """A whole configuration.

    Attributes:
        numbered: The configuration with its version.
    """

    numbered: configuration.VersionedConfiguration


Message = VersionOffer | Delta | Snapshot
