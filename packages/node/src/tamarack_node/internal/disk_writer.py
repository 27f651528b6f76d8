"""Disk writes on a thread, so that a slow disk does not block the loop."""

import asyncio
from collections.abc import Callable
import logging
import queue
import threading
import time

from tamarack_core import effects
from tamarack_node.internal import logs
from tamarack_node.internal.storage import errors as storage_errors
from tamarack_node.internal.storage import folder as folders

RETRY_S = 0.25
"""Time between attempts while the disk is full, in seconds."""

Write = effects.Persist | effects.SaveSnapshot | effects.SaveTargets


class DiskWriter:
    """Executes writes in order on its own thread.

    A write that fails because the disk is full is retried until it succeeds;
    meanwhile no write is acknowledged. Only saving the targets is postponed
    then, as no other write depends on it; of those that wait, only the newest
    is kept. After any other error it is unknown which data reached the disk,
    and the process ends.

    Attributes:
        folder: The data folder.
        completed: Called on the loop with the sequence number of a synced
            write.
        failed: Called on the loop with the error that ends the process.
    """

    __slots__ = (
        "_is_save_postponed",
        "_lock",
        "_loop",
        "_queue",
        "_targets",
        "_thread",
        "completed",
        "failed",
        "folder",
    )

    def __init__(
        self,
        folder: folders.DataFolder,
        completed: Callable[[int], None],
        failed: Callable[[Exception], None],
    ) -> None:
        """Initializes the writer and starts its thread.

        Args:
            folder: The data folder.
            completed: Called on the loop with the sequence number of a synced
                write.
            failed: Called on the loop with the error that ends the process.
        """
        self.folder = folder
        self.completed = completed
        self.failed = failed
        self._loop = asyncio.get_running_loop()
        self._lock = threading.Lock()
        self._targets: effects.SaveTargets | None = None
        self._is_save_postponed = False
        self._queue: queue.SimpleQueue[Write | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, effect: Write) -> None:
        """Queues a write.

        Args:
            effect: The write.
        """
        if isinstance(effect, effects.SaveTargets):
            with self._lock:
                is_waiting = self._targets is not None
                self._targets = effect
            if is_waiting:
                return
        self._queue.put(effect)

    def close(self) -> None:
        """Ends the thread after the queued writes, without waiting for it."""
        self._queue.put(None)

    def _run(self) -> None:
        """Executes the queued writes until the writer is closed.

        An unexpected error ends the process as well: without this thread it
        would go on, and never acknowledge a write again.
        """
        try:
            while (effect := self._next_write()) is not None:
                self._write(effect)
                if not isinstance(effect, effects.SaveTargets):
                    self._loop.call_soon_threadsafe(
                        self.completed, effect.sequence
                    )
        except Exception as error:
            self._loop.call_soon_threadsafe(self.failed, error)

    def _next_write(self) -> Write | None:
        """Returns the next queued write, or a postponed one that is due."""
        if not self._is_save_postponed:
            return self._queue.get()
        try:
            return self._queue.get(timeout=RETRY_S)
        except queue.Empty:
            return self._targets

    def _write(self, effect: Write) -> None:
        """Executes one write; retries it while the disk is full."""
        is_reported = False
        while True:
            try:
                if isinstance(effect, effects.Persist):
                    self.folder.append(effect.records)
                elif isinstance(effect, effects.SaveTargets):
                    self._save_targets()
                else:
                    self.folder.save_snapshot(effect.data, effect.records)
                return
            except storage_errors.StorageError as error:
                if error.reason != storage_errors.FULL:
                    raise
                if not is_reported:
                    is_reported = True
                    fields = {"reason": error.reason, "detail": str(error)}
                    logs.event("write-postponed", logging.WARNING, fields)
            time.sleep(RETRY_S)

    def _save_targets(self) -> None:
        """Saves the newest targets, or postpones it while the disk is full."""
        with self._lock:
            newest, self._targets = self._targets, None
        self._is_save_postponed = False
        if newest is None:
            return
        try:
            self.folder.save_targets(newest.data)
        except storage_errors.StorageError as error:
            if error.reason != storage_errors.FULL:
                raise
            with self._lock:
                self._targets = self._targets or newest
            self._is_save_postponed = True
