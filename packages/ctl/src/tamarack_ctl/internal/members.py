"""Command group `tamarack member`."""

import click

from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import requests
from tamarack_ctl.internal import client
from tamarack_ctl.internal import options
from tamarack_ctl.internal import output

HEADERS = ("host", "domain", "endpoint", "incarnation", "state", "leads")
PATH = "/v1/members"


@click.group()
def member() -> None:
    """Shows and changes the members of the replicated log."""


@member.command("list", epilog=output.EXIT_CODES_HELP)
@options.hosts
@options.as_json
def list_members(hosts: tuple[peers.Endpoint, ...], as_json: bool) -> None:
    """Shows voters, learners and control hosts outside the log.

    Example: tamarack member list
    """
    response = client.request(hosts, "GET", PATH)
    if isinstance(response, failure.Failure):
        output.fail(output.EXIT_NO_HOST, response.detail)
    if "members" not in response.body:
        output.fail(output.EXIT_REFUSED, str(response.body.get("detail")))
    rows = [
        (
            *(control_host[key] for key in HEADERS[:-1]),
            "yes" if control_host["host"] == response.body["leader"] else "",
        )
        for control_host in response.body["members"]
    ]
    output.show(as_json, response.body, HEADERS, rows)


@member.command(epilog=output.EXIT_CODES_HELP)
@click.argument(
    "action", type=click.Choice([one.value for one in requests.MemberAction])
)
@click.argument("name")
@click.option(
    "--incarnation", default="", help="Incarnation of the host's data folder."
)
@options.hosts
def change(
    action: str,
    name: str,
    incarnation: str,
    hosts: tuple[peers.Endpoint, ...],
) -> None:
    """Adds, promotes or removes control host NAME.

    The hosts given are tried in order until one of them is the leader.

    Example: tamarack member change remove control-b
    """
    body = {"action": action, "host": name, "incarnation": incarnation}
    detail = "no host given; name one with --host"
    for endpoint in hosts:
        response = client.request([endpoint], "POST", PATH, body)
        if isinstance(response, failure.Failure):
            detail = response.detail
            continue
        if response.body.get("type") == "member-change-started":
            click.echo("started; follow it with tamarack member list")
            return
        detail = str(response.body.get("detail"))
        if response.body.get("reason") != "not-leader":
            output.fail(output.EXIT_REFUSED, detail)
    output.fail(output.EXIT_NO_HOST, detail)
