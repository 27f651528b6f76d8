"""Hosts that asked this host for versions lately."""

import dataclasses

from tamarack_core import peers
from tamarack_core import requests
from tamarack_core.messages import distribution

# Beyond this number, hosts get an answer when they ask but no push.
MAX_PUSHES = 64
SUBSCRIPTION_S = 10.0
FORGET_S = 600.0
MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class Subscriber:
    """A host that asked.

    Attributes:
        peer: The host.
        reported: Version that it last said it holds.
        since_ms: Wall-clock time in ms since when it holds it.
        assumed: Version that it holds if no message to it was lost.
        heard_s: When it last asked.
    """

    peer: peers.Peer
    reported: int
    since_ms: int
    assumed: int
    heard_s: float


class Subscribers:
    """Hosts that asked, and what they hold.

    Attributes:
        by_host: The hosts by name.
    """

    __slots__ = ("by_host",)

    def __init__(self) -> None:
        """Starts with no host."""
        self.by_host: dict[str, Subscriber] = {}

    def note(
        self, now_s: float, peer: peers.Peer, offer: distribution.VersionOffer
    ) -> None:
        """Takes note of what a host holds; the last to ask is the last."""
        self.by_host.pop(peer.host, None)
        self.by_host[peer.host] = Subscriber(
            peer, offer.version, offer.since_ms, offer.version, now_s
        )

    def forget(self, now_s: float) -> None:
        """Forgets hosts that have not asked for long."""
        late = [
            host
            for host, subscriber in self.by_host.items()
            if now_s - subscriber.heard_s > FORGET_S
        ]
        for host in late:
            del self.by_host[host]

    def behind(self, now_s: float, version: int) -> list[Subscriber]:
        """Returns those who are to be sent a version, a bounded number."""
        found = [
            subscriber
            for subscriber in self.by_host.values()
            if now_s - subscriber.heard_s <= SUBSCRIPTION_S
        ]
        return [
            subscriber
            for subscriber in found[-MAX_PUSHES:]
            if subscriber.assumed < version
        ]

    def report(self, now_s: float) -> tuple[requests.HostVersion, ...]:
        """Returns which version is in force at which host."""
        return tuple(
            requests.HostVersion(
                subscriber.peer.host,
                subscriber.peer.domain,
                subscriber.reported,
                subscriber.since_ms,
                int((now_s - subscriber.heard_s) * MS_PER_S),
            )
            for subscriber in self.by_host.values()
        )
