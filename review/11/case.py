"""One heartbeat of another writer, with fields missing.

Two services with two servers each serve traffic. Another writer sends a single
heartbeat: it names a live server of `informe`, says that it is of `agenda`, and
lacks `version` and `warmup-left-ms`. By the page it names no server to use.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib3"))

import world as lib  # noqa: E402

PORTS = {"agenda": 80, "informe": 81}
HOST = "198.18.0.1"


async def clients(world, client, service, number):
    """Opens one flow after the other, each for one request."""
    count = 0
    while True:
        count += 1
        flow = lib.Flow(client, HOST, PORTS[service])
        if await flow.connect() == "opened":
            await flow.request(f"{service}-{number}-{count}")
            flow.close()
        await asyncio.sleep(0.3)


async def scenario(world, trouble):
    world.start_hosts()
    world.spawn(world.route_packets())
    document = lib.config(
        3,
        [
            lib.route("r-agenda", HOST, PORTS["agenda"], "non_idempotent", "agenda"),
            lib.route("r-informe", HOST, PORTS["informe"], "download", "informe"),
        ],
        list(PORTS),
    )
    if await world.publish(document) is None:
        raise lib.CannotRun("the first version is not acknowledged")
    for index, service in enumerate(("agenda", "agenda", "informe", "informe")):
        await lib.Server(world, index, service, lib.ZONES[index % 3]).start()
    client = lib.Client(world, 0)
    await client.start()
    await lib.answered(world)
    await asyncio.sleep(4.0)
    for number in range(4):
        world.spawn(clients(world, client, "agenda", number))
        world.spawn(clients(world, client, "informe", number))
    await asyncio.sleep(6.0)
    if min(len(server.runs) for server in world.servers) == 0:
        raise lib.CannotRun("a server gets no requests before the disruption")
    victim = world.servers[2]
    if trouble:
        beat = {
            "service": "agenda",
            "address": f"{victim.address}:{world.server_port}",
            "zone": victim.zone,
            "slots": 2,
            "state": "ready",
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        control = world.hosts["core-0"]
        answer = await lib.call(
            control.address, world.control_port, "POST",
            f"/instances/{victim.id}/heartbeat", beat,
        )
        world.note(f"another writer says of {victim.id} of informe: {beat}; answer {answer}")
    await asyncio.sleep(20.0)
    for server in world.servers:
        world.note(f"server {server.id} of {server.service} ran {len(server.runs)} requests")


if __name__ == "__main__":
    lib.run_case(HERE, scenario)
