"""Tags of targets in flow cookies.

A tag is a checksum of the target's name, so that all hosts compute the same one
without coordination. Two names may have the same checksum, so a target has one
plain tag and a few salted ones. No tag is of both kinds.

- A control host to which a target announces itself while another one holds its
  plain tag marks it as `SALTED`. No host ever opens a flow of that target under
  the plain tag, which remains that of the other target for all hosts.
- If two targets hold one plain tag nevertheless, as no control host knew both
  in time, either may have flows under it. Both are marked as `SHARED`, and new
  flows of neither are opened under it.
"""

import zlib

from tamarack_core import target_announcement

SALTS = 3
"""Number of salted tags of a target."""

MIN_SALTED = 0xF0000000
"""Lowest salted tag; the plain ones are below it."""


def tag_of(name: str) -> int:
    """Returns the plain tag of a target, which is never 0."""
    checksum = _checksum(name)
    if checksum >= MIN_SALTED:
        checksum -= MIN_SALTED
    return checksum or 1


def salted_tags_of(name: str) -> list[int]:
    """Returns the salted tags of a target, in the order of preference.

    They are from another function than the plain tag: names of equal length and
    equal checksum have equal checksums with each salt.
    """
    # Loaded for the first collision, as it would lengthen each start.
    import hashlib

    digest = hashlib.blake2b(name.encode(), digest_size=4 * SALTS).digest()
    return [
        MIN_SALTED | int.from_bytes(digest[start : start + 4])
        for start in range(0, 4 * SALTS, 4)
    ]


def start_tag_of(target: target_announcement.Announcement) -> int:
    """Returns the tag of one start of a target.

    Another start under the same name has another one, so what was learned of
    the earlier start does not apply to it.
    """
    return zlib.crc32(b"%d" % target.place_ms, _checksum(target.name) or 1)


def _checksum(name: str) -> int:
    return zlib.crc32(name.encode())
