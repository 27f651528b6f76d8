"""The data folder: lock, identity, log file and announced targets."""

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

    Every method that writes returns only once the data is synced. After a
    write that failed because the disk is full, the data synced before remains
    and the write may be retried; what is left of it is removed as soon as the
    disk accepts that. After any other error the folder rejects further writes,
    because it is unknown which data reached the disk; the process has to stop.

    Attributes:
        path: The folder.
        identity: Host and incarnation that the folder belongs to.
        contents: Contents of the log file when the folder was opened, until
            they are taken.
    """

    __slots__ = (
        "_descriptor",
        "_files",
        "_generation",
        "_has_failed",
        "_has_partial_write",
        "_lock",
        "_replaced",
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
            files: File operations; those of the operating system if None.
            incarnation: Incarnation of a new folder; drawn at random if empty.

        Raises:
            StorageError: The folder is in use, is damaged, belongs to another
                host or has another format, or the disk failed.
        """
        self.path = path
        self._files = files or files_lib.SystemFiles()
        self._has_failed = False
        # Whether bytes of a failed write may follow the valid end of the log.
        self._has_partial_write = False
        # Log files of earlier generations that are not removed yet.
        self._replaced: list[pathlib.Path] = []
        self._descriptor = -1
        self._lock = self._acquire_lock()
        try:
            self.identity = self._open_identity(host, created_ms, incarnation)
            self.contents = self._open_log()
        except OSError as error:
            self.close()
            raise self._disk_error(error) from error
        except errors.StorageError:
            self.close()
            raise

    def take_contents(self) -> frames.Contents:
        """Returns the contents of the log file, and keeps none of them."""
        taken = self.contents
        self.contents = frames.Contents(taken.generation)
        return taken

    def append(self, records: tuple[bytes, ...]) -> None:
        """Appends records and syncs them.

        Raises:
            StorageError: The disk is full, or it failed and the process has
                to stop.
        """
        batch = frames.encode_batch(
            frames.Kind.RECORD, records, self._generation, self._size
        )
        self._check_writable()
        self._try_remove_replaced()
        try:
            self._truncate_partial_write()
            self._append(batch)
        except OSError as error:
            raise self._write_error(error) from error
        try:
            self._files.sync(self._descriptor)
        except OSError as error:
            raise self._disk_error(error) from error
        self._size += len(batch)
        self._try_mark_synced()

    def save_snapshot(self, data: bytes, records: tuple[bytes, ...]) -> None:
        """Replaces the log file by a snapshot and the records after it.

        Raises:
            StorageError: The disk is full, or it failed and the process has
                to stop.
        """
        self._check_writable()
        old = log_path(self.path, self._generation)
        previous = self._descriptor
        try:
            self._create_log(self._generation + 1, data, records)
        except OSError as error:
            raise self._recover_creation(error) from error
        self._has_partial_write = False
        self._replaced.append(old)
        try:
            self._files.close(previous)
        except OSError as error:
            raise self._disk_error(error) from error
        self._try_remove_replaced()

    def save_targets(self, data: bytes) -> None:
        """Replaces the file of announced targets.

        Raises:
            StorageError: The disk is full or failed.
        """
        self._check_writable()
        try:
            self._create_file(self.path / TARGETS_NAME, data)
        except OSError as error:
            raise self._recover_creation(error) from error

    def load_targets(self) -> bytes | None:
        """Returns the announced targets, or None if none were saved."""
        path = self.path / TARGETS_NAME
        return self._files.read(path) if path.exists() else None

    def close(self) -> None:
        """Closes the log file and releases the lock.

        Nothing is left to sync, since every write is synced already.
        """
        self._close_log()
        os.close(self._lock)

    def _close_log(self) -> None:
        """Closes the log file, if it is open."""
        if self._descriptor >= 0:
            self._files.close(self._descriptor)
            self._descriptor = -1

    def _append(self, data: bytes) -> None:
        """Appends data to the log file; it may be written in part."""
        self._has_partial_write = True
        self._files.append(self._descriptor, data)
        self._has_partial_write = False

    def _truncate_partial_write(self) -> None:
        """Removes the bytes that a failed write left behind."""
        if self._has_partial_write:
            self._files.truncate(self._descriptor, self._size)
            self._has_partial_write = False

    def _write_error(self, error: OSError) -> errors.StorageError:
        """Returns the error of a write; it may be retried if the disk is full.

        A full disk may refuse to truncate the log file as well, so a partial
        write is removed before the next one.
        """
        if error.errno not in _FULL:
            return self._disk_error(error)
        return self._storage_error(errors.FULL, error)

    def _recover_creation(self, error: OSError) -> errors.StorageError:
        """Returns the error of a failed file creation, after cleaning up.

        The file in use is unchanged, as a new file gets its final name only
        once it is synced. A temporary file that can't be removed now is
        overwritten by the next attempt.
        """
        if error.errno not in _FULL:
            return self._disk_error(error)
        try:
            self._remove_temporary()
        except OSError as cleanup_error:
            return self._write_error(cleanup_error)
        return self._storage_error(errors.FULL, error)

    def _try_remove_replaced(self) -> None:
        """Removes the log files of earlier generations, if the disk does it.

        The newest log file is durable already. One that remains is removed
        before the next write, or by the next start.
        """
        try:
            while self._replaced:
                self._files.remove(self._replaced[-1])
                self._replaced.pop()
                self._files.sync_folder(self.path)
        except OSError as error:
            if error.errno not in _FULL:
                raise self._disk_error(error) from error

    def _try_mark_synced(self) -> None:
        """Appends a SYNCED frame, and omits it if the disk is full."""
        try:
            self._mark_synced()
        except OSError as error:
            if error.errno not in _FULL:
                raise self._disk_error(error) from error

    def _mark_synced(self) -> None:
        """Appends the frame that marks the log file up to here as synced."""
        mark = frames.encode_synced(self._generation, self._size)
        self._append(mark)
        self._size += len(mark)

    def _check_writable(self) -> None:
        """Raises an error if an earlier write failed."""
        if self._has_failed:
            raise errors.StorageError(
                "disk-failed",
                self.path,
                "an earlier write failed",
                "the process has to stop",
            )

    def _disk_error(self, error: OSError) -> errors.StorageError:
        """Returns the error of a file operation; rejects later writes."""
        self._has_failed = True
        reason = errors.FULL if error.errno in _FULL else "disk-failed"
        return self._storage_error(reason, error)

    def _storage_error(
        self, reason: str, error: OSError
    ) -> errors.StorageError:
        """Returns the storage error for an error of the operating system."""
        return errors.StorageError(
            reason,
            self.path,
            str(error),
            "check the disk and its free space, then start the process again;"
            " it removes data that was not acknowledged",
        )

    def _acquire_lock(self) -> int:
        """Locks the lock file and returns its descriptor."""
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
        """Returns the identity of the folder, and creates it in a new one."""
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
        """Creates the first log file, then the identity.

        A folder without an identity counts as new, so a crash between the two
        leaves a folder that can be opened again.
        """
        self._check_is_new()
        self._create_log(1, None, ())
        self._close_log()
        chosen = incarnation or os.urandom(INCARNATION_BYTES).hex()
        identity = identity_lib.Identity(host, chosen, created_ms)
        self._create_file(
            self.path / IDENTITY_NAME, identity_lib.encode(identity)
        )
        return identity

    def _check_is_new(self) -> None:
        """Raises an error if a log file holds data or is damaged."""
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
        """Reads the newest log file; removes its torn end and older files."""
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
        # The log may hold data that an earlier process wrote but did not sync.
        # It is synced here, because it must not be lost after it was read.
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
        # The file is created atomically, so it can include the SYNCED frame.
        data += frames.encode_synced(generation, len(data))
        path = log_path(self.path, generation)
        self._create_file(path, bytes(data))
        self._descriptor = self._files.open(path)
        self._generation = generation
        self._size = len(data)

    def _create_file(self, path: pathlib.Path, data: bytes) -> None:
        """Creates or replaces a file atomically."""
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
        """Removes files whose creation was interrupted."""
        for path in self.path.glob("*" + TEMPORARY_SUFFIX):
            self._files.remove(path)


def discard(path: pathlib.Path, files: files_lib.Files | None = None) -> None:
    """Empties a data folder that can't be used any more.

    The next start creates a new incarnation, which joins as a new member.

    Args:
        path: The folder.
        files: File operations; those of the operating system if None.

    Raises:
        OSError: A file can't be removed.
    """
    operations = files or files_lib.SystemFiles()
    # The identity is removed first: without it the folder counts as new, or
    # as unusable while a log file holds data.
    entries = sorted(
        path.iterdir(), key=lambda entry: entry.name != IDENTITY_NAME
    )
    for entry in entries:
        operations.remove(entry)
        operations.sync_folder(path)
