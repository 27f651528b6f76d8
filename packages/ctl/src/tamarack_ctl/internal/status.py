"""Command `tamarack status`."""

import datetime
from typing import Any

import click

from tamarack_core import failure
from tamarack_core import peers
from tamarack_ctl.internal import client
from tamarack_ctl.internal import options
from tamarack_ctl.internal import output

MS_PER_S = 1000
HEADERS = (
    "host",
    "domain",
    "roles",
    "version",
    "since",
    "members",
    "targets",
    "flows",
    "evacuated",
)


@click.command(epilog=output.EXIT_CODES_HELP)
@options.hosts
@options.as_json
def status(hosts: tuple[peers.Endpoint, ...], as_json: bool) -> None:
    """Shows the status of each host.

    Example: tamarack status --host 127.0.0.1:7001 --host 127.0.0.1:7002
    """
    responses = client.get_all(hosts, "/v1/status")
    bodies = [
        response.body
        for response in responses
        if isinstance(response, client.Response)
    ]
    output.show(as_json, bodies, HEADERS, [_row(body) for body in bodies])
    missing = [
        response.detail
        for response in responses
        if isinstance(response, failure.Failure)
    ]
    for detail in missing:
        click.echo(f"tamarack: {detail}", err=True)
    if missing:
        output.fail(output.EXIT_NO_HOST, f"{len(missing)} hosts do not respond")


def _row(body: Any) -> list[object]:
    """Returns the table row of one host."""
    return [
        body["host"],
        body["domain"],
        ",".join(body["roles"]),
        body["version"],
        format_time(body["since_ms"]),
        len(body["members"]),
        body["targets"],
        body["flows"],
        # A host of an earlier release doesn't state them.
        " ".join(body.get("evacuated_domains", ())) or "none",
    ]


def format_time(wall_ms: int) -> str:
    """Returns a wall-clock time in ms as UTC text; "-" for 0."""
    if not wall_ms:
        return "-"
    moment = datetime.datetime.fromtimestamp(wall_ms / MS_PER_S, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")
