"""JSON pointers (RFC 6901) of values in the configuration document."""

import re

import jsonpointer
import msgspec

from tamarack_core import failure

_UNKNOWN_FIELD = re.compile(r"unknown field `(?P<name>[^`]*)`")
_MISSING_FIELD = re.compile(r"missing required field `(?P<name>[^`]*)`")
_LOCATION = re.compile(r" - at `(?:key in )?\$(?P<steps>[^`]*)`$")
_TOKEN = re.compile(r"\.(?P<name>[^.\[]+)|\[(?P<index>[^\]]*)\]")


def join(*tokens: str) -> str:
    """Returns the pointer with the given reference tokens, each unescaped."""
    return "".join("/" + jsonpointer.escape(token) for token in tokens)


def split(pointer: str) -> list[str] | None:
    """Returns the unescaped reference tokens; None if it is malformed."""
    try:
        return list(jsonpointer.JsonPointer(pointer).get_parts())
    except (jsonpointer.JsonPointerException, TypeError):
        return None


def from_error(prefix: str, error: msgspec.ValidationError) -> failure.Failure:
    """Returns the failure for a conversion error.

    Args:
        prefix: Pointer of the value that was converted.
        error: The error of `msgspec.convert`.
    """
    text = str(error)
    located = _LOCATION.search(text)
    tokens = _tokens(located["steps"]) if located else []
    named = _UNKNOWN_FIELD.search(text) or _MISSING_FIELD.search(text)
    if named:
        tokens.append(named["name"])
    detail = _LOCATION.sub("", text)
    reason = "unknown-field" if _UNKNOWN_FIELD.search(text) else "bad-value"
    return failure.Failure(reason, detail, prefix + join(*tokens))


def _tokens(location: str) -> list[str]:
    """Returns the reference tokens of a location such as `.addresses[1]`."""
    return [
        match["name"] or match["index"] for match in _TOKEN.finditer(location)
    ]
