"""What targets announce of themselves, as control and entry hosts keep it."""

import enum

import msgspec

from tamarack_core import peers


class Phase(enum.IntEnum):
    """Where a target is in its life; a later phase never goes back."""

    READY = 0
    DRAINING = 1
    GONE = 2


class Announcement(msgspec.Struct, frozen=True, array_like=True):
    """One announcement of a target.

    A target that starts again under its name has a later birth, and nothing
    of its earlier life holds for it.

    Attributes:
        name: Name of the target, unique at any moment.
        born_ms: Wall-clock time of its start in milliseconds; compared only
            with that of the same name or address.
        sequence: Number that rises with each announcement since its start.
        service: Service that it belongs to.
        endpoint: Address and port at which it takes packets.
        domain: Failure domain.
        slots: Requests that it runs at once.
        phase: Ready, draining or gone.
        cold_ms: Time for which it is still slow, in milliseconds.
    """

    name: str
    born_ms: int
    sequence: int
    service: str
    endpoint: peers.Endpoint
    domain: str
    slots: int
    phase: Phase
    cold_ms: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Orders the announcements of one name."""
        return (self.born_ms, self.sequence)


class KnownTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target as a control host sees it.

    Attributes:
        target: Its newest announcement.
        is_overdue: Whether no control host has heard of it for too long.
    """

    target: Announcement
    is_overdue: bool = False
