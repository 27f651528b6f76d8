"""Cost of bursts of events, in addition to the average costs."""

from collections.abc import Mapping

import msgspec

from tamarack_lab.capacity import sizes

RACK_HOSTS = 40
CUT_S = 600.0
ROLLING_SHARE_PER_MINUTE = 0.02
SECONDS_PER_MINUTE = 60.0


class Burst(msgspec.Struct, frozen=True):
    """Cost of one burst at one host.

    Attributes:
        name: Event that causes the burst.
        bytes: Bytes that one host receives because of it.
        seconds: Time in which the traffic budget of a host allows these bytes.
        note: Effect of the event.
    """

    name: str
    bytes: float
    seconds: float
    note: str


def bursts(
    size: sizes.Size, budget: sizes.Budget, slope: Mapping[str, float]
) -> list[Burst]:
    """Returns the bursts that the system must sustain.

    Args:
        size: Size of the system.
        budget: Budget of a host.
        slope: Value of each slope by name.
    """
    rack = min(RACK_HOSTS, max(size.hosts_per_domain / 2, 1))
    rack_flows = rack * size.flows_per_host / size.hosts_per_domain
    missed = CUT_S * size.changes_per_s
    restarting = size.hosts * ROLLING_SHARE_PER_MINUTE / SECONDS_PER_MINUTE
    rows = (
        (
            f"a rack of {rack:.0f} hosts lost",
            rack * slope["member_change_bytes"]
            + rack_flows * slope["tracked_opening_bytes"],
            "flows of the rack pass to their backups, which name new backups",
        ),
        (
            "a failure domain lost",
            size.openings_per_host
            / max(size.domains - 1, 1)
            * slope["tracked_opening_bytes"]
            * CUT_S,
            "the other domains take its new flows; open ones end with it",
        ),
        (
            f"regions cut for {CUT_S:.0f} s and healed",
            missed * slope["delta_bytes"],
            "the cut hosts catch up with the changes missed",
        ),
        (
            "a host restarts",
            size.addresses * slope["snapshot_bytes"],
            "the whole configuration is fetched",
        ),
        (
            "a rolling restart, 2% of the hosts a minute",
            restarting
            / max(size.domains, 1)
            * 2
            * slope["member_change_bytes"]
            * SECONDS_PER_MINUTE,
            "membership changes of one minute in a failure domain",
        ),
    )
    return [
        Burst(name, amount, amount / budget.bytes_per_s, note)
        for name, amount, note in rows
    ]
