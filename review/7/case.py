"""A control host that lost its disk isn't a voter again when it should be."""

import asyncio
import json
import os
import pathlib
import shutil
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(FOLDER.parent))

from lib2 import http  # noqa: E402
from lib2 import platform  # noqa: E402
from lib2 import scene as scenes  # noqa: E402

ROUTES = 1530
MAX_BODY_BYTES = 262_144
CHANGES = 192
GAP_S = 0.12
DOWN_S = 3.0
CATCH_UP_S = 4.0
RECOVERY_S = 12.0
LINK_S = 0.003


def configuration(version):
    """Returns a version that changes the time-out of all routes."""
    routes = [
        (f"r-{name}", *place, "idempotent", name)
        for name, place in scenes.PLACES.items()
    ]
    routes += [
        (
            f"r-{i}",
            f"127.18.{1 + i // 250}.{1 + i % 250}",
            80,
            "download",
            "informe",
        )
        for i in range(ROUTES)
    ]
    document = http.document(version, tuple(scenes.SIZES), routes)
    for route in document["routes"]:
        route["timeout-ms"] = 1000 + version
    return document


async def publish(scene, version):
    body = json.dumps(configuration(version), separators=(",", ":")).encode()
    assert len(body) <= MAX_BODY_BYTES, len(body)
    result = await scene.operator.send("POST", "/config/replace", body)
    if result is None or result[0] != 200:
        raise scenes.CannotRunError(f"version {version} isn't acknowledged")
    return result[1].partition(":")[0]


async def lose_disk(scene, host):
    """The machine loses power and its disk, and returns with an empty one."""
    host.process.kill()
    host.process.wait()
    shutil.rmtree(host.folder / "data")
    scene.record(f"{host.name} is down and loses its disk")
    await asyncio.sleep(DOWN_S)
    host.start()


async def read_back(scene):
    result = await scene.operator.send("GET", "/config/get", b"", tries=3)
    if result is None or result[0] != 200:
        scene.record("the read of the configuration isn't answered")
        return None
    return json.loads(result[2])["version"]


async def play(scene, has_trouble):
    newest = 1
    for version in range(2, 2 + CHANGES):
        await publish(scene, version)
        newest = version
        await asyncio.sleep(GAP_S)
    scene.record(f"versions 2 to {newest} are acknowledged")
    if has_trouble:
        await lose_disk(scene, scene.controls[0])
        await asyncio.sleep(CATCH_UP_S)
        size = sum(
            file.stat().st_size
            for file in (scene.controls[0].folder / "data").iterdir()
        )
        scene.record(
            f"{CATCH_UP_S} s after its return, {scene.controls[0].name} holds"
            f" {size / 1e6:.1f} MB; it no longer counts as lost"
        )
        newest += 1
        by = await publish(scene, newest)
        scene.record(f"version {newest} is acknowledged by {by}")
        number = by.rpartition(".")[2]
        leader = next(
            host
            for host in scene.controls
            if host.address.rpartition(".")[2] == number
        )
        await lose_disk(scene, leader)
    await asyncio.sleep(RECOVERY_S)
    end_s = scene.record.now() + 2 * platform.CONTACT_S
    read = None
    while read is None and scene.record.now() < end_s:
        read = await read_back(scene)
    scene.record(
        f"read back: {'nothing' if read is None else f'version {read}'}"
    )
    if has_trouble:
        leader = [
            line[-300:].rstrip()
            for host in scene.controls
            for line in (host.folder / "log").read_text().splitlines()
            if "membership-changed" in line
        ]
        scene.record(f"memberships logged last: {sorted(leader)[-1:]}")
    if read is None:
        scene.record(
            "CONFIG: read back at the end, the configuration doesn't come"
        )
    return read != newest


scenes.run(FOLDER, play, HAS_TROUBLE, translated=10, delay_s=LINK_S)
