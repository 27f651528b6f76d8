"""Experiments that test whether connections survive faults."""

import dataclasses
import functools

from tamarack_lab.experiments import balance_plans
from tamarack_lab.experiments import packet_run
from tamarack_lab.experiments import plans as plan_lib
from tamarack_lab.experiments import workloads

FAULT_S = 25.0
DEATH_INTERVAL_S = 10.0
REPLACEMENT_S = 8.0
RESTART_S = 3.0

_BROKEN_FLOWS_BOUND = plan_lib.Bound("broken_flows", most=0)


def plans() -> tuple[packet_run.PacketPlan, ...]:
    """Returns the experiments that test the survival of connections."""
    base = packet_run.PacketPlan(
        "host-death",
        "One of six entry hosts dies while feeds are open.",
        workloads.schedule(),
        script=lambda run: _kill_host(run, 0, FAULT_S),
        bounds=(*balance_plans.SAFETY_BOUNDS, _BROKEN_FLOWS_BOUND),
    )
    return (
        base,
        dataclasses.replace(
            base,
            name="two-host-deaths",
            summary="Two of six entry hosts die, 10 s apart.",
            script=_kill_two_hosts,
        ),
        dataclasses.replace(
            base,
            name="rolling-replacement",
            summary="All six entry hosts are stopped and restarted in turn.",
            script=_replace_all_hosts,
            duration_s=120.0,
        ),
        dataclasses.replace(
            base,
            name="one-way-cut",
            summary="Messages and packets of one host to another are lost.",
            script=_cut_one_way,
        ),
        dataclasses.replace(
            base,
            name="target-join",
            summary="An eighth target joins while feeds are open.",
            script=_start_target,
            targets=8,
            first_targets=7,
        ),
        dataclasses.replace(
            base,
            name="target-drain-packets",
            summary="A target drains while feeds are open; it keeps its own.",
            script=_drain_target,
        ),
        dataclasses.replace(
            base,
            name="target-death-packets",
            summary="A target dies; only its own connections may break.",
            script=_kill_target,
            bounds=(
                *balance_plans.SAFETY_BOUNDS,
                plan_lib.Bound("broken_flows", most=2 * base.flows / 7),
            ),
        ),
    )


def _kill_host(run: packet_run.PacketRun, number: int, at_s: float) -> None:
    """Schedules the death of a host at a time in seconds."""
    run.queue.at(at_s, lambda: run.kill_host(run.peers[number]))


def _kill_two_hosts(run: packet_run.PacketRun) -> None:
    """Schedules the death of two hosts."""
    _kill_host(run, 0, FAULT_S)
    _kill_host(run, 1, FAULT_S + DEATH_INTERVAL_S)


def _replace_all_hosts(run: packet_run.PacketRun) -> None:
    """Stops and restarts all hosts in turn."""
    for number, peer in enumerate(run.peers):
        at_s = FAULT_S + number * (REPLACEMENT_S + RESTART_S)
        run.queue.at(at_s, functools.partial(run.stop_host, peer))
        started_s = at_s + REPLACEMENT_S
        run.queue.at(started_s, functools.partial(run.start_host, peer))


def _cut_one_way(run: packet_run.PacketRun) -> None:
    """Drops messages and packets in one direction for 30 s."""
    pair = (run.peers[0].host, run.peers[1].host)
    run.queue.at(FAULT_S, lambda: run.network.cut_links.add(pair))
    run.queue.at(FAULT_S + 30.0, run.network.cut_links.clear)


def _start_target(run: packet_run.PacketRun) -> None:
    """Starts an additional target."""
    number = run.plan.first_targets
    run.queue.at(FAULT_S, lambda: run.start_target(number))


def _drain_target(run: packet_run.PacketRun) -> None:
    """Drains the first target."""
    address = next(iter(run.targets))
    run.queue.at(FAULT_S, lambda: run.drain_target(address))


def _kill_target(run: packet_run.PacketRun) -> None:
    """Kills the first target."""
    address = next(iter(run.targets))
    run.queue.at(FAULT_S, lambda: run.kill_target(address))
