"""Settings files of the stand-ins."""

from collections.abc import Iterator
import contextlib
import pathlib
from typing import TypeVar

import click
import msgspec

T = TypeVar("T")


def load(path: pathlib.Path, settings_type: type[T]) -> T:
    """Returns the settings in a JSON file.

    Args:
        path: Path of the file.
        settings_type: Type of the settings; it decides whether unknown fields
            are errors.

    Raises:
        click.ClickException: The file can't be read or a value is invalid.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=settings_type)
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise click.ClickException(f"{path}: {error}") from error


@contextlib.contextmanager
def report_value_errors() -> Iterator[None]:
    """Converts a ValueError in the body to a one-line error for the user.

    Raises:
        click.ClickException: The body raised ValueError.
    """
    try:
        yield
    except ValueError as error:
        raise click.ClickException(str(error)) from error
