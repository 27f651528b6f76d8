"""File operations, behind a protocol so that tests can inject failures."""

import os
import pathlib
from typing import Protocol

FILE_MODE = 0o640
FOLDER_MODE = 0o750


class Files(Protocol):
    """File operations of the data folder; each raises OSError on failure."""

    def read(self, path: pathlib.Path) -> bytes:
        """Returns the contents of a file."""

    def open(self, path: pathlib.Path) -> int:
        """Opens a file for appending and creates it if it is missing."""

    def close(self, descriptor: int) -> None:
        """Closes a file."""

    def append(self, descriptor: int, data: bytes) -> None:
        """Writes all of `data` to the end of a file."""

    def truncate(self, descriptor: int, size: int) -> None:
        """Truncates a file to `size` bytes."""

    def sync(self, descriptor: int) -> None:
        """Syncs the contents of a file to disk."""

    def sync_folder(self, path: pathlib.Path) -> None:
        """Syncs the directory entries of a folder to disk."""

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Renames a file, replacing `new`."""

    def remove(self, path: pathlib.Path) -> None:
        """Removes a file."""


class SystemFiles:
    """File operations of the operating system."""

    __slots__ = ()

    def read(self, path: pathlib.Path) -> bytes:
        """Returns the contents of a file."""
        return path.read_bytes()

    def open(self, path: pathlib.Path) -> int:
        """Opens a file for appending and creates it if it is missing."""
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        return os.open(path, flags, FILE_MODE)

    def close(self, descriptor: int) -> None:
        """Closes a file."""
        os.close(descriptor)

    def append(self, descriptor: int, data: bytes) -> None:
        """Writes all of `data` to the end of a file."""
        remaining = memoryview(data)
        while remaining:
            written = os.write(descriptor, remaining)
            remaining = remaining[written:]

    def truncate(self, descriptor: int, size: int) -> None:
        """Truncates a file to `size` bytes."""
        os.ftruncate(descriptor, size)

    def sync(self, descriptor: int) -> None:
        """Syncs the contents of a file to disk."""
        os.fsync(descriptor)

    def sync_folder(self, path: pathlib.Path) -> None:
        """Syncs the directory entries of a folder to disk."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, old: pathlib.Path, new: pathlib.Path) -> None:
        """Renames a file, replacing `new`."""
        os.rename(old, new)

    def remove(self, path: pathlib.Path) -> None:
        """Removes a file."""
        os.remove(path)
