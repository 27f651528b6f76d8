"""Decides which targets are dead, by probes and by the silence of flows.

Probes are sent when a caller repeats a packet, when another host found a target
dead, and beside a dead target; what they show counts for this host alone.
"""

from collections.abc import Iterator

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core.internal.cookie import flow_rejection as answers_lib
from tamarack_core.internal.cookie import subscription as mirrors
from tamarack_core.internal.cookie import target_probes
from tamarack_core.internal.cookie import target_table

ALIVE_S = 0.3
"""Time for which a sign of life outweighs what another host found, in
seconds; finding a target dead takes as long."""


class TargetFailureDetector:
    """Part that gives up targets that do not answer.

    Attributes:
        context: Identity, chance, time and counters.
        answers: Tells callers.
        mirror: Follows a control host.
        targets: Known targets.
        tracker: What the packets show of flows and targets.
        probes: What probes show of targets.
    """

    __slots__ = ("answers", "context", "mirror", "probes", "targets", "tracker")

    def __init__(
        self,
        answers: answers_lib.FlowRejector,
        mirror: mirrors.ControlSubscription,
    ) -> None:
        """Creates the part.

        Args:
            answers: Tells callers.
            mirror: Follows a control host.
        """
        self.context = answers.context
        self.answers = answers
        self.mirror = mirror
        self.targets = mirror.targets
        self.tracker = answers.tracker
        self.probes = target_probes.TargetProbes()

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {
            events.TargetProbed: self.handle_probed,
            sync.SuspectTargets: self.handle_suspects,
        }

    def turn(self, now_s: float) -> None:
        """Takes note that this host runs, and forgives all if it was away."""
        if self.tracker.turn(now_s):
            self.probes.forgive()

    def handle_probed(self, event: events.TargetProbed) -> list[effects.Effect]:
        """Takes the end of a probe; a dead target loses its flows."""
        self.turn(event.now_s)
        if event.is_answered:
            return self._take_answer(event.now_s, event.target)
        return self.probes.note_failure(
            event.now_s, event.target, self._references()
        )

    def _take_answer(self, now_s: float, name: str) -> list[effects.Effect]:
        """Takes the answer of a target, and believes failures before it."""
        was_dead = self.probes.note_answer(name)
        entry = self.targets.by_name.get(name)
        found: list[effects.Effect] = []
        if entry is not None:
            self.tracker.note_answer(now_s, entry)
            if was_dead:
                found.append(self._record_life(now_s, entry, "target-alive"))
        for probe in self.probes.waiting_for(name):
            found += self._believe(now_s, probe)
        return found

    def _believe(
        self, now_s: float, probe: target_probes.Probe
    ) -> list[effects.Effect]:
        """Gives up a target whose probe was in vain while others answer."""
        probe.reference = ""
        entry = self.targets.by_name.get(probe.entry.target.name)
        if entry is None or entry.is_gone:
            return []
        if target_probes.is_reborn(probe.entry, entry):
            # Another life of the target began meanwhile.
            return []
        if self.tracker.watch(entry).silence.answered_s >= probe.asked_s:
            # Its flows go on; only the probe was lost.
            return []
        probe.is_dead = True
        return [
            self._record_life(now_s, entry, "target-dead"),
            *self.answers.give_up(now_s, entry, "target-silent"),
            *self._ask_neighbors(now_s, probe),
            *self._tell(probe),
        ]

    def _tell(self, dead: target_probes.Probe) -> list[effects.Effect]:
        """Tells other hosts of a dead target, unless they told this one."""
        followed = self.mirror.followed
        if followed is None or dead.is_hinted:
            return []
        doubt = sync.SuspectTargets((dead.entry.target.name,))
        return [effects.SendMessage(followed, doubt)]

    def handle_suspects(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Asks the targets that another host found dead."""
        message = event.message
        assert isinstance(message, sync.SuspectTargets)
        now_s = event.now_s
        entries = map(self.targets.by_name.get, message.targets)
        return [
            effect
            for entry in entries
            if entry is not None
            and not entry.is_gone
            and not self.probes.is_dead(entry)
            and now_s - self.tracker.watch(entry).silence.answered_s > ALIVE_S
            for effect in self.probes.ask(now_s, entry, is_hinted=True)
        ]

    def _ask_neighbors(
        self, now_s: float, dead: target_probes.Probe
    ) -> list[effects.Effect]:
        """Asks the other targets of the domain of a dead one.

        Where a domain is cut off, callers need not find out target by target.
        """
        domain = dead.entry.target.domain
        return [
            effect
            for entry in self.targets.by_name.values()
            if entry.target.domain == domain
            and not entry.is_gone
            and not self.probes.is_dead(entry)
            and (watch := self.tracker.watch(entry)).flows
            and watch.silence.answered_s < dead.asked_s
            for effect in self.probes.ask(
                now_s, entry, is_hinted=dead.is_hinted
            )
        ]

    def _record_life(
        self, now_s: float, entry: target_table.Entry, name: str
    ) -> effects.Effect:
        """Returns the time line entry of what probes showed."""
        return self.context.record(
            now_s,
            name,
            service=entry.target.service,
            target=entry.target.name,
            reason="probe",
            detail=f"announced {now_s - entry.since_s:.1f} s ago",
        )

    def _references(self) -> Iterator[target_table.Entry]:
        """Yields the targets that gave signs of life, the last one first."""
        for name in reversed(self.tracker.responsive):
            entry = self.targets.by_name.get(name)
            if entry is not None and not entry.is_gone:
                yield entry

    def is_dead(self, now_s: float, entry: target_table.Entry) -> bool:
        """Returns whether the flows of a target wait in vain.

        A target that also misses its announcements needs less evidence.
        """
        if self.probes.is_dead(entry):
            return True
        watch = self.tracker.watch(entry)
        if entry.is_overdue and watch.is_suspect(now_s):
            return True
        return watch.is_dark(now_s)
