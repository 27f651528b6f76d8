"""Checks of announcements that need no configuration.

An entry host can store an announcement that passes, and compute with its
numbers. The host that a target calls checks it, and so does each host that
receives it from another one, which may be of an earlier release.
"""

import ipaddress

from tamarack_core import failure
from tamarack_core import requests

MAX_LEASE_S = 60.0

MAX_CAPACITY = 1_000_000_000
"""Most work units, and most connections, that a target can announce."""

MAX_DOMAIN_CHARACTERS = 1024
"""Longest name of a failure domain, in characters."""

MAX_INCARNATION = (1 << 63) - 1

_QUOTED_CHARACTERS = 80


def check(announcement: requests.Announce) -> failure.Failure | None:
    """Returns why an announcement is invalid, or None.

    Args:
        announcement: The announcement.
    """
    if not _is_address(announcement.address):
        return failure.Failure(
            "bad-address",
            f"address {_quote(announcement.address)} is not an IP address; "
            "announce the IPv4 or IPv6 address of the target",
        )
    counts = (announcement.slots, announcement.connections)
    if min(counts) < 1 or max(counts) > MAX_CAPACITY:
        return failure.Failure(
            "bad-capacity",
            f"slots {_quote(announcement.slots)} and connections "
            f"{_quote(announcement.connections)} must be from 1 to "
            f"{MAX_CAPACITY}; announce the capacity of the target",
        )
    if abs(announcement.incarnation) > MAX_INCARNATION:
        return failure.Failure(
            "bad-incarnation",
            f"incarnation {_quote(announcement.incarnation)} is out of range; "
            f"choose at most {MAX_INCARNATION}",
        )
    if not 0 < announcement.lease_s <= MAX_LEASE_S:
        return failure.Failure(
            "bad-lease",
            f"lease_s {announcement.lease_s} is out of range; "
            f"choose more than 0 and at most {MAX_LEASE_S:g}",
        )
    if len(announcement.domain) > MAX_DOMAIN_CHARACTERS:
        return failure.Failure(
            "bad-domain",
            f"domain {_quote(announcement.domain)} has more than "
            f"{MAX_DOMAIN_CHARACTERS} characters; choose a shorter name",
        )
    return None


def _is_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _quote(value: object) -> str:
    """Returns the start of the text of a value."""
    return repr(value)[:_QUOTED_CHARACTERS]
