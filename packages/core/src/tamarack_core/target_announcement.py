"""Announcements of targets, as control and entry hosts store them."""

import enum

import msgspec

from tamarack_core import peers


class Phase(enum.IntEnum):
    """Phase in the life of a target; it never returns to an earlier one."""

    READY = 0
    DRAINING = 1
    GONE = 2


class Announcement(msgspec.Struct, frozen=True, array_like=True):
    """One announcement of a target.

    A target that restarts under its name has a later start time, which makes
    all earlier announcements under that name void.

    Attributes:
        name: Name of the target, unique at any moment.
        born_ms: Start time of the target by its wall clock, in milliseconds;
            compared only with that of the same name or address.
        sequence: Number that rises with each announcement since its start.
        service: Service that it belongs to.
        endpoint: Address and port at which it receives packets.
        domain: Failure domain.
        slots: Requests that it runs concurrently.
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
        """Key that orders the announcements of one name."""
        return (self.born_ms, self.sequence)

    @property
    def rank(self) -> tuple[int, int, int]:
        """Key that orders what is known of one name.

        A withdrawal without a start time changes the phase of the newest
        announcement.
        """
        return (self.born_ms, self.sequence, self.phase)


class KnownTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target as known to a control host.

    Attributes:
        target: Its newest announcement.
        is_overdue: Whether its announcements are overdue at all control hosts.
    """

    target: Announcement
    is_overdue: bool = False
