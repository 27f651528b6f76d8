"""Parses the time line out of the log lines of hosts."""

from collections.abc import Collection
from collections.abc import Iterable
import json
import re

from tamarack_core import timeline

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"]+)(?:\s|$)')
_STAMP = re.compile(r"(\d+)\.(\d+)")
_TEXT_FIELDS = ("service", "target", "flow", "verdict", "reason", "detail")


def read(
    lines: Iterable[str], required: Collection[str] = ()
) -> tuple[list[timeline.Entry], int]:
    """Returns the time line entries in log lines.

    Text before the key=value pairs of a line is ignored, because log collectors
    prepend the host name.

    Args:
        lines: Lines of one or several hosts, in any order.
        required: Texts without which a line is skipped; parsing the lines of
            hundreds of hosts takes longer than searching them.

    Returns:
        The entries, and the number of other lines without a complete entry.
    """
    parsed = [
        _entry(line) for line in lines if all(text in line for text in required)
    ]
    entries = [entry for entry in parsed if entry is not None]
    return entries, len(parsed) - len(entries)


def _entry(line: str) -> timeline.Entry | None:
    """Returns the entry in a line, or None if it has no complete one."""
    pairs = {match[1]: _value(match[2]) for match in _PAIR.finditer(line)}
    stamp = _STAMP.fullmatch(pairs.get("stamp", ""))
    if stamp is None or not pairs.get("event") or not pairs.get("host"):
        return None
    version = pairs.get("version", "0")
    if not version.isdecimal():
        return None
    return timeline.Entry(
        stamp=timeline.Stamp(int(stamp[1]), int(stamp[2])),
        host=pairs["host"],
        name=pairs["event"],
        version=int(version),
        **{name: pairs[name] for name in _TEXT_FIELDS if name in pairs},
    )


def _value(text: str) -> str:
    """Returns a value without quotes; a malformed value is left unchanged."""
    if not text.startswith('"'):
        return text
    try:
        value = json.loads(text)
    except ValueError:
        return text
    return value if isinstance(value, str) else text
