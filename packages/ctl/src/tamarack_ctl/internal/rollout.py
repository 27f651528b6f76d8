"""Command `tamarack rollout`."""

import collections
from typing import Any

import click

from tamarack_core import failure
from tamarack_core import peers
from tamarack_ctl.internal import client
from tamarack_ctl.internal import options
from tamarack_ctl.internal import output
from tamarack_ctl.internal import status

MAX_NAMES_SHOWN = 8
MS_PER_S = 1000
HEADERS = ("domain", "hosts", "newest", "in force since", "lagging")


@click.command(epilog=output.EXIT_CODES_HELP)
@options.hosts
@options.as_json
def rollout(hosts: tuple[peers.Endpoint, ...], as_json: bool) -> None:
    """Shows which version is in force in each failure domain, and who lags.

    Ask all control hosts and relays: each knows the hosts that ask it.

    Example: tamarack rollout --host 10.0.0.1:7001 --host 10.0.1.1:7001
    """
    answers = client.ask_all(hosts, "/v1/rollout")
    found = [
        answer.body for answer in answers if isinstance(answer, client.Answer)
    ]
    if not found:
        output.fail(output.EXIT_NO_HOST, "no host answers")
    newest = max(body["version"] for body in found)
    known = _merge(found)
    rows = [
        _row(domain, members, newest)
        for domain, members in sorted(known.items())
    ]
    document = {"version": newest, "domains": known}
    output.show(as_json, document, HEADERS, rows)
    for answer in answers:
        if isinstance(answer, failure.Failure):
            click.echo(f"tamarack: {answer.detail}", err=True)
    if len(found) < len(answers):
        output.fail(output.EXIT_NO_HOST, "the picture is not whole")


def _merge(found: list[Any]) -> dict[str, list[Any]]:
    """Returns the latest word of each host, by failure domain."""
    latest: dict[str, Any] = {}
    for body in found:
        for host in body["hosts"]:
            known = latest.get(host["host"])
            if known is None or host["age_ms"] < known["age_ms"]:
                latest[host["host"]] = host
    domains: dict[str, list[Any]] = collections.defaultdict(list)
    for _, host in sorted(latest.items()):
        domains[host["domain"]].append(host)
    return dict(domains)


def _row(domain: str, members: list[Any], newest: int) -> list[object]:
    """Returns the cells of one failure domain."""
    lagging = [
        f"{host['host']} has {host['version']}, heard"
        f" {host['age_ms'] // MS_PER_S} s ago"
        for host in members
        if host["version"] < newest
    ]
    current = [host for host in members if host["version"] >= newest]
    everywhere_ms = max((host["since_ms"] for host in current), default=0)
    shown = "; ".join(lagging[:MAX_NAMES_SHOWN])
    if len(lagging) > MAX_NAMES_SHOWN:
        shown += f"; and {len(lagging) - MAX_NAMES_SHOWN} more"
    return [
        domain,
        len(members),
        f"{newest} at {len(current)}",
        status.format_time(everywhere_ms),
        shown or "none",
    ]
