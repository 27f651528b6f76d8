"""Data folder of a control host on a failing disk."""

import errno
import pathlib
import tempfile

import hypothesis
from hypothesis import strategies
import testtools

from tamarack_core import failure
from tamarack_core.storage import frames
from tamarack_node.internal.storage import errors
from tamarack_node.internal.storage import files as files_lib
from tamarack_node.internal.storage import folder as folder_lib


class UnsafeFiles(files_lib.SystemFiles):
    """Files that fail at a chosen call and lose what was not synced.

    Attributes:
        fail_at: Number of the writing call that fails, counted from 1.
        error: Error number of the failure.
        calls: Writing calls so far.
        paths: Path of each open file.
        synced: Synced size of each path.
        undo: Functions that undo the unsynced renames and removals.
    """

    def __init__(self, fail_at=0, error=errno.EIO):
        self.fail_at = fail_at
        self.error = error
        self.calls = 0
        self.paths = {}
        self.synced = {}
        self.undo = []

    def _count(self):
        self.calls += 1
        if self.calls == self.fail_at:
            raise OSError(self.error, "injected")

    def open(self, path):
        descriptor = super().open(path)
        self.paths[descriptor] = path
        self.synced.setdefault(path, path.stat().st_size)
        return descriptor

    def append(self, descriptor, data):
        try:
            self._count()
        except OSError:
            super().append(descriptor, data[: len(data) // 2])
            raise
        super().append(descriptor, data)

    def sync(self, descriptor):
        self._count()
        path = self.paths[descriptor]
        self.synced[path] = path.stat().st_size

    def sync_folder(self, path):
        self._count()
        self.undo.clear()

    def rename(self, old, new):
        self._count()
        assert not new.exists()
        super().rename(old, new)
        self.synced[new] = self.synced.pop(old)
        self.undo.append(lambda: new.rename(old))

    def remove(self, path):
        self._count()
        data = path.read_bytes()
        super().remove(path)
        self.undo.append(lambda: path.write_bytes(data))

    def lose_power(self, generator):
        """Keeps a random part of the unsynced data, possibly damaged."""
        if generator.random() < 0.5:
            while self.undo:
                self.undo.pop()()
        for path, synced in self.synced.items():
            if not path.exists():
                continue
            data = bytearray(path.read_bytes())
            size = generator.randint(min(synced, len(data)), len(data))
            if size > synced and generator.random() < 0.5:
                data[generator.randrange(synced, size)] ^= 0x40
            path.write_bytes(data[:size])


class FolderTest(testtools.TestCase):
    """Acknowledged data is recovered, or the folder is refused."""

    def setUp(self):
        super().setUp()
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        self.path = pathlib.Path(parent.name) / "data"

    def open(self, files=None, host="c1"):
        """Opens the data folder."""
        return folder_lib.DataFolder(self.path, host, 1, files)

    def write_log(self):
        """Writes a snapshot and two batches; returns the path of the log."""
        folder = self.open()
        folder.append((b"old",))
        folder.save_snapshot(b"state", (b"one",))
        folder.append((b"two", b"three" * 9))
        folder.append((b"four" * 5,))
        folder.close()
        return folder_lib.log_path(self.path, 2)

    def assert_open_refused(self, reason, **arguments):
        """Checks that opening is refused with a reason and a remedy."""
        error = self.assertRaises(errors.StorageError, self.open, **arguments)
        self.assertEqual(reason, error.reason)
        self.assertTrue(error.remedy)

    def test_a_restart_recovers_all_written_data(self):
        self.write_log()
        folder = self.open()
        self.addCleanup(folder.close)
        self.assertEqual(b"state", folder.contents.snapshot)
        self.assertEqual(
            [b"one", b"two", b"three" * 9, b"four" * 5],
            folder.contents.records,
        )

    def test_a_folder_in_use_is_refused(self):
        folder = self.open()
        self.addCleanup(folder.close)
        self.assert_open_refused("in-use")

    def test_the_folder_of_another_host_is_refused(self):
        self.open().close()
        self.assert_open_refused("other-host", host="c2")

    def test_an_emptied_folder_gets_a_new_incarnation(self):
        self.write_log()
        first = self.open()
        first.close()
        for path in self.path.iterdir():
            path.unlink()
        second = self.open()
        second.close()
        self.assertNotEqual(
            first.identity.incarnation, second.identity.incarnation
        )

    def test_a_lost_log_or_identity_is_refused(self):
        log = self.write_log()
        data = log.read_bytes()
        log.unlink()
        self.assert_open_refused("log-lost")
        log.write_bytes(data)
        (self.path / folder_lib.IDENTITY_NAME).unlink()
        self.assert_open_refused("identity-lost")

    def test_a_log_truncated_anywhere_keeps_a_prefix_and_accepts_appends(self):
        log = self.write_log()
        data = log.read_bytes()
        whole = frames.decode(data)
        for size in range(frames.HEADER_BYTES, len(data)):
            log.write_bytes(data[:size])
            folder = self.open()
            found = folder.contents.records
            self.assertEqual(whole.records[: len(found)], found)
            folder.append((b"new",))
            folder.close()
            folder = self.open()
            self.assertEqual([*found, b"new"], folder.contents.records)
            folder.close()

    def test_damage_to_acknowledged_data_is_refused(self):
        log = self.write_log()
        data = log.read_bytes()
        last_mark = data.rindex(b"synced")
        mark_start = last_mark - 10
        for place in range(mark_start):
            damaged = bytearray(data)
            damaged[place] ^= 1 << (place % 8)
            log.write_bytes(damaged)
            error = self.assertRaises(errors.StorageError, self.open)
            self.assertIn(error.reason, ("damaged", "bad-header"))

    def test_no_write_is_accepted_after_a_failed_one(self):
        for error, reason in (
            (errno.EIO, "disk-failed"),
            (errno.ENOSPC, "disk-full"),
        ):
            files = UnsafeFiles(error=error)
            folder = self.open(files)
            files.fail_at = files.calls + 2
            raised = self.assertRaises(
                errors.StorageError, folder.append, (b"lost",)
            )
            self.assertEqual(reason, raised.reason)
            self.assertRaises(errors.StorageError, folder.append, (b"next",))
            self.assertRaises(
                errors.StorageError, folder.save_snapshot, b"", ()
            )
            folder.close()

    @hypothesis.given(
        strategies.integers(0, 60),
        strategies.randoms(use_true_random=False),
        strategies.lists(strategies.integers(0, 4), max_size=12),
    )
    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    def test_what_was_acknowledged_outlives_a_power_loss(
        self, fail_at, chance, steps
    ):
        with tempfile.TemporaryDirectory() as parent:
            self.path = pathlib.Path(parent) / "data"
            acknowledged, attempted = self.run_until_failure(
                UnsafeFiles(fail_at), chance, steps
            )
            folder = self.open()
            found = (folder.contents.snapshot, folder.contents.records)
            folder.close()
        allowed = [acknowledged]
        snapshot, records = attempted
        if snapshot == acknowledged[0]:
            known = len(acknowledged[1])
            allowed += [
                (snapshot, records[:count])
                for count in range(known, len(records) + 1)
            ]
        allowed.append(attempted)
        self.assertIn(found, allowed)

    def run_until_failure(self, files, generator, steps):
        """Writes until a call fails, then simulates a power loss.

        Returns:
            The last acknowledged state and the last attempted one.
        """
        acknowledged = attempted = (None, [])
        try:
            folder = self.open(files)
        except errors.StorageError:
            files.lose_power(generator)
            return acknowledged, attempted
        try:
            for number, step in enumerate(steps):
                snapshot, records = acknowledged
                if step == 0:
                    data = b"state %d" % number
                    attempted = (data, records[-2:])
                    folder.save_snapshot(data, tuple(records[-2:]))
                else:
                    batch = [b"%d.%d" % (number, i) for i in range(step)]
                    attempted = (snapshot, records + batch)
                    folder.append(tuple(batch))
                acknowledged = attempted
        except errors.StorageError:
            pass
        folder.close()
        files.lose_power(generator)
        return acknowledged, attempted


class FrameTest(testtools.TestCase):
    """Frames of the log file."""

    @hypothesis.given(strategies.binary(max_size=80))
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    def test_any_bytes_behind_the_header_are_read_or_refused(self, data):
        decoded = frames.decode(frames.encode_header(1) + data)
        self.assertIsInstance(decoded, (frames.Contents, failure.Failure))

    def test_a_frame_is_valid_only_at_its_own_position(self):
        record = frames.encode(frames.Kind.RECORD, b"x", 1, frames.HEADER_BYTES)
        data = frames.encode_header(1) + record + record
        self.assertEqual([b"x"], frames.decode(data).records)
        other = frames.encode_header(2) + record
        self.assertEqual([], frames.decode(other).records)
