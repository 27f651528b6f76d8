"""The data folder: lock, identity and the log file of one generation."""

import errno
import fcntl
import os
import pathlib

from tamarack_core import failure
from tamarack_core.storage import frames
from tamarack_core.storage import identity as identity_lib
from tamarack_node.internal.storage import errors
from tamarack_node.internal.storage import files as files_lib

LOCK_NAME = "lock"
IDENTITY_NAME = "identity"
TARGETS_NAME = "targets"
LOG_PATTERN = "log-*"
TEMPORARY_SUFFIX = ".tmp"
INCARNATION_BYTES = 8

_FULL = (errno.ENOSPC, errno.EDQUOT)


def log_path(folder: pathlib.Path, generation: int) -> pathlib.Path:
    """Returns the path of the log file of a generation."""
    return folder / f"log-{generation:012d}"


class DataFolder:
    """Durable state of one control host.

    Every method that writes returns only when the data is synced. After a
    write that was refused for want of space, what is synced stays and the
    write may be repeated. After any other error the folder takes no further
    write, as nobody can know what reached the disk; the process has to stop.

    Attributes:
        path: The folder.
        identity: Who it belongs to.
        contents: What the log file held when the folder was opened.
    """

    __slots__ = (
        "_descriptor",
        "_files",
        "_generation",
        "_has_failed",
        "_lock",
        "_size",
        "contents",
        "identity",
        "path",
    )

    def __init__(
        self,
        path: pathlib.Path,
        host: str,
        created_ms: int,
        files: files_lib.Files | None = None,
        incarnation: str = "",
    ) -> None:
        """Opens a data folder, or creates one in an empty or missing folder.

        Args:
            path: The folder.
            host: Name of this host.
            created_ms: Wall-clock time in milliseconds, for a new folder.
            files: Access to files.
            incarnation: Incarnation of a new folder; drawn if empty.

        Raises:
            StorageError: The folder is in use, damaged, of another host or of
                another format, or the disk failed.
        """
        self.path = path
        self._files = files or files_lib.SystemFiles()
        self._has_failed = False
        self._descriptor = -1
        self._lock = self._take_lock()
        try:
            self.identity = self._open_identity(host, created_ms, incarnation)
            self.contents = self._open_log()
        except OSError as error:
            self.close()
            raise self._disk_error(error) from error
        except errors.StorageError:
            self.close()
            raise

    def append(self, records: tuple[bytes, ...]) -> None:
        """Appends records and syncs them.

        Raises:
            StorageError: The disk failed; the process has to stop.
        """
        batch = frames.encode_batch(
            frames.Kind.RECORD, records, self._generation, self._size
        )
        self._guard()
        try:
            self._files.append(self._descriptor, batch)
        except OSError as error:
            raise self._refused(error) from error
        try:
            self._files.sync(self._descriptor)
        except OSError as error:
            raise self._disk_error(error) from error
        self._size += len(batch)
        self._try_mark()

    def save_snapshot(self, data: bytes, records: tuple[bytes, ...]) -> None:
        """Replaces the log file by a snapshot and the records after it.

        Raises:
            StorageError: The disk failed; the process has to stop.
        """
        self._guard()
        old = log_path(self.path, self._generation)
        previous = self._descriptor
        try:
            self._create_log(self._generation + 1, data, records)
        except OSError as error:
            raise self._refused_creation(error) from error
        try:
            self._files.close(previous)
            self._files.remove(old)
            self._files.sync_folder(self.path)
        except OSError as error:
            raise self._disk_error(error) from error

    def save_targets(self, data: bytes) -> None:
        """Replaces the file of announced targets.

        Raises:
            StorageError: The disk is full or failed.
        """
        self._guard()
        try:
            self._create_file(self.path / TARGETS_NAME, data)
        except OSError as error:
            raise self._refused_creation(error) from error

    def load_targets(self) -> bytes | None:
        """Returns the file of announced targets; None without one."""
        path = self.path / TARGETS_NAME
        return self._files.read(path) if path.exists() else None

    def close(self) -> None:
        """Gives up the lock; everything written is synced already."""
        self._close_log()
        os.close(self._lock)

    def _close_log(self) -> None:
        """Closes the log file, if it is open."""
        if self._descriptor >= 0:
            self._files.close(self._descriptor)
            self._descriptor = -1

    def _refused(self, error: OSError) -> errors.StorageError:
        """Returns the error of an append, after undoing a part of it."""
        if error.errno not in _FULL:
            return self._disk_error(error)
        try:
            self._files.truncate(self._descriptor, self._size)
        except OSError as second:
            return self._disk_error(second)
        return self._storage_error(errors.FULL, error)

    def _refused_creation(self, error: OSError) -> errors.StorageError:
        """Returns the error of a log file that did not come to be.

        The file that holds for now is untouched. A file of the next
        generation can't be there: it is renamed only once it is synced.
        """
        if error.errno not in _FULL:
            return self._disk_error(error)
        try:
            self._remove_temporary()
        except OSError as second:
            return self._disk_error(second)
        return self._storage_error(errors.FULL, error)

    def _try_mark(self) -> None:
        """Marks what is synced; a full disk only costs the mark."""
        try:
            self._mark_synced()
        except OSError as error:
            if error.errno not in _FULL:
                raise self._disk_error(error) from error
            self._files.truncate(self._descriptor, self._size)

    def _mark_synced(self) -> None:
        """Marks all that is in the log file as synced."""
        mark = frames.encode_synced(self._generation, self._size)
        self._files.append(self._descriptor, mark)
        self._size += len(mark)

    def _guard(self) -> None:
        """Refuses a write after one that failed."""
        if self._has_failed:
            raise errors.StorageError(
                "disk-failed",
                self.path,
                "an earlier write failed",
                "the process has to stop",
            )

    def _disk_error(self, error: OSError) -> errors.StorageError:
        """Returns the error for a failed file operation."""
        self._has_failed = True
        reason = errors.FULL if error.errno in _FULL else "disk-failed"
        return self._storage_error(reason, error)

    def _storage_error(
        self, reason: str, error: OSError
    ) -> errors.StorageError:
        """Returns an error with a reason."""
        return errors.StorageError(
            reason,
            self.path,
            str(error),
            "check the disk and its free space, then start the process again;"
            " it cuts what was not acknowledged",
        )

    def _take_lock(self) -> int:
        """Returns the descriptor of the locked lock file."""
        try:
            self.path.mkdir(files_lib.FOLDER_MODE, parents=True, exist_ok=True)
            lock = os.open(
                self.path / LOCK_NAME,
                os.O_RDWR | os.O_CREAT | os.O_CLOEXEC,
                files_lib.FILE_MODE,
            )
        except OSError as error:
            raise self._disk_error(error) from error
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(lock)
            raise errors.StorageError(
                "in-use",
                self.path,
                "another process holds the lock",
                "stop it, or give this host its own folder",
            ) from error
        return lock

    def _open_identity(
        self, host: str, created_ms: int, incarnation: str
    ) -> identity_lib.Identity:
        """Returns the identity of the folder; creates a new folder's."""
        path = self.path / IDENTITY_NAME
        self._remove_temporary()
        if not path.exists():
            return self._create_identity(host, created_ms, incarnation)
        identity = identity_lib.decode(self._files.read(path))
        if isinstance(identity, failure.Failure):
            raise errors.StorageError(
                identity.reason, path, identity.detail, errors.REJOIN
            )
        if identity.host != host:
            raise errors.StorageError(
                "other-host",
                path,
                f"the folder belongs to host {identity.host}, not {host}",
                "give this host its own folder",
            )
        return identity

    def _create_identity(
        self, host: str, created_ms: int, incarnation: str
    ) -> identity_lib.Identity:
        """Creates the first log file, then the identity that completes it."""
        self._check_is_new()
        self._create_log(1, None, ())
        self._close_log()
        drawn = incarnation or os.urandom(INCARNATION_BYTES).hex()
        identity = identity_lib.Identity(host, drawn, created_ms)
        self._create_file(
            self.path / IDENTITY_NAME, identity_lib.encode(identity)
        )
        return identity

    def _check_is_new(self) -> None:
        """Refuses to create an identity beside a log that holds data."""
        for path in self._log_paths():
            contents = frames.decode(self._files.read(path))
            is_empty = (
                isinstance(contents, frames.Contents)
                and contents.snapshot is None
                and not contents.records
            )
            if not is_empty:
                raise errors.StorageError(
                    "identity-lost",
                    path,
                    "the folder holds a log but no identity",
                    errors.REJOIN,
                )

    def _open_log(self) -> frames.Contents:
        """Reads the newest log file, cuts a torn end, removes older files."""
        paths = self._log_paths()
        if not paths:
            raise errors.StorageError(
                "log-lost",
                self.path,
                "the folder has an identity but no log",
                errors.REJOIN,
            )
        newest = paths[-1]
        contents = frames.decode(self._files.read(newest))
        if isinstance(contents, failure.Failure):
            raise errors.StorageError(
                contents.reason, newest, contents.detail, errors.REJOIN
            )
        if log_path(self.path, contents.generation) != newest:
            raise errors.StorageError(
                "renamed",
                newest,
                f"the file holds generation {contents.generation}",
                errors.REJOIN,
            )
        self._descriptor = self._files.open(newest)
        if contents.torn_bytes:
            self._files.truncate(self._descriptor, contents.end)
        # Also what a dead process wrote but didn't sync must not be lost
        # after it was read.
        self._files.sync(self._descriptor)
        self._generation = contents.generation
        self._size = contents.end
        if not contents.is_end_synced:
            self._mark_synced()
        for path in paths[:-1]:
            self._files.remove(path)
        self._files.sync_folder(self.path)
        return contents

    def _create_log(
        self,
        generation: int,
        snapshot: bytes | None,
        records: tuple[bytes, ...],
    ) -> None:
        """Creates the log file of a generation and opens it."""
        data = bytearray(frames.encode_header(generation))
        if snapshot is not None:
            data += frames.encode(
                frames.Kind.SNAPSHOT, snapshot, generation, len(data)
            )
        data += frames.encode_batch(
            frames.Kind.RECORD, records, generation, len(data)
        )
        # The file appears whole or not at all, so the mark is in it at once.
        data += frames.encode_synced(generation, len(data))
        path = log_path(self.path, generation)
        self._create_file(path, bytes(data))
        self._descriptor = self._files.open(path)
        self._generation = generation
        self._size = len(data)

    def _create_file(self, path: pathlib.Path, data: bytes) -> None:
        """Creates a file that appears whole or not at all."""
        temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
        descriptor = self._files.open(temporary)
        try:
            self._files.truncate(descriptor, 0)
            self._files.append(descriptor, data)
            self._files.sync(descriptor)
        finally:
            self._files.close(descriptor)
        self._files.rename(temporary, path)
        self._files.sync_folder(self.path)

    def _log_paths(self) -> list[pathlib.Path]:
        """Returns the log files, the newest generation last."""
        return sorted(
            path
            for path in self.path.glob(LOG_PATTERN)
            if path.suffix != TEMPORARY_SUFFIX
        )

    def _remove_temporary(self) -> None:
        """Removes files whose creation was cut short."""
        for path in self.path.glob("*" + TEMPORARY_SUFFIX):
            self._files.remove(path)


def discard(path: pathlib.Path, files: files_lib.Files | None = None) -> None:
    """Empties a data folder that can't be used any more.

    The host comes back under a new incarnation, and is a new member.

    Args:
        path: The folder.
        files: Access to files.

    Raises:
        OSError: A file can't be removed.
    """
    access = files or files_lib.SystemFiles()
    # The identity goes first: without it, nothing else in the folder counts.
    found = sorted(
        path.iterdir(), key=lambda entry: entry.name != IDENTITY_NAME
    )
    for entry in found:
        access.remove(entry)
        access.sync_folder(path)
