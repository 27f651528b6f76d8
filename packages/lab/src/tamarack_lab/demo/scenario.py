"""Course of a demonstration."""

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
# The fabric notices a dead entry host after this time.
WITHDRAW_S = 0.5

Show = Callable[[str], None]


class Demo:
    """Takes one deployment through a kill, a drain and a patch.

    Attributes:
        deployment: The deployment.
        show: Shows a line of progress.
        started_s: Monotonic time of the start in seconds.
    """

    __slots__ = ("deployment", "show", "started_s")

    def __init__(
        self,
        plan: plans.DeploymentPlan,
        folder: pathlib.Path,
        seed: int,
        ports: port_allocators.PortAllocator,
        show: Show,
    ) -> None:
        """Creates a demonstration that isn't started.

        Args:
            plan: The deployment.
            folder: Folder of settings, logs and state; must exist.
            seed: Seed of all chance.
            ports: Gives out free ports.
            show: Shows a line of progress.
        """
        layout = layouts.build(plan, str(folder), seed, ports)
        self.deployment = deployments.Deployment(layout, folder)
        self.show = show
        self.started_s = time.monotonic()

    def say(self, text: str) -> None:
        """Shows progress with the time since the start."""
        elapsed_s = time.monotonic() - self.started_s
        name = self.deployment.layout.plan.name
        self.show(f"{elapsed_s:5.1f} s  {name}: {text}")

    async def run(self) -> summary.Outcome:
        """Runs the demonstration and stops all its processes.

        Raises:
            DeploymentError: A step could not be taken.
        """
        try:
            outcome = await self._run_steps()
        finally:
            statuses = await self.deployment.close()
        outcome.exit_statuses = statuses
        self.say("all processes have stopped")
        return outcome

    async def _run_steps(self) -> summary.Outcome:
        """Takes the steps in order."""
        deployment = self.deployment
        await self._start()
        self.say("callers open connections")
        await deployment.start_callers(LOAD_S, GRACE_S)
        await asyncio.sleep(LOAD_S * 0.2)
        await self._replace_entry()
        await self._drain(deployment.layout.members()[0].address)
        await self._patch(
            [
                {
                    "op": "replace",
                    "path": f"/services/{service.name}/weights/imbalance",
                    "value": service.weights.imbalance + 1,
                }
                for service in deployment.layout.plan.services
            ],
            "value evenness more",
        )
        self.say("waiting for the callers to finish")
        callers = await deployment.finish_callers(LOAD_S + GRACE_S + 5.0)
        return summary.Outcome(
            name=deployment.layout.plan.name,
            callers=callers,
            targets=await deployment.read_targets(),
            version=deployment.version,
            versions=await deployment.versions(),
        )

    async def _start(self) -> None:
        """Starts everything but the callers."""
        deployment = self.deployment
        layout = deployment.layout
        self.say(
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
        self.say(f"starting {len(layout.members())} targets")
        await deployment.start_targets()

    async def _patch(self, operations: list[dict[str, Any]], note: str) -> None:
        """Submits a patch and waits until it is in force."""
        found = await self.deployment.submit(operations, note)
        if found.state is not requests.PatchState.ACCEPTED:
            raise deployments.DeploymentError(
                f"patch {found.state}: {found.reason}"
            )
        await self.deployment.wait_version()
        self.say(f"version {found.version} is in force everywhere: {note}")

    async def _replace_entry(self) -> None:
        """Kills an entry host and starts another in its place."""
        deployment = self.deployment
        lost = deployment.layout.entries[0]
        self.say(f"killing {lost.host}")
        await deployment.kill_entry(lost)
        await asyncio.sleep(WITHDRAW_S)
        await deployment.withdraw_entry(lost)
        name = f"{lost.host}-new"
        self.say(f"starting {name} in its place")
        await deployment.replace_entry(lost, name)
        self.say(f"{name} takes packets")

    async def _drain(self, address: str) -> None:
        """Drains a target and lets the callers go on for a while."""
        self.say(f"draining target {address}")
        await self.deployment.drain_target(address)
        await asyncio.sleep(summary.DRAIN_S)
