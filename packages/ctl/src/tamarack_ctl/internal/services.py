"""Command `tamarack services`."""

from typing import Any

import click

from tamarack_core import failure
from tamarack_core import peers
from tamarack_ctl.internal import client
from tamarack_ctl.internal import options
from tamarack_ctl.internal import output

HEADERS = (
    "service",
    "addresses",
    "class",
    "port",
    "target port",
    "lifetime",
    "cost",
    "idempotent",
    "max concurrent",
    "max openings/s",
)


@click.command(epilog=output.EXIT_CODES_HELP)
@options.hosts
@options.as_json
def services(hosts: tuple[peers.Endpoint, ...], as_json: bool) -> None:
    """Shows the services of the newest accepted configuration.

    Example: tamarack services --host 127.0.0.1:7001
    """
    response = client.request(hosts, "GET", "/v1/configuration")
    if isinstance(response, failure.Failure):
        output.fail(output.EXIT_NO_HOST, response.detail)
    if "numbered" not in response.body:
        output.fail(output.EXIT_REFUSED, response.body.get("detail", "refused"))
    numbered = response.body["numbered"]
    rows = [
        _row(name, service, class_name, work_class)
        for name, service in numbered["configuration"]["services"].items()
        for class_name, work_class in service["classes"].items()
    ]
    output.show(as_json, numbered, HEADERS, rows)
    if not as_json:
        click.echo(f"version {numbered['version']}")


def _row(
    name: str, service: Any, class_name: str, work_class: Any
) -> list[object]:
    """Returns the table row of one work class."""
    return [
        name,
        ",".join(service["addresses"]),
        class_name,
        f"{work_class['port']}/{work_class['protocol']}",
        work_class["target_port"],
        work_class["lifetime"],
        work_class["cost"],
        "yes" if work_class["idempotent"] else "no",
        work_class["max_concurrent"] or "none",
        work_class["max_opening_rate"] or "none",
    ]
