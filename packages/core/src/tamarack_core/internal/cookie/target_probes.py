"""Probes suspect targets before their flows are reset.

If a target crashes without closing its flows, each entry host may have only
two or three flows with it, too few as evidence. One retransmission is enough
to start a probe. A probe makes several connection attempts, since one packet
may be lost. No probe is sent while nothing is suspect.

A connection that the target resets is a reply as well: only silence and a
refusal, which shows that nothing listens, make a probe fail. Hundreds of hosts
may probe a target at the same moment, and fill its queue of connections.

A target is dead once a probe has failed, another target, the reference, has
replied to a later probe, and then a second probe of the target has failed. If
a large document fills the link of this host, or the host is cut off, the
reference does not reply; if the cause has passed meanwhile, the second probe
succeeds. Progress of the flows of a target outweighs failed probes.

Each connection is work for a target, and there may be hundreds of entry hosts.
While most targets of a failure domain are dead, as when it is cut off, only a
few of them are probed for a recovery.
"""

import collections
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
import enum

import msgspec

from tamarack_core import effects
from tamarack_core.internal.cookie import target_table

ATTEMPTS = 2
"""Connection attempts of a probe. If one packet in forty is lost, two probes of
a live target fail in one of 170,000 cases."""

SPACING_S = 0.05
"""Time between these attempts, in seconds."""

TIMEOUT_S = 0.16
"""Time in which a target must accept one of the connections, in seconds. The
longest round trip between failure domains takes 0.02 s, and a host with a
processor quota may pause for 0.1 s."""

PROBE_INTERVAL_S = 0.5
"""Shortest time between probes of a target that is not dead, in seconds."""

RECOVERY_INTERVAL_S = 0.5
"""Interval of the probes of a dead target, in seconds."""

DOMAIN_PROBES = 2
"""Dead targets probed in each interval in a failure domain that is down. One of
them may have crashed as well."""


class Trigger(enum.StrEnum):
    """What made this host probe a target."""

    RETRANSMISSION = "retransmission"
    OPENING = "repeated-opening"
    OVERDUE = "overdue"
    REPORT = "report"
    NEIGHBOR = "dead-neighbor"
    REFERENCE = "reference"
    CONFIRMATION = "confirmation"
    RECOVERY = "recovery"


class ProbeState(msgspec.Struct):
    """State of the probes of a target.

    Attributes:
        entry: The target.
        sent_s: Time of the last probe, in seconds.
        is_running: Whether a probe is in flight.
        number: Number of the last probe.
        trigger: What the last probe was sent for.
        is_reported: Whether the probe was started by a report of another host.
        suspected_s: Time of the first of the probes that have failed since the
            last reply, in seconds.
        reference: Target whose reply a failed probe waits for; empty if none.
        confirmed_by: What has replied since the first probe failed; empty
            unless the second one is in flight.
        is_dead: Whether the target was found dead.
    """

    entry: target_table.TargetEntry
    sent_s: float = float("-inf")
    number: int = 0
    trigger: Trigger = Trigger.RETRANSMISSION
    is_running: bool = False
    is_reported: bool = False
    suspected_s: float = float("-inf")
    reference: str = ""
    confirmed_by: str = ""
    is_dead: bool = False


