"""Simulated targets and connections of a run."""

import dataclasses

from tamarack_core import requests
from tamarack_core.internal.entry import lookup
from tamarack_lab.experiments import plans
from tamarack_lab.experiments import target_queue as target_queues


@dataclasses.dataclass(slots=True, eq=False)
class Target:
    """A simulated target and what it announces.

    Attributes:
        target_queue: Slots and queue of the target.
        announcement: Content of its next announcement.
        domain: Failure domain of the target.
        drained_s: Time in seconds at which it announced draining; infinite if
            it isn't draining.
        flows: Connections that are assigned to the target.
    """

    target_queue: target_queues.TargetQueue
    announcement: requests.Announce
    domain: str
    drained_s: float = float("inf")
    flows: set["Flow"] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True, eq=False)
class Flow:
    """A connection of a caller, including all attempts to open it.

    Attributes:
        number: Number of the connection.
        stream: Stream that the connection belongs to.
        port: Service port.
        domain: Failure domain of the caller.
        work_s: Duration of its work in seconds at a target of normal speed.
        hold_s: Seconds for which it stays open after the response.
        opened_s: Time of the first attempt in seconds.
        tries: Number of attempts so far.
        key: Flow key of the current attempt.
        owner: Name of the owning host.
        target: Chosen target; None before one is chosen.
        job: Work that was submitted to the target.
        tried_s: Time of the current attempt in seconds.
        runs: Number of times that its work was completed.
        is_finished: Whether the caller has closed it or given up.
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
    is_finished: bool = False
