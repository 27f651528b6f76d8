"""Asks a silent target itself before its flows are given up.

The load that it answers: a target crashes without a word while each entry
host has two or three flows with it, too few to judge by. One repeated packet
is enough to ask. A probe asks for several connections, as one packet may be
lost; none is sent while all is well.

A probe in vain is believed once another target, asked afterwards, answers:
where a large document fills the link of this host, or the host is cut off, all
are silent. What the flows of the target show goes before what probes show.
"""

from collections.abc import Iterable

import msgspec

from tamarack_core import effects
from tamarack_core.internal.cookie import target_table

ATTEMPTS = 3
"""Connections that a probe asks for; where one packet in forty is lost, one
probe in 8,000 of a live target is in vain."""

SPACING_S = 0.06
"""Time between these connections, in seconds."""

TIMEOUT_S = 0.25
"""Time that a target has to take one of them, in seconds; the longest way
between failure domains and back takes 0.02 s, and a host with a quota of
processor time may pause for 0.1 s."""

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
        is_hinted: Whether another host said that the target is dead.
        reference: Target whose answer is waited for before a probe in vain
            is believed; empty for none.
        is_dead: Whether the target is held to be dead.
    """

    entry: target_table.Entry
    asked_s: float = float("-inf")
    is_running: bool = False
    is_hinted: bool = False
    reference: str = ""
    is_dead: bool = False


class TargetProbes:
    """Probes by name of the target.

    Attributes:
        probes: What probes show.
    """

    __slots__ = ("probes",)

    def __init__(self) -> None:
        """Knows no target."""
        self.probes: dict[str, Probe] = {}

    def is_dead(self, entry: target_table.Entry) -> bool:
        """Returns whether a target is held to be dead, in this life."""
        probe = self.probes.get(entry.target.name)
        return (
            probe is not None
            and probe.is_dead
            and not is_reborn(probe.entry, entry)
        )

    def ask(
        self,
        now_s: float,
        entry: target_table.Entry,
        *,
        is_hinted: bool = False,
    ) -> list[effects.Effect]:
        """Returns a probe of a suspected target, if none was sent lately.

        Args:
            now_s: Monotonic time in seconds.
            entry: The target.
            is_hinted: Whether another host said that it is dead.
        """
        probe = self._probe_of(entry)
        is_waiting = probe.is_running or bool(probe.reference)
        if is_waiting or now_s - probe.asked_s < ASK_INTERVAL_S:
            return []
        probe.is_hinted = is_hinted
        return [_send(now_s, probe)]

    def _probe_of(self, entry: target_table.Entry) -> Probe:
        """Returns the probe of a target, a new one for each of its lives."""
        name = entry.target.name
        probe = self.probes.get(name)
        if probe is None or is_reborn(probe.entry, entry):
            probe = self.probes[name] = Probe(entry)
        probe.entry = entry
        return probe

    def note_answer(self, name: str) -> bool:
        """Takes note that a target answered a probe.

        Args:
            name: Name of the target.

        Returns:
            Whether it was held to be dead.
        """
        probe = self.probes.get(name)
        if probe is None or not probe.is_running:
            return False
        was_dead, probe.is_dead = probe.is_dead, False
        probe.is_running = False
        probe.reference = ""
        return was_dead

    def note_failure(
        self, now_s: float, name: str, references: Iterable[target_table.Entry]
    ) -> list[effects.Effect]:
        """Takes note that a probe was in vain.

        Args:
            now_s: Monotonic time in seconds.
            name: Name of the target.
            references: Targets that answered lately, the last one first.

        Returns:
            A probe of the first reference that no probe doubts.
        """
        probe = self.probes.get(name)
        if probe is None or not probe.is_running:
            return []
        probe.is_running = False
        self._doubt_waiting(name)
        if probe.is_dead:
            return []
        for entry in references:
            other = self._probe_of(entry)
            if other is probe or other.is_dead or other.reference:
                continue
            probe.reference = entry.target.name
            return [] if other.is_running else [_send(now_s, other)]
        return []

    def _doubt_waiting(self, reference: str) -> None:
        """Forgets the failures that a silent reference was to confirm."""
        for probe in self.waiting_for(reference):
            probe.reference = ""

    def waiting_for(self, reference: str) -> list[Probe]:
        """Returns the probes in vain that wait for the answer of a target."""
        return [
            probe
            for probe in self.probes.values()
            if probe.reference == reference
        ]

    def forgive(self) -> None:
        """Forgets failures, also of probes on their way.

        This host was away itself, and may have missed the answers.
        """
        for probe in self.probes.values():
            probe.reference = ""
            probe.is_running = False

    def tick(self, now_s: float) -> list[effects.Effect]:
        """Returns the probes that find dead targets alive again."""
        for name in [
            name for name, probe in self.probes.items() if probe.entry.is_gone
        ]:
            del self.probes[name]
        return [
            _send(now_s, probe, attempts=1)
            for probe in self.probes.values()
            if probe.is_dead
            and not probe.is_running
            and now_s - probe.asked_s >= RETURN_INTERVAL_S
        ]


def is_reborn(held: target_table.Entry, entry: target_table.Entry) -> bool:
    """Returns whether a target has begun another life."""
    return held.target.born_ms != entry.target.born_ms


def _send(
    now_s: float, probe: Probe, attempts: int = ATTEMPTS
) -> effects.Effect:
    """Returns a probe."""
    probe.is_running = True
    probe.asked_s = now_s
    target = probe.entry.target
    return effects.ProbeTarget(
        target.name, target.endpoint, TIMEOUT_S, attempts, SPACING_S
    )
