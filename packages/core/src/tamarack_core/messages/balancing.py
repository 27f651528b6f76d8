"""Messages that spread the work in flight inside a failure domain."""

import msgspec


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Work that one host has in flight at one target.

    Attributes:
        address: IP address of the target.
        active: Work units of bounded connections and of openings.
        held: Work units of established long-lived connections.
    """

    address: str
    active: float
    held: float


class TargetLoadReport(msgspec.Struct, frozen=True, tag="work"):
    """Work of the sender that has changed since its last report.

    Attributes:
        targets: Work by target.
    """

    targets: tuple[TargetLoad, ...]


Message = TargetLoadReport
