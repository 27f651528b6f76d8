"""Commands that other packages add to `tamarack` by entry points."""

import importlib.metadata

import click

COMMANDS_GROUP = "tamarack.commands"


class ExtensibleGroup(click.Group):
    """Command group that loads the commands of other packages on first use.

    Loading them eagerly would delay every operator command by the import of
    plotting and other libraries that only the lab needs.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands."""
        return sorted({*super().list_commands(ctx), *_entry_points()})

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Returns a command by name, or None."""
        own = super().get_command(ctx, cmd_name)
        if own is not None:
            return own
        entry_point = _entry_points().get(cmd_name)
        if entry_point is None:
            return None
        loaded: click.Command = entry_point.load()
        return loaded


def _entry_points() -> dict[str, importlib.metadata.EntryPoint]:
    """Returns the entry points of the added commands by name."""
    entry_points = importlib.metadata.entry_points(group=COMMANDS_GROUP)
    return {entry_point.name: entry_point for entry_point in entry_points}
