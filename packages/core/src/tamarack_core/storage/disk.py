"""Contents of a data folder, as passed to the core."""

from collections.abc import Sequence

import msgspec


class DiskContents(msgspec.Struct, frozen=True):
    """Contents of the data folder at the start of the host.

    Attributes:
        incarnation: Identifier generated when the folder was created.
        snapshot: Data of the last snapshot, if any.
        records: Records after the snapshot, in order.
        targets: Data of the last `SaveTargets`, if any.
    """

    incarnation: str
    snapshot: bytes | None = None
    records: Sequence[bytes] = ()
    targets: bytes | None = None
