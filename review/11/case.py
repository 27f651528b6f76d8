"""A control host is removed without SIGTERM; then another one loses its disk.

The successor of the removed host has run for 10 s before, so that the removed
one doesn't count as lost any more, and one disk is lost.
"""

import asyncio
import json
import os
import pathlib
import shutil
import sys
import time

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib3"))

import world as lib  # noqa: E402

SUCCESSOR_S = 10.0  # catch-up-s is 4
SECOND_LOSS_S = 2.5
DOWN_S = 1.0
WATCHED_S = 45.0  # recovery-s is 12, skew-max-ms 12,000


def version(number):
    """A configuration; only the time-out differs. Nothing listens at its host."""
    route = lib.route("r-agenda", "127.198.0.1", 80, "non_idempotent", "agenda")
    route["timeout-ms"] = 1000 + number
    return lib.config(number, [route], ["agenda"])


async def find_leader(world, number):
    """The host that acknowledges a new version itself, without a redirect."""
    for _ in range(20):
        for name in world.control_names:
            number += 1
            answer = await lib.call(
                world.hosts[name].address, world.control_port, "POST",
                "/config/replace", version(number),
            )
            if answer is not None and answer[0] == 200:
                world.note(f"version {number} is acknowledged by {name} itself")
                return name
        await asyncio.sleep(0.2)
    raise lib.CannotRun("no host acknowledges a version")


async def scenario(world, trouble):
    *founders, added = world.control_names
    world.control_names = founders
    world.start_hosts(founders)
    if await world.publish(version(3)) is None:
        raise lib.CannotRun("the first version is not acknowledged")
    successor = world.hosts[added]
    successor.first = False  # the system has started before
    successor.start()
    await asyncio.sleep(SUCCESSOR_S)
    removed = await find_leader(world, 3)
    removed_s = time.monotonic()
    world.hosts[removed].kill()
    world.note(f"{removed} is removed for good, without SIGTERM")
    left = [name for name in founders if name != removed]
    world.control_names = [*left, added]
    newest = 100
    if await world.publish(version(newest), 2.4) is None:
        raise lib.CannotRun("version 100 is not acknowledged in time")
    await asyncio.sleep(max(0.0, removed_s + SECOND_LOSS_S - time.monotonic()))
    if trouble:
        host = world.hosts[left[0]]
        host.kill()
        shutil.rmtree(host.folder / "data")
        world.note(f"{host.name} has lost its disk")
        await asyncio.sleep(DOWN_S)
        host.start()
    else:
        await asyncio.sleep(DOWN_S)
    await asyncio.sleep(WATCHED_S - 20.0)
    read = await world.control_call("GET", "/config/get", limit_s=20.0)
    if read is None or read[0] != 200:
        world.broken("CONFIG", f"version {newest} is acknowledged, and no read succeeds")
    elif json.loads(read[2])["version"] < newest:
        world.broken("CONFIG", f"read {json.loads(read[2])['version']} after {newest}")
    else:
        world.note(f"read: version {json.loads(read[2])['version']}")


if __name__ == "__main__":
    lib.run_case(HERE, scenario, HAS_TROUBLE, controls=4, entries=1)
