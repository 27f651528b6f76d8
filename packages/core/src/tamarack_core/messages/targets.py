"""Messages that spread announced targets inside a failure domain."""

import msgspec

from tamarack_core import requests


class TargetChanged(msgspec.Struct, frozen=True, tag="target-changed"):
    """A target was announced, renewed or changed its state.

    Attributes:
        announcement: What the target announced.
        sequence: Number that orders changes of one target.
    """

    announcement: requests.Announce
    sequence: int


Message = TargetChanged
