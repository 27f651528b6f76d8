"""Logs: one line of key=value pairs for each event."""

from collections.abc import Mapping
import json
import logging
import sys
import time
from typing import Any

FIELDS_ATTRIBUTE = "fields"
_BARE_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:/@+>-"
)

logger = logging.getLogger("tamarackd")


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


def set_up(level: str) -> None:
    """Sends the log to standard error.

    Args:
        level: Lowest level that is logged, such as `info`.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    # One line a request would drown the events of the system.
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


def event(
    name: str,
    level: int = logging.INFO,
    fields: Mapping[str, object] | None = None,
) -> None:
    """Logs an event.

    Args:
        name: Constant name of the event.
        level: Level from `logging`.
        fields: Values by key.
    """
    if logger.isEnabledFor(level):
        logger.log(level, name, extra={FIELDS_ATTRIBUTE: fields or {}})


def _quote(value: object) -> str:
    """Returns a value, quoted as JSON where it holds other characters."""
    text = str(value)
    if text and _BARE_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)
