"""Real clients through the gateway, the fabric and real entry hosts.

Guards against connections of ordinary clients that break when an entry host is
killed, and against clients that wait for a server that is down.
"""

import asyncio
import hashlib
import http.server
import os
import pathlib
import random
import shutil
import tempfile
import threading

import msgspec
import testtools

from tamarack_core import configuration
from tamarack_core import peers
from tamarack_lab.deployment import deployment as deployments
from tamarack_lab.deployment import layout as layouts
from tamarack_lab.deployment import plan as plans
from tamarack_lab.gateway import process as gateway_process
from tamarack_lab.gateway import settings as gateway_settings

IS_SOAK = os.environ.get("TAMARACK_PROFILE") == "soak"
FILE_BYTES = 50_000_000 if IS_SOAK else 5_000_000
TIMEOUT_S = 60.0
ANY = peers.Endpoint("127.0.0.1", 0)


def work_class(port, lifetime):
    """Returns a work class whose targets listen at the service port."""
    return configuration.WorkClass(
        port=port, target_port=port, lifetime=lifetime
    )


PLAN = plans.DeploymentPlan(
    name="gateway",
    domains=("a",),
    entry_hosts=2,
    control_hosts=1,
    services=(
        plans.Service(
            name="files",
            address="10.9.0.1",
            network="10.1.1.0/24",
            targets=2,
            classes=(
                plans.WorkClass("files", work_class(80, plans.BOUNDED), 1.0),
                plans.WorkClass("echo", work_class(7, plans.LONG_LIVED), 1.0),
            ),
        ),
    ),
)


class FileHandler(http.server.SimpleHTTPRequestHandler):
    """File server of the standard library, without its log."""

    def log_message(self, *args):
        pass


class GatewayTest(testtools.TestCase):
    """Ordinary sockets at both ends of the gateway."""

    def setUp(self):
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        served = self.folder / "served"
        served.mkdir()
        self.data = random.Random(1).randbytes(FILE_BYTES)
        (served / "file").write_bytes(self.data)
        server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0),
            lambda *args: FileHandler(*args, directory=served),
        )
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.web = peers.Endpoint("127.0.0.1", server.server_port)

    def test_a_download_and_an_open_connection_survive_a_killed_entry_host(
        self,
    ):
        digest, echoes = asyncio.run(self.run_all(self.download_while_killing))
        self.assertEqual(hashlib.sha256(self.data).hexdigest(), digest)
        self.assertEqual([b"before", b"after"], echoes)

    def test_a_client_of_a_server_that_is_down_sees_a_reset(self):
        self.web = peers.Endpoint("127.0.0.1", 1)
        status = asyncio.run(self.run_all(self.fetch_status))
        # curl: 56 is a failure to receive, 52 an empty reply.
        self.assertIn(status, (52, 56))

    async def run_all(self, body):
        echo = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        self.echo_port = echo.sockets[0].getsockname()[1]
        layout = layouts.build(PLAN, str(self.folder), seed=1)
        deployment = deployments.Deployment(layout, self.folder)
        gateway = gateway_process.GatewayProcess(self.settings(layout))
        try:
            await deployment.start_system()
            document = msgspec.to_builtins(PLAN.document())["services"]
            await deployment.submit(
                [
                    {
                        "op": "add",
                        "path": "/services/files",
                        "value": document["files"],
                    }
                ],
                "create",
            )
            await deployment.wait_version()
            await gateway.start()
            for entry in layout.entries:
                await deployment.wait_targets(entry)
            async with asyncio.timeout(TIMEOUT_S):
                return await body(deployment, gateway)
        finally:
            await gateway.close()
            echo.close()
            await deployment.close()

    def settings(self, layout):
        service = PLAN.services[0]
        return gateway_settings.Settings(
            fabric=layout.fabric,
            near=gateway_settings.CallerSideSettings(
                listen=layout.callers,
                address="10.7.0.1",
                doors=(
                    gateway_settings.LoopbackPort(ANY, service.address, 80),
                    gateway_settings.LoopbackPort(ANY, service.address, 7),
                ),
            ),
            far=gateway_settings.TargetSideSettings(
                listen=layout.targets,
                targets=tuple(layout.target_specs()),
                servers=(
                    gateway_settings.RealServer(80, self.web),
                    gateway_settings.RealServer(
                        7, peers.Endpoint("127.0.0.1", self.echo_port)
                    ),
                ),
                entries={"a": layout.control_endpoints("a")},
                lease_s=6.0,
            ),
        )

    async def echo(self, reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    async def download_while_killing(self, deployment, gateway):
        files, echo = gateway.caller_side.endpoints
        reader, writer = await asyncio.open_connection(echo.address, echo.port)
        writer.write(b"before")
        echoes = [await reader.readexactly(6)]
        output = self.folder / "downloaded"
        curl = await self.curl(files, output)
        while not (output.exists() and output.stat().st_size > 100_000):
            await asyncio.sleep(0.01)
        killed = deployment.layout.entries[0]
        await deployment.kill_entry(killed)
        self.assertLess(output.stat().st_size, FILE_BYTES)
        await asyncio.sleep(0.3)
        await deployment.withdraw_entry(killed)
        self.assertEqual(0, await curl.wait())
        writer.write(b"after")
        echoes.append(await reader.readexactly(5))
        writer.close()
        digest = hashlib.sha256(output.read_bytes()).hexdigest()
        return digest, echoes

    async def fetch_status(self, deployment, gateway):
        curl = await self.curl(
            gateway.caller_side.endpoints[0], self.folder / "none"
        )
        return await curl.wait()

    async def curl(self, endpoint, output):
        url = f"http://{endpoint.address}:{endpoint.port}/file"
        return await asyncio.create_subprocess_exec(
            "curl", "--silent", "--noproxy", "*", "--output", output, url
        )
