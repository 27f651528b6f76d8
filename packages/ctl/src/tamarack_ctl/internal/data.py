"""Command group `tamarack data`, which reads data folders.

The commands never write to a data folder.
"""

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
    """Shows the contents of a data folder and whether it is damaged.

    Example: tamarack data inspect /var/lib/tamarackford
    """
    identity = identity_lib.decode(_read(folder / IDENTITY_NAME))
    if isinstance(identity, failure.Failure):
        output.fail(output.EXIT_REFUSED, f"{IDENTITY_NAME}: {identity.detail}")
    path, contents = _contents(folder)
    summary = _summary(path, contents)
    rows = [
        ("host", identity.host),
        ("incarnation", identity.incarnation),
        ("log file", path.name),
        ("snapshot bytes", len(contents.snapshot or b"")),
        ("records", len(contents.records)),
        ("torn bytes", contents.torn_bytes),
        ("term", summary.term),
        ("committed entry", summary.commit_index),
        ("last entry", summary.last_index),
        ("members", " ".join(summary.members)),
        ("configuration version", summary.numbered.version),
        ("services", len(summary.numbered.configuration.services)),
        ("patches in the log", summary.patches),
        ("patch ids kept", summary.patch_ids),
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
    summary = _summary(path, contents)
    encoded = msgspec.json.format(msgspec.json.encode(summary.numbered))
    file.write(encoded + b"\n")
    click.echo(f"version {summary.numbered.version}", err=True)


def _read(path: pathlib.Path) -> bytes:
    """Returns the contents of a file; exits with an error without it."""
    try:
        return path.read_bytes()
    except OSError as error:
        output.fail(output.EXIT_REFUSED, f"{path}: {error.strerror}")


def _contents(folder: pathlib.Path) -> tuple[pathlib.Path, frames.Contents]:
    """Returns the path and the decoded contents of the newest log file.

    Exits with an error if there is no log file or it is damaged.
    """
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
    """Returns a summary of the state in a log file.

    Exits with an error if the state can't be decoded.
    """
    summary = summaries.summarize(contents)
    if isinstance(summary, failure.Failure):
        output.fail(output.EXIT_REFUSED, f"{path}: {summary.detail}")
    return summary
