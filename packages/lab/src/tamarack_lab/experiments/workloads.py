"""Services and traffic with the sizes of the current deployments."""

from tamarack_core import configuration
from tamarack_lab.experiments import plans

_LONG_LIVED = configuration.Lifetime.LONG_LIVED

AGENDA = configuration.Service(
    addresses=("10.9.0.1",),
    classes={
        "route": configuration.WorkClass(443, 8443, lifetime=_LONG_LIVED),
        "report": configuration.WorkClass(
            444, 8444, cost=2.0, idempotent=False, deadline_s=30.0
        ),
    },
    target_networks=("10.20.0.0/16",),
    weights=configuration.Weights(broken_flows=1.0, imbalance=3.0),
)

INFORME = configuration.Service(
    addresses=("10.9.0.2",),
    classes={"certificate": configuration.WorkClass(443, 8443)},
    target_networks=("10.21.0.0/16",),
    weights=configuration.Weights(broken_flows=1.0, imbalance=3.0),
)

SCHEDULE = configuration.Service(
    addresses=("10.9.1.1",),
    classes={
        "feed": configuration.WorkClass(443, 8443, lifetime=_LONG_LIVED),
        "edit": configuration.WorkClass(444, 8444, idempotent=False),
    },
    target_networks=("10.22.0.0/16",),
    weights=configuration.Weights(broken_flows=3.0, imbalance=1.0),
)

CHIMES = configuration.Service(
    addresses=("10.9.1.2",),
    classes={"download": configuration.WorkClass(443, 8443)},
    target_networks=("10.23.0.0/16",),
    weights=configuration.Weights(broken_flows=3.0, imbalance=1.0),
)

SLOTS = 2


def agenda(targets: int = 7) -> plans.ServicePlan:
    """Returns the plan of agenda.

    Args:
        targets: Number of targets in each failure domain.
    """
    return plans.ServicePlan("agenda", AGENDA, targets, SLOTS)


def informe() -> plans.ServicePlan:
    """Returns the plan of informe, which has three targets."""
    return plans.ServicePlan("informe", INFORME, 3, SLOTS)


def schedule() -> plans.ServicePlan:
    """Returns the plan of schedule-svc, which has seven targets."""
    return plans.ServicePlan("schedule-svc", SCHEDULE, 7, SLOTS)


def chimes() -> plans.ServicePlan:
    """Returns the plan of chime-store, which has four targets."""
    return plans.ServicePlan("chime-store", CHIMES, 4, SLOTS)


def agenda_traffic(
    units_per_s: float, work_s: float, hold_s: float = 30.0
) -> tuple[plans.Stream, ...]:
    """Returns traffic of agenda with equal rates of routes and reports.

    Args:
        units_per_s: Work units per second that are opened in a failure domain.
        work_s: Mean duration of the work of both classes in seconds.
        hold_s: Mean seconds for which a route stays open.
    """
    rate = units_per_s / (1.0 + AGENDA.classes["report"].cost)
    return (
        plans.Stream(
            "agenda", "route", plans.constant(rate), work_s, hold_s=hold_s
        ),
        plans.Stream("agenda", "report", plans.constant(rate), work_s),
    )


def units_at(load: float, targets: int, work_s: float) -> float:
    """Returns the work units per second that cause a given load.

    Args:
        load: Mean share of the slots that are busy.
        targets: Number of targets.
        work_s: Mean seconds for which a work unit occupies a slot.
    """
    return load * targets * SLOTS / work_s
