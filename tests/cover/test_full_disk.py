"""Disk of a control host that is full for a while and then has room again.

Seen by operators of similar systems: the disks of control hosts were full for
some seconds each, one after another; long after the last had room again,
changes stayed unanswered, while all processes ran.
"""

import asyncio
import errno
import itertools
import pathlib
import tempfile
from unittest import mock

import testtools

from tamarack_core import effects
from tamarack_node import light_disk
from tamarack_node.internal import disk_writer
from tamarack_node.internal.storage import files as files_lib
from tamarack_node.internal.storage import folder as folder_lib

RETRY_S = 0.001
TIMEOUT_S = 5.0
WRITES = (
    effects.Persist(1, (b"one", b"two")),
    effects.SaveTargets(b"old targets"),
    effects.SaveSnapshot(2, b"state", (b"two",)),
    effects.Persist(3, (b"three" * 20,)),
    effects.SaveTargets(b"new targets"),
    effects.Persist(4, (b"four",)),
)
CALLS = ("append", "truncate", "rename", "remove", "sync_folder")


class FullFiles(files_lib.SystemFiles):
    """Files on a disk that is full for a number of calls.

    Attributes:
        refused: Names of the calls that a full disk refuses.
        full_from: Number of the first refused call while the disk is full.
        full_calls: Number of calls that are refused.
        calls: Refusable calls so far.
    """

    def __init__(self, refused, full_from, full_calls):
        self.refused = refused
        self.full_from = full_from
        self.full_calls = full_calls
        self.calls = 0

    def _check(self, name):
        if name not in self.refused:
            return
        self.calls += 1
        if self.full_from <= self.calls < self.full_from + self.full_calls:
            raise OSError(errno.ENOSPC, "injected")

    def append(self, descriptor, data):
        try:
            self._check("append")
        except OSError:
            super().append(descriptor, data[: len(data) // 2])
            raise
        super().append(descriptor, data)

    def truncate(self, descriptor, size):
        self._check("truncate")
        super().truncate(descriptor, size)

    def rename(self, old, new):
        self._check("rename")
        super().rename(old, new)

    def remove(self, path):
        self._check("remove")
        super().remove(path)

    def sync_folder(self, path):
        self._check("sync_folder")
        super().sync_folder(path)


class FullDiskTest(testtools.TestCase):
    """Load: several writes, with a disk that is full at any call of them."""

    def setUp(self):
        super().setUp()
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        self.parent = pathlib.Path(parent.name)
        patcher = mock.patch.object(disk_writer, "RETRY_S", RETRY_S)
        patcher.start()
        self.addCleanup(patcher.stop)

    async def run_writes(self, path, files):
        """Executes `WRITES`.

        Returns:
            The sequence numbers that were completed, and the failures.
        """
        folder = folder_lib.DataFolder(path, "c1", 1)
        folder._files = files
        completed = []
        failures = []
        writer = disk_writer.DiskWriter(
            folder, completed.append, failures.append
        )
        for effect in WRITES:
            writer.write(effect)
        async with asyncio.timeout(TIMEOUT_S):
            while len(completed) < 4 and not failures:
                await asyncio.sleep(RETRY_S)
            while not failures and folder.load_targets() != b"new targets":
                await asyncio.sleep(RETRY_S)
        writer.close()
        await asyncio.to_thread(writer._thread.join)
        folder.close()
        return completed, failures

    def check(self, number, refused, full_from, full_calls):
        """Checks that all writes are completed, and durable, in order."""
        path = self.parent / str(number)
        files = FullFiles(refused, full_from, full_calls)
        result = asyncio.run(self.run_writes(path, files))
        self.assertEqual(([1, 2, 3, 4], []), result)
        folder = folder_lib.DataFolder(path, "c1", 1)
        self.addCleanup(folder.close)
        found = (folder.contents.snapshot, tuple(folder.contents.records))
        expected = (b"state", (b"two", b"three" * 20, b"four"))
        self.assertEqual(expected, found)
        self.assertEqual(b"new targets", folder.load_targets())
        logs = [log.name for log in path.glob("log-*")]
        self.assertEqual(["log-000000000002"], logs)

    def test_a_disk_full_at_any_call_delays_the_writes_and_no_more(self):
        refusals = (("append",), ("append", "truncate"), CALLS)
        cases = itertools.product(refusals, range(1, 30), (1, 2, 7))
        for number, case in enumerate(cases):
            self.check(number, *case)

    def test_an_unexpected_error_ends_the_process(self):
        # Without its thread the process would go on without acknowledging.
        files = FullFiles((), 0, 0)
        files.append = mock.Mock(side_effect=RuntimeError("injected"))
        completed, failures = asyncio.run(
            self.run_writes(self.parent / "data", files)
        )
        self.assertEqual([], completed)
        self.assertEqual(["injected"], [str(error) for error in failures])


class FullAtStartTest(testtools.TestCase):
    """Fault: the disk is full at any call while a process opens its folder."""

    def setUp(self):
        super().setUp()
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        self.parent = pathlib.Path(parent.name)
        patcher = mock.patch.object(light_disk, "RETRY_S", RETRY_S)
        patcher.start()
        self.addCleanup(patcher.stop)

    def open(self, path, files):
        """Opens a folder as a starting control host does."""

        async def open_folder():
            async with asyncio.timeout(TIMEOUT_S):
                return await light_disk.open_folder(path, "c1", "first-c1")

        with mock.patch.object(files_lib, "SystemFiles", lambda: files):
            return asyncio.run(open_folder())

    def check(self, fill):
        """Opens folders on disks that are full at each of the first calls.

        Args:
            fill: Writes what the folder holds before; returns the records.
        """
        refusals = (("append",), ("append", "truncate"), CALLS)
        cases = itertools.product(refusals, range(1, 12), (1, 3))
        for number, (refused, full_from, full_calls) in enumerate(cases):
            path = self.parent / str(number)
            records = fill(path)
            files = FullFiles(refused, full_from, full_calls)
            folder = self.open(path, files)
            self.assertEqual("first-c1", folder.identity.incarnation)
            self.assertEqual(records, tuple(folder.contents.records))
            files.full_calls = 0
            folder.append((b"next",))
            folder.close()
            folder = folder_lib.DataFolder(path, "c1", 1)
            self.addCleanup(folder.close)
            self.assertEqual(
                (*records, b"next"), tuple(folder.contents.records)
            )

    def test_a_new_folder_gets_the_incarnation_of_the_host(self):
        self.check(lambda path: ())

    def test_an_existing_folder_keeps_all_that_was_synced(self):
        def fill(path):
            folder = folder_lib.DataFolder(
                path, "c1", 1, incarnation="first-c1"
            )
            folder.append((b"one", b"two"))
            folder.close()
            return (b"one", b"two")

        self.check(fill)
