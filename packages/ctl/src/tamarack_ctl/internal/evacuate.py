"""Command group `tamarack evacuate`."""

from collections.abc import Callable
from collections.abc import Iterable
import sys
from typing import Any

import click

from tamarack_core import configuration
from tamarack_core import evacuations
from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import requests
from tamarack_ctl.internal import client
from tamarack_ctl.internal import evacuation_estimate
from tamarack_ctl.internal import options
from tamarack_ctl.internal import output
from tamarack_ctl.internal import patches
from tamarack_ctl.internal import plan_apply
from tamarack_ctl.internal import traffic

MAX_ATTEMPTS = 8
"""Patches that are sent while other operators change the configuration. At 0.8
changes a second and 0.1 s an attempt, a conflict is rare."""

MAX_NAMES_SHOWN = 8

PATH = "/evacuated_domains"

CONTROL_ROLE = "control"
ENTRY_ROLE = "entry"

ORDER_HEADERS = ("verdict", "version", "patch id", "evacuated", "reason")
ESTIMATE_HEADERS = (
    "service",
    "slots",
    "moving",
    "left",
    "load",
    "moving",
    "carried",
)
STATUS_HEADERS = (
    "domain",
    "state",
    "version",
    "in force at",
    "lagging",
    "slots",
    "active units",
    "open flows",
)

EXIT_CODES_HELP = """\b
Exit codes:
  0  done
  1  refused or invalid; nothing changed. With --dry-run: the targets that are
     left can't carry the load
  2  wrong usage
  3  conflict with other patches; nothing changed
  4  a host did not respond, or there is no quorum; nothing changed
  5  unknown; run the command again
"""

_Command = Callable[..., None]


def _order_options(command: _Command) -> _Command:
    """Adds the options that `start` and `end` share."""
    added = (
        click.argument("domain"),
        click.option(
            "--dry-run",
            "is_dry_run",
            is_flag=True,
            help="Show what would move, and whether the rest can carry it."
            " Name an entry host of each failure domain.",
        ),
        click.option("--author", default="", help="Author of the order."),
        click.option(
            "--note", default="", help="Reason for the order, in one sentence."
        ),
        options.hosts,
        options.as_json,
    )
    for add in reversed(added):
        command = add(command)
    return command


@click.group()
def evacuate() -> None:
    """Takes the targets of a failure domain out of service and back."""


@evacuate.command(epilog=EXIT_CODES_HELP)
@click.option(
    "--unknown-domain",
    "allows_unknown",
    is_flag=True,
    help="Accept a domain that no host that responds knows.",
)
@_order_options
def start(
    domain: str,
    is_dry_run: bool,
    author: str,
    note: str,
    hosts: tuple[peers.Endpoint, ...],
    as_json: bool,
    allows_unknown: bool,
) -> None:
    """Gives no new connections to the targets of DOMAIN.

    Open connections stay. Running the command again is safe.

    Example: tamarack evacuate start a --dry-run

    Example: tamarack evacuate start a --author ada --note "power work"
    """
    order = evacuations.Order(domain, evacuations.Action.START)
    if is_dry_run:
        _estimate(order, hosts, as_json)
        return
    _submit(order, author, note, hosts, as_json, allows_unknown)


@evacuate.command(epilog=EXIT_CODES_HELP)
@_order_options
def end(
    domain: str,
    is_dry_run: bool,
    author: str,
    note: str,
    hosts: tuple[peers.Endpoint, ...],
    as_json: bool,
) -> None:
    """Returns the targets of DOMAIN to service.

    Running the command again is safe.

    Example: tamarack evacuate end a --author ada --note "power is back"
    """
    order = evacuations.Order(domain, evacuations.Action.END)
    if is_dry_run:
        _estimate(order, hosts, as_json)
        return
    _submit(order, author, note, hosts, as_json, True)


@evacuate.command(epilog=output.EXIT_CODES_HELP)
@click.argument("domain", default="")
@options.hosts
@options.as_json
def status(
    domain: str, hosts: tuple[peers.Endpoint, ...], as_json: bool
) -> None:
    """Shows where evacuations are in force and what still runs there.

    It shows all evacuated domains, or DOMAIN alone. Name all hosts: open flows
    are summed over the entry hosts named.

    Example: tamarack evacuate status a
    """
    statuses, missing = _read_statuses(hosts)
    newest = _newest(statuses)
    evacuated = newest.get("evacuated_domains", ())
    names = [domain] if domain else sorted(evacuated)
    views = _read_targets(hosts)
    rows = [_status_row(name, newest, statuses, views) for name in names]
    keys = [header.replace(" ", "_") for header in STATUS_HEADERS]
    document = [dict(zip(keys, row, strict=True)) for row in rows]
    output.show(as_json, document, STATUS_HEADERS, rows)
    _fail_if_incomplete(missing)


