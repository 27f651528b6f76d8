"""Experiments on the choice of a target."""

import dataclasses

import msgspec

from tamarack_core import requests
from tamarack_lab.experiments import entities
from tamarack_lab.experiments import plans as plan_lib
from tamarack_lab.experiments import run as run_lib
from tamarack_lab.experiments import workloads

LOAD = 0.7
WORK_S = 1.0
MAX_PEAK_OVER_MEAN = 1.15
FAULT_S = 40.0

NEVER_BROKEN = (
    plan_lib.Bound("at_most_once_violations", most=0),
    plan_lib.Bound("false_verdicts", most=0),
    plan_lib.Bound("wrong_service", most=0),
    plan_lib.Bound("late_new_flows", most=0),
)
_EVEN = plan_lib.Bound("imbalance_peak_over_mean", most=MAX_PEAK_OVER_MEAN)
_CONTROL = plan_lib.Bound("control_bytes_per_host_s", most=4000.0)
_UNBROKEN = plan_lib.Bound("broken_flows", most=0)


def plans() -> tuple[plan_lib.ExperimentPlan, ...]:
    """Returns the experiments on the choice of a target."""
    base = plan_lib.ExperimentPlan(
        "steady-seconds",
        "Agenda at 70% load, work of a second.",
        (workloads.agenda(),),
        workloads.agenda_traffic(workloads.units_at(LOAD, 7, WORK_S), WORK_S),
        duration_s=320.0,
        bounds=(*NEVER_BROKEN, _EVEN, _CONTROL, _UNBROKEN),
    )
    return (
        base,
        _cl_centro(base),
        _at_east(base),
        dataclasses.replace(
            base,
            name="steady-milliseconds",
            summary="Agenda at 70% load, work of 20 ms.",
            streams=workloads.agenda_traffic(
                workloads.units_at(LOAD, 7, 0.02), 0.02
            ),
            duration_s=60.0,
        ),
        dataclasses.replace(
            base,
            name="target-drain",
            summary="One of seven targets drains, comes back, at 60% load.",
            streams=workloads.agenda_traffic(
                workloads.units_at(0.6, 7, WORK_S), WORK_S
            ),
            script=_drain,
            duration_s=160.0,
            bounds=(*NEVER_BROKEN, _CONTROL, _UNBROKEN),
        ),
        dataclasses.replace(
            base,
            name="target-death",
            summary="One of seven targets dies at 60% load.",
            streams=workloads.agenda_traffic(
                workloads.units_at(0.6, 7, WORK_S), WORK_S
            ),
            script=_kill,
            duration_s=160.0,
            bounds=(*NEVER_BROKEN, _CONTROL),
        ),
        dataclasses.replace(
            base,
            name="lying-health",
            summary="A healthy target says that it is unhealthy.",
            script=_lie_about_health,
            bounds=(*NEVER_BROKEN, _EVEN, _UNBROKEN),
        ),
        dataclasses.replace(
            base,
            name="lying-load",
            summary="One target says that it is idle, another that it is full.",
            script=_lie_about_load,
            bounds=(*NEVER_BROKEN, _EVEN, _UNBROKEN),
        ),
        dataclasses.replace(
            base,
            name="cold-start",
            summary="A target starts four times slower than a warm one.",
            streams=workloads.agenda_traffic(
                workloads.units_at(0.6, 7, WORK_S), WORK_S
            ),
            script=_cold_start,
            duration_s=160.0,
            bounds=(*NEVER_BROKEN, _UNBROKEN),
        ),
        dataclasses.replace(
            base,
            name="host-death-load",
            summary="An owner of the flows dies; load stays even after it.",
            script=_kill_host,
            bounds=(*NEVER_BROKEN, _EVEN, _UNBROKEN),
        ),
    )


