"""Commands `tamarack targets` and `tamarack flows`."""

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
    """Shows the announced targets and the work at each.

    The open flows are the sum over all hosts named, so name all entry hosts
    of the failure domain. Each flow is counted at its owner alone.

    Example: tamarack targets --service agenda
    """
    answers = _read_all(hosts, "/v1/targets", {"service": service})
    merged: dict[str, dict[str, Any]] = {}
    for answer in answers:
        for view in answer.body["targets"]:
            held = merged.setdefault(
                view["address"], {**view, "owned_flows": 0}
            )
            held["owned_flows"] += view["owned_flows"]
            held["active"] = max(held["active"], view["active"])
            held["held"] = max(held["held"], view["held"])
    found = [merged[address] for address in sorted(merged)]
    rows = [_target_row(view) for view in found]
    output.show(as_json, found, TARGET_HEADERS, rows)


@click.command(epilog=output.EXIT_CODES_HELP)
@options.hosts
@options.as_json
@click.option("--service", default="", help="Only this service.")
@click.option("--target", default="", help="Only this target.")
@click.option(
    "--limit", default=DEFAULT_LIMIT, help="Most flows to read at each host."
)
def flows(
    hosts: tuple[peers.Endpoint, ...],
    as_json: bool,
    service: str,
    target: str,
    limit: int,
) -> None:
    """Shows the open flows that the hosts know.

    Example: tamarack flows --service agenda --target 10.1.0.1
    """
    query = {"service": service, "target": target, "limit": str(limit)}
    answers = _read_all(hosts, "/v1/flows", query)
    found = [
        {**view, "host": f"{answer.endpoint.address}:{answer.endpoint.port}"}
        for answer in answers
        for view in answer.body["flows"]
    ]
    rows = [_flow_row(view) for view in found]
    output.show(as_json, found, FLOW_HEADERS, rows)
    if any(answer.body["is_cut"] for answer in answers):
        click.echo(
            f"tamarack: a host has more than {limit} such flows; raise --limit",
            err=True,
        )


def _read_all(
    hosts: tuple[peers.Endpoint, ...], path: str, query: dict[str, str]
) -> list[client.Answer]:
    """Returns the answers of all hosts; ends the process without any."""
    answers = client.ask_all(hosts, f"{path}?{urllib.parse.urlencode(query)}")
    good = [
        answer
        for answer in answers
        if isinstance(answer, client.Answer) and answer.status == 200
    ]
    for answer in answers:
        if isinstance(answer, failure.Failure):
            click.echo(f"tamarack: {answer.detail}", err=True)
        elif answer.status != 200:
            click.echo(f"tamarack: {answer.body.get('detail')}", err=True)
    if not good:
        output.fail(output.EXIT_NO_HOST, "no host shows its targets and flows")
    return good


def _target_row(view: Any) -> list[object]:
    """Returns the cells of a target."""
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
    """Returns the cells of a flow."""
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
