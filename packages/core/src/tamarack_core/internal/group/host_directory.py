"""Directory of the control hosts that this host knows."""

import msgspec

from tamarack_core import context as context_lib
from tamarack_core import peers
from tamarack_core import sync

LIVENESS_TIMEOUT_S = 2.0
"""Time after its last message for which a control host counts as alive."""

CONTACT_S = 2.5
"""Time from a sync request that a control host answered for which that host
counts as in contact, in seconds. It is shorter than the time for which the
host sends changes after a request, so none is missed meanwhile."""

NAME_LIFETIME_S = 6.0
"""Time for which an entry host that a control host named counts as subscribed,
in seconds; each is named again within 2 s where a control host has up to 30."""

MAX_NAMES = 10_000
"""Most names of entry hosts that are kept."""

MAX_NAME_CHARACTERS = 255
"""Longest name of an entry host that is kept, in characters."""

EXPIRY_S = 30.0
"""Time without a message after which a control host is removed from the
directory unless it is a seed."""


class KnownControlHost(msgspec.Struct):
    """A control host that has sent a `ControlHello` to this host.

    Attributes:
        peer: The host.
        incarnation: Identifier of its data folder.
        seen_s: Time of its last message, in seconds.
        entry_hosts: Number of entry hosts that are subscribed to it.
        is_stopping: Whether a stop of the host was requested.
        accepts_orders: Whether the host can apply evacuation orders.
        accepts_standbys: Whether the host knows standbys and the replacement
            of a voter.
        heard: Endpoints of the control hosts that it hears.
    """

    peer: peers.Peer
    incarnation: str
    seen_s: float
    entry_hosts: int = 0
    is_stopping: bool = False
    accepts_orders: bool = False
    accepts_standbys: bool = False
    heard: frozenset[peers.Endpoint] = frozenset()


class ControlHostDirectory:
    """Control hosts by endpoint.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        seeds: Control hosts listed in the settings.
        known_hosts: Control hosts that sent a `ControlHello` to this host, by
            endpoint.
        reported_hosts: Control hosts that other hosts or the log listed, and
            the time of the last report in seconds, by endpoint.
        entry_names: Time of the last message that named an entry host, in
            seconds, by its name; the earliest first.
        asked_s: Time of the last sync request that a control host answered, in
            seconds, by endpoint.
    """

    __slots__ = (
        "asked_s",
        "context",
        "entry_names",
        "known_hosts",
        "reported_hosts",
        "seeds",
    )

    def __init__(
        self, context: context_lib.Context, seeds: tuple[peers.Peer, ...]
    ) -> None:
        """Initializes a directory that holds only the seeds.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            seeds: Control hosts listed in the settings.
        """
        self.context = context
        self.seeds = seeds
        self.known_hosts: dict[peers.Endpoint, KnownControlHost] = {}
        self.reported_hosts: dict[peers.Endpoint, tuple[peers.Peer, float]] = {}
        self.entry_names: dict[str, float] = {}
        self.asked_s: dict[peers.Endpoint, float] = {}

    def observe(
        self, now_s: float, sender: peers.Peer, hello: sync.ControlHello
    ) -> None:
        """Stores the sender of a message as a live control host."""
        self.known_hosts[sender.control] = KnownControlHost(
            sender,
            hello.incarnation,
            now_s,
            hello.entry_hosts,
            hello.is_stopping,
            hello.accepts_orders,
            hello.accepts_standbys,
            frozenset(peer.control for peer in hello.known),
        )
        for name in hello.entry_names:
            if 0 < len(name) <= MAX_NAME_CHARACTERS:
                self.entry_names.pop(name, None)
                self.entry_names[name] = now_s
            else:
                self.context.counters["entry-names-skipped"] += 1
        while len(self.entry_names) > MAX_NAMES:
            del self.entry_names[next(iter(self.entry_names))]

    def record_answer(self, endpoint: peers.Endpoint, asked_s: float) -> None:
        """Records that a control host answered a sync request.

        Args:
            endpoint: Control endpoint of that host.
            asked_s: Monotonic time at which the request was sent, in seconds.
        """
        self.asked_s[endpoint] = max(
            asked_s, self.asked_s.get(endpoint, asked_s)
        )

    def contacts(self, now_s: float) -> set[peers.Endpoint]:
        """Returns the control hosts that send this host all their changes.

        A host that is heard may not hear this one.
        """
        return {
            endpoint
            for endpoint, asked_s in self.asked_s.items()
            if now_s - asked_s <= CONTACT_S
        }

    def not_hearing(
        self, now_s: float, endpoint: peers.Endpoint
    ) -> list[peers.Peer]:
        """Returns the live control hosts that don't hear another one.

        Args:
            now_s: Monotonic time in seconds.
            endpoint: Control endpoint of the other one.
        """
        return [
            known.peer
            for known in self.known_hosts.values()
            if now_s - known.seen_s <= LIVENESS_TIMEOUT_S
            and known.peer.control != endpoint
            and endpoint not in known.heard
        ]

    def entry_hosts(self, now_s: float) -> int:
        """Returns the entry hosts subscribed to other live control hosts."""
        return sum(
            known.entry_hosts
            for known in self.known_hosts.values()
            if now_s - known.seen_s <= LIVENESS_TIMEOUT_S
        )

    def all_accept_orders(self, now_s: float) -> bool:
        """Returns whether all live control hosts can apply evacuation orders.

        A host of an earlier version fails to apply the command of an order, and
        the entry hosts that follow it would not learn of the order.
        """
        return all(
            known.accepts_orders
            for known in self.known_hosts.values()
            if now_s - known.seen_s <= LIVENESS_TIMEOUT_S
        )

    def add_reported(
        self, now_s: float, reported: tuple[peers.Peer, ...]
    ) -> None:
        """Stores control hosts that another host or the log lists."""
        for peer in reported:
            self.reported_hosts[peer.control] = (peer, now_s)

    def expire(self, now_s: float) -> None:
        """Removes hosts without a message or report for `EXPIRY_S`."""
        self.known_hosts = {
            endpoint: known
            for endpoint, known in self.known_hosts.items()
            if now_s - known.seen_s <= EXPIRY_S
        }
        self.reported_hosts = {
            endpoint: (peer, at_s)
            for endpoint, (peer, at_s) in self.reported_hosts.items()
            if now_s - at_s <= EXPIRY_S
        }
        self.asked_s = {
            endpoint: asked_s
            for endpoint, asked_s in self.asked_s.items()
            if now_s - asked_s <= CONTACT_S
        }
        self.entry_names = {
            name: at_s
            for name, at_s in self.entry_names.items()
            if now_s - at_s <= NAME_LIFETIME_S
        }

    def live(self, now_s: float) -> tuple[peers.Peer, ...]:
        """Returns the live control hosts, in the order of their endpoints.

        This host is included.
        """
        others = [
            known.peer
            for known in self.known_hosts.values()
            if now_s - known.seen_s <= LIVENESS_TIMEOUT_S
        ]
        return tuple(sorted([self.context.host, *others], key=_endpoint_key))

    def others(self) -> tuple[peers.Peer, ...]:
        """Returns all other control hosts to contact, including the seeds."""
        known = {peer.control: peer for peer in self.seeds}
        known.update(
            (endpoint, peer)
            for endpoint, (peer, _) in self.reported_hosts.items()
        )
        known.update(
            (endpoint, host.peer) for endpoint, host in self.known_hosts.items()
        )
        known.pop(self.context.host.control, None)
        return tuple(known.values())


def _endpoint_key(peer: peers.Peer) -> tuple[str, int]:
    return (peer.control.address, peer.control.port)
