"""Command `tamarack patch`."""

import hashlib
import json
import secrets
import sys
from typing import Any

import click

from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import requests
from tamarack_ctl.internal import client
from tamarack_ctl.internal import options
from tamarack_ctl.internal import output

PATCH_ID_BYTES = 8
DERIVED_ID_CHARACTERS = 32

NOT_A_CONTROL_HOST = "not-a-control-host"
"""Reason of the refusal by a host that accepts no patches."""

EXIT_CODES = {
    requests.PatchState.ACCEPTED: output.EXIT_OK,
    requests.PatchState.CONFLICT: output.EXIT_CONFLICT,
    requests.PatchState.INVALID: output.EXIT_REFUSED,
    requests.PatchState.NO_QUORUM: output.EXIT_NO_HOST,
    requests.PatchState.UNKNOWN: output.EXIT_UNKNOWN,
}


@click.command(epilog=output.EXIT_CODES_HELP)
@click.argument("file", type=click.File("rb"))
@click.option(
    "--on",
    "base_version",
    type=int,
    required=True,
    help="Version that the patch is based on.",
)
@click.option(
    "--id", "patch_id", help="Patch id; use the same one for a resend."
)
@click.option(
    "--resend",
    "is_resend",
    is_flag=True,
    help="The patch was sent before, and its verdict is unknown.",
)
@click.option("--author", required=True, help="Author of the patch.")
@click.option(
    "--note", default="", help="Reason for the change, in one sentence."
)
@options.hosts
@options.as_json
def patch(
    file: Any,
    base_version: int,
    patch_id: str | None,
    is_resend: bool,
    author: str,
    note: str,
    hosts: tuple[peers.Endpoint, ...],
    as_json: bool,
) -> None:
    """Submits a JSON patch (RFC 6902) to a version of the configuration.

    Example: tamarack patch --on 41 --author ada --note "drain" drain.json
    """
    try:
        operations = json.load(file)
    except ValueError as error:
        output.fail(output.EXIT_USAGE, f"the patch is not JSON: {error}")
    submitted_id = patch_id or secrets.token_hex(PATCH_ID_BYTES)
    body = {
        "patch_id": submitted_id,
        "base_version": base_version,
        "operations": operations,
        "author": author,
        "note": note,
        "is_resend": is_resend,
    }
    sys.exit(submit(hosts, body, as_json))


def derive_id(body: dict[str, Any]) -> str:
    """Returns a patch id that depends on nothing but the content of a patch.

    A repeated submission of the same patch therefore has the same id.

    Args:
        body: The patch without an id.
    """
    digest = hashlib.sha256(json.dumps(body, sort_keys=True).encode())
    return digest.hexdigest()[:DERIVED_ID_CHARACTERS]


def submit(
    hosts: tuple[peers.Endpoint, ...], body: dict[str, Any], as_json: bool
) -> int:
    """Submits a patch and prints the verdict.

    Exits with an error if no host returns a verdict.

    Args:
        hosts: Endpoints to try.
        body: The patch.
        as_json: Whether to print JSON.

    Returns:
        The exit code for the verdict.
    """
    response = send(hosts, body)
    submitted_id = body["patch_id"]
    if isinstance(response, failure.Failure):
        output.fail(
            output.EXIT_UNKNOWN,
            f"{response.detail}; unknown whether the patch is accepted: "
            f"send it again with --id {submitted_id} --resend",
        )
    verdict = response.body
    state = verdict.get("state", "refused")
    reason = verdict.get("reason", "") or verdict.get("detail", "")
    row = [state, verdict.get("version", ""), submitted_id, reason]
    output.show(
        as_json, verdict, ("verdict", "version", "patch id", "reason"), [row]
    )
    return EXIT_CODES.get(state, output.EXIT_REFUSED)


def send(
    hosts: tuple[peers.Endpoint, ...], body: dict[str, Any]
) -> client.Response | failure.Failure:
    """Sends a patch to the hosts in order until one returns a verdict.

    A request without a response may have been accepted, so every later request
    is marked as a resend.

    Args:
        hosts: Endpoints to try.
        body: The patch.

    Returns:
        The response with the verdict or a refusal, also if none of the hosts is
        a control host; a failure with the error of
        each host if it is unknown whether the patch is accepted.
    """
    errors = []
    refused = None
    request = dict(body)
    for endpoint in hosts:
        response = client.request([endpoint], "POST", "/v1/patches", request)
        if isinstance(response, failure.Failure):
            errors.append(response.detail)
            request["is_resend"] = True
            continue
        if response.body.get("state") == requests.PatchState.UNKNOWN:
            errors.append(str(response.body.get("reason")))
            request["is_resend"] = True
            continue
        if response.body.get("reason") == NOT_A_CONTROL_HOST:
            refused = response
            continue
        return response
    if refused is not None and not errors:
        return refused
    return failure.Failure("no-verdict", "; ".join(errors))
