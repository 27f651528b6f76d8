"""Messages that spread announced targets inside a failure domain."""

import msgspec

from tamarack_core import requests


class TargetForwarded(msgspec.Struct, frozen=True, tag="target-forwarded"):
    """A target announced itself to the sender.

    The receiver is the aggregator of the target.

    Attributes:
        announcement: What the target announced.
        age_s: Seconds since the sender received it.
    """

    announcement: requests.Announce
    age_s: float = 0.0


class TargetChanged(msgspec.Struct, frozen=True, tag="target-changed"):
    """The aggregator of a target accepted a change of it.

    Attributes:
        announcement: What the target announced.
        sequence: Number that orders changes of one target.
        expired: Whether the lease of the target has run out.
    """

    announcement: requests.Announce
    sequence: int
    expired: bool = False


class TargetReceived(msgspec.Struct, frozen=True, tag="target-received"):
    """The sender has applied a change, or holds a later one.

    Attributes:
        address: IP address of the target.
        sequence: Sequence of the change.
    """

    address: str
    sequence: int


Message = TargetForwarded | TargetChanged | TargetReceived
