"""Announcements of targets, as control and entry hosts store them."""

import enum
import re

import msgspec

from tamarack_core import failure
from tamarack_core import peers

MAX_NAME_CHARACTERS = 1024
"""Longest name of a target, a service or a failure domain, in characters."""

MAX_SLOTS = 100_000
"""Most requests that one target can run concurrently."""

MAX_BORN_MS = 253_402_300_799_999
"""Latest start time, in milliseconds: the end of the year 9999."""

MAX_FLOOR_MS = 2 * MAX_BORN_MS
"""Highest lower bound of the place of a start, in milliseconds. It exceeds the
start time before it by one for each start in disorder."""

MAX_COLD_MS = 86_400_000
"""Longest time for which a target can still be slow, in milliseconds."""

GONE_SEQUENCE = 1 << 62
"""Sequence number of the end of a target, higher than that of any
announcement."""

_QUOTED_CHARACTERS = 80
_QUOTED_BITS = 128

# The IPv4 address of a single host. Names are refused, as resolving them would
# block an entry host. A leading zero would make an octet octal for some
# readers. Importing `ipaddress` would lengthen the start of an entry host.
_unicast_address = re.compile(
    r"(?:[1-9]|[1-9][0-9]|1[0-9]{2}|2[01][0-9]|22[0-3])"
    r"(?:\.(?:[0-9]|[1-9][0-9]|1[0-9]{2}|2[0-4][0-9]|25[0-5])){3}"
)


class Phase(enum.IntEnum):
    """Phase in the life of a target; it never returns to an earlier one."""

    READY = 0
    DRAINING = 1
    GONE = 2


class TagUse(enum.IntEnum):
    """How a target uses its plain tag; see `target_tags`.

    Of two statements about one target, the higher one holds.
    """

    SALTED = 0
    """No host has ever opened a flow of the target under it."""

    PLAIN = 1
    """It is that of the target alone."""

    SHARED = 2
    """Another target may have flows under it too."""


class Announcement(msgspec.Struct, frozen=True, array_like=True):
    """One announcement of a target.

    A target that restarts under its name usually has a later start time, which
    makes all earlier announcements under that name void. If its clock was set
    back, a control host finds out that the start is a later one.

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
        floor_ms: Lower bound of its place among the starts of its name, in
            milliseconds, if an earlier start had a later start time.
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
    floor_ms: int = 0

    @property
    def place_ms(self) -> int:
        """Key that orders the starts of one name or at one endpoint."""
        return max(self.born_ms, self.floor_ms)

    @property
    def order(self) -> tuple[int, int]:
        """Key that orders the announcements of one name."""
        return (self.place_ms, self.sequence)

    @property
    def rank(self) -> tuple[int, int, int]:
        """Key that orders what is known of one name.

        A withdrawal without a start time changes the phase of the newest
        announcement.
        """
        return (self.place_ms, self.sequence, self.phase)


class KnownTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target as known to a control host.

    Attributes:
        target: Its newest announcement.
        is_overdue: Whether its announcements are overdue at all control hosts.
    """

    target: Announcement
    is_overdue: bool = False


def check(target: Announcement) -> failure.Failure | None:
    """Returns why an announcement is invalid, or None.

    A target with a valid announcement can be stored, sent to other hosts, and
    reached at its endpoint.

    Args:
        target: The announcement.
    """
    checks = (
        _check_names(target),
        _check_endpoint(target.endpoint),
        check_born(target.born_ms),
        _check_range("floor", target.floor_ms, 0, MAX_FLOOR_MS),
        _check_sequence(target),
        _check_range("slots", target.slots, 1, MAX_SLOTS),
        # A target that is no longer slow may count below zero.
        _check_range("cold", target.cold_ms, -MAX_COLD_MS, MAX_COLD_MS),
    )
    return next((invalid for invalid in checks if invalid is not None), None)


def check_born(born_ms: int) -> failure.Failure | None:
    """Returns why a start time is invalid, or None.

    Args:
        born_ms: The start time in milliseconds.
    """
    return _check_range("born", born_ms, 0, MAX_BORN_MS)


def _check_names(target: Announcement) -> failure.Failure | None:
    for name in (target.name, target.service, target.domain):
        if len(name) > MAX_NAME_CHARACTERS:
            return failure.Failure(
                "bad-name",
                f"{name[:_QUOTED_CHARACTERS]!r}... has {len(name)} characters;"
                f" use at most {MAX_NAME_CHARACTERS}",
            )
    return None


def _check_endpoint(endpoint: peers.Endpoint) -> failure.Failure | None:
    if _unicast_address.fullmatch(endpoint.address) is None:
        return failure.Failure(
            "bad-address",
            f"{endpoint.address[:_QUOTED_CHARACTERS]!r} is not the IPv4 address"
            " of a host",
        )
    return _check_range("port", endpoint.port, 1, peers.MAX_PORT)


def _check_sequence(target: Announcement) -> failure.Failure | None:
    if target.phase is Phase.GONE and target.sequence == GONE_SEQUENCE:
        return None
    return _check_range("sequence", target.sequence, 0, GONE_SEQUENCE - 1)


def _check_range(
    field: str, value: int, low: int, high: int
) -> failure.Failure | None:
    if low <= value <= high:
        return None
    return failure.Failure(
        f"bad-{field}",
        f"{field} {_quote(value)} is out of range; use {low} to {high}",
    )


def _quote(value: int) -> str:
    """Returns a number as text, or its size if it has very many digits."""
    bits = value.bit_length()
    return str(value) if bits <= _QUOTED_BITS else f"of {bits} bits"
