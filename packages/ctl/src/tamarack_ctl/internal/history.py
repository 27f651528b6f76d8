"""Commands `tamarack log` and `tamarack diff`."""

import json
from typing import Any

import click

from tamarack_core import failure
from tamarack_core import peers
from tamarack_ctl.internal import client
from tamarack_ctl.internal import options
from tamarack_ctl.internal import output
from tamarack_ctl.internal import status

MAX_POINTERS_SHOWN = 3
HEADERS = ("version", "on top of", "at", "author", "changed", "note")


@click.command(epilog=output.EXIT_CODES_HELP)
@click.option("--after", default=0, help="Show only versions later than this.")
@options.hosts
@options.as_json
def log(after: int, hosts: tuple[peers.Endpoint, ...], as_json: bool) -> None:
    """Shows the accepted patches: author, base version, changes and note.

    Example: tamarack log --after 40
    """
    entries = _read(hosts, after)
    output.show(as_json, entries, HEADERS, [_row(entry) for entry in entries])


@click.command(epilog=output.EXIT_CODES_HELP)
@click.argument("old", type=int)
@click.argument("new", type=int)
@options.hosts
@options.as_json
def diff(
    old: int, new: int, hosts: tuple[peers.Endpoint, ...], as_json: bool
) -> None:
    """Shows the operations between version OLD and version NEW.

    Example: tamarack diff 40 42
    """
    if not 0 <= old < new:
        output.fail(
            output.EXIT_USAGE, f"version {old} is not older than version {new}"
        )
    entries = [entry for entry in _read(hosts, old) if entry["version"] <= new]
    if [entry["version"] for entry in entries] != list(range(old + 1, new + 1)):
        output.fail(
            output.EXIT_REFUSED,
            f"the log doesn't hold all versions from {old + 1} to {new}",
        )
    rows = [
        (
            entry["version"],
            entry["author"],
            operation["op"],
            operation["path"],
            json.dumps(operation.get("value", operation.get("from", ""))),
        )
        for entry in entries
        for operation in entry["operations"]
    ]
    headers = ("version", "author", "operation", "path", "value or from")
    output.show(as_json, entries, headers, rows)


def _read(hosts: tuple[peers.Endpoint, ...], after: int) -> list[Any]:
    """Returns the log entries after a version.

    Exits with an error if no host returns them.
    """
    response = client.request(hosts, "GET", f"/v1/log?after={after}")
    if isinstance(response, failure.Failure):
        output.fail(output.EXIT_NO_HOST, response.detail)
    if "entries" not in response.body:
        output.fail(output.EXIT_NO_HOST, str(response.body.get("detail")))
    entries: list[Any] = response.body["entries"]
    return entries


def _row(entry: Any) -> list[object]:
    """Returns the table row of one patch."""
    changed = entry["changed"]
    shown = " ".join(changed[:MAX_POINTERS_SHOWN])
    if len(changed) > MAX_POINTERS_SHOWN:
        shown += f" and {len(changed) - MAX_POINTERS_SHOWN} more"
    return [
        entry["version"],
        entry["version"] - 1,
        status.format_time(entry["time_ms"]),
        entry["author"],
        shown,
        entry["note"],
    ]
