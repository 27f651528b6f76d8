"""Settings files of the stand-ins."""

from collections.abc import Iterator
import contextlib
import pathlib
from typing import TypeVar

import click
import msgspec

T = TypeVar("T")


def load(path: pathlib.Path, form: type[T]) -> T:
    """Returns the settings in a JSON file.

    Args:
        path: The file.
        form: Type of the settings; unknown fields are refused by the type.

    Raises:
        click.ClickException: The file can't be read or has a bad value.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=form)
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise click.ClickException(f"{path}: {error}") from error


@contextlib.contextmanager
def problems_shown() -> Iterator[None]:
    """Turns a bad value into one line for the user.

    Raises:
        click.ClickException: The body raised ValueError.
    """
    try:
        yield
    except ValueError as error:
        raise click.ClickException(str(error)) from error
