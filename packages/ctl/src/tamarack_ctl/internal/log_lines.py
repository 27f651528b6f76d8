"""Reads the time line back from the log lines that hosts wrote."""

from collections.abc import Iterable
import json
import re

from tamarack_core import timeline

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"]+)(?:\s|$)')
_STAMP = re.compile(r"(\d+)\.(\d+)")
_TEXTS = ("service", "target", "flow", "verdict", "reason", "detail")


def read(lines: Iterable[str]) -> tuple[list[timeline.Entry], int]:
    """Returns the entries in lines of logs.

    What stands before the pairs of a line is passed over, as collectors of logs
    put the name of the host there.

    Args:
        lines: Lines of one or several hosts, in any order.

    Returns:
        The entries, and the number of other lines.
    """
    parsed = [_entry(line) for line in lines]
    entries = [entry for entry in parsed if entry is not None]
    return entries, len(parsed) - len(entries)


def _entry(line: str) -> timeline.Entry | None:
    """Returns the entry that a line holds; None if it holds no whole one."""
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
        **{name: pairs[name] for name in _TEXTS if name in pairs},
    )


def _value(text: str) -> str:
    """Returns a value without its quotes; what can't be read stays as it is."""
    if not text.startswith('"'):
        return text
    try:
        value = json.loads(text)
    except ValueError:
        return text
    return value if isinstance(value, str) else text
