"""Choice of a target by rendezvous hash, without regard to load."""

import hashlib

from tamarack_core import verdict
from tamarack_core.internal.entry import choosing
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.targets import table

_DIGEST_BYTES = 8


class HashChooser:
    """Gives each flow the ready target with the highest random weight.

    Attributes:
        targets: The announced targets.
    """

    __slots__ = ("targets",)

    def __init__(self, targets: table.TargetTable) -> None:
        """Creates a chooser over the announced targets."""
        self.targets = targets

    def choose(
        self, now_s: float, opening: choosing.Opening
    ) -> choosing.Choice | choosing.Refusal:
        """Returns the target for a connection, or the refusal of it."""
        port = opening.port
        ready = self.targets.ready(now_s, port.service, len(port.address))
        if not ready:
            return choosing.Refusal(verdict.not_run("no-ready-target"))
        return choosing.Choice(
            max(ready, key=lambda target: weight(opening.flow, target))
        )

    def may_retry(self, now_s: float, port: lookup.ServicePort) -> bool:
        """Returns True; there is no budget."""
        return True

    def observe(self, now_s: float, observation: choosing.Observation) -> None:
        """Ignores the observation; the hash depends on no load."""


def weight(flow: bytes, target: bytes) -> bytes:
    """Returns the pseudo-random weight of a target for a flow."""
    return hashlib.blake2b(flow + target, digest_size=_DIGEST_BYTES).digest()
