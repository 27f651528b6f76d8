"""Commands `tamarack member`."""

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
    """Shows and changes the control hosts of the replicated log."""


@member.command("list", epilog=output.EXIT_CODES_HELP)
@options.hosts
@options.as_json
def list_members(hosts: tuple[peers.Endpoint, ...], as_json: bool) -> None:
    """Shows voters, learners and hosts that wait.

    Example: tamarack member list
    """
    answer = client.ask(hosts, "GET", PATH)
    if isinstance(answer, failure.Failure):
        output.fail(output.EXIT_NO_HOST, answer.detail)
    if "members" not in answer.body:
        output.fail(output.EXIT_REFUSED, str(answer.body.get("detail")))
    rows = [
        (
            *(found[key] for key in HEADERS[:-1]),
            "yes" if found["host"] == answer.body["leader"] else "",
        )
        for found in answer.body["members"]
    ]
    output.show(as_json, answer.body, HEADERS, rows)


@member.command(epilog=output.EXIT_CODES_HELP)
@click.argument(
    "action", type=click.Choice([one.value for one in requests.MemberAction])
)
@click.argument("name")
@click.option("--incarnation", default="", help="Which data folder.")
@options.hosts
def change(
    action: str,
    name: str,
    incarnation: str,
    hosts: tuple[peers.Endpoint, ...],
) -> None:
    """Adds, promotes or removes control host NAME; the leader is found.

    Example: tamarack member change remove control-b
    """
    body = {"action": action, "host": name, "incarnation": incarnation}
    detail = "no host given"
    for endpoint in hosts:
        answer = client.ask([endpoint], "POST", PATH, body)
        if isinstance(answer, failure.Failure):
            detail = answer.detail
            continue
        if answer.body.get("type") == "member-change-started":
            click.echo("started; see tamarack member list")
            return
        detail = str(answer.body.get("detail"))
        if answer.body.get("reason") != "not-leader":
            output.fail(output.EXIT_REFUSED, detail)
    output.fail(output.EXIT_NO_HOST, detail)
