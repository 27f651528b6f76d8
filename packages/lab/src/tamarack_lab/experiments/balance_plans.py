"""Experiments that test how targets are chosen."""

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

SAFETY_BOUNDS = (
    plan_lib.Bound("at_most_once_violations", most=0),
    plan_lib.Bound("false_verdicts", most=0),
    plan_lib.Bound("wrong_service", most=0),
    plan_lib.Bound("late_new_flows", most=0),
)
_IMBALANCE_BOUND = plan_lib.Bound(
    "imbalance_peak_over_mean", most=MAX_PEAK_OVER_MEAN
)
_CONTROL_TRAFFIC_BOUND = plan_lib.Bound("control_bytes_per_host_s", most=4000.0)
_BROKEN_FLOWS_BOUND = plan_lib.Bound("broken_flows", most=0)


def plans() -> tuple[plan_lib.ExperimentPlan, ...]:
    """Returns the experiments that test how targets are chosen."""
    base = plan_lib.ExperimentPlan(
        "steady-seconds",
        "Agenda at 70% load, work of one second.",
        (workloads.agenda(),),
        workloads.agenda_traffic(workloads.units_at(LOAD, 7, WORK_S), WORK_S),
        duration_s=320.0,
        bounds=(
            *SAFETY_BOUNDS,
            _IMBALANCE_BOUND,
            _CONTROL_TRAFFIC_BOUND,
            _BROKEN_FLOWS_BOUND,
        ),
    )
    return (
        base,
        _agenda_and_informe(base),
        _schedule_and_chimes(base),
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
            summary="One of seven targets drains and returns, at 60% load.",
            streams=workloads.agenda_traffic(
                workloads.units_at(0.6, 7, WORK_S), WORK_S
            ),
            script=_drain_target,
            duration_s=160.0,
            bounds=(
                *SAFETY_BOUNDS,
                _CONTROL_TRAFFIC_BOUND,
                _BROKEN_FLOWS_BOUND,
            ),
        ),
        dataclasses.replace(
            base,
            name="target-death",
            summary="One of seven targets dies at 60% load.",
            streams=workloads.agenda_traffic(
                workloads.units_at(0.6, 7, WORK_S), WORK_S
            ),
            script=_kill_target,
            duration_s=160.0,
            bounds=(*SAFETY_BOUNDS, _CONTROL_TRAFFIC_BOUND),
        ),
        dataclasses.replace(
            base,
            name="lying-health",
            summary="A healthy target announces that it is unhealthy.",
            script=_lie_about_health,
            bounds=(*SAFETY_BOUNDS, _IMBALANCE_BOUND, _BROKEN_FLOWS_BOUND),
        ),
        dataclasses.replace(
            base,
            name="lying-load",
            summary="One target claims to be idle, another claims to be full.",
            script=_lie_about_load,
            bounds=(*SAFETY_BOUNDS, _IMBALANCE_BOUND, _BROKEN_FLOWS_BOUND),
        ),
        dataclasses.replace(
            base,
            name="cold-start",
            summary="A restarted target is four times slower for ten seconds.",
            streams=workloads.agenda_traffic(
                workloads.units_at(0.6, 7, WORK_S), WORK_S
            ),
            script=_cold_start,
            duration_s=160.0,
            bounds=(*SAFETY_BOUNDS, _BROKEN_FLOWS_BOUND),
        ),
        dataclasses.replace(
            base,
            name="host-death-load",
            summary="An entry host that owns flows dies; load must stay even.",
            script=_kill_host,
            bounds=(*SAFETY_BOUNDS, _IMBALANCE_BOUND, _BROKEN_FLOWS_BOUND),
        ),
    )


def _agenda_and_informe(
    base: plan_lib.ExperimentPlan,
) -> plan_lib.ExperimentPlan:
    """Returns the experiment with the current sizes of agenda and informe."""
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


def _schedule_and_chimes(
    base: plan_lib.ExperimentPlan,
) -> plan_lib.ExperimentPlan:
    """Returns the experiment with current schedule-svc and chime-store."""
    rate = workloads.units_at(LOAD, 7, WORK_S) / 2
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
                plan_lib.constant(rate),
                WORK_S,
                hold_s=60.0,
            ),
            plan_lib.Stream(
                "schedule-svc", "edit", plan_lib.constant(rate), WORK_S
            ),
            plan_lib.Stream(
                "chime-store",
                "download",
                plan_lib.constant(downloads),
                WORK_S,
            ),
        ),
    )


def _drain_target(run: run_lib.Run) -> None:
    """Drains the first target for a minute."""
    target = next(iter(run.targets.values()))

    def set_state(state: requests.TargetState) -> None:
        """Announces the target with a state."""
        target.announcement = _changed_announcement(target, state=state)
        is_draining = state is requests.TargetState.DRAINING
        target.drained_s = run.queue.now_s if is_draining else float("inf")
        run.announce(target)

    run.queue.at(FAULT_S, lambda: set_state(requests.TargetState.DRAINING))
    run.queue.at(FAULT_S + 60.0, lambda: set_state(requests.TargetState.READY))


def _kill_target(run: run_lib.Run) -> None:
    """Kills the first target."""
    target = next(iter(run.targets.values()))
    run.queue.at(FAULT_S, lambda: run.kill_target(target))


def _kill_host(run: run_lib.Run) -> None:
    """Kills the host that owns the most flows."""

    def kill() -> None:
        """Kills the host that owns the most flows at that time."""
        run.kill_host(max(run.flows, key=lambda name: len(run.flows[name])))

    run.queue.at(FAULT_S, kill)


def _lie_about_health(run: run_lib.Run) -> None:
    """Makes the first target announce that it is unhealthy."""
    target = next(iter(run.targets.values()))
    target.announcement = _changed_announcement(target, healthy=False)


def _lie_about_load(run: run_lib.Run) -> None:
    """Makes two targets announce a load that differs from their actual one."""
    idle, full = list(run.targets.values())[:2]
    idle.announcement = _changed_announcement(idle, load=0.0)
    full.announcement = _changed_announcement(full, load=1000.0)


def _cold_start(run: run_lib.Run) -> None:
    """Restarts the first target, which then is slow for ten seconds."""
    target = next(iter(run.targets.values()))

    def restart() -> None:
        """Restarts the target at its address with the next incarnation."""
        target.target_queue.alive = True
        target.target_queue.running = 0.0
        target.target_queue.slowdown = 4.0
        incarnation = target.announcement.incarnation + 1
        target.announcement = _changed_announcement(
            target, incarnation=incarnation
        )
        run.renew(target)

    def end_slowdown() -> None:
        """Restores the normal speed of the target."""
        target.target_queue.slowdown = 1.0

    run.queue.at(0.5, lambda: run.kill_target(target))
    run.queue.at(FAULT_S, restart)
    run.queue.at(FAULT_S + 10.0, end_slowdown)


def _changed_announcement(
    target: entities.Target, **changes: object
) -> requests.Announce:
    """Returns the announcement of a target with some fields changed."""
    return msgspec.structs.replace(target.announcement, **changes)
