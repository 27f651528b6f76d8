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
        settings: Its configuration.
        targets: Number of targets in each failure domain.
        slots: Slots of each target.
    """

    name: str
    settings: configuration.Service
    targets: int
    slots: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Connections that callers open to one work class.

    Attributes:
        service: Name of the service.
        work_class: Name of the work class.
        rate: Openings a second in each failure domain, by time in seconds.
        work_s: Mean seconds of work at a warm target.
        hold_s: Mean seconds that a long-lived connection stays open.
        patience_s: Seconds after which a caller gives up.
        tries: Openings that a caller tries in all after refusals.
        backoff_s: Mean seconds between tries.
        domains: Failure domains of the callers; empty for all.
    """

    service: str
    work_class: str
    rate: Callable[[float], float]
    work_s: float
    hold_s: float = 0.0
    patience_s: float = 60.0
    tries: int = 1
    backoff_s: float = 1.0
    domains: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ExperimentPlan:
    """One experiment.

    Attributes:
        name: Name on the command line.
        summary: Sentence for `tamarack experiment list`.
        services: The services.
        streams: The traffic.
        domains: Names of the failure domains.
        hosts: Entry hosts in each failure domain.
        duration_s: Length of the run in seconds.
        warm_up_s: Seconds before the measure starts.
        script: Schedules the faults of the run.
        bounds: Promises that tamarackford must keep.
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
    """A promise on one figure.

    Attributes:
        figure: Name of the figure.
        least: Least permitted value.
        most: Greatest permitted value.
    """

    figure: str
    least: float = float("-inf")
    most: float = float("inf")


def constant(rate: float) -> Callable[[float], float]:
    """Returns a rate that does not change."""
    return lambda _: rate
