"""Registry of announced targets at a control host.

An announcement whose service is not in the document in force is kept, since the
document may follow, but until then it neither displaces a target nor is
displaced by one.
"""

from collections.abc import Collection
from collections.abc import Iterable
import itertools
import math

import msgspec

from tamarack_core import failure
from tamarack_core import target_announcement
from tamarack_core.internal import target_tags
from tamarack_core.internal.registry import saved_targets

OVERDUE_INTERVALS = 2.2
"""Intervals without an announcement after which a target is overdue; one
announcement may be lost, and the next one delayed."""

MAX_DELAY_S = 0.2
"""Additional delay that an announcement may have, in seconds."""

GONE_RETENTION_S = 120.0
"""Time after which a target that is gone is removed, in seconds."""

COLD_TOLERANCE_S = 0.3
"""Time by which a renewal may extend the cold time of a target without being
passed on, in seconds. Renewals are delayed by different times."""

SILENCE_RETENTION_S = 120.0
"""Time without an announcement after which a target is forgotten, in seconds.
Silence does not prove that a target has ended: it may be cut off from the
control hosts while it serves."""

MS_PER_S = 1000


class TargetRecord(msgspec.Struct):
    """A target and its state at this host.

    Attributes:
        target: Its newest announcement.
        announced_s: Time of its last announcement to any control host, as far
            as this host knows, in seconds.
        changed_position: Position of the last change that others must receive.
        is_overdue: Whether its announcements are overdue.
        warm_at_s: Time from which it runs at full speed, in seconds, by the
            cold time that was passed on, or a shorter one stated since.
        tag_use: How it uses its plain tag.
    """

    target: target_announcement.Announcement
    announced_s: float
    changed_position: int
    is_overdue: bool = False
    warm_at_s: float = float("-inf")
    tag_use: target_announcement.TagUse = target_announcement.TagUse.PLAIN


class DeferredAnnouncement(msgspec.Struct):
    """An announcement that takes effect once its service is known.

    Attributes:
        target: The announcement.
        announced_s: Time at which a control host received it, in seconds.
    """

    target: target_announcement.Announcement
    announced_s: float


class DisorderedStart(msgspec.Struct):
    """A start that announces itself although a later start time is held.

    Attributes:
        born_ms: Its start time in milliseconds.
        sequence: Sequence number of its newest announcement.
        since_s: Time of its first announcement, in seconds.
    """

    born_ms: int
    sequence: int
    since_s: float


