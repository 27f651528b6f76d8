"""Choice of a target by flow hash modulo the local target list."""

import hashlib

from tamarack_core import verdict
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.targets import lease_table

_DIGEST_BYTES = 8


class NaiveChooser:
    """Chooses the target at the flow's hash modulo the local target list.

    Each host enforces an even part of the concurrent connection limit of a
    work class, without coordination with other hosts.

    Attributes:
        targets: Announced targets that this host knows.
        hosts: Number of entry hosts of a failure domain.
        domains: Number of failure domains that divide a limit.
        connection_counts: Open connections of this host by service port;
            in packet-level runs: packets.
    """

    __slots__ = ("connection_counts", "domains", "hosts", "targets")

    def __init__(
        self,
        targets: lease_table.TargetLeaseTable,
        hosts: int,
        domains: int = 1,
    ) -> None:
        """Initializes the chooser.

        Args:
            targets: Announced targets that this host knows.
            hosts: Number of entry hosts of a failure domain.
            domains: Number of failure domains that divide a limit.
        """
        self.domains = domains
        self.targets = targets
        self.hosts = hosts
        self.connection_counts: dict[tuple[bytes, int], int] = {}

    def choose(
        self, now_s: float, opening: target_choice.Opening
    ) -> target_choice.Choice | target_choice.Refusal:
        """Returns the target for a connection, or a refusal."""
        port = opening.port
        ready = self.targets.ready(now_s, port.service, len(port.address))
        if not ready:
            return target_choice.Refusal(verdict.not_run("no-ready-target"))
        key = (port.address, port.port)
        count = self.connection_counts.get(key, 0)
        limit = port.settings.max_concurrent
        if limit and count >= limit // (self.hosts * self.domains):
            return target_choice.Refusal(verdict.not_run("local-limit"))
        self.connection_counts[key] = count + 1
        digest = hashlib.blake2b(opening.flow, digest_size=_DIGEST_BYTES)
        index = int.from_bytes(digest.digest(), "big") % len(ready)
        return target_choice.Choice(sorted(ready)[index])

    def may_retry(self, now_s: float, port: lookup.ServicePort) -> bool:
        """Returns True: the naive version has no retry budget."""
        return True

    def observe(
        self, now_s: float, observation: target_choice.Observation
    ) -> None:
        """Decrements the connection count when a connection closes.

        Ignores other observations.
        """
        if observation.progress in target_choice.FINAL_PROGRESS:
            key = (observation.port.address, observation.port.port)
            self.connection_counts[key] = max(
                0, self.connection_counts.get(key, 0) - 1
            )
