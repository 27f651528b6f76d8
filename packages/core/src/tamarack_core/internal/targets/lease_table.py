"""Targets that have announced themselves."""

import dataclasses

from tamarack_core import requests
from tamarack_core.packets import ip

NEVER_S = float("inf")


@dataclasses.dataclass(slots=True)
class TargetLease:
    """An announced target.

    Attributes:
        announcement: What the target last announced.
        sequence: Number of that change.
        aggregator: Host that accepted the change.
        expires_s: Monotonic time in seconds at which the lease runs out; at
            hosts other than the aggregator infinite until they are told.
    """

    announcement: requests.Announce
    sequence: int
    aggregator: str
    expires_s: float

    @property
    def order(self) -> tuple[int, int, str]:
        """What decides between two changes of the same target."""
        return self.announcement.incarnation, self.sequence, self.aggregator


class TargetLeaseTable:
    """Targets by address.

    Attributes:
        targets: Announced targets by packed IP address.
    """

    __slots__ = ("_by_service", "targets")

    def __init__(self) -> None:
        """Creates an empty table."""
        self.targets: dict[bytes, TargetLease] = {}
        self._by_service: dict[str, dict[bytes, TargetLease]] = {}

    def put(self, target: TargetLease) -> None:
        """Stores a target in place of what was held for its address."""
        address = ip.pack_address(target.announcement.address)
        self.remove(address)
        self.targets[address] = target
        service = target.announcement.service
        self._by_service.setdefault(service, {})[address] = target

    def remove(self, address: bytes) -> None:
        """Forgets a target, if it is held."""
        held = self.targets.pop(address, None)
        if held is not None:
            del self._by_service[held.announcement.service][address]

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
            for address, target in self._by_service.get(service, {}).items()
            if target.announcement.state is requests.TargetState.READY
            and target.expires_s > now_s
            and len(address) == address_bytes
        ]
