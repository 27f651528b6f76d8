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
)


@click.command(epilog=output.EXIT_CODES_HELP)
@options.hosts
@options.as_json
def status(hosts: tuple[peers.Endpoint, ...], as_json: bool) -> None:
    """Shows the state of each host.

    Example: tamarack status --host 127.0.0.1:7001 --host 127.0.0.1:7002
    """
    answers = client.ask_all(hosts, "/v1/status")
    found = [
        answer.body for answer in answers if isinstance(answer, client.Answer)
    ]
    output.show(as_json, found, HEADERS, [_row(body) for body in found])
    missing = [
        answer.detail
        for answer in answers
        if isinstance(answer, failure.Failure)
    ]
    for detail in missing:
        click.echo(f"tamarack: {detail}", err=True)
    if missing:
        output.fail(output.EXIT_NO_HOST, f"{len(missing)} hosts do not answer")


def _row(body: Any) -> list[object]:
    """Returns the cells of one host."""
    return [
        body["host"],
        body["domain"],
        ",".join(body["roles"]),
        body["version"],
        format_time(body["since_ms"]),
        len(body["members"]),
        body["targets"],
        body["flows"],
    ]


def format_time(wall_ms: int) -> str:
    """Returns a wall-clock time in ms as text in UTC."""
    if not wall_ms:
        return "-"
    moment = datetime.datetime.fromtimestamp(wall_ms / MS_PER_S, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")
