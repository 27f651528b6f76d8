"""Command `tamarack timeline`."""

from collections.abc import Iterable
import datetime
import pathlib

import click
import msgspec

from tamarack_core import failure
from tamarack_core import peers
from tamarack_core import timeline as timeline_lib
from tamarack_ctl.internal import client
from tamarack_ctl.internal import log_lines
from tamarack_ctl.internal import options
from tamarack_ctl.internal import output
from tamarack_ctl.internal import status

MS_PER_S = 1000
HEADERS = ("time (UTC)", "host", "event", "about", "reason", "detail")


class Filter:
    """Filter for the entries of the time line.

    Attributes:
        service: Only this service; empty for all.
        target: Only this target; empty for all.
        flow: Only flows whose text contains this; empty for all.
        version: Only this configuration version; 0 for all.
        name: Only events whose name contains this; empty for all.
    """

    __slots__ = ("flow", "name", "service", "target", "version")

    def __init__(
        self, service: str, target: str, flow: str, version: int, name: str
    ) -> None:
        """Initializes the filter."""
        self.service = service
        self.target = target
        self.flow = flow
        self.version = version
        self.name = name

    def matches(self, entry: timeline_lib.Entry) -> bool:
        """Returns whether an entry passes the filter."""
        return (
            self.service in ("", entry.service)
            and self.target in ("", entry.target)
            and self.flow in entry.flow
            and self.version in (0, entry.version)
            and self.name in entry.name
        )

    def texts(self) -> list[str]:
        """Returns the texts that the log line of each such entry contains."""
        texts = [self.service, self.target, self.flow, self.name]
        if self.version:
            texts.append(f"version={self.version}")
        return [text for text in texts if text]


def merge(
    parts: Iterable[list[timeline_lib.Entry]],
) -> list[timeline_lib.Entry]:
    """Returns the entries of several hosts in causal order.

    The stamps are hybrid logical clocks, so a cause sorts before its effects;
    equal stamps are ordered by host name.

    Args:
        parts: Entries of each host.
    """
    entries = [entry for part in parts for entry in part]
    return sorted(entries, key=lambda entry: (entry.stamp, entry.host))


@click.command(epilog=output.EXIT_CODES_HELP)
@options.optional_hosts
@options.as_json
@click.option("--service", default="", help="Only this service.")
@click.option("--target", default="", help="Only this target.")
@click.option("--flow", default="", help="Only flows whose text contains this.")
@click.option("--version", default=0, help="Only this configuration version.")
@click.option(
    "--event", "name", default="", help="Only events whose name contains this."
)
@click.option(
    "--since",
    type=click.DateTime(),
    help="Only entries at or after this time (UTC).",
)
@click.option(
    "--log",
    "logs",
    multiple=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="Read this log file, or all files in this folder, instead of querying"
    " hosts; may be repeated.",
)
def timeline(
    hosts: tuple[peers.Endpoint, ...],
    as_json: bool,
    service: str,
    target: str,
    flow: str,
    version: int,
    name: str,
    since: datetime.datetime | None,
    logs: tuple[pathlib.Path, ...],
) -> None:
    """Merges the time lines of the hosts named, or of log files.

    Example: tamarack timeline --service agenda --since 2026-12-01T22:00:00

    Example: tamarack timeline --log logs/ --flow 100.66.0.18:1042
    """
    if not hosts and not logs:
        raise click.UsageError("name hosts with --host, or files with --log")
    entry_filter = Filter(service, target, flow, version, name)
    since_ms = _since_ms(since)
    parts, missing = (
        _read(logs, entry_filter) if logs else _query(hosts, since_ms)
    )
    entries = [
        entry
        for entry in merge(parts)
        if entry.stamp.wall_ms >= since_ms and entry_filter.matches(entry)
    ]
    output.show(
        as_json,
        msgspec.to_builtins(entries),
        HEADERS,
        [_row(entry) for entry in entries],
    )
    if missing:
        output.fail(
            output.EXIT_NO_HOST,
            f"the time line is incomplete; hosts missing: {'; '.join(missing)}",
        )


def _query(
    hosts: tuple[peers.Endpoint, ...], since_ms: int
) -> tuple[list[list[timeline_lib.Entry]], list[str]]:
    """Queries live hosts.

    Returns:
        The entries of each host that responds, and the errors of the others.
    """
    responses = client.get_all(hosts, f"/v1/timeline?since_ms={since_ms}")
    parts = [
        msgspec.convert(response.body, list[timeline_lib.Entry])
        for response in responses
        if isinstance(response, client.Response)
    ]
    missing = [
        response.detail
        for response in responses
        if isinstance(response, failure.Failure)
    ]
    return parts, missing


def _log_files(logs: tuple[pathlib.Path, ...]) -> list[pathlib.Path]:
    """Returns the files named, and those in the folders named."""
    return [
        file
        for path in logs
        for file in (sorted(path.iterdir()) if path.is_dir() else [path])
        if file.is_file()
    ]


def _read(
    logs: tuple[pathlib.Path, ...], entry_filter: Filter
) -> tuple[list[list[timeline_lib.Entry]], list[str]]:
    """Returns the entries of log files and reports lines without an entry."""
    parts = []
    for path in _log_files(logs):
        with path.open(encoding="utf-8", errors="replace") as lines:
            entries, others = log_lines.read(lines, entry_filter.texts())
        parts.append(entries)
        if others:
            click.echo(f"{path}: {others} lines without an entry", err=True)
    return parts, []


def _since_ms(since: datetime.datetime | None) -> int:
    """Returns a UTC time in ms since the epoch; 0 if there is none."""
    if since is None:
        return 0
    return int(since.replace(tzinfo=datetime.UTC).timestamp() * MS_PER_S)


def _row(entry: timeline_lib.Entry) -> list[object]:
    """Returns the table row of an entry."""
    about = (
        entry.service,
        entry.target,
        entry.flow,
        f"version {entry.version}" if entry.version else "",
    )
    reason = " ".join(part for part in (entry.verdict, entry.reason) if part)
    return [
        status.format_time(entry.stamp.wall_ms),
        entry.host,
        entry.name,
        " ".join(part for part in about if part),
        reason,
        entry.detail,
    ]
