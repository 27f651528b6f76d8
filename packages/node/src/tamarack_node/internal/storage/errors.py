"""Errors of the data folder."""

import pathlib

FULL = "disk-full"
"""Reason of a write that failed because the disk is full. None of its data
takes effect, and the write may be retried."""

REJOIN = (
    "move the folder away, start the host with an empty one, add it as a"
    " learner and promote it; docs/operators/patches.md describes it"
)


class StorageError(Exception):
    """The data folder can't be used, or a write to it failed.

    Attributes:
        reason: Constant name of the cause.
        path: Affected file or folder.
        detail: Description of the problem.
        remedy: Action that the operator can take.
    """

    def __init__(
        self, reason: str, path: pathlib.Path, detail: str, remedy: str
    ) -> None:
        """Initializes the error.

        Args:
            reason: Constant name of the cause.
            path: Affected file or folder.
            detail: Description of the problem.
            remedy: Action that the operator can take.
        """
        super().__init__(f"{reason}: {path}: {detail}; {remedy}")
        self.reason = reason
        self.path = path
        self.detail = detail
        self.remedy = remedy
