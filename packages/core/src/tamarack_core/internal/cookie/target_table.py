"""Targets that an entry host knows, and those that the tags of flows stand for.

A packet with a plain tag that several targets share goes to the target at which
this host has seen the flow, or nowhere. A forwarded packet carries the tag
under which its target gets new flows, so a flow leaves a shared tag with the
next packet through a host that has seen it.
"""

import collections
from collections.abc import Container
from collections.abc import Iterable

import msgspec

from tamarack_core import evacuations as evacuations_lib
from tamarack_core import target_announcement
from tamarack_core.internal import target_tags
from tamarack_core.internal.cold_targets import held_allotments

GONE_RETENTION_S = 90.0
"""Time for which the tag of a target that is gone is kept, in seconds.

Deployments that limit the lifetime of flows limit it to 60 s; packets that
arrive after the retention are counted as unknown."""

SILENCE_RETENTION_S = 120.0
"""Time for which a target without flows is kept while its announcements are
overdue, in seconds."""


class TargetEntry(msgspec.Struct):
    """A target as known to an entry host.

    Attributes:
        target: Its newest announcement.
        tag: Tag under which it gets new flows; 0 if none is free.
        tag_use: How it uses its plain tag.
        is_overdue: Whether its announcements are overdue.
        updated_s: Time of the last change received from a control host, in
            seconds.
        warm_at_s: Time from which it runs at full speed, in seconds.
        gone_s: Time at which it became known to be gone, in seconds; None
            before.
        start_tag: Tag of its present start, by which its weight is known.
    """

    target: target_announcement.Announcement
    is_overdue: bool
    updated_s: float
    warm_at_s: float
    gone_s: float | None = None
    start_tag: int = 0
    tag: int = 0
    tag_use: target_announcement.TagUse = target_announcement.TagUse.PLAIN

    @property
    def is_gone(self) -> bool:
        """Whether the target has ended for good."""
        return self.gone_s is not None


class SeenEnd(msgspec.Struct, frozen=True):
    """End of an evacuation, as this host learned of it.

    Attributes:
        revision: Revision of the state after the end.
        learned_s: Time at which this host learned of it, in seconds.
        age_s: Age of the end by then, in seconds.
    """

    revision: int
    learned_s: float
    age_s: float


