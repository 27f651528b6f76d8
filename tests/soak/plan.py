"""Fault plan of a run, drawn at random from its seed."""

import dataclasses
import random

ENTRIES = 3
TARGETS = 6
DOMAINS = ("z0", "z1", "z2")
"""Failure domains; each has a target of each service."""

FAULTS_FROM_S = 5.0
FAULTS_UNTIL_S = 15.0
END_S = 24.0
"""Length of a run in seconds; the last nine have no faults."""

MIN_FAULTS, MAX_FAULTS = 4, 9
MIN_FAULT_S, MAX_FAULT_S = 0.5, 4.0

STOP_S = 3.0
"""Time that an entry host has for a graceful stop, in seconds."""

STOP_CONTROL_S = 4.0
"""Time that a control host has for a graceful stop, in seconds."""

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
"""Kinds of fault, with the kind of host or target that they affect."""

STOPS_CONTROL = "stop-control"


@dataclasses.dataclass(frozen=True)
class Layout:
    """Hosts of a run, and the faults that are drawn for them.

    Attributes:
        controls: Number of control hosts; the first three are seeds.
        kinds: Kinds of fault, with the kind of host or target that they
            affect.
    """

    controls: int
    kinds: dict[str, str]


VOTERS_ALONE = Layout(3, KINDS)
"""All control hosts vote."""

WITH_LEARNER = Layout(4, KINDS | {STOPS_CONTROL: "control"})
"""A control host that can replace a voter, and voters that are stopped."""

LAYOUTS = {"voters": VOTERS_ALONE, "learner": WITH_LEARNER}
"""Layouts by name, for the command line."""

CATCH_UP_S = 6.0
"""Minimum time between the losses of two disks, in seconds."""


@dataclasses.dataclass(frozen=True)
class Fault:
    """Fault of a host, a target or the network.

    Attributes:
        kind: One of the kinds of the layout.
        subject: Name of the host or target; empty for all.
        from_s: Start, in seconds after the start of the run.
        for_s: Duration, in seconds.
    """

    kind: str
    subject: str
    from_s: float
    for_s: float

    @property
    def until_s(self):
        """End, in seconds after the start of the run."""
        return self.from_s + self.for_s


def names(kind, layout=VOTERS_ALONE):
    """Returns the names of the hosts or targets of a kind."""
    controls = [f"c{number}" for number in range(layout.controls)]
    entries = [f"e{number}" for number in range(ENTRIES)]
    return {
        "all": [""],
        "control": controls,
        "entry": entries,
        "host": controls + entries,
        "target": [f"t{number}" for number in range(TARGETS)],
    }[kind]


def draw(seed, layout=VOTERS_ALONE):
    """Returns the faults of a run in the order of their start."""
    generator = random.Random(seed)
    faults = []
    lost_disk_s = -CATCH_UP_S
    for _ in range(generator.randint(MIN_FAULTS, MAX_FAULTS)):
        kind = generator.choice(list(layout.kinds))
        subject = generator.choice(names(layout.kinds[kind], layout))
        from_s = generator.uniform(FAULTS_FROM_S, FAULTS_UNTIL_S - MIN_FAULT_S)
        max_s = min(MAX_FAULT_S, FAULTS_UNTIL_S - from_s)
        for_s = generator.uniform(MIN_FAULT_S, max(MIN_FAULT_S, max_s))
        if kind == "stop":
            for_s = max(for_s, STOP_S)
        if kind == STOPS_CONTROL:
            for_s = max(for_s, STOP_CONTROL_S)
        if kind == LOSES_DISK:
            if abs(from_s - lost_disk_s) < CATCH_UP_S or lost_disk_s > 0:
                continue
            lost_disk_s = from_s
        faults.append(Fault(kind, subject, from_s, for_s))
    return sorted(faults, key=lambda fault: fault.from_s)
