"""Table of announced targets with their leases."""

from collections.abc import Collection
import dataclasses

from tamarack_core import requests
from tamarack_core.packets import ip

NEVER_S = float("inf")


@dataclasses.dataclass(slots=True)
class TargetLease:
    """An announced target with its lease.

    Attributes:
        announcement: Last announcement of the target.
        sequence: Sequence number of its last change.
        aggregator: Name of the host that accepted the change.
        expires_s: Monotonic time in seconds at which the lease ends. At hosts
            other than the aggregator it is infinite until the aggregator
            reports the end.
    """

    announcement: requests.Announce
    sequence: int
    aggregator: str
    expires_s: float

    @property
    def order(self) -> tuple[int, int, str]:
        """Sort key by which the newer of two changes of a target wins."""
        return self.announcement.incarnation, self.sequence, self.aggregator


class TargetLeaseTable:
    """Announced targets with their leases.

    Attributes:
        targets: Leases by packed IP address of the target.
    """

    __slots__ = ("_by_service", "targets")

    def __init__(self) -> None:
        """Initializes an empty table."""
        self.targets: dict[bytes, TargetLease] = {}
        self._by_service: dict[str, dict[bytes, TargetLease]] = {}

    def put(self, target: TargetLease) -> None:
        """Stores a target; it replaces an earlier one with the same address."""
        address = ip.pack_address(target.announcement.address)
        self.remove(address)
        self.targets[address] = target
        service = target.announcement.service
        self._by_service.setdefault(service, {})[address] = target

    def remove(self, address: bytes) -> None:
        """Removes a target, if there is one with the address."""
        held = self.targets.pop(address, None)
        if held is not None:
            del self._by_service[held.announcement.service][address]

    def ready(
        self,
        now_s: float,
        service: str,
        address_bytes: int,
        evacuated_domains: Collection[str] = (),
    ) -> list[bytes]:
        """Returns the targets of a service that accept new flows.

        Args:
            now_s: Monotonic time in seconds.
            service: Name of the service.
            address_bytes: Length of a packed address of the wanted IP version.
            evacuated_domains: Failure domains whose targets are left out.
        """
        return [
            address
            for address, target in self._by_service.get(service, {}).items()
            if target.announcement.state is requests.TargetState.READY
            and target.expires_s > now_s
            and len(address) == address_bytes
            and target.announcement.domain not in evacuated_domains
        ]
