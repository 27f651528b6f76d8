"""Child processes, each ended by its id."""

import asyncio
from collections.abc import Sequence
import contextlib
import dataclasses
import pathlib
import sys

import msgspec

STOP_TIMEOUT_S = 10.0
BINARIES = pathlib.Path(sys.executable).parent


@dataclasses.dataclass(slots=True)
class ChildProcess:
    """A child process.

    Attributes:
        name: Name for messages and files.
        process: The process.
        log_file: What it writes to its standard error.
        output_file: What it writes to its standard output.
    """

    name: str
    process: asyncio.subprocess.Process
    log_file: pathlib.Path
    output_file: pathlib.Path

    @property
    def is_running(self) -> bool:
        """True until the process has ended."""
        return self.process.returncode is None

    async def stop(self) -> int:
        """Asks the process to stop and waits for its end.

        Returns:
            The exit status; negative after a signal. A process that doesn't
            stop within `STOP_TIMEOUT_S` is killed.
        """
        with contextlib.suppress(ProcessLookupError):
            self.process.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            return await self.kill()

    async def kill(self) -> int:
        """Ends the process without a chance to clean up."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        return await self.process.wait()

    def log_tail(self, lines: int = 5) -> str:
        """Returns the last lines that the process wrote to its log."""
        text = self.log_file.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])


class ChildProcesses:
    """All child processes of a run.

    Attributes:
        folder: Folder of settings and logs.
        running: Child processes by name.
    """

    __slots__ = ("folder", "running")

    def __init__(self, folder: pathlib.Path) -> None:
        """Starts without a child.

        Args:
            folder: Folder of settings and logs; must exist.
        """
        self.folder = folder
        self.running: dict[str, ChildProcess] = {}

    async def start(
        self, name: str, command: Sequence[str], settings: msgspec.Struct
    ) -> ChildProcess:
        """Starts a program of this installation with a settings file.

        Args:
            name: Name for messages and files; not in use.
            command: Program and its arguments before `--settings`.
            settings: Contents of the settings file.
        """
        settings_file = self.folder / f"{name}.json"
        settings_file.write_bytes(_encode(settings))
        log_file = self.folder / f"{name}.log"
        output_file = self.folder / f"{name}.out"
        with log_file.open("ab") as log, output_file.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                BINARIES / command[0],
                *command[1:],
                "--settings",
                settings_file,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=log,
            )
        child = ChildProcess(name, process, log_file, output_file)
        self.running[name] = child
        return child

    async def close(self) -> dict[str, int]:
        """Stops every child that still runs.

        Returns:
            Exit status by name.
        """
        stopping = [c for c in self.running.values() if c.is_running]
        statuses = await asyncio.gather(*(child.stop() for child in stopping))
        names = [child.name for child in stopping]
        return dict(zip(names, statuses, strict=True))


def _encode(settings: msgspec.Struct) -> bytes:
    """Returns settings as JSON without the ones that are None."""
    plain = msgspec.to_builtins(settings)
    return msgspec.json.encode(
        {key: value for key, value in plain.items() if value is not None}
    )
