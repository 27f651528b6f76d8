"""Plans of experiments: services, targets, traffic and faults."""

from collections.abc import Callable
import dataclasses
from typing import TYPE_CHECKING

from tamarack_core import configuration

if TYPE_CHECKING:
    from tamarack_lab.experiments import run as run_lib


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """A service and its targets.

    Attributes:
        name: Name of the service.
        settings: Configuration of the service.
        targets: Number of targets in each failure domain.
        slots: Work units that each target processes concurrently.
    """

    name: str
    settings: configuration.Service
    targets: int
    slots: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Stream of connections that callers open to one work class.

    Attributes:
        service: Name of the service.
        work_class: Name of the work class.
        rate: Function from the time in seconds to the openings per second in
            each failure domain.
        work_s: Mean duration of work in seconds at a target of normal speed.
        hold_s: Mean seconds for which a connection stays open after the
            response.
        timeout_s: Seconds after which a caller gives up.
        tries: Maximum number of attempts per connection.
        backoff_s: Mean seconds between attempts.
        domains: Failure domains of the callers; empty for all.
    """

    service: str
    work_class: str
    rate: Callable[[float], float]
    work_s: float
    hold_s: float = 0.0
    timeout_s: float = 60.0
    tries: int = 1
    backoff_s: float = 1.0
    domains: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ExperimentPlan:
    """Plan of an experiment.

    Attributes:
        name: Name on the command line.
        summary: Description for `tamarack experiment list`.
        services: Services and their targets.
        streams: Traffic of the callers.
        domains: Names of the failure domains.
        hosts: Number of entry hosts in each failure domain.
        duration_s: Duration of the run in seconds.
        warm_up_s: Seconds before load and goodput are measured.
        script: Function that schedules the faults of a run.
        bounds: Bounds that the figures of tamarackford must meet.
    """

    name: str
    summary: str
    services: tuple[ServicePlan, ...]
    streams: tuple[Stream, ...]
    domains: tuple[str, ...] = ("a",)
    hosts: int = 7
    duration_s: float = 120.0
    warm_up_s: float = 20.0
    script: Callable[["run_lib.Run"], None] | None = None
    bounds: tuple["Bound", ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """Permitted range of one figure.

    Attributes:
        figure: Name of a field of `Figures`.
        least: Smallest permitted value.
        most: Largest permitted value.
    """

    figure: str
    least: float = float("-inf")
    most: float = float("inf")


def constant(rate: float) -> Callable[[float], float]:
    """Returns a rate function that is constant over time."""
    return lambda _: rate
