"""Experiments on limits, overload and failure domains."""

import dataclasses

import msgspec

from tamarack_core import configuration
from tamarack_lab.experiments import balance_plans
from tamarack_lab.experiments import plans as plan_lib
from tamarack_lab.experiments import run as run_lib
from tamarack_lab.experiments import workloads

WORK_S = 0.5
PATIENCE_S = 4.0
KNEE_UNITS_S = 7 * workloads.SLOTS / WORK_S
GOODPUT_SHARE = 0.95
LIMIT = 12
SAMPLE_S = 0.5
CUT_S = 40.0
HEAL_S = 80.0

_BASE = balance_plans.NEVER_BROKEN
_WITHIN = plan_lib.Bound("over_limit", most=0)

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
    double = _overload("overload-double", 2.0)
    limited = plan_lib.ExperimentPlan(
        "limit-host-death",
        f"Limit of {LIMIT} connections; an owner dies and starts again.",
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
        script=_restart_owner,
        bounds=(*_BASE, _WITHIN),
    )
    return (
        knee,
        double,
        limited,
        dataclasses.replace(
            limited,
            name="limit-domain-cut",
            summary=f"Limit of {LIMIT} over three domains; one is cut off.",
            domains=("a", "b", "c"),
            script=_cut_domain,
        ),
    )


def _overload(name: str, factor: float) -> plan_lib.ExperimentPlan:
    """Returns an experiment at a multiple of the capacity."""
    rate = KNEE_UNITS_S * factor
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
                patience_s=PATIENCE_S,
                tries=3,
            ),
        ),
        bounds=(
            *_BASE,
            plan_lib.Bound(
                "goodput_units_s", least=GOODPUT_SHARE * KNEE_UNITS_S
            ),
        ),
    )


def _restart_owner(run: run_lib.Run) -> None:
    """Ends the host with the most flows and starts it anew later."""
    _watch_limit(run)
    names: list[str] = []

    def kill() -> None:
        """Ends the host."""
        name = max(run.flows, key=lambda name: len(run.flows[name]))
        names.append(name)
        run.kill_host(name)

    run.queue.at(CUT_S, kill)
    run.queue.at(HEAL_S, lambda: run.restart_host(names[0]))


def _cut_domain(run: run_lib.Run) -> None:
    """Cuts a failure domain off and lets it come back."""
    _watch_limit(run)
    run.queue.at(CUT_S, lambda: run.network.isolated_domains.add("a"))
    run.queue.at(HEAL_S, run.network.isolated_domains.clear)


def _watch_limit(run: run_lib.Run) -> None:
    """Compares the open connections with the limit again and again."""
    open_flows = sum(len(target.flows) for target in run.targets.values())
    over = open_flows - LIMIT
    run.figures.over_limit = max(run.figures.over_limit, over)
    run.queue.after(SAMPLE_S, lambda: _watch_limit(run))
