"""Commands `tamarack data`, which read a data folder without changing it."""

import pathlib
from typing import BinaryIO

import click
import msgspec

from tamarack_core import failure
from tamarack_core.storage import frames
from tamarack_core.storage import identity as identity_lib
from tamarack_core.storage import summary as summaries
from tamarack_ctl.internal import output

IDENTITY_NAME = "identity"
LOG_PATTERN = "log-" + "[0-9]" * 12

_folder = click.argument(
    "folder",
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
)


@click.group()
def data() -> None:
    """Reads the data folder of a control host."""


@data.command(epilog=output.EXIT_CODES_HELP)
@_folder
def inspect(folder: pathlib.Path) -> None:
    """Says what a data folder holds and whether it is damaged.

    Example: tamarack data inspect /var/lib/tamarackford
    """
    identity = identity_lib.decode(_read(folder / IDENTITY_NAME))
    if isinstance(identity, failure.Failure):
        output.fail(output.EXIT_REFUSED, f"{IDENTITY_NAME}: {identity.detail}")
    path, contents = _contents(folder)
    found = _summary(path, contents)
    rows = [
        ("host", identity.host),
        ("incarnation", identity.incarnation),
        ("log file", path.name),
        ("snapshot bytes", len(contents.snapshot or b"")),
        ("records", len(contents.records)),
        ("torn bytes", contents.torn_bytes),
        ("term", found.term),
        ("committed entry", found.commit_index),
        ("last entry", found.last_index),
        ("members", " ".join(found.members)),
        ("configuration version", found.numbered.version),
        ("services", len(found.numbered.configuration.services)),
        ("patches in the log", found.patches),
        ("patch ids kept", found.patch_ids),
    ]
    output.show(False, {}, (), rows)


@data.command(epilog=output.EXIT_CODES_HELP)
@_folder
@click.argument("file", type=click.File("wb"))
def export(folder: pathlib.Path, file: BinaryIO) -> None:
    """Writes the newest configuration in a data folder to FILE as JSON.

    Example: tamarack data export /var/lib/tamarackford configuration.json
    """
    path, contents = _contents(folder)
    found = _summary(path, contents)
    encoded = msgspec.json.format(msgspec.json.encode(found.numbered))
    file.write(encoded + b"\n")
    click.echo(f"version {found.numbered.version}", err=True)


def _read(path: pathlib.Path) -> bytes:
    """Returns the contents of a file; ends the process without it."""
    try:
        return path.read_bytes()
    except OSError as error:
        output.fail(output.EXIT_REFUSED, f"{path}: {error.strerror}")


def _contents(folder: pathlib.Path) -> tuple[pathlib.Path, frames.Contents]:
    """Returns the newest log file and what it holds."""
    paths = sorted(folder.glob(LOG_PATTERN))
    if not paths:
        output.fail(output.EXIT_REFUSED, f"{folder} holds no log file")
    contents = frames.decode(_read(paths[-1]))
    if isinstance(contents, failure.Failure):
        output.fail(
            output.EXIT_REFUSED,
            f"{paths[-1]}: {contents.reason}: {contents.detail}",
        )
    return paths[-1], contents


def _summary(
    path: pathlib.Path, contents: frames.Contents
) -> summaries.Summary:
    """Returns the state in a log file; ends the process without it."""
    found = summaries.summarize(contents)
    if isinstance(found, failure.Failure):
        output.fail(output.EXIT_REFUSED, f"{path}: {found.detail}")
    return found
