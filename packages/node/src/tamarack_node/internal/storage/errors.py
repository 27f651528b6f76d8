"""Errors of the data folder; each stops the process."""

import pathlib

FULL = "disk-full"
"""Reason of a write that the disk refused for want of space; nothing of it
counts, and it may be tried again."""

REJOIN = (
    "move the folder away, start the host with an empty one, add it as a"
    " learner and promote it; docs/operators/patches.md describes it"
)


class StorageError(Exception):
    """The data folder can't be used.

    Attributes:
        reason: Constant name of the cause.
        path: File or folder concerned.
        detail: What is wrong.
        remedy: What the operator can do.
    """

    def __init__(
        self, reason: str, path: pathlib.Path, detail: str, remedy: str
    ) -> None:
        """Creates the error.

        Args:
            reason: Constant name of the cause.
            path: File or folder concerned.
            detail: What is wrong.
            remedy: What the operator can do.
        """
        super().__init__(f"{reason}: {path}: {detail}; {remedy}")
        self.reason = reason
        self.path = path
        self.detail = detail
        self.remedy = remedy
