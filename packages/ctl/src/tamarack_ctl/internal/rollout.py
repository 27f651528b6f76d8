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
    """Shows how many hosts of each failure domain have the newest version.

    It also lists the hosts that lag behind.

    Name all control hosts and relays: each knows only the hosts that fetch the
    configuration from it.

    Example: tamarack rollout --host 10.0.0.1:7001 --host 10.0.1.1:7001
    """
    responses = client.get_all(hosts, "/v1/rollout")
    bodies = [
        response.body
        for response in responses
        if isinstance(response, client.Response)
    ]
    if not bodies:
        output.fail(output.EXIT_NO_HOST, "no host responds")
    newest = max(body["version"] for body in bodies)
    known = _merge(bodies)
    rows = [
        _row(domain, domain_hosts, newest)
        for domain, domain_hosts in sorted(known.items())
    ]
    document = {"version": newest, "domains": known}
    output.show(as_json, document, HEADERS, rows)
    for response in responses:
        if isinstance(response, failure.Failure):
            click.echo(f"tamarack: {response.detail}", err=True)
    if len(bodies) < len(responses):
        output.fail(
            output.EXIT_NO_HOST,
            "the result is incomplete: some hosts do not respond",
        )


def _merge(bodies: list[Any]) -> dict[str, list[Any]]:
    """Returns the most recent report on each host, by failure domain."""
    latest: dict[str, Any] = {}
    for body in bodies:
        for host in body["hosts"]:
            known = latest.get(host["host"])
            if known is None or host["age_ms"] < known["age_ms"]:
                latest[host["host"]] = host
    domains: dict[str, list[Any]] = collections.defaultdict(list)
    for _, host in sorted(latest.items()):
        domains[host["domain"]].append(host)
    return dict(domains)


def _row(domain: str, hosts: list[Any], newest: int) -> list[object]:
    """Returns the table row of one failure domain."""
    lagging = [
        f"{host['host']} has {host['version']}, reported"
        f" {host['age_ms'] // MS_PER_S} s ago"
        for host in hosts
        if host["version"] < newest
    ]
    current = [host for host in hosts if host["version"] >= newest]
    newest_since_ms = max((host["since_ms"] for host in current), default=0)
    shown = "; ".join(lagging[:MAX_NAMES_SHOWN])
    if len(lagging) > MAX_NAMES_SHOWN:
        shown += f"; and {len(lagging) - MAX_NAMES_SHOWN} more"
    return [
        domain,
        len(hosts),
        f"{newest} at {len(current)}",
        status.format_time(newest_since_ms),
        shown or "none",
    ]