def _submit(
    order: evacuations.Order,
    author: str,
    note: str,
    hosts: tuple[peers.Endpoint, ...],
    as_json: bool,
    allows_unknown: bool,
) -> None:
    """Sends the patch of an order and exits with the code of its verdict."""
    if not author:
        raise click.UsageError("name the author with --author")
    for _ in range(MAX_ATTEMPTS):
        controls, numbered = _read_newest(hosts)
        if not allows_unknown:
            _check_known(order.domain, hosts, numbered)
        body = _patch_body(order, numbered, author, note)
        response = patches.send(controls, body)
        if isinstance(response, failure.Failure):
            output.fail(
                output.EXIT_UNKNOWN,
                f"{response.detail}; unknown whether the order is accepted: run"
                " the command again",
            )
        verdict = response.body
        state = verdict.get("state", "refused")
        if state != requests.PatchState.CONFLICT:
            break
    row = [
        state,
        verdict.get("version", ""),
        body["patch_id"],
        " ".join(body["operations"][0]["value"]) or "none",
        verdict.get("reason", "") or verdict.get("detail", ""),
    ]
    output.show(as_json, verdict, ORDER_HEADERS, [row])
    sys.exit(patches.EXIT_CODES.get(state, output.EXIT_REFUSED))


def _read_newest(
    hosts: tuple[peers.Endpoint, ...],
) -> tuple[tuple[peers.Endpoint, ...], configuration.VersionedConfiguration]:
    """Returns the hosts to send to, and the newest configuration.

    Hosts without the control role are skipped, as the version in force there
    may be older. Exits with an error if no control host confirms the newest
    version.
    """
    errors = []
    for position, endpoint in enumerate(hosts):
        response = client.request([endpoint], "GET", "/v1/status")
        if isinstance(response, failure.Failure):
            errors.append(response.detail)
        elif CONTROL_ROLE in response.body.get("roles", ()):
            read = client.request([endpoint], "GET", "/v1/configuration")
            numbered = plan_apply.decode_configuration(read)
            if not isinstance(numbered, failure.Failure):
                return hosts[position:], numbered
            errors.append(numbered.detail)
    detail = "; ".join(errors) or "none of the hosts named is a control host"
    output.fail(output.EXIT_NO_HOST, f"{detail}; nothing changed")


def _patch_body(
    order: evacuations.Order,
    numbered: configuration.VersionedConfiguration,
    author: str,
    note: str,
) -> dict[str, Any]:
    """Returns the patch of an order on top of the newest version.

    The patch is sent even if it changes nothing: the new version makes an
    earlier order without a verdict stale, so that it can't take effect later.
    An earlier run may have sent the same patch, so that a host must not respond
    that it isn't accepted only because it doesn't know of it.
    """
    state = evacuations.Evacuations(
        numbered.version, numbered.configuration.evacuated_domains
    )
    domains = evacuations.apply(state, order).domains
    body = {
        "base_version": numbered.version,
        "operations": [{"op": "add", "path": PATH, "value": list(domains)}],
        "author": author,
        "note": note,
    }
    return {"patch_id": patches.derive_id(body), **body, "is_resend": True}


def _check_known(
    domain: str,
    hosts: tuple[peers.Endpoint, ...],
    numbered: configuration.VersionedConfiguration,
) -> None:
    """Exits with an error if nothing that responds knows a failure domain.

    The configuration doesn't list the failure domains, and a mistyped name
    would have no effect at all.
    """
    services = numbered.configuration.services.values()
    known = set(numbered.configuration.evacuated_domains).union(
        *(service.failure_domains for service in services)
    )
    for endpoint in hosts:
        # Each host that does not respond costs seconds.
        if domain in known:
            return
        known |= _domains_known_at(endpoint)
    if domain not in known:
        output.fail(
            output.EXIT_REFUSED,
            f"unknown domain {domain!r}; known: {' '.join(sorted(known))}. To"
            " evacuate it anyway, use --unknown-domain",
        )


def _domains_known_at(endpoint: peers.Endpoint) -> set[str]:
    """Returns the failure domains of a host and of those that it knows."""
    own = _bodies([client.request([endpoint], "GET", "/v1/status")])
    if not own:
        return set()
    known = {own[0]["domain"]}
    for path, key in (
        ("/v1/rollout", "hosts"),
        ("/v1/members", "members"),
        ("/v1/targets", "targets"),
    ):
        for body in _bodies([client.request([endpoint], "GET", path)]):
            known.update(entry["domain"] for entry in body[key])
    return known


