"""Which entry hosts may open flows to a cold target.

Load pattern: half of the targets of a service are replaced, or all targets of a
failure domain return, so many targets are cold at once. Allotments are spread
over all hosts, so that each host can reach some of the cold targets.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import zlib

import msgspec


class Key(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one cold time of a target.

    Attributes:
        target: Name of the target.
        place_ms: Place of its start, in milliseconds.
        revision: Revision of the end of an evacuation by which the target
            became cold; 0 if it is cold since its start.
    """

    target: str
    place_ms: int
    revision: int = 0


class Allotment(msgspec.Struct, frozen=True, array_like=True):
    """The hosts that may open flows to a cold target.

    Attributes:
        key: The target and its cold time.
        hosts: Names of the hosts, the first ones first if the budget shrinks.
    """

    key: Key
    hosts: tuple[str, ...]


def choose_hosts(
    key: Key,
    known: Iterable[str],
    budget: int,
    held: Mapping[str, int],
    earlier: tuple[str, ...] = (),
) -> tuple[str, ...]:
    """Returns the hosts for a cold target, at most `budget`.

    A target that becomes cold again soon keeps its earlier hosts. One of them
    that is cut off may still act by the earlier allotment, and must not add to
    the hosts of the new one.

    Args:
        key: The target and its cold time.
        known: Names of the entry hosts that respond.
        budget: Largest number of hosts.
        held: Number of cold targets that each host was allotted, by name; 0
            for others.
        earlier: Hosts of an allotment of the target that may still be in use.
    """
    kept = earlier[:budget]
    others = sorted(
        set(known) - set(earlier),
        # The checksum lets targets that are cold at once begin with different
        # hosts, independent of the order of names.
        key=lambda host: (held.get(host, 0), _order(key, host), host),
    )
    return (*kept, *others[: budget - len(kept)])


def _order(key: Key, host: str) -> int:
    text = f"{key.target}/{key.place_ms}/{key.revision}/{host}"
    return zlib.crc32(text.encode(errors="surrogatepass"))
