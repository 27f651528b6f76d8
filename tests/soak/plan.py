"""Draws the faults of a run; the same seed draws the same ones."""

import dataclasses
import random

CONTROLS = 3
ENTRIES = 3
TARGETS = 6

FAULTS_FROM_S = 5.0
FAULTS_UNTIL_S = 15.0
END_S = 24.0
"""Length of a run in seconds; nothing is wrong in the last nine."""

FEWEST, MOST = 4, 9
SHORTEST_S, LONGEST_S = 0.5, 4.0

STOP_S = 3.0
"""Time that a host has to end in order, in seconds."""

LOSES_DISK = "wipe"
KINDS = {
    "kill": "host",
    "freeze": "host",
    "stop": "entry",
    "cut": "host",
    "cut-out": "host",
    "cut-in": "host",
    "delay": "all",
    "loss": "all",
    "clock": "host",
    "disk-full": "control",
    "disk-slow": "control",
    LOSES_DISK: "control",
    "kill-all-controls": "all",
    "kill-all": "all",
    "crash-target": "target",
    "replace-target": "target",
    "drain-target": "target",
}
"""Kinds of fault, and whom they concern."""

CATCH_UP_S = 6.0
"""Time after the loss of a disk in which no other is lost, in seconds."""


@dataclasses.dataclass(frozen=True)
class Fault:
    """Something that goes wrong.

    Attributes:
        kind: One of `KINDS`.
        subject: Name of the host or target; empty for all.
        from_s: Start, in seconds after the start of the run.
        for_s: How long it lasts, in seconds.
    """

    kind: str
    subject: str
    from_s: float
    for_s: float

    @property
    def until_s(self):
        """End, in seconds after the start of the run."""
        return self.from_s + self.for_s


def names(kind):
    """Returns the names of the hosts or targets of a kind."""
    controls = [f"c{number}" for number in range(CONTROLS)]
    entries = [f"e{number}" for number in range(ENTRIES)]
    return {
        "all": [""],
        "control": controls,
        "entry": entries,
        "host": controls + entries,
        "target": [f"t{number}" for number in range(TARGETS)],
    }[kind]


def draw(seed):
    """Returns the faults of a run in the order of their start."""
    chance = random.Random(seed)
    found = []
    lost_disk_s = -CATCH_UP_S
    for _ in range(chance.randint(FEWEST, MOST)):
        kind = chance.choice(list(KINDS))
        subject = chance.choice(names(KINDS[kind]))
        from_s = chance.uniform(FAULTS_FROM_S, FAULTS_UNTIL_S - SHORTEST_S)
        longest_s = min(LONGEST_S, FAULTS_UNTIL_S - from_s)
        for_s = chance.uniform(SHORTEST_S, max(SHORTEST_S, longest_s))
        if kind == "stop":
            for_s = max(for_s, STOP_S)
        if kind == LOSES_DISK:
            if abs(from_s - lost_disk_s) < CATCH_UP_S or lost_disk_s > 0:
                continue
            lost_disk_s = from_s
        found.append(Fault(kind, subject, from_s, for_s))
    return sorted(found, key=lambda fault: fault.from_s)
