"""Steps of a demonstration: a kill, a drain and patches."""

import asyncio
from collections.abc import Callable
import pathlib
import time
from typing import Any

import msgspec

from tamarack_core import requests
from tamarack_lab.demo import summary
from tamarack_lab.deployment import deployment as deployments
from tamarack_lab.deployment import layout as layouts
from tamarack_lab.deployment import plan as plans
from tamarack_lab.deployment import port_allocator as port_allocators

LOAD_S = 20.0
GRACE_S = 8.0
# Time in which the fabric detects a dead entry host.
WITHDRAW_S = 0.5

ProgressCallback = Callable[[str], None]


class Demo:
    """Runs one deployment through a host failure, a drain and a patch.

    Attributes:
        deployment: The deployment.
        on_progress: Called with each line of progress.
        started_s: Monotonic time of the start in seconds.
    """

    __slots__ = ("deployment", "on_progress", "started_s")

    def __init__(
        self,
        plan: plans.DeploymentPlan,
        folder: pathlib.Path,
        seed: int,
        ports: port_allocators.PortAllocator,
        on_progress: ProgressCallback,
    ) -> None:
        """Initializes the demonstration without starting it.

        Args:
            plan: Plan of the deployment.
            folder: Folder of settings, logs and state; must exist.
            seed: Seed of all random generators.
            ports: Allocates free ports.
            on_progress: Called with each line of progress.
        """
        layout = layouts.build(plan, str(folder), seed, ports)
        self.deployment = deployments.Deployment(layout, folder)
        self.on_progress = on_progress
        self.started_s = time.monotonic()

    def _report_progress(self, text: str) -> None:
        """Reports progress with the time since the start."""
        elapsed_s = time.monotonic() - self.started_s
        name = self.deployment.layout.plan.name
        self.on_progress(f"{elapsed_s:5.1f} s  {name}: {text}")

    async def run(self) -> summary.Outcome:
        """Runs the demonstration and stops all its processes.

        Raises:
            DeploymentError: A step failed.
        """
        try:
            outcome = await self._run_steps()
        finally:
            statuses = await self.deployment.close()
        outcome.exit_statuses = statuses
        self._report_progress("all processes have stopped")
        return outcome

    async def _run_steps(self) -> summary.Outcome:
        """Runs the steps in order and collects the outcome."""
        deployment = self.deployment
        await self._start()
        self._report_progress("callers open connections")
        await deployment.start_callers(LOAD_S, GRACE_S)
        await asyncio.sleep(LOAD_S * 0.2)
        await self._replace_entry()
        await self._drain(deployment.layout.target_specs()[0].address)
        await self._patch(
            [
                {
                    "op": "replace",
                    "path": f"/services/{service.name}/weights/imbalance",
                    "value": service.weights.imbalance + 1,
                }
                for service in deployment.layout.plan.services
            ],
            "increase the weight of imbalance",
        )
        self._report_progress("waiting for the callers to finish")
        callers = await deployment.finish_callers(LOAD_S + GRACE_S + 5.0)
        return summary.Outcome(
            name=deployment.layout.plan.name,
            callers=callers,
            targets=await deployment.read_targets(),
            version=deployment.version,
            versions=await deployment.versions(),
        )

    async def _start(self) -> None:
        """Starts all processes except the callers."""
        deployment = self.deployment
        layout = deployment.layout
        self._report_progress(
            f"starting the fabric, {len(layout.controls)} control hosts and "
            f"{len(layout.entries)} entry hosts"
        )
        await deployment.start_system()
        document = msgspec.to_builtins(layout.plan.document())
        await self._patch(
            [
                {"op": "add", "path": f"/services/{name}", "value": service}
                for name, service in document["services"].items()
            ],
            "create the services",
        )
        self._report_progress(f"starting {len(layout.target_specs())} targets")
        await deployment.start_targets()

    async def _patch(self, operations: list[dict[str, Any]], note: str) -> None:
        """Submits a patch and waits until it is in force."""
        verdict = await self.deployment.submit(operations, note)
        if verdict.state is not requests.PatchState.ACCEPTED:
            raise deployments.DeploymentError(
                f"patch {verdict.state}: {verdict.reason}"
            )
        await self.deployment.wait_version()
        self._report_progress(
            f"version {verdict.version} is in force everywhere: {note}"
        )

    async def _replace_entry(self) -> None:
        """Kills an entry host and starts a replacement."""
        deployment = self.deployment
        killed = deployment.layout.entries[0]
        self._report_progress(f"killing {killed.host}")
        await deployment.kill_entry(killed)
        await asyncio.sleep(WITHDRAW_S)
        await deployment.withdraw_entry(killed)
        name = f"{killed.host}-new"
        self._report_progress(f"starting {name} in its place")
        await deployment.replace_entry(killed, name)
        self._report_progress(f"{name} receives packets")

    async def _drain(self, address: str) -> None:
        """Drains a target and waits for the end of its drain period."""
        self._report_progress(f"draining target {address}")
        await self.deployment.drain_target(address)
        await asyncio.sleep(summary.DRAIN_GRACE_S)
