"""Messages that replicate announced targets inside a failure domain."""

import msgspec

from tamarack_core import requests


class TargetForwarded(msgspec.Struct, frozen=True, tag="target-forwarded"):
    """Announcement that a target sent to the sender of this message.

    The receiver is the aggregator of the target.

    Attributes:
        announcement: Announcement of the target.
        age_s: Seconds since the sender received it.
    """

    announcement: requests.Announce
    age_s: float = 0.0


class TargetChanged(msgspec.Struct, frozen=True, tag="target-changed"):
    """Change of a target that its aggregator accepted.

    Attributes:
        announcement: Announcement of the target.
        sequence: Sequence number that orders the changes of one target.
        expired: Whether the lease of the target has run out.
    """

    announcement: requests.Announce
    sequence: int
    expired: bool = False


class TargetReceived(msgspec.Struct, frozen=True, tag="target-received"):
    """Acknowledgement: the sender has applied a change, or holds a later one.

    Attributes:
        address: IP address of the target.
        sequence: Sequence of the change.
    """

    address: str
    sequence: int


Message = TargetForwarded | TargetChanged | TargetReceived
