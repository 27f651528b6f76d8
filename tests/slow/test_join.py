"""Replacement of an entry host under load.

Guards against openings that are refused because a new host owns flows before
the other hosts have it in their membership.
"""

import asyncio
import pathlib
import shutil
import tempfile

import msgspec
import testtools
from testtools import matchers

from tamarack_core import configuration
from tamarack_lab.deployment import deployment as deployments
from tamarack_lab.deployment import layout as layouts
from tamarack_lab.deployment import plan as plans

LOAD_S = 8.0
GRACE_S = 8.0

PLAN = plans.DeploymentPlan(
    name="join",
    domains=("a",),
    entry_hosts=2,
    control_hosts=1,
    services=(
        plans.Service(
            name="agenda",
            address="10.9.0.1",
            network="10.1.1.0/24",
            targets=4,
            classes=(
                plans.WorkClass(
                    "reports",
                    configuration.WorkClass(
                        port=81, target_port=8081, idempotent=False
                    ),
                    rate=60.0,
                ),
            ),
        ),
    ),
)


class JoinTest(testtools.TestCase):
    """A new host owns flows once the other hosts know it."""

    def test_no_opening_is_refused_while_an_entry_host_is_replaced(self):
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        report = asyncio.run(self.run_all(folder))
        (load,) = report.loads
        self.assertThat(load.opened, matchers.GreaterThan(100))
        self.assertEqual(({}, {}), (load.refused, load.broken))
        self.assertEqual((load.tried, 0), (load.completed, load.open))

    async def run_all(self, folder):
        layout = layouts.build(PLAN, str(folder), seed=1)
        deployment = deployments.Deployment(layout, folder)
        try:
            await deployment.start_system()
            document = msgspec.to_builtins(PLAN.document())
            operation = {
                "op": "add",
                "path": "/services",
                "value": document["services"],
            }
            await deployment.submit([operation], "create")
            await deployment.wait_version()
            await deployment.start_targets()
            await deployment.start_callers(LOAD_S, GRACE_S)
            killed = layout.entries[0]
            await deployment.kill_entry(killed)
            await deployment.withdraw_entry(killed)
            await deployment.replace_entry(killed, "join-entry-new")
            return await deployment.finish_callers(LOAD_S + GRACE_S + 5.0)
        finally:
            await deployment.close()