class TargetProbes:
    """Probes by name of the target.

    Attributes:
        counters: Counters of the host; probes are counted by trigger.
        probes: State of the probes by name of the target.
        references: Names of the targets for whose reply failed probes wait.
        sent: Number of probes sent.
        replied_sent_s: Time at which the last probe with a reply was sent, in
            seconds.
    """

    __slots__ = ("counters", "probes", "references", "replied_sent_s", "sent")

    def __init__(self, counters: collections.Counter[str]) -> None:
        """Initializes the probes without any target.

        Args:
            counters: Counters of the host.
        """
        self.counters = counters
        self.probes: dict[str, ProbeState] = {}
        self.references: set[str] = set()
        self.sent = 0
        self.replied_sent_s = float("-inf")

    def is_dead(self, entry: target_table.TargetEntry) -> bool:
        """Returns whether a target was found dead since its last start."""
        probe = self.probes.get(entry.target.name)
        return (
            probe is not None
            and probe.is_dead
            and not is_restarted(probe.entry, entry)
        )

    def probe(
        self,
        now_s: float,
        entry: target_table.TargetEntry,
        trigger: Trigger,
        *,
        is_reported: bool = False,
        delay_s: float = 0.0,
    ) -> list[effects.Effect]:
        """Returns a probe of a suspect target, if none was sent recently.

        A probe that is due at once replaces one that waits for its delay.

        Args:
            now_s: Monotonic time in seconds.
            entry: The target.
            trigger: Why the target is suspect.
            is_reported: Whether another host reported it as dead.
            delay_s: Time until the probe is sent, in seconds.
        """
        probe = self._state_of(entry)
        is_waiting = probe.is_running and now_s < probe.sent_s
        if not is_waiting or delay_s:
            is_pending = probe.is_running or bool(probe.reference)
            if is_pending or now_s - probe.sent_s < PROBE_INTERVAL_S:
                return []
        probe.is_reported = is_reported
        probe.suspected_s = now_s + delay_s
        return [self._send(now_s, probe, trigger, delay_s=delay_s)]

    def probe_again(
        self, now_s: float, probe: ProbeState, replied: str
    ) -> effects.Effect:
        """Returns the second probe of a target whose first one has failed.

        Args:
            now_s: Monotonic time in seconds.
            probe: The failed probe.
            replied: What has replied since, for the log.
        """
        probe.reference = ""
        probe.confirmed_by = replied
        return self._send(now_s, probe, Trigger.CONFIRMATION)

    def _state_of(self, entry: target_table.TargetEntry) -> ProbeState:
        """Returns the probe state of a target, a new one after a restart."""
        name = entry.target.name
        probe = self.probes.get(name)
        if probe is None or is_restarted(probe.entry, entry):
            probe = self.probes[name] = ProbeState(entry)
        probe.entry = entry
        return probe

    def handle_success(self, name: str, number: int) -> bool:
        """Handles a successful probe.

        Args:
            name: Name of the target.
            number: Number of the probe.

        Returns:
            Whether the target had been found dead.
        """
        if not self.is_running(name, number):
            return False
        probe = self.probes[name]
        was_dead, probe.is_dead = probe.is_dead, False
        probe.is_running = False
        probe.reference = ""
        probe.confirmed_by = ""
        self.replied_sent_s = max(self.replied_sent_s, probe.sent_s)
        return was_dead

    def handle_failure(self, name: str, number: int) -> ProbeState | None:
        """Handles a failed probe.

        Args:
            name: Name of the target.
            number: Number of the probe.

        Returns:
            The probe if its target was not dead, otherwise None.
        """
        probe = self._end(name, number)
        return None if probe is None or probe.is_dead else probe

    def handle_inconclusive(self, name: str, number: int) -> ProbeState | None:
        """Handles a probe that shows nothing about its target.

        It confirms no failure of another target either.

        Args:
            name: Name of the target.
            number: Number of the probe.

        Returns:
            The probe, or None if none was in flight.
        """
        probe = self._end(name, number)
        if probe is not None:
            probe.confirmed_by = ""
        return probe

    def _end(self, name: str, number: int) -> ProbeState | None:
        """Ends a probe without a reply; returns it if it was in flight."""
        if not self.is_running(name, number):
            return None
        probe = self.probes[name]
        probe.is_running = False
        self._discard_failures(name)
        return probe

    def is_running(self, name: str, number: int) -> bool:
        """Returns whether a probe was neither replaced nor discarded."""
        probe = self.probes.get(name)
        return probe is not None and probe.is_running and probe.number == number

    def has_later_reply(self, failed: ProbeState) -> bool:
        """Returns whether a probe sent after a failed one had a reply.

        Later means after its last connection attempt.
        """
        last_attempt_s = failed.sent_s + (ATTEMPTS - 1) * SPACING_S
        return self.replied_sent_s > last_attempt_s

    def probe_reference(
        self,
        now_s: float,
        probe: ProbeState,
        references: Iterable[target_table.TargetEntry],
    ) -> list[effects.Effect]:
        """Probes a reference after a probe of another target has failed.

        Args:
            now_s: Monotonic time in seconds.
            probe: The failed probe.
            references: Targets that have replied, the most recent one first.

        Returns:
            A probe of the first reference without a failed probe of its own.
        """
        for entry in references:
            other = self._state_of(entry)
            if other is probe or other.is_dead or other.reference:
                continue
            probe.reference = entry.target.name
            self.references.add(probe.reference)
            if other.is_running:
                return []
            return [self._send(now_s, other, Trigger.REFERENCE)]
        return []

    def _discard_failures(self, reference: str) -> None:
        """Discards failures that wait for a reference that failed itself."""
        for probe in self.awaiting_reference(reference):
            probe.reference = ""

    def awaiting_reference(self, reference: str) -> list[ProbeState]:
        """Returns the failed probes that wait for a reply of a reference.

        The caller decides about all of them.
        """
        if reference not in self.references:
            return []
        self.references.remove(reference)
        return [
            probe
            for probe in self.probes.values()
            if probe.reference == reference
        ]

    def reset_pending(self) -> None:
        """Discards unconfirmed failures and the probes in flight.

        This host was suspended and may have missed the replies.
        """
        self.references.clear()
        for probe in self.probes.values():
            probe.reference = ""
            probe.confirmed_by = ""
            probe.is_running = False

    def remove_ended(
        self, known: Mapping[str, target_table.TargetEntry]
    ) -> None:
        """Removes the probes of targets that are gone or no longer known.

        Args:
            known: The known targets by name.
        """
        for name in [
            name
            for name in self.probes
            if name not in known or known[name].is_gone
        ]:
            del self.probes[name]
            self._discard_failures(name)

    def dead(self) -> list[ProbeState]:
        """Returns the probes of dead targets, the longest ago first."""
        found = [probe for probe in self.probes.values() if probe.is_dead]
        return sorted(found, key=lambda probe: probe.sent_s)

    def probe_dead(
        self, now_s: float, down_domains: Container[str]
    ) -> list[effects.Effect]:
        """Returns probes of dead targets, which may have recovered.

        Args:
            now_s: Monotonic time in seconds.
            down_domains: Failure domains in which most targets are dead; only
                `DOMAIN_PROBES` of each are probed in an interval.
        """
        recent: collections.Counter[str] = collections.Counter()
        due = []
        for probe in self.dead():
            if now_s - probe.sent_s < RECOVERY_INTERVAL_S:
                recent[probe.entry.target.domain] += 1
            elif not probe.is_running:
                due.append(probe)
        result = []
        for probe in due:
            domain = probe.entry.target.domain
            if domain in down_domains and recent[domain] >= DOMAIN_PROBES:
                continue
            recent[domain] += 1
            result.append(
                self._send(now_s, probe, Trigger.RECOVERY, attempts=1)
            )
        return result

    def _send(
        self,
        now_s: float,
        probe: ProbeState,
        trigger: Trigger,
        attempts: int = ATTEMPTS,
        delay_s: float = 0.0,
    ) -> effects.Effect:
        """Returns the effect that sends a probe."""
        self.counters[f"probes-sent-{trigger}"] += 1
        self.sent += 1
        probe.number = self.sent
        probe.trigger = trigger
        probe.is_running = True
        probe.sent_s = now_s + delay_s
        target = probe.entry.target
        return effects.ProbeTarget(
            target.name,
            target.endpoint,
            TIMEOUT_S,
            attempts,
            SPACING_S,
            delay_s,
            probe.number,
        )


def is_restarted(
    held: target_table.TargetEntry, entry: target_table.TargetEntry
) -> bool:
    """Returns whether a target has restarted."""
    return held.target.born_ms != entry.target.born_ms
