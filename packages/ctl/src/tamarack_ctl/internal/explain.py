"""Command `tamarack explain flow`."""

import ipaddress
import json
import sys
from typing import Any
import urllib.parse

import click
import msgspec
import tabulate

from tamarack_core import failure
from tamarack_core import flow_explanations
from tamarack_core import peers
from tamarack_ctl.internal import client
from tamarack_ctl.internal import options
from tamarack_ctl.internal import output

EXIT_TOO_OLD = 6
"""Exit status if a host does not know the call."""

EXIT_CODES_HELP = """\b
Exit codes:
  0  explained, also if the flow would be refused or dropped
  1  a host has no route for the address and port, or no role for flows
  2  wrong usage, such as a malformed address
  4  a host did not respond, or does not explain now
  6  a host does not know the call: it is older, or it is run by tamarackd
"""

RULE_HEADERS = ("rule", "verdict", "detail")
TARGET_HEADERS = (
    "target",
    "domain",
    "states",
    "slots",
    "flows",
    "requests",
    "load",
    "chosen",
)
NO_ROUTE = "no-route"


class AddressType(click.ParamType[str]):
    """Parameter type for an IPv4 address."""

    name = "address"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> str:
        """Returns the address if it is valid."""
        try:
            return str(ipaddress.IPv4Address(value))
        except ValueError:
            self.fail(f"{value!r} is not an IPv4 address", param, ctx)


class CallerType(click.ParamType[peers.Endpoint]):
    """Parameter type for `100.66.0.4:1041`, or an address alone."""

    name = "address[:port]"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> peers.Endpoint:
        """Returns the endpoint that an argument names; port 1 by default."""
        if isinstance(value, peers.Endpoint):
            return value
        address, _, port = str(value).partition(":")
        address = AddressType().convert(address, param, ctx)
        port = port or "1"
        if not port.isdecimal() or not 1 <= int(port) <= peers.MAX_PORT:
            self.fail(f"{value!r} has no port of 1 to 65535", param, ctx)
        return peers.Endpoint(address, int(port))


@click.group()
def explain() -> None:
    """Explains decisions of hosts, without an effect."""


@explain.command(epilog=EXIT_CODES_HELP)
@options.hosts
@options.as_json
@click.option(
    "--address",
    required=True,
    type=AddressType(),
    help="Service address that the caller connects to.",
)
@click.option(
    "--port",
    required=True,
    type=click.IntRange(1, peers.MAX_PORT),
    help="Port that the caller connects to.",
)
@click.option(
    "--from",
    "caller",
    type=CallerType(),
    default="0.0.0.0:1",
    help="Address and port of the caller. Where several services share a route,"
    " they decide on the service.",
)
@click.option(
    "--copy",
    "copy_number",
    type=click.IntRange(0, 9),
    default=0,
    help="How often the caller has sent its opening packet before.",
)
@click.option(
    "--domain", default="", help="Only entry hosts of this failure domain."
)
def flow(
    hosts: tuple[peers.Endpoint, ...],
    as_json: bool,
    address: str,
    port: int,
    caller: peers.Endpoint,
    copy_number: int,
    domain: str,
) -> None:
    """Shows where a request would go now, and why, without sending it.

    Name the entry hosts by their internal address and the port of their
    metrics.

    Example: tamarack explain flow --address 198.18.0.3 --port 8080
    --from 100.66.0.4:1041 --host 10.0.0.9:9464
    """
    query = urllib.parse.urlencode(
        {
            "address": address,
            "port": port,
            "from": f"{caller.address}:{caller.port}",
            "copy": copy_number,
        }
    )
    found = []
    exit_code = output.EXIT_OK
    for endpoint in hosts:
        result = _decode(
            endpoint, client.read(endpoint, f"/v1/explain?{query}")
        )
        if isinstance(result, Problem):
            click.echo(f"tamarack: {result.detail}", err=True)
            exit_code = max(exit_code, result.exit_code)
        elif domain in ("", result.domain):
            found.append(result)
    if as_json:
        click.echo(json.dumps(msgspec.to_builtins(found), indent=2))
    elif found:
        click.echo("\n\n".join(map(_render, found)))
    if not found and exit_code == output.EXIT_OK:
        output.fail(
            output.EXIT_NO_HOST, f"no entry host of {domain} among those named"
        )
    lacking = [result.host for result in found if result.reason == NO_ROUTE]
    if lacking:
        click.echo(
            f"tamarack: no route for {address}:{port} at {' '.join(lacking)}",
            err=True,
        )
        exit_code = max(exit_code, output.EXIT_REFUSED)
    sys.exit(exit_code)


