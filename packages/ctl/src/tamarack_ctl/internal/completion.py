"""Command `tamarack completion`."""

import click
from click import shell_completion

from tamarack_ctl.internal import output

PROGRAM = "tamarack"
VARIABLE = "_TAMARACK_COMPLETE"


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Prints the completion script for a shell.

    Example: source <(tamarack completion bash)
    """
    kind = shell_completion.get_completion_class(shell)
    if kind is None:
        output.fail(
            output.EXIT_USAGE, f"no completion available for shell {shell}"
        )
    root = context.find_root().command
    click.echo(kind(root, {}, PROGRAM, VARIABLE).source())