def _cl_centro(base: plan_lib.ExperimentPlan) -> plan_lib.ExperimentPlan:
    """Returns today's sizes of agenda and informe."""
    certificates = workloads.units_at(LOAD, 3, WORK_S)
    return dataclasses.replace(
        base,
        name="today-cl-centro",
        summary="Agenda with 7 and informe with 3 targets at 70% load.",
        services=(workloads.agenda(), workloads.informe()),
        streams=(
            *base.streams,
            plan_lib.Stream(
                "informe",
                "certificate",
                plan_lib.constant(certificates),
                WORK_S,
            ),
        ),
        hosts=6,
    )


def _at_east(base: plan_lib.ExperimentPlan) -> plan_lib.ExperimentPlan:
    """Returns today's sizes of schedule-svc and chime-store."""
    each = workloads.units_at(LOAD, 7, WORK_S) / 2
    downloads = workloads.units_at(LOAD, 4, WORK_S)
    return dataclasses.replace(
        base,
        name="today-at-east",
        summary="Schedule-svc with 7 and chime-store with 4 targets at 70%.",
        services=(workloads.schedule(), workloads.chimes()),
        streams=(
            plan_lib.Stream(
                "schedule-svc",
                "feed",
                plan_lib.constant(each),
                WORK_S,
                hold_s=60.0,
            ),
            plan_lib.Stream(
                "schedule-svc", "edit", plan_lib.constant(each), WORK_S
            ),
            plan_lib.Stream(
                "chime-store",
                "download",
                plan_lib.constant(downloads),
                WORK_S,
            ),
        ),
    )


def _drain(run: run_lib.Run) -> None:
    """Drains the first target for a minute."""
    target = next(iter(run.targets.values()))

    def set_state(state: requests.TargetState) -> None:
        """Announces a state."""
        target.announcement = _replace(target, state=state)
        is_draining = state is requests.TargetState.DRAINING
        target.drained_s = run.queue.now_s if is_draining else float("inf")
        run.announce(target)

    run.queue.at(FAULT_S, lambda: set_state(requests.TargetState.DRAINING))
    run.queue.at(FAULT_S + 60.0, lambda: set_state(requests.TargetState.READY))


def _kill(run: run_lib.Run) -> None:
    """Ends the first target."""
    target = next(iter(run.targets.values()))
    run.queue.at(FAULT_S, lambda: run.kill_target(target))


def _kill_host(run: run_lib.Run) -> None:
    """Ends the host that owns the most flows."""

    def kill() -> None:
        """Ends it."""
        run.kill_host(max(run.flows, key=lambda name: len(run.flows[name])))

    run.queue.at(FAULT_S, kill)


def _lie_about_health(run: run_lib.Run) -> None:
    """Lets the first target announce that it is unhealthy."""
    target = next(iter(run.targets.values()))
    target.announcement = _replace(target, healthy=False)


def _lie_about_load(run: run_lib.Run) -> None:
    """Lets two targets announce a load that they do not have."""
    idle, full = list(run.targets.values())[:2]
    idle.announcement = _replace(idle, load=0.0)
    full.announcement = _replace(full, load=1000.0)


def _cold_start(run: run_lib.Run) -> None:
    """Restarts the first target, which is slow for ten seconds."""
    target = next(iter(run.targets.values()))

    def restart() -> None:
        """Starts the target anew under its old address."""
        target.machine.alive = True
        target.machine.running = 0.0
        target.machine.slowdown = 4.0
        incarnation = target.announcement.incarnation + 1
        target.announcement = _replace(target, incarnation=incarnation)
        run.renew(target)

    def warm() -> None:
        """Ends the cold start."""
        target.machine.slowdown = 1.0

    run.queue.at(0.5, lambda: run.kill_target(target))
    run.queue.at(FAULT_S, restart)
    run.queue.at(FAULT_S + 10.0, warm)


def _replace(target: entities.Target, **changes: object) -> requests.Announce:
    """Returns the announcement of a target with changes."""
    return msgspec.structs.replace(target.announcement, **changes)
