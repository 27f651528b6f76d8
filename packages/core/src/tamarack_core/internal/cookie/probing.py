"""Asks a silent target itself before its flows are given up.

The load that it answers: a target crashes without a word while each entry
host has two or three flows with it, too few to judge by. One repeated packet
is enough to ask; two connections in vain are needed to believe, as one packet
may be lost. Each probe is paid for, so none is sent while all is well.

A probe in vain counts only if another target, asked at the same moment, has
answered: where a large document fills the link of this host, all are late.
"""

import msgspec

from tamarack_core import effects
from tamarack_core.internal.cookie import tags

TIMEOUT_S = 0.15
"""Time that a target has to take a connection, in seconds; the longest way
between failure domains and back takes 0.02 s."""

FAILURES = 2
"""Probes in vain after which a target is held to be dead."""

ASK_INTERVAL_S = 0.5
"""Time between probes of a target that answers them, in seconds."""

RETURN_INTERVAL_S = 0.5
"""Time between probes of a dead target, in seconds."""


class Probe(msgspec.Struct):
    """What probes show of a target.

    Attributes:
        entry: The target.
        asked_s: Time of the last probe, in seconds.
        is_running: Whether a probe is on its way.
        failures: Probes in vain since the last that was answered.
        answered_s: Time of the last answer to a probe, in seconds.
        reference: Target that was asked at the same moment.
        is_dead: Whether the target is held to be dead.
    """

    entry: tags.Entry
    asked_s: float = float("-inf")
    is_running: bool = False
    failures: int = 0
    answered_s: float = float("-inf")
    reference: str = ""
    is_dead: bool = False


class Probing:
    """Probes by name of the target.

    Attributes:
        probes: What probes show.
    """

    __slots__ = ("probes",)

    def __init__(self) -> None:
        """Knows no target."""
        self.probes: dict[str, Probe] = {}

    def is_dead(self, name: str) -> bool:
        """Returns whether a target is held to be dead."""
        probe = self.probes.get(name)
        return probe is not None and probe.is_dead

    def ask(
        self, now_s: float, entry: tags.Entry, reference: tags.Entry | None
    ) -> list[effects.Effect]:
        """Returns a probe of a suspected target, if none was sent lately.

        Args:
            now_s: Monotonic time in seconds.
            entry: The target.
            reference: A target that answered lately, to tell a silent target
                from a busy link; None if there is none.
        """
        probe = self._probe_of(entry)
        if probe.is_running or now_s - probe.asked_s < ASK_INTERVAL_S:
            return []
        return self._send_pair(now_s, probe, reference)

    def _probe_of(self, entry: tags.Entry) -> Probe:
        """Returns the probe of a target."""
        probe = self.probes.setdefault(entry.target.name, Probe(entry))
        probe.entry = entry
        return probe

    def _send_pair(
        self, now_s: float, probe: Probe, reference: tags.Entry | None
    ) -> list[effects.Effect]:
        """Returns a probe of a target, and one of its reference."""
        found = [_send(now_s, probe)]
        probe.reference = "" if reference is None else reference.target.name
        if reference is not None:
            other = self._probe_of(reference)
            if not other.is_running:
                found.append(_send(now_s, other))
        return found

    def complete(
        self,
        now_s: float,
        name: str,
        *,
        is_answered: bool,
        reference: tags.Entry | None,
    ) -> tuple[bool, list[effects.Effect]]:
        """Takes the end of a probe.

        Args:
            now_s: Monotonic time in seconds.
            name: Name of the target.
            is_answered: Whether it took the connection.
            reference: A target to ask beside the next probe.

        Returns:
            Whether the target has changed between dead and alive, and the
            next probe, if one is needed at once.
        """
        probe = self.probes.get(name)
        if probe is None or not probe.is_running:
            return False, []
        probe.is_running = False
        if is_answered:
            was_dead, probe.is_dead = probe.is_dead, False
            probe.failures = 0
            probe.answered_s = now_s
            return was_dead, []
        if probe.is_dead or not self._is_conclusive(probe):
            return False, []
        probe.failures += 1
        if probe.failures < FAILURES:
            return False, self._send_pair(now_s, probe, reference)
        probe.is_dead = True
        return True, []

    def _is_conclusive(self, probe: Probe) -> bool:
        """Returns whether the reference of a probe in vain has answered."""
        reference = self.probes.get(probe.reference)
        return reference is not None and reference.answered_s >= probe.asked_s

    def forgive(self) -> None:
        """Forgets failures, also of probes on their way.

        This host was away itself, and may have missed the answers.
        """
        for probe in self.probes.values():
            probe.failures = 0
            probe.is_running = False

    def tick(self, now_s: float) -> list[effects.Effect]:
        """Returns the probes that find dead targets alive again."""
        for name in [
            name for name, probe in self.probes.items() if probe.entry.is_gone
        ]:
            del self.probes[name]
        return [
            _send(now_s, probe)
            for probe in self.probes.values()
            if probe.is_dead
            and not probe.is_running
            and now_s - probe.asked_s >= RETURN_INTERVAL_S
        ]


def _send(now_s: float, probe: Probe) -> effects.Effect:
    """Returns a probe."""
    probe.is_running = True
    probe.asked_s = now_s
    target = probe.entry.target
    return effects.ProbeTarget(target.name, target.endpoint, TIMEOUT_S)
