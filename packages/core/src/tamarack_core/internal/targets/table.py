"""Targets that have announced themselves."""

import dataclasses

from tamarack_core import requests
from tamarack_core.packets import ip


@dataclasses.dataclass(slots=True)
class Target:
    """An announced target.

    Attributes:
        announcement: What the target last announced.
        sequence: Number of that announcement.
        expires_s: Monotonic time in seconds at which the lease runs out.
    """

    announcement: requests.Announce
    sequence: int
    expires_s: float


class TargetTable:
    """Targets by address.

    Attributes:
        targets: Announced targets by packed IP address.
    """

    __slots__ = ("targets",)

    def __init__(self) -> None:
        """Creates an empty table."""
        self.targets: dict[bytes, Target] = {}

    def put(
        self, now_s: float, announcement: requests.Announce, sequence: int
    ) -> bool:
        """Stores an announcement unless a newer one is held.

        Args:
            now_s: Monotonic time in seconds.
            announcement: What the target announced.
            sequence: Number that orders announcements of one target.

        Returns:
            Whether the announcement was newer than what was held.
        """
        address = ip.pack_address(announcement.address)
        held = self.targets.get(address)
        if held is not None and held.sequence >= sequence:
            return False
        expires_s = now_s + announcement.lease_s
        self.targets[address] = Target(announcement, sequence, expires_s)
        return True

    def ready(
        self, now_s: float, service: str, address_bytes: int
    ) -> list[bytes]:
        """Returns the targets of a service that may take new flows.

        Args:
            now_s: Monotonic time in seconds.
            service: Name of the service.
            address_bytes: Length of a packed address of the IP version.
        """
        return [
            address
            for address, target in self.targets.items()
            if target.announcement.service == service
            and target.announcement.state is requests.TargetState.READY
            and target.expires_s > now_s
            and len(address) == address_bytes
        ]
