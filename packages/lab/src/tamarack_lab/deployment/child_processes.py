"""Child processes of a run, each ended through its own handle."""

import asyncio
from collections.abc import Sequence
import contextlib
import dataclasses
import pathlib
import sys

import msgspec

STOP_TIMEOUT_S = 10.0
EXECUTABLES = pathlib.Path(sys.executable).parent


@dataclasses.dataclass(slots=True)
class ChildProcess:
    """A child process.

    Attributes:
        name: Name used in messages and file names.
        process: Handle of the process.
        log_file: File that receives its standard error.
        output_file: File that receives its standard output.
    """

    name: str
    process: asyncio.subprocess.Process
    log_file: pathlib.Path
    output_file: pathlib.Path

    @property
    def is_running(self) -> bool:
        """Whether the process is still running."""
        return self.process.returncode is None

    async def stop(self) -> int:
        """Sends SIGTERM and waits until the process exits.

        Returns:
            The exit status; negative if a signal ended the process. A process
            that doesn't exit within `STOP_TIMEOUT_S` is killed.
        """
        with contextlib.suppress(ProcessLookupError):
            self.process.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            return await self.kill()

    async def kill(self) -> int:
        """Sends SIGKILL, so that the process can't clean up, and waits."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        return await self.process.wait()

    def log_tail(self, lines: int = 5) -> str:
        """Returns the last lines of the log of the process."""
        text = self.log_file.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])


class ChildProcesses:
    """All child processes of a run.

    Attributes:
        folder: Folder for settings and logs.
        running: Child processes by name, including those that exited.
    """

    __slots__ = ("folder", "running")

    def __init__(self, folder: pathlib.Path) -> None:
        """Initializes the collection without any process.

        Args:
            folder: Folder for settings and logs; must exist.
        """
        self.folder = folder
        self.running: dict[str, ChildProcess] = {}

    async def start(
        self, name: str, command: Sequence[str], settings: msgspec.Struct
    ) -> ChildProcess:
        """Starts a program of this installation with a settings file.

        Args:
            name: Name used in messages and file names; must be unused.
            command: Program and its arguments before `--settings`.
            settings: Contents of the settings file.
        """
        settings_file = self.folder / f"{name}.json"
        settings_file.write_bytes(_encode_settings(settings))
        log_file = self.folder / f"{name}.log"
        output_file = self.folder / f"{name}.out"
        with log_file.open("ab") as log, output_file.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                EXECUTABLES / command[0],
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
        """Stops all child processes that are still running.

        Returns:
            Exit status of each stopped process by name.
        """
        stopping = [c for c in self.running.values() if c.is_running]
        statuses = await asyncio.gather(*(child.stop() for child in stopping))
        names = [child.name for child in stopping]
        return dict(zip(names, statuses, strict=True))


def _encode_settings(settings: msgspec.Struct) -> bytes:
    """Returns the settings as JSON, leaving out those that are None."""
    plain = msgspec.to_builtins(settings)
    return msgspec.json.encode(
        {key: value for key, value in plain.items() if value is not None}
    )
