"""Messages that spread the configuration."""

import msgspec

from tamarack_core import configuration


class VersionOffer(msgspec.Struct, frozen=True, tag="version-offer"):
    """The sender holds this configuration version.

    Attributes:
        version: Version in force at the sender.
    """

    version: int


class VersionFetch(msgspec.Struct, frozen=True, tag="version-fetch"):
    """The sender asks for what came after its own version.

    Attributes:
        version: Version in force at the sender.
    """

    version: int


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """A whole configuration.

    Attributes:
        numbered: The configuration with its version.
    """

    numbered: configuration.Numbered


Message = VersionOffer | VersionFetch | Snapshot
