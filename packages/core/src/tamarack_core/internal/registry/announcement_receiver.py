"""Takes announcements, and shares them among the control hosts."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core import target_announcement
from tamarack_core.internal.group import host_directory
from tamarack_core.internal.registry import publisher as publishers
from tamarack_core.internal.registry import target_registry

TIMER = "registry"

TICK_S = 0.25
"""Time between searches for overdue targets, in seconds."""

HEARD_INTERVAL_S = 0.5
"""Time between two messages to the other control hosts about who announced
itself, in seconds."""

FOLLOW_INTERVAL_S = 1.0
"""Time between questions to each other control host, in seconds."""

SAVE_INTERVAL_S = 1.0
"""Shortest time between two savings of the targets, in seconds."""

GAP_S = 0.8
"""Time without a turn of the loop after which this host has been away."""

MS_PER_S = 1000


class AnnouncementReceiver:
    """Part that keeps the registry of a control host.

    Attributes:
        context: Identity, chance, time and counters.
        registry: Announced targets.
        publisher: Pushes changes to followers.
        directory: The other control hosts.
        targets: Targets that an earlier start left, if any.
        positions: Run and position followed at each other control host.
        directly: Time of the last announcement to this host, by name, for
            those that the other hosts have not heard of.
        heard_s: Time of the last `AnnouncementAges` message, in seconds.
        asked_s: Time of the last questions, in seconds.
        ticked_s: Time of the last tick, in seconds.
        saved: Position that was saved last.
        saved_s: Time of the last saving, in seconds.
    """

    __slots__ = (
        "asked_s",
        "context",
        "directly",
        "directory",
        "heard_s",
        "positions",
        "publisher",
        "registry",
        "saved",
        "saved_s",
        "targets",
        "ticked_s",
    )

    def __init__(
        self,
        context: context_lib.Context,
        registry: target_registry.TargetRegistry,
        publisher: publishers.Publisher,
        directory: host_directory.ControlHostDirectory,
        targets: bytes | None,
    ) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            registry: Announced targets.
            publisher: Pushes changes to followers.
            directory: The other control hosts.
            targets: Targets that an earlier start left, if any.
        """
        self.context = context
        self.registry = registry
        self.publisher = publisher
        self.directory = directory
        self.positions: dict[str, tuple[str, int]] = {}
        self.directly: dict[str, float] = {}
        self.heard_s = float("-inf")
        self.asked_s = float("-inf")
        self.ticked_s = float("inf")
        self.targets = targets
        self.saved = 0
        self.saved_s = float("-inf")

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {
            events.Started: self.handle_started,
            TIMER: self.handle_tick,
            external_requests.AnnounceTarget: self.handle_announce,
            external_requests.WithdrawTarget: self.handle_withdraw,
            sync.SyncUpdate: self.handle_update,
            sync.AnnouncementAges: self.handle_heard,
        }

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Takes over the targets that an earlier start left."""
        found = self.handle_tick(event)
        if self.targets is None:
            return found
        refused = self.registry.restore(event.now_s, self.targets)
        self.targets = None
        self.saved = self.registry.position
        record = self.context.record(
            event.now_s,
            "targets-restored",
            reason=refused.reason if refused is not None else "",
            detail=f"{len(self.registry.records)} targets",
        )
        return [*found, record]

    def handle_announce(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Takes an announcement of a target."""
        request = event.request
        assert isinstance(request, external_requests.AnnounceTarget)
        target = request.target
        is_changed = self.registry.put(event.now_s, target)
        held = self.registry.records.get(target.name)
        if held is not None and held.target.order == target.order:
            self.directly[target.name] = event.now_s
        found: list[effects.Effect] = []
        if is_changed:
            found.append(self._record(event.now_s, target))
            found += self.publisher.push(event.now_s)
        noted = external_requests.TargetAcknowledged(self._home_of(target))
        found.append(effects.Respond(event.request_id, noted))
        return found

    def _home_of(self, target: target_announcement.Announcement) -> str:
        """Returns the address of a control host of the target's domain."""
        if target.domain == self.context.host.domain:
            return self.context.host.control.address
        for peer in self.publisher.controls:
            if peer.domain == target.domain:
                return peer.control.address
        return ""

    def handle_withdraw(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Takes the end of a target."""
        request = event.request
        assert isinstance(request, external_requests.WithdrawTarget)
        noted = external_requests.TargetAcknowledged()
        answer = effects.Respond(event.request_id, noted)
        self.directly.pop(request.name, None)
        if not self.registry.withdraw(
            event.now_s, request.name, request.born_ms
        ):
            return [answer]
        target = self.registry.records[request.name].target
        return [
            answer,
            self._record(event.now_s, target),
            *self.publisher.push(event.now_s),
        ]

    def handle_tick(
        self, event: events.TimerFired | events.Started
    ) -> list[effects.Effect]:
        """Finds overdue targets, and speaks to the other control hosts."""
        now_s = event.now_s
        if now_s - self.ticked_s > GAP_S:
            self.registry.excuse(now_s)
        self.ticked_s = now_s
        found: list[effects.Effect] = [effects.StartTimer(TIMER, TICK_S)]
        if self.registry.tick(now_s):
            found += self.publisher.push(now_s)
        if self._is_saving_due(now_s):
            self.saved = self.registry.position
            self.saved_s = now_s
            found.append(effects.SaveTargets(self.registry.encode()))
        others = self.directory.others()
        if now_s - self.heard_s >= HEARD_INTERVAL_S:
            found += self._tell_heard(now_s)
        if now_s - self.asked_s >= FOLLOW_INTERVAL_S:
            self.asked_s = now_s
            found += [
                effects.SendMessage(peer, self._question(peer.host))
                for peer in others
            ]
        return found

    def _is_saving_due(self, now_s: float) -> bool:
        """Returns whether targets changed and the last saving is over."""
        is_changed = self.saved != self.registry.position
        return is_changed and now_s - self.saved_s >= SAVE_INTERVAL_S

    def _tell_heard(self, now_s: float) -> list[effects.Effect]:
        """Tells the other control hosts who announced itself here."""
        self.heard_s = now_s
        if not self.directly:
            return []
        ages_ms = {
            name: int((now_s - at_s) * MS_PER_S)
            for name, at_s in self.directly.items()
        }
        self.directly.clear()
        message = sync.AnnouncementAges(ages_ms)
        return [
            effects.SendMessage(peer, message)
            for peer in self.directory.others()
        ]

    def _question(self, host: str) -> sync.SyncRequest:
        """Returns the question to another control host."""
        run, position = self.positions.get(host, ("", 0))
        return sync.SyncRequest(run, position, 0, is_control=True)

    def handle_update(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Takes what another control host knows of targets."""
        update = event.message
        assert isinstance(update, sync.SyncUpdate)
        run, position = self.positions.get(event.sender.host, ("", 0))
        if update.run != run:
            position = 0
        if update.base > position:
            question = self._question(event.sender.host)
            return [effects.SendMessage(event.sender, question)]
        held = (update.run, max(position, update.position))
        self.positions[event.sender.host] = held
        changed = [
            known.target
            for known in update.targets
            if self.registry.put(event.now_s, known.target, self._age_s(known))
        ]
        if not changed:
            return []
        return [
            *(self._record(event.now_s, target) for target in changed),
            *self.publisher.push(event.now_s),
        ]

    def _age_s(self, known: target_announcement.KnownTarget) -> float:
        """Returns the age to assume of what another control host tells."""
        return 2 * self.registry.patience_s if known.is_overdue else 0.0

    def handle_heard(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Takes note of whom another control host heard."""
        message = event.message
        assert isinstance(message, sync.AnnouncementAges)
        is_changed = False
        for name, age_ms in message.ages_ms.items():
            is_changed |= self.registry.hear(
                event.now_s, name, age_ms / MS_PER_S
            )
        return self.publisher.push(event.now_s) if is_changed else []

    def _record(
        self, now_s: float, target: target_announcement.Announcement
    ) -> effects.Effect:
        """Returns the time line entry of a target that changed."""
        return self.context.record(
            now_s,
            "target-changed",
            service=target.service,
            target=target.name,
            detail=f"{target.phase.name.lower()} born {target.born_ms}"
            f" sequence {target.sequence}",
        )
