"""What the core gets to know of a data folder."""

from collections.abc import Sequence

import msgspec


class DiskContents(msgspec.Struct, frozen=True):
    """What the data folder held at the start.

    Attributes:
        incarnation: Identifier made when the folder was created.
        snapshot: Data of the last snapshot, if any.
        records: Records after it, in order.
        targets: Data of the last `SaveTargets`, if any.
    """

    incarnation: str
    snapshot: bytes | None = None
    records: Sequence[bytes] = ()
    targets: bytes | None = None
