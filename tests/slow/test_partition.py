"""Partition of a failure domain, with real processes behind a proxy.

Guards against flows that break while a domain is cut off, patches that it
accepts without a quorum, and a domain that stays behind after the cut.
"""

import asyncio
import itertools
import pathlib
import shutil
import tempfile

import msgspec
import testtools

from tamarack_core import configuration
from tamarack_core import requests
from tamarack_lab.deployment import deployment as deployments
from tamarack_lab.deployment import layout as layouts
from tamarack_lab.deployment import plan as plans
from tamarack_lab.proxy import process as proxy_process
from tamarack_lab.proxy import settings as proxy_settings

LOAD_S = 15.0
GRACE_S = 5.0
# One-way delay of about 3 ms with jitter, and 1% loss.
WAN = proxy_settings.Fault(delay_s=0.003, jitter_s=0.002, loss=0.01)


def work_class(port, lifetime):
    """Returns a work class whose targets listen at the service port."""
    return configuration.WorkClass(
        port=port, target_port=port, lifetime=lifetime
    )


PLAN = plans.DeploymentPlan(
    name="partition",
    domains=("a", "b", "c"),
    entry_hosts=3,
    control_hosts=3,
    services=(
        plans.Service(
            name="agenda",
            address="10.9.0.1",
            network="10.1.1.0/24",
            targets=6,
            classes=(
                plans.WorkClass(
                    "routes", work_class(80, plans.LONG_LIVED), 20.0, 30
                ),
                plans.WorkClass("reports", work_class(81, plans.BOUNDED), 10.0),
            ),
        ),
    ),
)


class PartitionTest(testtools.TestCase):
    """A failure domain is cut off and reconnected."""

    def setUp(self):
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        self.numbers = itertools.count()

    def test_a_cut_off_domain_serves_on_and_catches_up(self):
        asyncio.run(self.run_all())

    async def run_all(self):
        layout = layouts.build(PLAN, str(self.folder), seed=1)
        layout.put_behind_proxy()
        self.proxy = proxy_process.Proxy(layout.proxy_settings())
        self.proxy.set_faults([WAN])
        self.deployment = deployments.Deployment(layout, self.folder)
        try:
            await self.proxy.start()
            await self.deployment.start_system()
            service = msgspec.to_builtins(PLAN.document())["services"]
            await self.patch("/services/agenda", service["agenda"])
            await self.deployment.wait_version()
            await self.deployment.start_targets()
            await self.deployment.start_callers(LOAD_S, GRACE_S)
            await self.cut_and_heal(layout)
            report = await self.deployment.finish_callers(LOAD_S + GRACE_S)
            self.check(report, await self.deployment.read_targets())
            versions = await self.deployment.versions()
            self.assertEqual({"a": [2], "b": [2], "c": [2]}, versions)
        finally:
            await self.deployment.close()
            await self.proxy.close()

    async def cut_and_heal(self, layout):
        self.proxy.set_faults([WAN, *layout.partition_faults("c")])
        inside = [e for e in layout.entries if e.domain == "c"]
        outside = [e for e in layout.entries if e.domain != "c"]
        await self.patch("/services/agenda/weights/imbalance", 3.0)
        for entry in outside:
            await self.deployment.wait_version_at(entry)
        versions = await self.deployment.versions()
        self.assertEqual([1] * len(inside), versions["c"])
        await deployments.wait_until(
            lambda: self.is_refused_inside(layout), "no quorum inside"
        )
        self.proxy.set_faults([WAN])
        await self.deployment.wait_version()

    async def patch(self, path, value):
        response = await self.deployment.submit(
            [{"op": "add", "path": path, "value": value}], "test"
        )
        self.assertIs(requests.PatchState.ACCEPTED, response.state)

    async def is_refused_inside(self, layout):
        """Returns whether the cut-off control host reports no quorum.

        Until it detects the loss of its leader it may report unknown, but never
        accepted.
        """
        (control,) = [c for c in layout.controls if c.domain == "c"]
        body = {
            "patch_id": f"inside-{next(self.numbers)}",
            "base_version": 1,
            "operations": [
                {
                    "op": "add",
                    "path": "/services/agenda/weights/imbalance",
                    "value": 5.0,
                }
            ],
            "author": "test",
        }
        response = await self.deployment.client.request(
            "POST", control.control, "/v1/patches", body
        )
        self.assertIn(response.body["state"], ("unknown", "no-quorum"))
        return response.body["state"] == "no-quorum"

    def check(self, report, targets):
        for load in report.loads:
            self.assertEqual(
                ({}, 0, 0),
                (load.broken, load.wrong_service, load.mixed_up),
                load.work_class,
            )
            self.assertEqual(load.opened, load.completed)
        self.assertEqual({}, report.unreadable)
        self.assertEqual(0, sum(target.repeated for target in targets))
