"""Checks of the evacuated failure domains of a configuration."""

import msgspec

from tamarack_core import failure
from tamarack_core.internal.targets import announcement_checks
from tamarack_core.internal.validation import json_pointers

FIELD = "evacuated_domains"
"""Name of the field in the document."""

MAX_DOMAINS = 64
"""Most domains that are evacuated at once. Several times the 12 domains of the
largest deployment that the system is designed for."""

# Names of domains are only limited in length elsewhere, and each domain must be
# evacuable.
MAX_NAME_CHARACTERS = announcement_checks.MAX_DOMAIN_CHARACTERS

_QUOTED_CHARACTERS = 80


def convert_domains(value: object) -> tuple[str, ...] | failure.Failure:
    """Returns the checked domains that a JSON value lists.

    Which domains exist isn't part of the configuration, so unknown names are
    valid.

    Args:
        value: Decoded JSON.

    Returns:
        The names in the order of the document, or a failure with the pointer
        of the invalid value.
    """
    prefix = json_pointers.join(FIELD)
    try:
        domains = msgspec.convert(value, tuple[str, ...])
    except msgspec.ValidationError as error:
        return json_pointers.from_error(prefix, error)
    if len(domains) > MAX_DOMAINS:
        return failure.Failure(
            "bad-count",
            f"{FIELD} has {len(domains)} members; give at most {MAX_DOMAINS}",
            prefix,
        )
    for position, name in enumerate(domains):
        rejection = check_name(name)
        if rejection is None and name in domains[:position]:
            rejection = failure.Failure(
                "duplicate", f"{_quote(name)} is listed twice"
            )
        if rejection is not None:
            return failure.Failure(
                rejection.reason, rejection.detail, f"{prefix}/{position}"
            )
    return domains


def check_name(name: str) -> failure.Failure | None:
    """Returns why a text can't be the name of a domain, or None.

    Characters that aren't printable would be unreadable in log lines.

    Args:
        name: The text.
    """
    if 1 <= len(name) <= MAX_NAME_CHARACTERS and name.isprintable():
        return None
    return failure.Failure(
        "bad-domain",
        f"{_quote(name)} is not a name of a failure domain: use 1 to"
        f" {MAX_NAME_CHARACTERS} printable characters",
    )


def _quote(name: str) -> str:
    """Returns the start of a name in quotes."""
    return repr(name[:_QUOTED_CHARACTERS])
