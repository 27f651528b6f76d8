"""Choice of a target by hash modulo the local list."""

import hashlib

from tamarack_core import verdict
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.targets import lease_table

_DIGEST_BYTES = 8


class NaiveChooser:
    """Gives each flow the target at its hash modulo the local list.

    Each host limits the concurrent connections of a class by itself, to its
    even part of the limit.

    Attributes:
        targets: Announced targets as this host knows them.
        hosts: Number of entry hosts of a failure domain.
        domains: Number of failure domains that divide a limit.
        concurrent: Open connections of this host by service port.
    """

    __slots__ = ("concurrent", "domains", "hosts", "targets")

    def __init__(
        self,
        targets: lease_table.TargetLeaseTable,
        hosts: int,
        domains: int = 1,
    ) -> None:
        """Creates a chooser.

        Args:
            targets: Announced targets as this host knows them.
            hosts: Number of entry hosts of a failure domain.
            domains: Number of failure domains that divide a limit.
        """
        self.domains = domains
        self.targets = targets
        self.hosts = hosts
        self.concurrent: dict[tuple[bytes, int], int] = {}

    def choose(
        self, now_s: float, opening: target_choice.Opening
    ) -> target_choice.Choice | target_choice.Refusal:
        """Returns the target for a connection, or the refusal of it."""
        port = opening.port
        ready = self.targets.ready(now_s, port.service, len(port.address))
        if not ready:
            return target_choice.Refusal(verdict.not_run("no-ready-target"))
        key = (port.address, port.port)
        count = self.concurrent.get(key, 0)
        limit = port.settings.max_concurrent
        if limit and count >= limit // (self.hosts * self.domains):
            return target_choice.Refusal(verdict.not_run("local-limit"))
        self.concurrent[key] = count + 1
        digest = hashlib.blake2b(opening.flow, digest_size=_DIGEST_BYTES)
        index = int.from_bytes(digest.digest(), "big") % len(ready)
        return target_choice.Choice(sorted(ready)[index])

    def may_retry(self, now_s: float, port: lookup.ServicePort) -> bool:
        """Returns True; there is no budget."""
        return True

    def observe(
        self, now_s: float, observation: target_choice.Observation
    ) -> None:
        """Counts a closed connection; nothing else matters to the hash."""
        if observation.progress in target_choice.FINAL_PROGRESS:
            key = (observation.port.address, observation.port.port)
            self.concurrent[key] = max(0, self.concurrent.get(key, 0) - 1)
