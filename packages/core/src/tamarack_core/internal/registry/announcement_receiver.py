"""Receives announcements and shares them among the control hosts."""

import collections

import msgspec

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import failure
from tamarack_core import reducer
from tamarack_core import refusal
from tamarack_core import sync
from tamarack_core import target_announcement
from tamarack_core.internal import change_entries
from tamarack_core.internal import suspension
from tamarack_core.internal.group import host_directory
from tamarack_core.internal.registry import publisher as publishers
from tamarack_core.internal.registry import target_registry

TIMER = "registry"

TICK_S = 0.25
"""Interval of the checks for overdue targets, in seconds."""

AGES_INTERVAL_S = 0.5
"""Interval of the reports of announcements to the other control hosts, in
seconds."""

SYNC_INTERVAL_S = 1.0
"""Interval of the sync requests to each other control host, in seconds."""

RETRY_INTERVAL_S = 0.5
"""Time after which a sync request is repeated to a live control host that has
not answered it, in seconds."""

MAX_ROUNDS = 16
"""Rounds of sync requests whose times are kept."""

SAVE_INTERVAL_S = 1.0
"""Shortest time between two writes of the targets to disk, in seconds."""

POSITION_LIFETIME_S = target_registry.SILENCE_RETENTION_S / 2
"""Time without an update from another control host after which all its targets
are requested again, in seconds. Those that announce themselves to it alone may
have been forgotten here."""

ROUND_BITS = 48

MS_PER_S = 1000


class HeldPosition(msgspec.Struct):
    """How far the changes of another control host are held.

    Attributes:
        run: Run of that host.
        position: Last change of that run that is held.
        updated_s: Time of its last update, in seconds.
    """

    run: str
    position: int
    updated_s: float


