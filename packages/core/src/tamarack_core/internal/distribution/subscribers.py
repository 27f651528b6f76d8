"""Subscribers: hosts that have recently queried this host for versions."""

import dataclasses

from tamarack_core import peers
from tamarack_core import requests
from tamarack_core.messages import distribution

# Subscribers beyond this number get responses to their queries but no pushes.
MAX_PUSHES = 64
SUBSCRIPTION_S = 10.0
EXPIRY_S = 600.0
MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class Subscriber:
    """A host that has queried this one.

    Attributes:
        peer: The host.
        reported_version: Version in force by its last query.
        since_ms: Wall-clock time in ms since which that version is in force.
        assumed_version: Version in force there if no message to it was lost.
        queried_s: Monotonic time of its last query in seconds.
    """

    peer: peers.Peer
    reported_version: int
    since_ms: int
    assumed_version: int
    queried_s: float


class Subscribers:
    """Subscribers and their versions.

    Attributes:
        by_host: Subscribers by host name, in the order of their last query.
    """

    __slots__ = ("by_host",)

    def __init__(self) -> None:
        """Initializes an empty set of subscribers."""
        self.by_host: dict[str, Subscriber] = {}

    def subscribe(
        self, now_s: float, peer: peers.Peer, offer: distribution.VersionOffer
    ) -> None:
        """Adds or renews a subscriber, which becomes the last in order."""
        self.by_host.pop(peer.host, None)
        self.by_host[peer.host] = Subscriber(
            peer, offer.version, offer.since_ms, offer.version, now_s
        )

    def expire(self, now_s: float) -> None:
        """Removes hosts that have not sent a query for `EXPIRY_S`."""
        expired = [
            host
            for host, subscriber in self.by_host.items()
            if now_s - subscriber.queried_s > EXPIRY_S
        ]
        for host in expired:
            del self.by_host[host]

    def outdated(self, now_s: float, version: int) -> list[Subscriber]:
        """Returns the outdated subscribers to push a version to.

        At most `MAX_PUSHES` subscribers with the newest queries are considered.
        """
        recent = [
            subscriber
            for subscriber in self.by_host.values()
            if now_s - subscriber.queried_s <= SUBSCRIPTION_S
        ]
        return [
            subscriber
            for subscriber in recent[-MAX_PUSHES:]
            if subscriber.assumed_version < version
        ]

    def report(self, now_s: float) -> tuple[requests.HostVersion, ...]:
        """Returns the version in force at each subscriber."""
        return tuple(
            requests.HostVersion(
                subscriber.peer.host,
                subscriber.peer.domain,
                subscriber.reported_version,
                subscriber.since_ms,
                int((now_s - subscriber.queried_s) * MS_PER_S),
            )
            for subscriber in self.by_host.values()
        )
