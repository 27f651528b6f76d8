"""Tags that flows carry, and the targets that they stand for.

A tag is a checksum of the target's name, so that every entry host finds the
same one without asking. Two names may share a tag. The target that was born
first then keeps it; the other takes no flows until the first is gone.
"""

import zlib

import msgspec

from tamarack_core import target_announcement

GONE_RETENTION_S = 90.0
"""Time for which the tag of a target that is gone is remembered, in seconds.

A flow lives for 60 s at most on the deployments that state a bound; packets
that come later are counted as unknown."""


def tag_of(name: str) -> int:
    """Returns the tag of a target, which is never 0."""
    return zlib.crc32(name.encode()) or 1


class Entry(msgspec.Struct):
    """A target as an entry host knows it.

    Attributes:
        target: Its newest announcement.
        tag: Tag of its flows.
        is_overdue: Whether the control hosts miss its announcements.
        since_s: Time of the newest announcement here, in seconds.
        warm_at_s: Time from which it runs at full speed, in seconds.
        gone_s: Time at which it was known to be gone; None before.
    """

    target: target_announcement.Announcement
    tag: int
    is_overdue: bool
    since_s: float
    warm_at_s: float
    gone_s: float | None = None

    @property
    def is_gone(self) -> bool:
        """Whether the target has ended for good."""
        return self.gone_s is not None


class TargetTable:
    """Targets by name, by tag and by service.

    Attributes:
        by_name: All targets, those that are gone included.
        by_tag: The target that a tag leads to.
        by_service: Targets that take new flows, by service and name.
    """

    __slots__ = ("by_name", "by_service", "by_tag")

    def __init__(self) -> None:
        """Creates an empty table."""
        self.by_name: dict[str, Entry] = {}
        self.by_tag: dict[int, Entry] = {}
        self.by_service: dict[str, dict[str, Entry]] = {}

    def put(
        self, now_s: float, known: target_announcement.KnownTarget
    ) -> Entry | None:
        """Takes an announcement, unless a newer one is held.

        Args:
            now_s: Monotonic time in seconds.
            known: The target as a control host sees it.

        Returns:
            The entry if anything changed, otherwise None.
        """
        target = known.target
        held = self.by_name.get(target.name)
        if held is not None and not _is_news(held, known):
            return None
        if held is not None and target.order < held.target.order:
            # Control hosts pass on renewals only with the next change.
            target = held.target
        gone_s = (
            now_s if target.phase is target_announcement.Phase.GONE else None
        )
        entry = Entry(
            target=target,
            tag=tag_of(target.name),
            is_overdue=known.is_overdue,
            since_s=now_s,
            warm_at_s=now_s + target.cold_ms / 1000,
            gone_s=gone_s,
        )
        self.by_name[target.name] = entry
        if held is not None:
            self._unlist(held)
        self._place_tag(entry)
        if (
            target.phase is target_announcement.Phase.READY
            and self.by_tag[entry.tag] is entry
        ):
            self.by_service.setdefault(target.service, {})[target.name] = entry
        return entry

    def _place_tag(self, entry: Entry) -> None:
        """Gives a tag to its target, or to the one born first of two."""
        holder = self.by_tag.get(entry.tag)
        is_free = (
            holder is None
            or holder.target.name == entry.target.name
            or (holder.is_gone and not entry.is_gone)
        )
        if is_free or self._yields(holder, entry):
            if holder is not None:
                self._unlist(holder)
            self.by_tag[entry.tag] = entry

    def _yields(self, holder: Entry | None, entry: Entry) -> bool:
        """Returns whether the holder of a tag must give it to another."""
        if holder is None or entry.is_gone or holder.is_gone:
            return False
        theirs = (entry.target.born_ms, entry.target.name)
        return theirs < (holder.target.born_ms, holder.target.name)

    def _unlist(self, entry: Entry) -> None:
        """Sends no new flows to a target."""
        target = entry.target
        self.by_service.get(target.service, {}).pop(target.name, None)

    def forget(self, now_s: float) -> None:
        """Forgets targets that have been gone for long."""
        old = [
            entry
            for entry in self.by_name.values()
            if entry.gone_s is not None
            and now_s - entry.gone_s > GONE_RETENTION_S
        ]
        for entry in old:
            del self.by_name[entry.target.name]
            if self.by_tag.get(entry.tag) is entry:
                del self.by_tag[entry.tag]

    def doubt(self, names: set[str]) -> list[Entry]:
        """Puts behind the others what a control host does not mention.

        That it does not know a target proves nothing: it may have been away
        when the target began. The target keeps its flows.

        Args:
            names: Names that the control host knows.

        Returns:
            The targets that are doubted from now on.
        """
        doubted = [
            entry
            for entry in self.by_name.values()
            if not entry.is_gone
            and not entry.is_overdue
            and entry.target.name not in names
        ]
        for entry in doubted:
            entry.is_overdue = True
        return doubted


def _is_news(held: Entry, known: target_announcement.KnownTarget) -> bool:
    """Returns whether an announcement says more than what is held."""
    target = known.target
    if held.is_gone or target.born_ms != held.target.born_ms:
        return target.born_ms > held.target.born_ms
    return (
        target.order > held.target.order or known.is_overdue != held.is_overdue
    )
