"""TCP and UDP over IPv4 and IPv6 through real entry hosts.

Guards against lost requests and wrong checksums of rewritten packets.
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

LOAD_S = 3.0
GRACE_S = 5.0


def service(name, address, network):
    """Returns a service with a TCP and a UDP work class."""
    return plans.Service(
        name=name,
        address=address,
        network=network,
        targets=2,
        classes=tuple(
            plans.WorkClass(
                protocol.value,
                configuration.WorkClass(
                    port=port, target_port=8000 + port, protocol=protocol
                ),
                rate=30.0,
                answer_bytes=1000,
            )
            for port, protocol in enumerate(configuration.Protocol, 80)
        ),
    )


PLAN = plans.DeploymentPlan(
    name="protocols",
    domains=("a",),
    entry_hosts=2,
    control_hosts=1,
    services=(
        service("four", "10.9.0.1", "10.1.1.0/24"),
        service("six", "fd00:9::1", "fd00:1::/64"),
    ),
    callers=("10.7.0.0/24", "fd00:7::/64"),
)


class ProtocolsTest(testtools.TestCase):
    """Every request gets its reply, and every checksum is correct."""

    def test_tcp_and_udp_pass_over_ipv4_and_ipv6(self):
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        report = asyncio.run(self.run_all(folder))
        self.assertEqual({}, report.unreadable)
        for load in report.loads:
            label = f"{load.service} {load.work_class}"
            self.assertThat(load.tried, matchers.GreaterThan(9), label)
            self.assertEqual(
                (load.tried, {}, {}, 0, 0),
                (
                    load.answers,
                    load.broken,
                    load.refused,
                    load.wrong_service,
                    load.mixed_up,
                ),
                label,
            )

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
            response = await deployment.submit([operation], "create")
            self.assertEqual("accepted", response.state, response.reason)
            await deployment.wait_version()
            await deployment.start_targets()
            await deployment.start_callers(LOAD_S, GRACE_S)
            return await deployment.finish_callers(LOAD_S + GRACE_S + 5.0)
        finally:
            await deployment.close()