class TargetRegistry:
    """Announced targets by name; each change has a position.

    Attributes:
        interval_s: Time between the announcements of a target, in seconds.
        records: The targets by name, in the order of their last changes.
        position: Position of the newest change.
        services: Names of the services in the document in force.
        warm_up_services: Those of them that state a warm-up.
        cold_names: Names of targets that are cold, and of some that were.
        deferred: Newest announcement of an unknown service under the name of a
            target of a known one, by name.
        disordered: Newest start that announced itself although a later start
            time was held, by name.
    """

    __slots__ = (
        "_by_endpoint",
        "_by_tag",
        "cold_names",
        "deferred",
        "disordered",
        "interval_s",
        "position",
        "records",
        "services",
        "warm_up_services",
    )

    def __init__(self, interval_s: float) -> None:
        """Initializes an empty registry.

        Args:
            interval_s: Time between the announcements of a target, in seconds.
        """
        self.interval_s = interval_s
        self.records: dict[str, TargetRecord] = {}
        self.position = 0
        self.services: frozenset[str] = frozenset()
        self.warm_up_services: frozenset[str] = frozenset()
        self.cold_names: set[str] = set()
        self.deferred: dict[str, DeferredAnnouncement] = {}
        self.disordered: dict[str, DisorderedStart] = {}
        self._by_endpoint: dict[tuple[str, int], dict[str, None]] = {}
        self._by_tag: dict[int, tuple[str, ...]] = {}

    def announce(
        self, now_s: float, target: target_announcement.Announcement
    ) -> bool:
        """Applies an announcement that a target itself sent to this host.

        One of a start before the one held is either late or of a target that
        restarted with its clock set back. If it drains, the target gets no
        openings until the held start announces itself again.

        Args:
            now_s: Monotonic time in seconds.
            target: The announcement.

        Returns:
            Whether others must receive a change.
        """
        held = self.records.get(target.name)
        if held is None or target.born_ms > held.target.place_ms:
            return self.put(now_s, target)
        floor_ms = held.target.floor_ms
        if target.born_ms != held.target.born_ms:
            if not self._is_restart(now_s, held, target):
                return self._pause(held, target)
            floor_ms = held.target.place_ms + 1
        placed = msgspec.structs.replace(target, floor_ms=floor_ms)
        return self.put(now_s, placed)

    def _is_restart(
        self,
        now_s: float,
        held: TargetRecord,
        target: target_announcement.Announcement,
    ) -> bool:
        """Returns whether a start follows the one held, against its clock.

        The one held must be silent, and the other one announce itself again
        and again. Announcements that were delayed arrive together.
        """
        if held.target.phase is target_announcement.Phase.GONE:
            return False
        seen = self.disordered.get(target.name)
        if seen is None or seen.born_ms != target.born_ms:
            self.disordered[target.name] = DisorderedStart(
                target.born_ms, target.sequence, now_s
            )
            return False
        is_next = target.sequence > seen.sequence
        seen.sequence = max(seen.sequence, target.sequence)
        is_spaced = now_s - seen.since_s >= self.interval_s / 2
        return is_next and is_spaced and self._is_late(now_s, held)

    def _pause(
        self, held: TargetRecord, target: target_announcement.Announcement
    ) -> bool:
        """Stops openings if a start that seems earlier drains."""
        is_draining = (
            target.phase is target_announcement.Phase.DRAINING
            and target.service == held.target.service
        )
        return is_draining and self._set_draining(held)

    def put(
        self,
        now_s: float,
        target: target_announcement.Announcement,
        age_s: float = 0.0,
        tag_use: target_announcement.TagUse | None = None,
    ) -> bool:
        """Applies an announcement unless a newer one is held.

        Args:
            now_s: Monotonic time in seconds.
            target: The announcement.
            age_s: Time since a control host received it, in seconds.
            tag_use: How the target uses its plain tag, as known to the control
                host that sent it; None if the target itself sent it.

        Returns:
            Whether others must receive a change.
        """
        held = self.records.get(target.name)
        is_changed = self._put(now_s, target, age_s)
        record = self.records.get(target.name)
        if record is None:
            return is_changed
        if held is None:
            return self._hold_plain_tag(record, tag_use) or is_changed
        if tag_use is None or tag_use <= record.tag_use:
            return is_changed
        return self._hold_plain_tag(record, tag_use)

    def _hold_plain_tag(
        self,
        record: TargetRecord,
        tag_use: target_announcement.TagUse | None,
    ) -> bool:
        """Sets how a target uses its plain tag.

        Returns:
            Whether others must receive a change.
        """
        plain = target_tags.tag_of(record.target.name)
        names = self._by_tag.get(plain, ())
        if tag_use is None:
            tag_use = (
                target_announcement.TagUse.SALTED
                if names
                else target_announcement.TagUse.PLAIN
            )
        is_changed = record.tag_use is not tag_use
        record.tag_use = tag_use
        if tag_use is target_announcement.TagUse.SALTED:
            return is_changed
        if record.target.name not in names:
            names = self._by_tag[plain] = (*names, record.target.name)
        for sharing in map(self.records.__getitem__, names):
            if len(names) > 1:
                sharing.tag_use = target_announcement.TagUse.SHARED
                self._record_change(sharing)
                is_changed = True
        if is_changed and len(names) == 1:
            self._record_change(record)
        return is_changed

    def _release_plain_tag(self, record: TargetRecord) -> None:
        plain = target_tags.tag_of(record.target.name)
        names = self._by_tag.get(plain, ())
        kept = tuple(name for name in names if name != record.target.name)
        if kept:
            self._by_tag[plain] = kept
        else:
            self._by_tag.pop(plain, None)

    def tag_uses(
        self, targets: Iterable[target_announcement.Announcement]
    ) -> dict[str, target_announcement.TagUse]:
        """Returns how targets use their plain tags, unless it is `PLAIN`."""
        uses = {
            target.name: self.records[target.name].tag_use for target in targets
        }
        return {
            name: use
            for name, use in uses.items()
            if use is not target_announcement.TagUse.PLAIN
        }

    def _put(
        self,
        now_s: float,
        target: target_announcement.Announcement,
        age_s: float,
    ) -> bool:
        """Applies an announcement; see `put`."""
        held = self.records.get(target.name)
        announced_s = now_s - age_s
        if held is not None:
            is_newer = _may_replace(held.target, target)
            if is_newer and self._yields_to(target, held.target):
                self._defer(target, announced_s)
                return False
            if not is_newer and self._yields_to(held.target, target):
                self._defer(held.target, held.announced_s)
            elif not is_newer:
                return False
        if target.service in self.services:
            if self._is_superseded(now_s, target):
                target = _ended(target)
            elif age_s <= self.overdue_after_s:
                self._end_earlier(now_s, target)
        warm_at_s = now_s + target.cold_ms / MS_PER_S
        if warm_at_s > now_s:
            self.cold_names.add(target.name)
        if (
            held is None
            or _differs(held, target)
            or self._is_cold_again(held, target, warm_at_s)
        ):
            self._move(held, target)
            self.disordered.pop(target.name, None)
            record = TargetRecord(
                target,
                announced_s,
                0,
                warm_at_s=warm_at_s,
                tag_use=target_announcement.TagUse.PLAIN
                if held is None
                else held.tag_use,
            )
            record.is_overdue = (
                target.phase is not target_announcement.Phase.GONE
                and self._is_late(now_s, record)
            )
            self._record_change(record)
            return True
        held.target = target
        held.warm_at_s = min(held.warm_at_s, warm_at_s)
        return self.observe(now_s, target.name, age_s)

    def _is_cold_again(
        self,
        held: TargetRecord,
        target: target_announcement.Announcement,
        warm_at_s: float,
    ) -> bool:
        """Returns whether a renewal states a longer cold time than before.

        Only a later announcement counts: one that another control host returns
        would otherwise extend the cold time again and again.
        """
        return (
            target.service in self.warm_up_services
            and target.sequence > held.target.sequence
            and target.cold_ms > 0
            and warm_at_s > held.warm_at_s + COLD_TOLERANCE_S
        )

    def cold_records(self, now_s: float) -> list[TargetRecord]:
        """Returns the cold targets of services that state a warm-up.

        Args:
            now_s: Monotonic time in seconds.
        """
        result = []
        for name in list(self.cold_names):
            record = self.records.get(name)
            if record is None or record.warm_at_s <= now_s:
                self.cold_names.discard(name)
            elif record.target.service in self.warm_up_services:
                result.append(record)
        return result

    def set_services(
        self,
        now_s: float,
        services: Collection[str],
        warm_up_services: Collection[str] = (),
    ) -> None:
        """Sets the services in force; announcements of new ones take effect.

        Args:
            now_s: Monotonic time in seconds.
            services: Names of all services in the document in force.
            warm_up_services: Names of those that state a warm-up.
        """
        self.warm_up_services = frozenset(warm_up_services)
        added = frozenset(services) - self.services
        self.services = frozenset(services)
        if not added:
            return
        for name, deferred in list(self.deferred.items()):
            if deferred.target.service in added:
                del self.deferred[name]
                age_s = now_s - deferred.announced_s
                self.put(now_s, deferred.target, age_s)
        for record in list(self.records.values()):
            if record.target.service not in added:
                continue
            if self._is_superseded(now_s, record.target):
                self._mark_gone(now_s, record)
            elif not self._is_late(now_s, record):
                self._end_earlier(now_s, record.target)

    def observe(self, now_s: float, name: str, age_s: float) -> bool:
        """Records an announcement of a known target.

        Returns:
            Whether others must receive a change.
        """
        held = self.records.get(name)
        if held is None:
            return False
        held.announced_s = max(held.announced_s, now_s - age_s)
        if held.is_overdue and not self._is_late(now_s, held):
            return self._set_overdue(held, False)
        return False

    def withdraw(self, now_s: float, name: str, born_ms: int | None) -> bool:
        """Marks a target as gone, unless it has restarted.

        A withdrawal without a start time ends a target that drains. For one
        that is ready it may be a late one of an earlier start: the target gets
        no openings until it announces itself again.

        Args:
            now_s: Monotonic time in seconds.
            name: Name of the target.
            born_ms: Start time of the target in milliseconds, or None if not
                given.

        Returns:
            Whether others must receive a change.
        """
        held = self.records.get(name)
        if held is None:
            return False
        deferred = self.deferred.get(name)
        if deferred is not None and (
            born_ms is None or deferred.target.place_ms <= born_ms
        ):
            del self.deferred[name]
        if born_ms is None:
            if held.target.phase is target_announcement.Phase.READY:
                return self._set_draining(held)
        elif born_ms != held.target.born_ms and (
            born_ms < held.target.place_ms
        ):
            return False
        return self._mark_gone(now_s, held)

    def check_overdue(self, now_s: float) -> bool:
        """Marks targets overdue, and removes those gone or silent for long.

        A target is overdue after `overdue_after_s` without an announcement, and
        is removed after `SILENCE_RETENTION_S`, or `GONE_RETENTION_S` after it
        was marked as gone. A removal is no change that others receive.

        Returns:
            Whether others must receive a change.
        """
        is_changed = False
        for record in list(self.records.values()):
            age_s = now_s - record.announced_s
            if record.target.phase is target_announcement.Phase.GONE:
                if age_s > GONE_RETENTION_S:
                    self._remove(record)
            elif age_s > SILENCE_RETENTION_S:
                self._remove(record)
            elif not record.is_overdue and self._is_late(now_s, record):
                is_changed |= self._set_overdue(record, True)
        return is_changed

    def extend_deadlines(self, now_s: float) -> None:
        """Counts all targets as announced now, after a suspension."""
        for record in self.records.values():
            record.announced_s = max(record.announced_s, now_s)

    def changes_since(
        self, now_s: float, position: int
    ) -> tuple[target_announcement.KnownTarget, ...]:
        """Returns the targets that changed after a position.

        Args:
            now_s: Monotonic time in seconds.
            position: The position.
        """
        newest_first = itertools.takewhile(
            lambda record: record.changed_position > position,
            reversed(self.records.values()),
        )
        return tuple(
            target_announcement.KnownTarget(
                self._aged(now_s, record), record.is_overdue
            )
            for record in reversed(list(newest_first))
        )

    @property
    def overdue_after_s(self) -> float:
        """Time without an announcement after which a target is overdue."""
        return OVERDUE_INTERVALS * self.interval_s + MAX_DELAY_S

    def _aged(
        self, now_s: float, record: TargetRecord
    ) -> target_announcement.Announcement:
        """Returns a target with the cold time that remains.

        A control host receives the renewals of targets of its own domain only.
        Without the change, a host that starts hours later would count a target
        of another domain as cold.
        """
        target = record.target
        if target.service not in self.warm_up_services or target.cold_ms <= 0:
            return target
        remaining_s = max(record.warm_at_s - now_s, 0.0)
        return msgspec.structs.replace(
            target, cold_ms=math.ceil(remaining_s * MS_PER_S)
        )

    def encode(self, now_s: float, entry_hosts: int = 0) -> bytes:
        """Returns the targets that are not gone, encoded for the next start.

        Args:
            now_s: Monotonic time in seconds.
            entry_hosts: Number of entry hosts; 0 if unknown.
        """
        targets = [
            self._aged(now_s, record)
            for record in self.records.values()
            if record.target.phase is not target_announcement.Phase.GONE
        ]
        return saved_targets.encode(
            targets, entry_hosts, self.tag_uses(targets)
        )

    def restore(
        self, now_s: float, data: bytes
    ) -> saved_targets.Restored | failure.Failure:
        """Restores the targets that an earlier start saved.

        Each target counts as announced now, so it has an interval or two to
        announce itself before it is overdue. An invalid one is skipped.

        Args:
            now_s: Monotonic time in seconds.
            data: What `encode` returned.

        Returns:
            What was restored, or why the data can't be read.
        """
        restored = saved_targets.decode(data)
        if not isinstance(restored, failure.Failure):
            for target in restored.targets:
                tag_use = restored.tag_uses.get(
                    target.name, target_announcement.TagUse.PLAIN
                )
                self.put(now_s, target, tag_use=tag_use)
        return restored

    def _yields_to(
        self,
        target: target_announcement.Announcement,
        other: target_announcement.Announcement,
    ) -> bool:
        """Returns whether only the other one is of a known service.

        The end of a target is kept, whatever its service.
        """
        return (
            target.phase is not target_announcement.Phase.GONE
            and target.service not in self.services
            and other.service in self.services
        )

    def _defer(
        self, target: target_announcement.Announcement, announced_s: float
    ) -> None:
        """Keeps the newest announcement that has no effect yet."""
        kept = self.deferred.get(target.name)
        if kept is None or target.rank >= kept.target.rank:
            deferred = DeferredAnnouncement(target, announced_s)
            self.deferred[target.name] = deferred

    def _is_late(self, now_s: float, record: TargetRecord) -> bool:
        return now_s - record.announced_s > self.overdue_after_s

    def _set_overdue(self, record: TargetRecord, is_overdue: bool) -> bool:
        record.is_overdue = is_overdue
        self._record_change(record)
        return True

    def _record_change(self, record: TargetRecord) -> None:
        """Assigns the newest position to a record, and moves it to the end."""
        self.position += 1
        record.changed_position = self.position
        self.records.pop(record.target.name, None)
        self.records[record.target.name] = record

    def _others_at(
        self, target: target_announcement.Announcement
    ) -> list[TargetRecord]:
        """Returns the other targets at an endpoint that are not gone.

        Those of an unknown service are left out.
        """
        names = self._by_endpoint.get(_endpoint_key(target), ())
        return [
            record
            for record in map(self.records.__getitem__, names)
            if record.target.name != target.name
            and record.target.service in self.services
            and record.target.phase is not target_announcement.Phase.GONE
        ]

    def _is_superseded(
        self, now_s: float, target: target_announcement.Announcement
    ) -> bool:
        """Returns whether a target started later runs at the same endpoint.

        One that is silent does not count: if its clock was ahead, the other one
        started after its end.
        """
        return any(
            other.target.place_ms > target.place_ms
            and not self._is_late(now_s, other)
            for other in self._others_at(target)
        )

    def _end_earlier(
        self, now_s: float, target: target_announcement.Announcement
    ) -> None:
        """Marks the targets as gone that started earlier at an endpoint.

        Equal start times prove nothing about either target.
        """
        if target.phase is target_announcement.Phase.GONE:
            return
        for other in self._others_at(target):
            if other.target.place_ms < target.place_ms:
                self._mark_gone(now_s, other)

    def _move(
        self,
        held: TargetRecord | None,
        target: target_announcement.Announcement,
    ) -> None:
        """Assigns a target to its endpoint instead of its earlier one."""
        if held is not None:
            self._leave_endpoint(held.target)
        names = self._by_endpoint.setdefault(_endpoint_key(target), {})
        names[target.name] = None

    def _leave_endpoint(self, target: target_announcement.Announcement) -> None:
        """Removes a target from those at its endpoint."""
        key = _endpoint_key(target)
        names = self._by_endpoint[key]
        del names[target.name]
        if not names:
            del self._by_endpoint[key]

    def _set_draining(self, record: TargetRecord) -> bool:
        if record.target.phase is not target_announcement.Phase.READY:
            return False
        record.target = msgspec.structs.replace(
            record.target, phase=target_announcement.Phase.DRAINING
        )
        self._record_change(record)
        return True

    def _mark_gone(self, now_s: float, record: TargetRecord) -> bool:
        if record.target.phase is target_announcement.Phase.GONE:
            return False
        record.target = _ended(record.target)
        record.announced_s = now_s
        record.is_overdue = False
        self._record_change(record)
        return True

    def _remove(self, record: TargetRecord) -> None:
        del self.records[record.target.name]
        self._release_plain_tag(record)
        self.deferred.pop(record.target.name, None)
        self.disordered.pop(record.target.name, None)
        self._leave_endpoint(record.target)


def _endpoint_key(target: target_announcement.Announcement) -> tuple[str, int]:
    return (target.endpoint.address, target.endpoint.port)


def _ended(
    target: target_announcement.Announcement,
) -> target_announcement.Announcement:
    """Returns the announcement that a start of a target has ended."""
    return msgspec.structs.replace(
        target,
        phase=target_announcement.Phase.GONE,
        sequence=target_announcement.GONE_SEQUENCE,
    )


def _may_replace(
    held: target_announcement.Announcement,
    target: target_announcement.Announcement,
) -> bool:
    """Returns whether an announcement may replace the one held."""
    if held.phase is target_announcement.Phase.GONE:
        return target.place_ms > held.place_ms
    return target.rank >= held.rank


def _differs(
    held: TargetRecord, target: target_announcement.Announcement
) -> bool:
    """Returns whether an announcement is more than a renewal."""
    ignored = {"sequence": 0, "cold_ms": 0}
    return msgspec.structs.replace(
        held.target, **ignored
    ) != msgspec.structs.replace(target, **ignored)
