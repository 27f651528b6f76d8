"""Experiments on limits, overload and failure domains."""

import dataclasses

import msgspec

from tamarack_core import configuration
from tamarack_lab.experiments import balance_plans
from tamarack_lab.experiments import plans as plan_lib
from tamarack_lab.experiments import run as run_lib
from tamarack_lab.experiments import workloads

WORK_S = 0.5
TIMEOUT_S = 4.0
CAPACITY_UNITS_PER_S = 7 * workloads.SLOTS / WORK_S
GOODPUT_SHARE = 0.95
LIMIT = 12
SAMPLE_S = 0.5
FAULT_S = 40.0
RECOVERY_S = 80.0

_SAFETY_BOUNDS = balance_plans.SAFETY_BOUNDS
_LIMIT_BOUND = plan_lib.Bound("over_limit", most=0)

_ONE_CLASS = msgspec.structs.replace(
    workloads.INFORME,
    classes={"certificate": configuration.WorkClass(443, 8443)},
)
_LIMITED = msgspec.structs.replace(
    workloads.INFORME,
    classes={
        "certificate": configuration.WorkClass(443, 8443, max_concurrent=LIMIT)
    },
)


def plans() -> tuple[plan_lib.ExperimentPlan, ...]:
    """Returns the experiments on limits, overload and failure domains."""
    knee = _overload("overload-knee", 1.0)
    doubled = _overload("overload-double", 2.0)
    limited = plan_lib.ExperimentPlan(
        "limit-host-death",
        f"Limit of {LIMIT} connections; an owner is killed and restarted.",
        (plan_lib.ServicePlan("informe", _LIMITED, 12, workloads.SLOTS),),
        (
            plan_lib.Stream(
                "informe",
                "certificate",
                plan_lib.constant(40.0),
                WORK_S,
                tries=2,
            ),
        ),
        script=_kill_and_restart_host,
        bounds=(*_SAFETY_BOUNDS, _LIMIT_BOUND),
    )
    return (
        knee,
        doubled,
        limited,
        dataclasses.replace(
            limited,
            name="limit-domain-cut",
            summary=f"Limit of {LIMIT} over three domains; one is isolated.",
            domains=("a", "b", "c"),
            script=_isolate_domain,
        ),
    )


def _overload(name: str, factor: float) -> plan_lib.ExperimentPlan:
    """Returns an experiment with openings at a multiple of the capacity."""
    rate = CAPACITY_UNITS_PER_S * factor
    return plan_lib.ExperimentPlan(
        name,
        f"Openings at {factor:g} times the capacity; callers try three times.",
        (plan_lib.ServicePlan("informe", _ONE_CLASS, 7, workloads.SLOTS),),
        (
            plan_lib.Stream(
                "informe",
                "certificate",
                plan_lib.constant(rate),
                WORK_S,
                timeout_s=TIMEOUT_S,
                tries=3,
            ),
        ),
        bounds=(
            *_SAFETY_BOUNDS,
            plan_lib.Bound(
                "goodput_units_s", least=GOODPUT_SHARE * CAPACITY_UNITS_PER_S
            ),
        ),
    )


def _kill_and_restart_host(run: run_lib.Run) -> None:
    """Kills the host that owns the most flows and restarts it later."""
    _check_limit(run)
    names: list[str] = []

    def kill() -> None:
        """Kills the host that owns the most flows at that time."""
        name = max(run.flows, key=lambda name: len(run.flows[name]))
        names.append(name)
        run.kill_host(name)

    run.queue.at(FAULT_S, kill)
    run.queue.at(RECOVERY_S, lambda: run.restart_host(names[0]))


def _isolate_domain(run: run_lib.Run) -> None:
    """Isolates a failure domain and reconnects it later."""
    _check_limit(run)
    run.queue.at(FAULT_S, lambda: run.network.isolated_domains.add("a"))
    run.queue.at(RECOVERY_S, run.network.isolated_domains.clear)


def _check_limit(run: run_lib.Run) -> None:
    """Compares the open connections with the limit every `SAMPLE_S`."""
    open_flows = sum(len(target.flows) for target in run.targets.values())
    over = open_flows - LIMIT
    run.figures.over_limit = max(run.figures.over_limit, over)
    run.queue.after(SAMPLE_S, lambda: _check_limit(run))
