"""Data folder of a control host that the light driver runs."""

import asyncio
import logging
import pathlib
import time

from tamarack_core.storage import disk as disks
from tamarack_node import light_driver
from tamarack_node.internal import disk_writer
from tamarack_node.internal import logs
from tamarack_node.internal.storage import errors as storage_errors
from tamarack_node.internal.storage import folder as folders

RETRY_S = 0.25
"""Time between attempts to open a folder, in seconds."""

MS_PER_S = 1000


async def open_folder(
    path: pathlib.Path, host: str, incarnation: str
) -> folders.DataFolder:
    """Opens a data folder, and replaces one that can't be used.

    While the disk is full or fails, opening is retried. After any other error,
    such as damage, the folder is emptied and the host joins as a new member;
    the other control hosts hold the data that it had acknowledged.

    Args:
        path: The folder.
        host: Name of this host.
        incarnation: Incarnation of a new folder; drawn at random if empty or
            if the folder had to be emptied.
    """
    while True:
        try:
            created_ms = int(time.time() * MS_PER_S)
            return folders.DataFolder(
                path, host, created_ms, incarnation=incarnation
            )
        except storage_errors.StorageError as error:
            fields = {"reason": error.reason, "detail": str(error)}
            logs.event("folder-unusable", logging.WARNING, fields)
            if error.reason not in ("disk-failed", storage_errors.FULL):
                incarnation = ""
                folders.discard(path)
        await asyncio.sleep(RETRY_S)


def disk_contents(folder: folders.DataFolder) -> disks.DiskContents:
    """Takes the contents of a data folder at its opening."""
    contents = folder.take_contents()
    return disks.DiskContents(
        folder.identity.incarnation,
        contents.snapshot,
        contents.records,
        folder.load_targets(),
    )


def start_writer(
    folder: folders.DataFolder, driver: light_driver.LightDriver
) -> disk_writer.DiskWriter:
    """Starts a writer for a folder that reports its results to the driver."""
    return disk_writer.DiskWriter(
        folder, driver.complete_write, driver.fail_write
    )
