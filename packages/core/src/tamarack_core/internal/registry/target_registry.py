"""Registry of announced targets at a control host."""

import itertools

import msgspec

from tamarack_core import failure
from tamarack_core import target_announcement
from tamarack_core.internal import change_entries

OVERDUE_INTERVALS = 2.2
"""Intervals without an announcement after which a target is overdue; one
announcement may be lost, and the next one delayed."""

MAX_DELAY_S = 0.2
"""Additional delay that an announcement may have, in seconds."""

GONE_RETENTION_S = 120.0
"""Time after which a target that is gone is removed, in seconds."""

PRESUMED_GONE_S = 60.0
"""Time without an announcement after which a target counts as gone, in
seconds."""


class SavedTargets(msgspec.Struct):
    """What `encode` returned, as the next start reads it.

    Attributes:
        targets: The encoded targets that are not gone. Each is decoded by
            itself, so that one that can't be read leaves the others.
        entry_hosts: Number of entry hosts; 0 if unknown.
    """

    targets: list[msgspec.Raw]
    entry_hosts: int = 0


class Restored(msgspec.Struct):
    """What a start has restored.

    Attributes:
        targets: The targets.
        entry_hosts: Number of entry hosts; 0 if unknown.
        skipped: Saved targets that are invalid.
    """

    targets: list[target_announcement.Announcement]
    entry_hosts: int
    skipped: list[change_entries.Skipped]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SavedTargets | list[msgspec.Raw])
_target_decoder = msgspec.msgpack.Decoder(target_announcement.Announcement)


class TargetRecord(msgspec.Struct):
    """A target and its state at this host.

    Attributes:
        target: Its newest announcement.
        announced_s: Time of its last announcement to any control host, as far
            as this host knows, in seconds.
        changed_position: Position of the last change that others must receive.
        is_overdue: Whether its announcements are overdue.
    """

    target: target_announcement.Announcement
    announced_s: float
    changed_position: int
    is_overdue: bool = False


