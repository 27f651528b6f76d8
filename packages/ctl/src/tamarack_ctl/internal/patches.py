"""Command `tamarack patch`."""

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
    help="Version that the patch was written against.",
)
@click.option("--id", "patch_id", help="Patch id; a resend repeats it.")
@click.option(
    "--resend",
    "is_resend",
    is_flag=True,
    help="The patch was sent before, and its verdict is not known.",
)
@click.option("--author", required=True, help="Who submits the patch.")
@click.option("--note", default="", help="Why, in a sentence.")
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
    """Submits a JSON patch (RFC 6902) against a numbered version.

    Example: tamarack patch --on 41 --author ada --note "drain" drain.json
    """
    try:
        operations = json.load(file)
    except ValueError as error:
        output.fail(output.EXIT_USAGE, f"the patch is not JSON: {error}")
    chosen = patch_id or secrets.token_hex(PATCH_ID_BYTES)
    body = {
        "patch_id": chosen,
        "base_version": base_version,
        "operations": operations,
        "author": author,
        "note": note,
        "is_resend": is_resend,
    }
    sys.exit(submit(hosts, body, as_json))


def submit(
    hosts: tuple[peers.Endpoint, ...], body: dict[str, Any], as_json: bool
) -> int:
    """Submits a patch and prints the verdict.

    Args:
        hosts: Endpoints to try.
        body: The patch.
        as_json: Whether to print JSON.

    Returns:
        The exit code for the verdict.
    """
    answer = _send(hosts, body)
    chosen = body["patch_id"]
    if isinstance(answer, failure.Failure):
        output.fail(
            output.EXIT_UNKNOWN,
            f"{answer.detail}; unknown whether the patch is accepted: "
            f"send it again with --id {chosen} --resend",
        )
    verdict = answer.body
    state = verdict.get("state", "refused")
    reason = verdict.get("reason", "") or verdict.get("detail", "")
    row = [state, verdict.get("version", ""), chosen, reason]
    output.show(
        as_json, verdict, ("verdict", "version", "patch id", "reason"), [row]
    )
    return EXIT_CODES.get(state, output.EXIT_REFUSED)


def _send(
    hosts: tuple[peers.Endpoint, ...], body: dict[str, Any]
) -> client.Answer | failure.Failure:
    """Sends a patch to the hosts in order until there is a verdict.

    A sending that got no answer may have been accepted, so that each later
    one says that it is a resend.
    """
    problems = []
    sent = dict(body)
    for endpoint in hosts:
        answer = client.ask([endpoint], "POST", "/v1/patches", sent)
        if isinstance(answer, failure.Failure):
            problems.append(answer.detail)
            sent["is_resend"] = True
            continue
        if answer.body.get("state") == requests.PatchState.UNKNOWN:
            problems.append(str(answer.body.get("reason")))
            sent["is_resend"] = True
            continue
        return answer
    return failure.Failure("no-verdict", "; ".join(problems))