class AnnouncementReceiver:
    """Component that maintains the target registry of a control host.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        registry: Announced targets.
        publisher: Pushes changes to subscribers.
        directory: The other control hosts.
        restorable: Encoded targets that an earlier start saved, if any.
        positions: How far the changes of each other control host are held.
        unreported_s: Time of the last announcement to this host, in seconds,
            by name of the target; only those not yet reported to the others.
        ages_sent_s: Time of the last `AnnouncementAges` message, in seconds.
        sync_sent_s: Time of the last sync requests, in seconds.
        retried_s: Time of their last repetition, in seconds.
        round: Round of the last sync requests.
        rounds: Time of each round in seconds, the earliest first.
        ticked_s: Time of the last run of the timer, in seconds.
        saved_cold: Number of cold targets at the last write to disk.
        saved_entry_hosts: Number of entry hosts at the last write to disk.
        saved_position: Registry position at the last write to disk.
        saved_s: Time of the last write to disk, in seconds.
    """

    __slots__ = (
        "ages_sent_s",
        "context",
        "directory",
        "positions",
        "publisher",
        "registry",
        "restorable",
        "retried_s",
        "round",
        "rounds",
        "saved_cold",
        "saved_entry_hosts",
        "saved_position",
        "saved_s",
        "sync_sent_s",
        "ticked_s",
        "unreported_s",
    )

    def __init__(
        self,
        context: context_lib.Context,
        registry: target_registry.TargetRegistry,
        publisher: publishers.Publisher,
        directory: host_directory.ControlHostDirectory,
        restorable: bytes | None,
    ) -> None:
        """Initializes the announcement receiver.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            registry: Announced targets.
            publisher: Pushes changes to subscribers.
            directory: The other control hosts.
            restorable: Encoded targets that an earlier start saved, if any.
        """
        self.context = context
        self.registry = registry
        self.publisher = publisher
        self.directory = directory
        self.positions: dict[str, HeldPosition] = {}
        self.unreported_s: dict[str, float] = {}
        self.ages_sent_s = float("-inf")
        self.sync_sent_s = float("-inf")
        self.retried_s = float("-inf")
        # Answers to an earlier run of this process must not count.
        self.round = context.random.getrandbits(ROUND_BITS)
        self.rounds: dict[int, float] = {}
        self.ticked_s = float("inf")
        self.restorable = restorable
        self.saved_cold = 0
        self.saved_entry_hosts = 0
        self.saved_position = 0
        self.saved_s = float("-inf")

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            events.Started: self.handle_started,
            TIMER: self.handle_tick,
            external_requests.AnnounceTarget: self.handle_announce,
            external_requests.WithdrawTarget: self.handle_withdraw,
            sync.SyncUpdate: self.handle_update,
            sync.AnnouncementAges: self.handle_ages,
        }

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Starts the timer, and restores the targets that were saved."""
        result = self.handle_tick(event)
        if self.restorable is None:
            return result
        restored = self.registry.restore(event.now_s, self.restorable)
        self.restorable = None
        reason = ""
        if isinstance(restored, failure.Failure):
            reason = restored.reason
        else:
            self.publisher.entry_hosts.saved = restored.entry_hosts
            self.saved_entry_hosts = restored.entry_hosts
            result += change_entries.record_skipped(
                self.context, event.now_s, restored.skipped
            )
        self.saved_position = self.registry.position
        record = self.context.record(
            event.now_s,
            "targets-restored",
            reason=reason,
            detail=f"{len(self.registry.records)} targets",
        )
        return [*result, record]

    def handle_announce(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Applies an announcement, and pushes what changed."""
        request = event.request
        assert isinstance(request, external_requests.AnnounceTarget)
        target = request.target
        invalid = target_announcement.check(target)
        if invalid is not None:
            return self._refuse(event, invalid, target.name)
        if target.service not in self.registry.services:
            self.context.counters["announcement-of-unknown-service"] += 1
        is_changed = self.registry.announce(event.now_s, target)
        held = self.registry.records.get(target.name)
        if held is not None and _is_same(held.target, target):
            self.unreported_s[target.name] = event.now_s
        result: list[effects.Effect] = []
        if is_changed and held is not None:
            result.append(self._record(event.now_s, held.target))
            result += self.publisher.push(event.now_s)
        response = external_requests.TargetAcknowledged(
            self._control_address(target)
        )
        result.append(effects.Respond(event.request_id, response))
        return result

    def _refuse(
        self, event: events.RequestArrived, invalid: failure.Failure, name: str
    ) -> list[effects.Effect]:
        """Refuses an invalid announcement or withdrawal of a target."""
        refused = refusal.Refused(invalid.reason, invalid.detail)
        record = self.context.record(
            event.now_s,
            "announcement-refused",
            target=name[: target_announcement.MAX_NAME_CHARACTERS],
            reason=invalid.reason,
            detail=invalid.detail,
        )
        return [record, effects.Respond(event.request_id, refused)]

    def _control_address(self, target: target_announcement.Announcement) -> str:
        """Returns the address of a control host in the target's domain."""
        if target.domain == self.context.host.domain:
            return self.context.host.control.address
        for peer in self.publisher.controls:
            if peer.domain == target.domain:
                return peer.control.address
        return ""

    def handle_withdraw(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Marks a target as gone, and pushes the change."""
        request = event.request
        assert isinstance(request, external_requests.WithdrawTarget)
        if request.born_ms is not None:
            invalid = target_announcement.check_born(request.born_ms)
            if invalid is not None:
                return self._refuse(event, invalid, request.name)
        response = external_requests.TargetAcknowledged()
        effect = effects.Respond(event.request_id, response)
        self.unreported_s.pop(request.name, None)
        if not self.registry.withdraw(
            event.now_s, request.name, request.born_ms
        ):
            return [effect]
        target = self.registry.records[request.name].target
        return [
            effect,
            self._record(event.now_s, target),
            *self.publisher.push(event.now_s),
        ]

    def handle_tick(
        self, event: events.TimerFired | events.Started
    ) -> list[effects.Effect]:
        """Finds overdue targets, saves, and sends what is due to others."""
        now_s = event.now_s
        if now_s - self.ticked_s > suspension.SUSPENSION_S:
            self.registry.extend_deadlines(now_s)
        self.ticked_s = now_s
        result: list[effects.Effect] = [effects.StartTimer(TIMER, TICK_S)]
        if self.registry.check_overdue(now_s):
            result += self.publisher.push(now_s)
        if self._is_save_due(now_s):
            self.saved_position = self.registry.position
            self.saved_s = now_s
            self.saved_entry_hosts = self._entry_hosts(now_s)
            self.saved_cold = len(self.registry.cold_records(now_s))
            data = self.registry.encode(now_s, self.saved_entry_hosts)
            result.append(effects.SaveTargets(data))
        if now_s - self.ages_sent_s >= AGES_INTERVAL_S:
            result += self._broadcast_ages(now_s)
        return [*result, *self._send_sync_requests(now_s)]

    def _send_sync_requests(self, now_s: float) -> list[effects.Effect]:
        """Sends the sync requests that are due to other control hosts."""
        if now_s - self.sync_sent_s >= SYNC_INTERVAL_S:
            self.sync_sent_s = self.retried_s = now_s
            self.round += 1
            self.rounds[self.round] = now_s
            if len(self.rounds) > MAX_ROUNDS:
                del self.rounds[next(iter(self.rounds))]
            receivers = self.directory.others()
        elif now_s - self.retried_s >= RETRY_INTERVAL_S:
            self.retried_s = now_s
            receivers = tuple(
                peer
                for peer in self.directory.live(now_s)
                if peer != self.context.host
                and self.directory.asked_s.get(peer.control) != self.sync_sent_s
            )
        else:
            return []
        return [
            effects.SendMessage(peer, self._sync_request(now_s, peer.host))
            for peer in receivers
        ]

    def _is_save_due(self, now_s: float) -> bool:
        """Returns whether changed targets are to be written to disk."""
        is_changed = (
            self.saved_position != self.registry.position
            or self.saved_entry_hosts != self._entry_hosts(now_s)
            # A start would count those that are warm by then as cold.
            or self.saved_cold > len(self.registry.cold_records(now_s))
        )
        return is_changed and now_s - self.saved_s >= SAVE_INTERVAL_S

    def _entry_hosts(self, now_s: float) -> int:
        """Returns the number of entry hosts to save: the last one known."""
        estimate = self.publisher.entry_hosts.estimate(now_s)
        return estimate or self.saved_entry_hosts

    def _broadcast_ages(self, now_s: float) -> list[effects.Effect]:
        """Reports the targets that announced themselves here to the others."""
        self.ages_sent_s = now_s
        if not self.unreported_s:
            return []
        ages_ms = {
            name: int((now_s - at_s) * MS_PER_S)
            for name, at_s in self.unreported_s.items()
        }
        self.unreported_s.clear()
        message = sync.AnnouncementAges(ages_ms)
        return [
            effects.SendMessage(peer, message)
            for peer in self.directory.others()
        ]

    def _sync_request(self, now_s: float, host: str) -> sync.SyncRequest:
        """Returns the sync request for another control host."""
        held = self._position(now_s, host)
        return sync.SyncRequest(
            held.run, held.position, 0, is_control=True, round=self.round
        )

    def _position(self, now_s: float, host: str) -> HeldPosition:
        """Returns how far the changes of another control host are held."""
        held = self.positions.get(host)
        if held is None or now_s - held.updated_s > POSITION_LIFETIME_S:
            return HeldPosition("", 0, now_s)
        return held

    def handle_update(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Applies the targets that another control host sent."""
        update = event.message
        assert isinstance(update, sync.SyncUpdate)
        host = event.sender.host
        held = self._position(event.now_s, host)
        position = held.position if update.run == held.run else 0
        if update.base <= position and update.round in self.rounds:
            asked_s = self.rounds[update.round]
            self.directory.record_answer(event.sender.control, asked_s)
        if update.base > position:
            request = self._sync_request(event.now_s, host)
            return [effects.SendMessage(event.sender, request)]
        self.positions[host] = HeldPosition(
            update.run, max(position, update.position), event.now_s
        )
        changed = []
        skipped = []
        for known in update.targets:
            target = known.target
            invalid = target_announcement.check(target)
            if invalid is not None:
                skipped.append(change_entries.Skipped(target.name, invalid))
            elif self.registry.put(
                event.now_s,
                target,
                self._assumed_age_s(known),
                tag_use=update.tag_uses.get(
                    target.name, target_announcement.TagUse.PLAIN
                ),
            ):
                changed.append(target)
        result = change_entries.record_skipped(
            self.context, event.now_s, skipped
        )
        if not changed:
            return result
        return [
            *result,
            *self._record_all(event.now_s, changed),
            *self.publisher.push(event.now_s),
        ]

    def _record_all(
        self, now_s: float, changed: list[target_announcement.Announcement]
    ) -> list[effects.Effect]:
        """Returns the time line entries of targets that changed at once."""
        if len(changed) <= change_entries.MAX_ENTRIES:
            return [self._record(now_s, target) for target in changed]
        phases = collections.Counter(
            target.phase.name.lower() for target in changed
        )
        return [change_entries.summarize(self.context, now_s, phases)]

    def _assumed_age_s(self, known: target_announcement.KnownTarget) -> float:
        """Returns the age to assume for an announcement of another host."""
        return 2 * self.registry.overdue_after_s if known.is_overdue else 0.0

    def handle_ages(self, event: events.MessageArrived) -> list[effects.Effect]:
        """Applies the announcement ages that another control host reported.

        They are passed on to those that don't hear that host, to which all its
        targets would seem silent.
        """
        message = event.message
        assert isinstance(message, sync.AnnouncementAges)
        is_changed = False
        for name, age_ms in message.ages_ms.items():
            is_changed |= self.registry.observe(
                event.now_s, name, age_ms / MS_PER_S
            )
        result = self.publisher.push(event.now_s) if is_changed else []
        if message.is_relayed:
            return result
        relayed = sync.AnnouncementAges(message.ages_ms, is_relayed=True)
        receivers = self.directory.not_hearing(
            event.now_s, event.sender.control
        )
        return [
            *result,
            *[effects.SendMessage(peer, relayed) for peer in receivers],
        ]

    def _record(
        self, now_s: float, target: target_announcement.Announcement
    ) -> effects.Effect:
        """Returns the time line entry of a target that changed."""
        is_known = target.service in self.registry.services
        tag_use = "".join(
            f" tag {use.name.lower()}"
            for use in self.registry.tag_uses([target]).values()
        )
        return self.context.record(
            now_s,
            "target-changed",
            service=target.service,
            target=target.name,
            reason="" if is_known else "unknown-service",
            detail=f"{target.phase.name.lower()} born {target.born_ms}"
            f" sequence {target.sequence}{tag_use}",
        )


def _is_same(
    held: target_announcement.Announcement,
    target: target_announcement.Announcement,
) -> bool:
    """Returns whether the announcement held is the one that arrived."""
    return (held.born_ms, held.sequence) == (target.born_ms, target.sequence)
