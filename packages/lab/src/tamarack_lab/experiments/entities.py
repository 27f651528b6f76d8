"""Targets and connections of a run."""

import dataclasses

from tamarack_core import requests
from tamarack_core.internal.entry import lookup
from tamarack_lab.experiments import plans
from tamarack_lab.experiments import target_queue as target_queues


@dataclasses.dataclass(slots=True, eq=False)
class Target:
    """A simulated target and what it announces.

    Attributes:
        machine: The slots.
        announcement: What it announces next.
        domain: Failure domain.
        drained_s: Time at which it announced draining, in seconds.
        flows: Connections that it holds.
    """

    machine: target_queues.TargetQueue
    announcement: requests.Announce
    domain: str
    drained_s: float = float("inf")
    flows: set["Flow"] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True, eq=False)
class Flow:
    """A connection of a caller over all its tries.

    Attributes:
        number: Number of the connection.
        stream: The stream that it belongs to.
        port: Service port.
        domain: Failure domain of the caller.
        work_s: Seconds of work.
        hold_s: Seconds to stay open after the answer.
        opened_s: Time of the first try in seconds.
        tries: Tries so far.
        key: Flow key of the present try.
        owner: Name of the owning host.
        target: Its target.
        job: Its work at the target.
        runs: How often its work has started.
        over: Whether the caller is done with it.
    """

    number: int
    stream: plans.Stream
    port: lookup.ServicePort
    domain: str
    work_s: float
    hold_s: float
    opened_s: float
    tries: int = 0
    key: bytes = b""
    owner: str = ""
    target: Target | None = None
    job: target_queues.Job | None = None
    tried_s: float = 0.0
    runs: int = 0
    over: bool = False