def _estimate(
    order: evacuations.Order,
    hosts: tuple[peers.Endpoint, ...],
    as_json: bool,
) -> None:
    """Prints what an order would move; exits with an error if too much."""
    statuses, missing = _read_statuses(hosts)
    newest = _newest(statuses)
    before = tuple(newest.get("evacuated_domains", ()))
    state = evacuations.Evacuations(newest["version"], before)
    after = evacuations.apply(state, order).domains
    services = evacuation_estimate.estimate(_read_targets(hosts), before, after)
    document = {
        "version": newest["version"],
        "evacuated_before": before,
        "evacuated_after": after,
        "services": [service.document() for service in services],
    }
    output.show(
        as_json,
        document,
        ESTIMATE_HEADERS,
        [_estimate_row(service.document()) for service in services],
    )
    if not any(
        body["domain"] == order.domain and ENTRY_ROLE in body["roles"]
        for body in statuses
    ):
        missing.append(f"no entry host of {order.domain} among those named")
    is_start = order.action is evacuations.Action.START
    excess = [service for service in services if not service.can_carry]
    if is_start:
        for service in excess:
            click.echo(f"tamarack: {_warning(service)}", err=True)
    _fail_if_incomplete(missing)
    if is_start and excess:
        sys.exit(output.EXIT_REFUSED)


def _warning(service: evacuation_estimate.ServiceEstimate) -> str:
    """Returns the warning about a service whose load can't be carried."""
    if not service.targets_left:
        return (
            f"{service.service}: no target is left; all its new connections"
            " would be refused at once (domain-evacuated)"
        )
    return (
        f"{service.service}: {service.load:g} work units are in flight, and"
        f" {service.slots_left} slots are left; the rest would be refused"
    )


def _estimate_row(service: dict[str, Any]) -> list[object]:
    """Returns the table row of the estimate for one service."""
    return [
        service["service"],
        service["slots"],
        f"{service['slots_moving']} ({service['share_of_slots']:.0%})",
        service["slots_left"],
        service["load"],
        f"{service['load_moving']} ({service['share_of_load']:.0%})",
        "yes" if service["can_carry"] else "no",
    ]


def _status_row(
    domain: str,
    newest: dict[str, Any],
    statuses: list[dict[str, Any]],
    views: list[dict[str, Any]],
) -> list[object]:
    """Returns the table row of one failure domain."""
    is_evacuated = domain in newest.get("evacuated_domains", ())
    lagging = [
        body["host"]
        for body in statuses
        if (domain in body.get("evacuated_domains", ())) != is_evacuated
    ]
    shown = " ".join(lagging[:MAX_NAMES_SHOWN])
    if len(lagging) > MAX_NAMES_SHOWN:
        shown += f" and {len(lagging) - MAX_NAMES_SHOWN} more"
    held = [view for view in views if view["domain"] == domain]
    return [
        domain,
        "evacuated" if is_evacuated else "in service",
        newest["version"],
        f"{len(statuses) - len(lagging)} of {len(statuses)}",
        shown or "none",
        sum(view["slots"] for view in held if not view["is_expired"]),
        round(sum(view["active"] for view in held), 2),
        sum(view["owned_flows"] for view in held),
    ]


def _bodies(
    responses: Iterable[client.Response | failure.Failure],
) -> list[dict[str, Any]]:
    """Returns the bodies of the successful responses."""
    return [
        response.body
        for response in responses
        if isinstance(response, client.Response) and response.status == 200
    ]


def _newest(statuses: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the status of a host with the newest version."""
    return max(statuses, key=lambda body: int(body["version"]))


def _read_statuses(
    hosts: tuple[peers.Endpoint, ...],
) -> tuple[list[dict[str, Any]], list[str]]:
    """Returns the status of each host, and the errors of the others.

    Exits with an error if no host responds.
    """
    responses = client.get_all(hosts, "/v1/status")
    statuses = _bodies(responses)
    missing = [
        response.detail
        for response in responses
        if isinstance(response, failure.Failure)
    ]
    if not statuses:
        output.fail(output.EXIT_NO_HOST, "; ".join(missing) or "no host")
    return statuses, missing


def _read_targets(
    hosts: tuple[peers.Endpoint, ...],
) -> list[dict[str, Any]]:
    """Returns the targets that the entry hosts know."""
    responses = client.get_all(hosts, "/v1/targets")
    return traffic.merge_targets(
        response
        for response in responses
        if isinstance(response, client.Response) and response.status == 200
    )


def _fail_if_incomplete(missing: list[str]) -> None:
    """Exits with an error if a result lacks hosts."""
    if missing:
        output.fail(
            output.EXIT_NO_HOST,
            f"the result is incomplete: {'; '.join(missing)}",
        )
