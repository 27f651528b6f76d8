"""A control host that can't send keeps entry hosts on old targets."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(FOLDER.parent))

from lib2 import platform  # noqa: E402
from lib2 import scene as scenes  # noqa: E402

BEFORE_S = platform.CONTACT_S + 2.0
"""From the cut to the first leaving server: the core is stable again then, and
the machines outside the cut are in touch."""

SERVES_ON_S = 6.0
"""Time for which a server goes on after the acknowledgement."""


async def play(scene, has_trouble):
    hidden = scene.controls[-1]
    others = {host.address for host in scene.controls[:-1]}
    if has_trouble:
        # Only what the host sends to the other two control hosts is lost.
        scene.translator.cut = frozenset((10, 11))
        scene.record(
            f"cut: {hidden.name} no longer reaches the other control hosts;"
            " they reach it, and all other machines reach it both ways"
        )
    await asyncio.sleep(BEFORE_S)
    # Servers of the two other zones, which announce themselves there.
    leaving = [
        next(
            server
            for server in scene.servers
            if server.service == service and server.zone == zone
        )
        for service, zone in (("agenda", "stgo-a"), ("agenda", "stgo-b"))
    ]
    for server in leaving:
        server.drain()
        await asyncio.sleep(1.0)
    for server in leaving:
        if server.drained is None:
            raise scenes.CannotRunError(f"{server.name} isn't acknowledged")
        by = server.drained[1].partition(":")[0]
        if by not in others:
            raise scenes.CannotRunError(f"{server.name} left through {by}")
    await asyncio.sleep(SERVES_ON_S)
    # Entry hosts, the two control hosts and the servers were never disturbed.
    late = [
        opening
        for server in leaving
        for opening in scenes.late_openings(scene.record, server)
    ]
    # A server ends `drain-ms` and a little longer after the acknowledgement,
    # and what was opened to it too late ends with it.
    before = {clients.zone: clients.failed for clients in scene.clients}
    for server in leaving:
        await server.leave()
    await asyncio.sleep(4.0)
    for clients in scene.clients:
        scene.record(
            f"requests of {clients.zone} that weren't served after the servers"
            f" had left: {clients.failed - before[clients.zone]}"
        )
    scene.translator.cut = frozenset()
    if has_trouble:
        scene.record(f"the cut heals; {scene.translator.dropped} messages lost")
    await asyncio.sleep(2.0)
    return late


scenes.run(FOLDER, play, HAS_TROUBLE, translated=12)
