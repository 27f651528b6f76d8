"""Two servers whose ids have one CRC-32 are added.

The platform draws ids at random. Among 82,000 servers (the letter) there are
0.8 pairs on average whose ids have the same CRC-32; here the pair is searched
for, as a small deployment would wait for it for years. Server K starts; 0.4 s
later H starts and says so at once, while the first heartbeat of K comes a
heartbeat interval after its start. Flows are opened at H in between.
"""

import asyncio
import os
import pathlib
import sys
import zlib

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib3"))

import world as lib  # noqa: E402

PORT = 80
HOST = "127.198.0.1"  # of the route; nothing listens there


def draw_pair(generator):
    """Two different ids of the platform's form with the same CRC-32."""
    seen = {}
    while True:
        name = f"i-{generator.getrandbits(32):08x}"
        other = seen.setdefault(zlib.crc32(name.encode()), name)
        if other != name:
            return other, name


async def use(world, client, number):
    """Keeps one flow open for many requests, with pauses between them."""
    flow = lib.Flow(client, HOST, PORT)
    if await flow.connect() != "opened":
        world.note(f"flow {number} does not open: {flow.ended}")
        return
    for count in range(40):
        if await flow.request(f"edit-{number}-{count}") in (None, "reset"):
            return
        await asyncio.sleep(0.3)
        if flow.poll_resets():
            return


async def scenario(world, trouble):
    world.start_hosts()
    world.spawn(world.route_packets())
    document = lib.config(
        3, [lib.route("r-agenda", HOST, PORT, "non_idempotent", "agenda")], ["agenda"]
    )
    if await world.publish(document) is None:
        raise lib.CannotRun("the first version is not acknowledged")
    servers = [
        lib.Server(world, index, "agenda", lib.ZONES[index % 3]) for index in range(4)
    ]
    await servers[0].start()
    await servers[1].start()
    client = lib.Client(world, 0)
    await client.start()
    await lib.answered(world)
    await asyncio.sleep(4.0)
    k, h = servers[2], servers[3]
    if trouble:
        k.id, h.id = draw_pair(world.random)
    k.beats = False
    await k.start()
    await asyncio.sleep(0.4)
    await h.start()
    await asyncio.sleep(0.3)
    for number in range(12):
        world.spawn(use(world, client, number))
    await asyncio.sleep(0.5)
    if not any(flow.open for flow in h.flows.values()):
        raise lib.CannotRun("no flow is open at H")
    k.beats = True
    await k.beat_once()
    world.note(f"first heartbeat of {k.id}")
    await asyncio.sleep(12.0)


if __name__ == "__main__":
    lib.run_case(HERE, scenario, HAS_TROUBLE)
