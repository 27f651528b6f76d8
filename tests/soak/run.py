"""One run of the soak test: processes, callers, targets and faults."""

import asyncio
import pathlib
import tempfile

from tamarack_lab.proxy import settings as proxy_settings
from tamarack_lab.proxy import threaded_proxy
from tests.soak import ends
from tests.soak import evacuations
from tests.soak import hosts as hosts_lib
from tests.soak import orders
from tests.soak import plan
from tests.soak import promises as promises_lib

CALLERS = 6
START_S = 3.0
"""Time for the hosts to start before callers open flows, in seconds."""

CHECK_INTERVAL_S = 0.1


class SoakRun:
    """All processes and simulated endpoints of one run.

    Attributes:
        promises: Outcomes and violations.
        hosts: The processes.
        targets: Simulated servers.
        operator: Publishes and reads documents and checks their effect.
        evacuator: Orders evacuations and their ends.
        routers: Distribute the packets of callers to entry hosts.
        callers: Open flows and send requests.
        prober: Opens flows on routes that are added and removed.
    """

    def __init__(self, faults, folder, network, seed, layout):
        self.promises = promises_lib.Promises(faults)
        self.hosts = hosts_lib.Hosts(folder, network, layout)
        self.targets = [
            ends.Target(index, network, self.promises)
            for index in range(plan.TARGETS)
        ]
        self.operator = orders.Operator(self.hosts, self.promises, seed)
        self.evacuator = evacuations.Evacuator(self.hosts, self.promises, seed)
        self.promises.entries = {
            host.address: host.name for host in self.hosts.entries()
        }
        self.routers = ends.Routers(self.hosts.entries())
        *self.callers, self.prober = [
            ends.Caller(
                f"{network}.{60 + number}",
                self.routers,
                self.targets,
                self.promises,
            )
            for number in range(CALLERS + 1)
        ]

    async def run(self):
        """Runs callers, operator and faults until the end of the plan."""
        for target in self.targets:
            await target.start()
        loop = asyncio.get_running_loop()
        for caller in [*self.callers, self.prober]:
            caller.transport, _ = await loop.create_datagram_endpoint(
                lambda caller=caller: caller,
                (caller.address, hosts_lib.DATA_PORT),
            )
        announcers = [
            orders.Announcer(target, self.hosts, self.promises)
            for target in self.targets
        ]
        coroutines = [
            self.routers.poll(),
            self.check_hosts(),
            *(announcer.run() for announcer in announcers),
            *map(self.inject_fault, self.promises.faults),
        ]
        tasks = [asyncio.create_task(one) for one in coroutines]
        try:
            await self.serve()
        finally:
            for task in tasks:
                task.cancel()
            for target in self.targets:
                target.close()
            for caller in [*self.callers, self.prober]:
                caller.transport.close()
            await asyncio.gather(*tasks, return_exceptions=True)
        for task in tasks:
            if not task.cancelled() and task.exception() is not None:
                raise task.exception()

    async def serve(self):
        """Runs callers and operator until the end."""
        end_s = plan.END_S - 2.0
        publishing = asyncio.create_task(self.operator.publish(end_s))
        reading = asyncio.create_task(self.operator.read(end_s))
        evacuating = asyncio.create_task(self.evacuator.run(end_s))
        await asyncio.sleep(START_S)
        services = list(ends.SERVICES)
        await asyncio.gather(
            *(
                caller.run(
                    f"r{number}", services[number % len(services)], end_s
                )
                for number, caller in enumerate(self.callers)
            ),
            reading,
            self.operator.check_effects(self.prober, end_s),
        )
        publishing.cancel()
        evacuating.cancel()
        if evacuating.done() and not evacuating.cancelled():
            evacuating.result()
        await self.operator.read_back(self.promises.now_s + 5.0)

    async def check_hosts(self):
        """Checks periodically for processes that ended by themselves."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.hosts.check()

    async def inject_fault(self, fault):
        """Injects one fault and ends it after its duration."""
        await asyncio.sleep(fault.from_s - self.promises.now_s)
        if fault.subject.startswith("t"):
            await self._change_target(fault)
            return
        self.hosts.begin_fault(fault)
        await asyncio.sleep(fault.for_s)
        self.hosts.end_fault(fault)

    async def _change_target(self, fault):
        """Crashes, replaces or drains a target."""
        target = self.targets[int(fault.subject[1:])]
        if fault.kind == "drain-target":
            target.is_draining = True
            await asyncio.sleep(fault.for_s)
        target.crash()
        if fault.kind == "crash-target":
            await asyncio.sleep(fault.for_s)
        if not target.is_alive:
            await target.start()


def run(seed, slot=0, layout=plan.VOTERS_ALONE):
    """Runs a seed and returns its outcomes and violations.

    Args:
        seed: Seed of the faults and of the random generators.
        slot: Number of the network; concurrent runs need different
            numbers.
        layout: Kinds and number of the hosts.
    """
    return run_faults(plan.draw(seed, layout), seed, slot, layout)


def run_faults(faults, seed=0, slot=0, layout=plan.VOTERS_ALONE):
    """Runs a given list of faults; see `run`."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        network = f"127.0.{80 + slot}"
        soak_run = SoakRun(faults, folder, network, seed, layout)
        proxy = threaded_proxy.ThreadedProxy(
            proxy_settings.Settings(
                tuple(soak_run.hosts.links),
                seed,
                tuple(soak_run.hosts.proxy_faults(faults)),
            )
        )
        try:
            proxy.start()
            soak_run.hosts.start()
            asyncio.run(soak_run.run())
        finally:
            soak_run.hosts.kill_all()
            proxy.close()
        for host in soak_run.hosts.by_name.values():
            if host.ended:
                soak_run.promises.record_violation(
                    f"{host.name} ended by itself: {host.ended}"
                    f" {_last_lines(host)}"
                )
        if soak_run.promises.broken:
            _keep_logs(soak_run, seed)
        return soak_run.promises


def _last_lines(host, count=6):
    """Returns the last lines of the log of a host."""
    return (host.folder / "log").read_text().splitlines()[-count:]


def _keep_logs(soak_run, seed):
    """Keeps the logs of a run that broke a promise."""
    kept = pathlib.Path("out") / f"soak-{seed}"
    kept.mkdir(parents=True, exist_ok=True)
    for host in soak_run.hosts.by_name.values():
        text = (host.folder / "log").read_text()
        (kept / f"{host.name}.log").write_text(text)
    (kept / "broken.txt").write_text("\n".join(soak_run.promises.broken))
