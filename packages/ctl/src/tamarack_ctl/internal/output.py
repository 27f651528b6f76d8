"""Output as a table or as JSON, and exit codes."""

from collections.abc import Sequence
import json
import sys
from typing import Any
from typing import NoReturn

import click
import tabulate

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_NO_HOST = 4
EXIT_UNKNOWN = 5

EXIT_CODES_HELP = """\b
Exit codes:
  0  done
  1  refused or invalid; nothing changed
  2  wrong usage
  3  conflict with another patch; nothing changed
  4  a host did not respond, or there is no quorum; nothing changed
  5  unknown; send the patch again with --id and --resend
"""


def show(
    as_json: bool,
    document: Any,
    headers: Sequence[str],
    rows: Sequence[Sequence[object]],
) -> None:
    """Prints a document as JSON, or its rows as a table.

    Args:
        as_json: Whether to print JSON.
        document: Value to print as JSON.
        headers: Column headers of the table.
        rows: Rows of the table.
    """
    if as_json:
        click.echo(json.dumps(document, indent=2))
        return
    click.echo(tabulate.tabulate(rows, headers=headers))


def fail(exit_code: int, reason: str) -> NoReturn:
    """Prints an error message to standard error and ends the process.

    Args:
        exit_code: Exit status, one of the constants of this module.
        reason: Message for the operator.
    """
    click.echo(f"tamarack: {reason}", err=True)
    sys.exit(exit_code)