class Problem:
    """Why a host gave no explanation.

    Attributes:
        exit_code: Exit status of the command.
        detail: Message for the operator.
    """

    __slots__ = ("detail", "exit_code")

    def __init__(self, exit_code: int, detail: str) -> None:
        """Initializes the problem."""
        self.exit_code = exit_code
        self.detail = detail


def _decode(
    endpoint: peers.Endpoint, response: client.Response | failure.Failure
) -> flow_explanations.FlowExplanation | Problem:
    """Returns the explanation of a host, or why there is none."""
    if isinstance(response, failure.Failure):
        return Problem(output.EXIT_NO_HOST, response.detail)
    where = f"{endpoint.address}:{endpoint.port}"
    if response.status == 404:
        return Problem(
            EXIT_TOO_OLD,
            f"{where}: the host does not know /v1/explain; it is of an earlier"
            " release, or run by tamarackd, or this is not the port of its"
            " metrics",
        )
    body = response.body if isinstance(response.body, dict) else {}
    if response.status != 200:
        text = " ".join(
            str(body[name]) for name in ("reason", "detail") if body.get(name)
        )
        is_busy = response.status >= 500
        return Problem(
            output.EXIT_NO_HOST if is_busy else output.EXIT_REFUSED,
            f"{where}: status {response.status} {text}".rstrip(),
        )
    try:
        return msgspec.convert(body, flow_explanations.FlowExplanation)
    except msgspec.ValidationError as error:
        return Problem(
            EXIT_TOO_OLD, f"{where}: the host is of another release: {error}"
        )


def _render(result: flow_explanations.FlowExplanation) -> str:
    """Returns an explanation as text."""
    outcome = f"{result.outcome}: {result.target or result.reason}"
    if result.outcome is flow_explanations.Outcome.DROPPED:
        outcome += " (the caller gets no reply and sends its opening again)"
    lines = [
        f"{result.flow} at {result.host} (domain {result.domain})",
        outcome,
        f"document {result.document}{_ages(result)}"
        f"; evacuated domains: {' '.join(result.evacuated_domains) or 'none'}",
    ]
    if result.route is not None:
        shares = ", ".join(
            f"{share.service} {share.weight}" for share in result.route.shares
        )
        lines.append(
            f"route: {shares}; {result.route.kind}, timeout"
            f" {result.route.timeout_s:g} s; service {result.service}"
        )
    if result.known_at:
        lines.append(f"this host knows the flow; it is at {result.known_at}")
    if result.is_stopping:
        lines.append("the host is stopping; the fabric uses other hosts")
    rules = [(rule.rule, rule.verdict, rule.detail) for rule in result.rules]
    lines += ["", tabulate.tabulate(rules, headers=RULE_HEADERS)]
    if result.targets:
        rows = [_target_row(result, target) for target in result.targets]
        lines += ["", tabulate.tabulate(rows, headers=TARGET_HEADERS)]
    return "\n".join(lines)


def _ages(result: flow_explanations.FlowExplanation) -> str:
    """Returns the ages of the document and of the last update."""
    if result.document_age_s is None or result.update_age_s is None:
        return ""
    return (
        f", in force for {result.document_age_s:.1f} s, last update"
        f" {result.update_age_s:.1f} s ago"
    )


def _target_row(
    result: flow_explanations.FlowExplanation,
    target: flow_explanations.TargetReport,
) -> tuple[object, ...]:
    """Returns the table row of a target."""
    return (
        target.name,
        target.domain,
        " ".join(target.states),
        target.slots,
        target.flows,
        target.requests,
        target.load,
        "yes" if target.name == result.target else "",
    )
