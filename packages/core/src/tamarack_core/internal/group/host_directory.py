"""The control hosts that this one has heard of, beginning with the seeds."""

import msgspec

from tamarack_core import context as context_lib
from tamarack_core import peers

LIVE_S = 2.0
"""Time after its last message for which a control host counts as alive."""

FORGET_S = 30.0
"""Time after which a silent control host that is no seed is forgotten."""


class KnownControlHost(msgspec.Struct):
    """A control host that was heard.

    Attributes:
        peer: The host.
        incarnation: Identifier of its data folder.
        seen_s: Time of its last message, in seconds.
    """

    peer: peers.Peer
    incarnation: str
    seen_s: float


class ControlHostDirectory:
    """Control hosts by endpoint.

    Attributes:
        context: Identity, chance, time and counters.
        seeds: Control hosts that the settings name.
        heard: Control hosts that were heard, by endpoint.
        mentioned: Control hosts that others named, with the time.
    """

    __slots__ = ("context", "heard", "mentioned", "seeds")

    def __init__(
        self, context: context_lib.Context, seeds: tuple[peers.Peer, ...]
    ) -> None:
        """Creates the contacts.

        Args:
            context: Identity, chance, time and counters.
            seeds: Control hosts that the settings name.
        """
        self.context = context
        self.seeds = seeds
        self.heard: dict[peers.Endpoint, KnownControlHost] = {}
        self.mentioned: dict[peers.Endpoint, tuple[peers.Peer, float]] = {}

    def note(self, now_s: float, sender: peers.Peer, incarnation: str) -> None:
        """Takes note of a message of another control host."""
        self.heard[sender.control] = KnownControlHost(
            sender, incarnation, now_s
        )

    def mention(self, now_s: float, named: tuple[peers.Peer, ...]) -> None:
        """Takes note of control hosts that another one heard."""
        for peer in named:
            self.mentioned[peer.control] = (peer, now_s)

    def forget(self, now_s: float) -> None:
        """Forgets hosts that were silent for long."""
        self.heard = {
            endpoint: contact
            for endpoint, contact in self.heard.items()
            if now_s - contact.seen_s <= FORGET_S
        }
        self.mentioned = {
            endpoint: (peer, at_s)
            for endpoint, (peer, at_s) in self.mentioned.items()
            if now_s - at_s <= FORGET_S
        }

    def live(self, now_s: float) -> tuple[peers.Peer, ...]:
        """Returns the control hosts that are alive, this one included."""
        others = [
            contact.peer
            for contact in self.heard.values()
            if now_s - contact.seen_s <= LIVE_S
        ]
        return tuple(sorted([self.context.host, *others], key=_place))

    def others(self) -> tuple[peers.Peer, ...]:
        """Returns all other control hosts to speak to, seeds included."""
        known = {peer.control: peer for peer in self.seeds}
        known.update(
            (endpoint, peer) for endpoint, (peer, _) in self.mentioned.items()
        )
        known.update(
            (endpoint, contact.peer) for endpoint, contact in self.heard.items()
        )
        known.pop(self.context.host.control, None)
        return tuple(known.values())


def _place(peer: peers.Peer) -> tuple[str, int]:
    return (peer.control.address, peer.control.port)