class TargetTable:
    """Targets by name, by tag and by service.

    Attributes:
        by_name: All targets, including those that are gone.
        by_tag: Targets that may have flows under each plain tag.
        by_salted_tag: Targets by salted tag; only those that use one.
        by_service: Targets that accept new flows, by service and name.
        evacuated_by_service: Names of the targets in evacuated domains that
            are not gone, by service.
        domain_sizes: Number of targets that are not gone, by failure domain.
        evacuations: Evacuated failure domains; their targets accept no new
            flows and keep those that they have.
        ends: Last end of the evacuation of a domain, by domain.
        warm_up_s: Time for which targets are cold, in seconds, by service;
            only services that state a warm-up.
        allotments: Allotments of cold targets that name this host.
    """

    __slots__ = (
        "allotments",
        "by_name",
        "by_salted_tag",
        "by_service",
        "by_tag",
        "domain_sizes",
        "ends",
        "evacuated_by_service",
        "evacuations",
        "warm_up_s",
    )

    def __init__(self) -> None:
        """Initializes an empty target table."""
        self.by_name: dict[str, TargetEntry] = {}
        self.by_tag: dict[int, tuple[TargetEntry, ...]] = {}
        self.by_salted_tag: dict[int, tuple[TargetEntry, ...]] = {}
        self.by_service: dict[str, dict[str, TargetEntry]] = {}
        self.evacuated_by_service: dict[str, set[str]] = {}
        self.domain_sizes: collections.Counter[str] = collections.Counter()
        self.evacuations = evacuations_lib.Evacuations()
        self.ends: dict[str, SeenEnd] = {}
        self.warm_up_s: dict[str, float] = {}
        self.allotments = held_allotments.HeldAllotments()

    def put(
        self,
        now_s: float,
        known: target_announcement.KnownTarget,
        tag_use: target_announcement.TagUse = target_announcement.TagUse.PLAIN,
    ) -> TargetEntry | None:
        """Applies an announcement, unless a newer one is held.

        Args:
            now_s: Monotonic time in seconds.
            known: The target as known to a control host.
            tag_use: How it uses its plain tag, as known to a control host.

        Returns:
            The entry if anything changed, otherwise None.
        """
        target = known.target
        held = self.by_name.get(target.name)
        if held is not None:
            tag_use = max(tag_use, held.tag_use)
            if not _is_newer(held, known) and tag_use is held.tag_use:
                return None
        warm_at_s = now_s + target.cold_ms / 1000
        if held is not None and target.rank < held.target.rank:
            # Control hosts send renewals only along with the next change.
            target = held.target
            if target.service in self.warm_up_s:
                warm_at_s = held.warm_at_s
            else:
                warm_at_s = now_s + target.cold_ms / 1000
        gone_s = (
            now_s if target.phase is target_announcement.Phase.GONE else None
        )
        entry = TargetEntry(
            target=target,
            is_overdue=known.is_overdue,
            updated_s=now_s,
            warm_at_s=warm_at_s,
            gone_s=gone_s,
            start_tag=target_tags.start_tag_of(target),
            tag_use=tag_use,
        )
        self._extend_cold(entry)
        self.by_name[target.name] = entry
        self.domain_sizes[target.domain] += not entry.is_gone
        if held is not None:
            self.domain_sizes[held.target.domain] -= not held.is_gone
            self._remove_from_service(held)
            self._release_tags(held)
        self._hold_tags(entry)
        return entry

    def set_evacuations(
        self, now_s: float, state: evacuations_lib.Evacuations
    ) -> bool:
        """Applies evacuations, unless they are as old as those held.

        Args:
            now_s: Monotonic time in seconds.
            state: The evacuated failure domains.

        Returns:
            Whether they are newer.
        """
        if state.revision <= self.evacuations.revision:
            return False
        changed = set(state.domains) ^ set(self.evacuations.domains)
        for end in state.ended:
            if end.revision > self.evacuations.revision:
                self.ends[end.domain] = SeenEnd(
                    end.revision, now_s, end.age_ms / 1000
                )
        for domain in state.domains:
            self.ends.pop(domain, None)
        self.evacuations = state
        for entry in self.by_name.values():
            self._extend_cold(entry)
            if entry.target.domain in changed:
                self._remove_from_service(entry)
                self._add_to_service(entry)
        return True

    def set_warm_ups(self, warm_up_s: dict[str, float]) -> None:
        """Sets the warm-up times of the services that state a warm-up.

        Args:
            warm_up_s: Times in seconds, by service.
        """
        if warm_up_s == self.warm_up_s:
            return
        self.warm_up_s = warm_up_s
        for entry in self.by_name.values():
            self._extend_cold(entry)

    def end_revision(
        self, now_s: float, target: target_announcement.Announcement
    ) -> int:
        """Returns the end of an evacuation by which a target is cold.

        Args:
            now_s: Monotonic time in seconds.
            target: The target.

        Returns:
            The revision of the end; 0 if there is none.
        """
        end = self.ends.get(target.domain)
        if end is None or now_s >= self._warm_after_end_s(end, target):
            return 0
        return end.revision

    def _extend_cold(self, entry: TargetEntry) -> None:
        """Counts a target as cold since the end of an evacuation."""
        end = self.ends.get(entry.target.domain)
        if end is not None:
            warm_at_s = self._warm_after_end_s(end, entry.target)
            entry.warm_at_s = max(entry.warm_at_s, warm_at_s)

    def _warm_after_end_s(
        self, end: SeenEnd, target: target_announcement.Announcement
    ) -> float:
        """Returns the time from which a target is warm after an end.

        A host that has just started may learn of an end at which all targets
        have become warm in the meantime.
        """
        warm_up_s = self.warm_up_s.get(target.service, 0.0)
        return end.learned_s + (warm_up_s if end.age_s < warm_up_s else 0.0)

    def has_evacuated(self, service: str) -> bool:
        """Returns whether a service has targets in evacuated domains.

        Args:
            service: Name of the service.
        """
        return bool(self.evacuated_by_service.get(service))

    def _add_to_service(self, entry: TargetEntry) -> None:
        """Adds a target to those that accept new flows, if it does."""
        target = entry.target
        if target.domain in self.evacuations.domains:
            if not entry.is_gone:
                evacuated = self.evacuated_by_service
                evacuated.setdefault(target.service, set()).add(target.name)
        elif entry.tag and target.phase is target_announcement.Phase.READY:
            self.by_service.setdefault(target.service, {})[target.name] = entry

    def owners(self, tag: int) -> tuple[TargetEntry, ...]:
        """Returns the targets that may have flows under a tag."""
        if tag < target_tags.MIN_SALTED:
            return self.by_tag.get(tag, ())
        return self.by_salted_tag.get(tag, ())

    def _hold_tags(self, entry: TargetEntry) -> None:
        """Enters a target under its tags, and assigns those in use."""
        plain = target_tags.tag_of(entry.target.name)
        if entry.tag_use is target_announcement.TagUse.SALTED:
            self._assign_tag(entry)
            return
        if (
            entry.tag_use is target_announcement.TagUse.PLAIN
            and plain not in self.by_tag
        ):
            self.by_tag[plain] = (entry,)
            entry.tag = plain
            self._add_to_service(entry)
            return
        for sharing in _add(self.by_tag, plain, entry):
            self._assign_tag(sharing)

    def _release_tags(self, entry: TargetEntry) -> None:
        """Removes a target from its tags."""
        plain = target_tags.tag_of(entry.target.name)
        _discard(self.by_tag, plain, entry)
        if entry.tag != plain:
            for tag in target_tags.salted_tags_of(entry.target.name):
                _discard(self.by_salted_tag, tag, entry)

    def _assign_tag(self, entry: TargetEntry) -> None:
        """Assigns the tag under which a target gets new flows.

        One that has used a salted tag goes on with salted ones. A target
        without a tag gets no flows.
        """
        plain = target_tags.tag_of(entry.target.name)
        is_plain = (
            entry.tag_use is target_announcement.TagUse.PLAIN
            and len(self.by_tag[plain]) == 1
        )
        if is_plain and entry.tag in (0, plain):
            self._use_tag(entry, plain)
            return
        for tag in target_tags.salted_tags_of(entry.target.name):
            for sharing in _add(self.by_salted_tag, tag, entry):
                if sharing.tag == tag:
                    self._use_tag(sharing, self._free_salted_tag(sharing))
        self._use_tag(entry, self._free_salted_tag(entry))

    def _free_salted_tag(self, entry: TargetEntry) -> int:
        """Returns the first salted tag that a target has alone, or 0."""
        tags = target_tags.salted_tags_of(entry.target.name)
        return next(
            (tag for tag in tags if len(self.by_salted_tag[tag]) == 1), 0
        )

    def _use_tag(self, entry: TargetEntry, tag: int) -> None:
        """Lets a target get new flows under a tag, or none if it is 0."""
        entry.tag = tag
        self._remove_from_service(entry)
        self._add_to_service(entry)

    def _remove_from_service(self, entry: TargetEntry) -> None:
        """Removes a target from those that accept new flows."""
        target = entry.target
        self.evacuated_by_service.get(target.service, set()).discard(
            target.name
        )
        self.by_service.get(target.service, {}).pop(target.name, None)

    def expire_gone(self, now_s: float) -> None:
        """Removes targets that have been gone for `GONE_RETENTION_S`."""
        self._remove(
            entry
            for entry in self.by_name.values()
            if entry.gone_s is not None
            and now_s - entry.gone_s > GONE_RETENTION_S
        )

    def expire_silent(self, now_s: float, used: Container[str]) -> None:
        """Removes targets that have been overdue for `SILENCE_RETENTION_S`.

        Control hosts forget them as well, without a change that they send. An
        announcement adds the target again.

        Args:
            now_s: Monotonic time in seconds.
            used: Names of targets with flows, which are kept.
        """
        self._remove(
            entry
            for entry in self.by_name.values()
            if entry.is_overdue
            and now_s - entry.updated_s > SILENCE_RETENTION_S
            and entry.target.name not in used
        )

    def _remove(self, entries: Iterable[TargetEntry]) -> None:
        """Removes targets."""
        for entry in list(entries):
            del self.by_name[entry.target.name]
            self.domain_sizes[entry.target.domain] -= not entry.is_gone
            self._remove_from_service(entry)
            self._release_tags(entry)

    def mark_missing_overdue(
        self, now_s: float, names: set[str]
    ) -> list[TargetEntry]:
        """Marks the targets overdue that a control host does not know.

        This is weak evidence, as the control host may have been suspended when
        the target started. New flows prefer other targets; the target keeps
        its open flows.

        Args:
            now_s: Monotonic time in seconds.
            names: Names of the targets that the control host knows.

        Returns:
            The targets that are overdue from now on.
        """
        overdue = [
            entry
            for entry in self.by_name.values()
            if not entry.is_gone
            and not entry.is_overdue
            and entry.target.name not in names
        ]
        for entry in overdue:
            entry.is_overdue = True
            entry.updated_s = now_s
        return overdue


def _add(
    entries: dict[int, tuple[TargetEntry, ...]], tag: int, entry: TargetEntry
) -> tuple[TargetEntry, ...]:
    """Enters a target under a tag; returns all targets there."""
    held = entries.get(tag, ())
    if all(other is not entry for other in held):
        held = entries[tag] = (*held, entry)
    return held


def _discard(
    entries: dict[int, tuple[TargetEntry, ...]], tag: int, entry: TargetEntry
) -> None:
    kept = tuple(held for held in entries.get(tag, ()) if held is not entry)
    if kept:
        entries[tag] = kept
    else:
        entries.pop(tag, None)


def _is_newer(
    held: TargetEntry, known: target_announcement.KnownTarget
) -> bool:
    """Returns whether an announcement is newer or changes `is_overdue`."""
    target = known.target
    if held.is_gone or target.place_ms != held.target.place_ms:
        return target.place_ms > held.target.place_ms
    return target.rank > held.target.rank or known.is_overdue != held.is_overdue
