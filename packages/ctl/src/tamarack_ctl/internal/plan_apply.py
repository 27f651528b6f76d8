"""Commands `tamarack plan` and `tamarack apply`."""

import json
import pathlib
import sys
from typing import Any

import click
import msgspec

from tamarack_core import configuration
from tamarack_core import declarations
from tamarack_core import failure
from tamarack_core import peers
from tamarack_ctl.internal import client
from tamarack_ctl.internal import options
from tamarack_ctl.internal import output
from tamarack_ctl.internal import patches

PATTERN = "*.json"

_folder = click.argument(
    "folder",
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
)


@click.command(epilog=output.EXIT_CODES_HELP)
@_folder
@options.hosts
@options.as_json
def plan(
    folder: pathlib.Path, hosts: tuple[peers.Endpoint, ...], as_json: bool
) -> None:
    """Shows the operations that `apply` would submit.

    FOLDER holds one file NAME.json for each service.

    Example: tamarack plan services/
    """
    numbered = read_configuration(hosts)
    planned = _plan(folder, numbered)
    _show_plan(as_json, numbered.version, planned)


@click.command(epilog=output.EXIT_CODES_HELP)
@_folder
@click.option("--author", required=True, help="Author of the patch.")
@click.option(
    "--note", default="", help="Reason for the change, in one sentence."
)
@options.hosts
@options.as_json
def apply(
    folder: pathlib.Path,
    author: str,
    note: str,
    hosts: tuple[peers.Endpoint, ...],
    as_json: bool,
) -> None:
    """Makes the configuration match the files in FOLDER.

    Services without a file are removed. A second run changes nothing.

    Example: tamarack apply services/ --author ada --note "more targets"
    """
    numbered = read_configuration(hosts)
    planned = _plan(folder, numbered)
    batches = declarations.split_into_patches(planned)
    if not batches:
        _show_plan(as_json, numbered.version, planned)
    for number, batch in enumerate(batches):
        body = _patch_body(numbered.version + number, batch, author, note)
        exit_code = patches.submit(hosts, body, as_json)
        if exit_code != output.EXIT_OK:
            if number:
                click.echo(
                    f"tamarack: {number} of {len(batches)} patches were"
                    " accepted; run apply again",
                    err=True,
                )
            sys.exit(exit_code)


def read_configuration(
    hosts: tuple[peers.Endpoint, ...],
) -> configuration.VersionedConfiguration:
    """Returns the newest configuration.

    Exits with an error if no host returns one.
    """
    response = client.request(hosts, "GET", "/v1/configuration")
    numbered = decode_configuration(response)
    if isinstance(numbered, failure.Failure):
        output.fail(output.EXIT_NO_HOST, numbered.detail)
    return numbered


def decode_configuration(
    response: client.Response | failure.Failure,
) -> configuration.VersionedConfiguration | failure.Failure:
    """Returns the configuration in a response, or why there is none.

    Args:
        response: Response of a host, or why there is none.
    """
    if isinstance(response, failure.Failure):
        return response
    if "numbered" not in response.body:
        detail = str(response.body.get("detail"))
        return failure.Failure("no-configuration", detail)
    return msgspec.convert(
        response.body["numbered"], configuration.VersionedConfiguration
    )


def _plan(
    folder: pathlib.Path, numbered: configuration.VersionedConfiguration
) -> list[declarations.Operation]:
    """Returns the operations that bring the configuration to a folder's state.

    Exits with an error if the folder holds no services or an invalid one.
    """
    services: dict[str, object] = {}
    for path in sorted(folder.glob(PATTERN)):
        try:
            services[path.stem] = json.loads(path.read_bytes())
        except (OSError, ValueError) as error:
            output.fail(output.EXIT_REFUSED, f"{path}: {error}")
    if not services:
        output.fail(
            output.EXIT_REFUSED,
            f"{folder} holds no {PATTERN} file; to remove all services, use"
            " tamarack patch",
        )
    declared = declarations.check(services)
    if isinstance(declared, failure.Failure):
        output.fail(
            output.EXIT_REFUSED, f"{folder}{declared.path}: {declared.detail}"
        )
    return declarations.plan(numbered.configuration, declared)


def _patch_body(
    base_version: int,
    batch: list[declarations.Operation],
    author: str,
    note: str,
) -> dict[str, Any]:
    """Returns a patch whose id is derived from its content.

    A repeated submission of the same patch therefore has the same id.
    """
    body = {
        "base_version": base_version,
        "operations": msgspec.to_builtins(
            msgspec.json.decode(msgspec.json.encode(batch))
        ),
        "author": author,
        "note": note,
    }
    return {"patch_id": patches.derive_id(body), **body}


def _show_plan(
    as_json: bool, version: int, planned: list[declarations.Operation]
) -> None:
    """Prints the planned operations."""
    encoded = msgspec.json.decode(msgspec.json.encode(planned))
    if not planned and not as_json:
        click.echo(f"nothing to change on top of version {version}")
        return
    output.show(
        as_json,
        {"base_version": version, "operations": encoded},
        ("operation", "path"),
        [(operation.op, operation.path) for operation in planned],
    )
