"""Structured logs: one line of key=value pairs for each event."""

from collections.abc import Mapping
import json
import logging
import sys
import time
from typing import Any
from typing import Protocol

from tamarack_core import timeline

FIELDS_ATTRIBUTE = "fields"
_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:/@+>-"
)

logger = logging.getLogger("tamarackd")


class Stream(Protocol):
    """Text stream that log lines are written to."""

    def write(self, text: str, /) -> int:
        """Writes lines and returns the length of the text."""

    def flush(self) -> None:
        """Writes the buffered text."""


class KeyValueFormatter(logging.Formatter):
    """Formats a record as `time=... level=... event=... key=value`."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line of a record."""
        moment = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        pairs: dict[str, Any] = {
            "time": f"{moment}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        pairs.update(getattr(record, FIELDS_ATTRIBUTE, {}))
        if record.exc_info:
            pairs["error"] = repr(record.exc_info[1])
        return " ".join(f"{key}={_quote(pairs[key])}" for key in pairs)


def set_up(level: str, stream: Stream | None = None) -> None:
    """Configures logging to a stream.

    Args:
        level: Lowest level that is logged, such as `info`.
        stream: Stream to write to; standard error if None.
    """
    handler = logging.StreamHandler(sys.stderr if stream is None else stream)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    # Access logs, one line for each request, would obscure the events.
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


def event(
    name: str,
    level: int = logging.INFO,
    fields: Mapping[str, object] | None = None,
) -> None:
    """Logs an event.

    Args:
        name: Constant name of the event.
        level: Level of the module `logging`.
        fields: Values by key.
    """
    if logger.isEnabledFor(level):
        logger.log(level, name, extra={FIELDS_ATTRIBUTE: fields or {}})


def _quote(value: object) -> str:
    """Returns a value as text, as a JSON string if it needs quotes."""
    text = str(value)
    if text and _UNQUOTED_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)


def entry(recorded: timeline.Entry) -> None:
    """Logs an entry of the time line.

    Args:
        recorded: The entry.
    """
    if not logger.isEnabledFor(logging.INFO):
        return
    fields = {
        "host": recorded.host,
        "stamp": f"{recorded.stamp.wall_ms}.{recorded.stamp.counter}",
        "service": recorded.service,
        "target": recorded.target,
        "flow": recorded.flow,
        "version": recorded.version,
        "verdict": recorded.verdict,
        "reason": recorded.reason,
        "detail": recorded.detail,
    }
    present = {key: value for key, value in fields.items() if value}
    event(recorded.name, logging.INFO, present)