class TargetRegistry:
    """Announced targets by name; each change has a position.

    Attributes:
        interval_s: Time between the announcements of a target, in seconds.
        records: The targets by name, in the order of their last changes.
        position: Position of the newest change.
    """

    __slots__ = ("_by_endpoint", "interval_s", "position", "records")

    def __init__(self, interval_s: float) -> None:
        """Initializes an empty registry.

        Args:
            interval_s: Time between the announcements of a target, in seconds.
        """
        self.interval_s = interval_s
        self.records: dict[str, TargetRecord] = {}
        self.position = 0
        self._by_endpoint: dict[tuple[str, int], str] = {}

    def put(
        self,
        now_s: float,
        target: target_announcement.Announcement,
        age_s: float = 0.0,
    ) -> bool:
        """Applies an announcement unless a newer one is held.

        Args:
            now_s: Monotonic time in seconds.
            target: The announcement.
            age_s: Time since a control host received it, in seconds.

        Returns:
            Whether others must receive a change.
        """
        held = self.records.get(target.name)
        if held is not None and not _may_replace(held.target, target):
            return False
        if target.phase is not target_announcement.Phase.GONE:
            if self._is_superseded(target):
                return False
            self._claim_endpoint(now_s, target)
        announced_s = now_s - age_s
        if held is None or _differs(held, target):
            record = TargetRecord(target, announced_s, 0)
            record.is_overdue = self._is_late(now_s, record)
            self._record_change(record)
            return True
        held.target = target
        return self.observe(now_s, target.name, age_s)

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

        Returns:
            Whether others must receive a change.
        """
        held = self.records.get(name)
        if held is None:
            return False
        if born_ms is not None and born_ms < held.target.born_ms:
            return False
        return self._mark_gone(now_s, held)

    def check_overdue(self, now_s: float) -> bool:
        """Marks targets overdue or gone, and removes those gone.

        A target is overdue after `overdue_after_s` without an announcement,
        counts as gone after `PRESUMED_GONE_S`, and is removed
        `GONE_RETENTION_S` after it was marked as gone.

        Returns:
            Whether others must receive a change.
        """
        is_changed = False
        for record in list(self.records.values()):
            age_s = now_s - record.announced_s
            if record.target.phase is target_announcement.Phase.GONE:
                if age_s > GONE_RETENTION_S:
                    self._remove(record)
            elif age_s > PRESUMED_GONE_S:
                is_changed |= self._mark_gone(now_s, record)
            elif not record.is_overdue and self._is_late(now_s, record):
                is_changed |= self._set_overdue(record, True)
        return is_changed

    def extend_deadlines(self, now_s: float) -> None:
        """Counts all targets as announced now, after a suspension."""
        for record in self.records.values():
            record.announced_s = max(record.announced_s, now_s)

    def changes_since(
        self, position: int
    ) -> tuple[target_announcement.KnownTarget, ...]:
        """Returns the targets that changed after a position."""
        newest_first = itertools.takewhile(
            lambda record: record.changed_position > position,
            reversed(self.records.values()),
        )
        return tuple(
            target_announcement.KnownTarget(record.target, record.is_overdue)
            for record in reversed(list(newest_first))
        )

    @property
    def overdue_after_s(self) -> float:
        """Time without an announcement after which a target is overdue."""
        return OVERDUE_INTERVALS * self.interval_s + MAX_DELAY_S

    def encode(self, entry_hosts: int = 0) -> bytes:
        """Returns the targets that are not gone, encoded for the next start.

        Args:
            entry_hosts: Number of entry hosts; 0 if unknown.
        """
        targets = [
            record.target
            for record in self.records.values()
            if record.target.phase is not target_announcement.Phase.GONE
        ]
        return _encoder.encode({"targets": targets, "entry_hosts": entry_hosts})

    def restore(self, now_s: float, data: bytes) -> Restored | failure.Failure:
        """Restores the targets that an earlier start saved.

        Each target counts as announced now, so it has an interval or two to
        announce itself before it is overdue. An invalid one is skipped.

        Args:
            now_s: Monotonic time in seconds.
            data: What `encode` returned.

        Returns:
            What was restored, or why the data can't be read.
        """
        try:
            decoded = _decoder.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            return failure.Failure("bad-targets", str(error))
        # Earlier versions saved the targets alone.
        saved = SavedTargets(decoded) if isinstance(decoded, list) else decoded
        restored = Restored([], saved.entry_hosts, [])
        for encoded in saved.targets:
            target = _decode_target(encoded)
            if isinstance(target, change_entries.Skipped):
                restored.skipped.append(target)
            else:
                restored.targets.append(target)
                self.put(now_s, target)
        return restored

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

    def _is_superseded(self, target: target_announcement.Announcement) -> bool:
        """Returns whether a target started later has the same endpoint."""
        name = self._by_endpoint.get(_endpoint_key(target))
        if name is None or name == target.name:
            return False
        holder = self.records[name].target
        is_gone = holder.phase is target_announcement.Phase.GONE
        return not is_gone and holder.born_ms > target.born_ms

    def _claim_endpoint(
        self, now_s: float, target: target_announcement.Announcement
    ) -> None:
        """Assigns an endpoint to a target; marks its earlier target as gone."""
        key = _endpoint_key(target)
        name = self._by_endpoint.get(key)
        if name is not None and name != target.name:
            self._mark_gone(now_s, self.records[name])
        self._by_endpoint[key] = target.name

    def _mark_gone(self, now_s: float, record: TargetRecord) -> bool:
        if record.target.phase is target_announcement.Phase.GONE:
            return False
        record.target = msgspec.structs.replace(
            record.target,
            phase=target_announcement.Phase.GONE,
            sequence=target_announcement.GONE_SEQUENCE,
        )
        record.announced_s = now_s
        record.is_overdue = False
        self._record_change(record)
        return True

    def _remove(self, record: TargetRecord) -> None:
        target = record.target
        del self.records[target.name]
        if self._by_endpoint.get(_endpoint_key(target)) == target.name:
            del self._by_endpoint[_endpoint_key(target)]


def _decode_target(
    encoded: msgspec.Raw,
) -> target_announcement.Announcement | change_entries.Skipped:
    """Returns a target that was saved, or why it is invalid."""
    try:
        target = _target_decoder.decode(encoded)
    except (msgspec.DecodeError, RecursionError) as error:
        unreadable = failure.Failure("bad-target", str(error))
        return change_entries.Skipped("", unreadable)
    invalid = target_announcement.check(target)
    if invalid is not None:
        return change_entries.Skipped(target.name, invalid)
    return target


def _endpoint_key(target: target_announcement.Announcement) -> tuple[str, int]:
    return (target.endpoint.address, target.endpoint.port)


def _may_replace(
    held: target_announcement.Announcement,
    target: target_announcement.Announcement,
) -> bool:
    """Returns whether an announcement may replace the one held."""
    if held.phase is target_announcement.Phase.GONE:
        return target.born_ms > held.born_ms
    return target.order >= held.order


def _differs(
    held: TargetRecord, target: target_announcement.Announcement
) -> bool:
    """Returns whether an announcement is more than a renewal."""
    ignored = {"sequence": 0, "cold_ms": 0}
    return msgspec.structs.replace(
        held.target, **ignored
    ) != msgspec.structs.replace(target, **ignored)
