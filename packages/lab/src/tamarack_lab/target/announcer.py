"""Announces targets to entry hosts and renews their leases."""

import asyncio
from collections.abc import Sequence
import itertools
from typing import Protocol

import aiohttp
import msgspec

from tamarack_core import peers
from tamarack_core import requests
from tamarack_lab.target import settings as target_settings


class AnnouncedTarget(Protocol):
    """A target that can be announced.

    Attributes:
        spec: Service, address and failure domain of the target.
    """

    spec: target_settings.TargetSpec

    def announcement(
        self, lease_s: float, incarnation: int
    ) -> requests.Announce:
        """Returns the announcement of the target.

        Args:
            lease_s: Requested duration of the lease in seconds.
            incarnation: Number that increases when the process restarts.
        """


# With three renewals per lease, a lease survives the loss of two in a row.
RENEWALS_PER_LEASE = 3
_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
_ACCEPTED = 200


class Announcer:
    """Announces targets and renews their leases.

    Attributes:
        targets: The targets.
        entries: HTTP endpoints of entry hosts by failure domain.
        lease_s: Requested duration of a lease in seconds.
        incarnation: Number that increases when the process restarts.
        failures: Number of announcements that no entry host accepted.
    """

    __slots__ = (
        "_changed",
        "_rotation",
        "entries",
        "failures",
        "incarnation",
        "lease_s",
        "targets",
    )

    def __init__(
        self,
        targets: Sequence[AnnouncedTarget],
        entries: dict[str, tuple[peers.Endpoint, ...]],
        lease_s: float,
        incarnation: int,
    ) -> None:
        """Initializes an announcer that is not running.

        Args:
            targets: The targets.
            entries: HTTP endpoints of entry hosts by failure domain.
            lease_s: Requested duration of a lease in seconds.
            incarnation: Number that increases when the process restarts.
        """
        self.targets = targets
        self.entries = entries
        self.lease_s = lease_s
        self.incarnation = incarnation
        self.failures = 0
        self._changed = asyncio.Event()
        self._rotation = itertools.count()

    def announce_now(self) -> None:
        """Announces all targets now, for example after a change of state."""
        self._changed.set()

    async def run(self) -> None:
        """Announces the targets periodically until cancelled."""
        async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
            while True:
                self._changed.clear()
                accepted = await self.announce(session)
                await self._wait(accepted)

    async def announce(self, session: aiohttp.ClientSession) -> bool:
        """Announces all targets once.

        Returns:
            True if an entry host accepted each announcement.
        """
        accepted = await asyncio.gather(
            *(self._announce_one(session, target) for target in self.targets)
        )
        self.failures += accepted.count(False)
        return all(accepted)

    async def _wait(self, accepted: bool) -> None:
        """Waits for the next renewal or a call of `announce_now`.

        Args:
            accepted: Whether all announcements were accepted. If not, they
                are repeated after 0.5 s.
        """
        wait_s = self.lease_s / RENEWALS_PER_LEASE if accepted else 0.5
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _announce_one(
        self, session: aiohttp.ClientSession, target: AnnouncedTarget
    ) -> bool:
        """Announces a target to the first entry host that accepts it.

        Returns:
            True if an entry host accepted the announcement.
        """
        entries = self.entries.get(target.spec.domain, ())
        if not entries:
            return False
        # The rotation distributes the renewals over the entry hosts. If one of
        # them is dead, the next one is tried.
        first = next(self._rotation) % len(entries)
        announcement = target.announcement(self.lease_s, self.incarnation)
        body = msgspec.json.encode(announcement)
        for entry in entries[first:] + entries[:first]:
            if await _put(session, entry, target.spec.address, body):
                return True
        return False


async def _put(
    session: aiohttp.ClientSession,
    entry: peers.Endpoint,
    address: str,
    body: bytes,
) -> bool:
    """Sends an announcement to an entry host.

    Args:
        session: HTTP session.
        entry: HTTP endpoint of the entry host.
        address: IP address of the target.
        body: Encoded announcement.

    Returns:
        True if the entry host accepted it.
    """
    url = f"http://{entry.address}:{entry.port}/v1/targets/{address}"
    try:
        async with session.put(url, data=body) as response:
            await response.read()
            return response.status == _ACCEPTED
    except (aiohttp.ClientError, TimeoutError):
        return False
