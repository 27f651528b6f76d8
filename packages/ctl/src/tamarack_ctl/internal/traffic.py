"""Commands `tamarack targets` and `tamarack flows`."""

from collections.abc import Iterable
from typing import Any
import urllib.parse

import click

from tamarack_core import failure
from tamarack_core import peers
from tamarack_ctl.internal import client
from tamarack_ctl.internal import options
from tamarack_ctl.internal import output

DEFAULT_LIMIT = 100
TARGET_HEADERS = (
    "target",
    "service",
    "domain",
    "state",
    "slots",
    "active units",
    "held units",
    "open flows",
)
FLOW_HEADERS = (
    "flow",
    "service",
    "class",
    "target",
    "at host",
    "role",
    "age s",
    "idle s",
)


@click.command(epilog=output.EXIT_CODES_HELP)
@options.hosts
@options.as_json
@click.option("--service", default="", help="Only this service.")
def targets(
    hosts: tuple[peers.Endpoint, ...], as_json: bool, service: str
) -> None:
    """Shows the announced targets and the work in flight at each.

    Open flows are summed over all hosts named, so name all entry hosts of the
    failure domain. Each flow is counted only by its owner.

    Example: tamarack targets --service agenda
    """
    responses = _read_all(hosts, "/v1/targets", {"service": service})
    views = merge_targets(responses)
    rows = [_target_row(view) for view in views]
    output.show(as_json, views, TARGET_HEADERS, rows)


@click.command(epilog=output.EXIT_CODES_HELP)
@options.hosts
@options.as_json
@click.option("--service", default="", help="Only this service.")
@click.option("--target", default="", help="Only this target.")
@click.option(
    "--limit",
    default=DEFAULT_LIMIT,
    help="Maximum number of flows to read from each host.",
)
def flows(
    hosts: tuple[peers.Endpoint, ...],
    as_json: bool,
    service: str,
    target: str,
    limit: int,
) -> None:
    """Shows the open flows in the flow tables of the hosts.

    Example: tamarack flows --service agenda --target 10.1.0.1
    """
    query = {"service": service, "target": target, "limit": str(limit)}
    responses = _read_all(hosts, "/v1/flows", query)
    views = [
        {
            **view,
            "host": f"{response.endpoint.address}:{response.endpoint.port}",
        }
        for response in responses
        for view in response.body["flows"]
    ]
    rows = [_flow_row(view) for view in views]
    output.show(as_json, views, FLOW_HEADERS, rows)
    if any(response.body["is_cut"] for response in responses):
        click.echo(
            f"tamarack: a host has more than {limit} matching flows; raise"
            " --limit",
            err=True,
        )


def merge_targets(responses: Iterable[client.Response]) -> list[dict[str, Any]]:
    """Returns the views of the targets of several hosts, sorted by address.

    Each host knows the work of all hosts of its failure domain, but counts only
    the open flows that it owns.

    Args:
        responses: Responses of hosts with their views of targets.
    """
    merged: dict[str, dict[str, Any]] = {}
    for response in responses:
        for view in response.body["targets"]:
            total = merged.setdefault(
                view["address"], {**view, "owned_flows": 0}
            )
            total["owned_flows"] += view["owned_flows"]
            total["active"] = max(total["active"], view["active"])
            total["held"] = max(total["held"], view["held"])
    return [merged[address] for address in sorted(merged)]


def _read_all(
    hosts: tuple[peers.Endpoint, ...], path: str, query: dict[str, str]
) -> list[client.Response]:
    """Returns the successful responses of all hosts.

    Exits with an error if there is none.
    """
    responses = client.get_all(hosts, f"{path}?{urllib.parse.urlencode(query)}")
    succeeded = [
        response
        for response in responses
        if isinstance(response, client.Response) and response.status == 200
    ]
    for response in responses:
        if isinstance(response, failure.Failure):
            click.echo(f"tamarack: {response.detail}", err=True)
        elif response.status != 200:
            click.echo(f"tamarack: {response.body.get('detail')}", err=True)
    if not succeeded:
        output.fail(output.EXIT_NO_HOST, "no host returns its targets or flows")
    return succeeded


def _target_row(view: Any) -> list[object]:
    """Returns the table row of a target."""
    state = "expired" if view["is_expired"] else view["state"]
    return [
        view["address"],
        view["service"],
        view["domain"],
        state,
        view["slots"],
        view["active"],
        view["held"],
        view["owned_flows"],
    ]


def _flow_row(view: Any) -> list[object]:
    """Returns the table row of a flow."""
    return [
        view["flow"],
        view["service"],
        view["work_class"],
        view["target"],
        view["host"],
        view["role"],
        view["age_s"],
        view["idle_s"],
    ]
