"""Messages that report the load of targets inside a failure domain."""

import msgspec


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load that the sender puts on one target.

    Attributes:
        address: IP address of the target.
        active: Work units of bounded connections and of openings.
        held: Work units of established long-lived connections.
    """

    address: str
    active: float
    held: float


class TargetLoadReport(msgspec.Struct, frozen=True, tag="work"):
    """Loads of the sender that have changed since its last report.

    Attributes:
        targets: Load of each target that has changed.
    """

    targets: tuple[TargetLoad, ...]


Message = TargetLoadReport
