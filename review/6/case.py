"""Control hosts that restart after many changes exceed their memory."""

import asyncio
import json
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(FOLDER.parent))

from lib2 import http  # noqa: E402
from lib2 import platform  # noqa: E402
from lib2 import scene as scenes  # noqa: E402

ROUTES = 1530
MAX_BODY_BYTES = 262_144
"""Largest body of a configuration in the site file (`body_bytes`)."""

CHANGES = 186
GAP_S = 0.22
MEMORY_MB = 296
"""`memory-mb` of a core machine; a process that uses more is killed."""

RESTART_S = 0.5
RECOVERY_S = 12.0
CONTACT_S = platform.CONTACT_S


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


def used_mb(host):
    """Returns the private memory of a process, in MB; 0 if it has ended."""
    try:
        with open(f"/proc/{host.process.pid}/status", encoding="ascii") as file:
            lines = dict(line.split(":", 1) for line in file)
        return int(lines["RssAnon"].split()[0]) / 1024
    except (OSError, KeyError, ValueError):
        return 0.0


class Memory:
    """Kills a process that uses more than its machine has, and restarts it."""

    def __init__(self, scene):
        self.scene = scene
        self.most_mb = {host.name: 0.0 for host in scene.controls}
        self.ends = {host.name: 0 for host in scene.controls}

    async def watch(self):
        down_s = {}
        while True:
            for host in self.scene.controls:
                used = used_mb(host)
                self.most_mb[host.name] = max(self.most_mb[host.name], used)
                if used > MEMORY_MB:
                    host.process.kill()
                    host.process.wait()
                    self.ends[host.name] += 1
                    self.scene.record(
                        f"{host.name} uses {used:.0f} MB of {MEMORY_MB} MB and is"
                        " killed"
                    )
                if not host.is_running():
                    since_s = down_s.setdefault(
                        host.name, self.scene.record.now()
                    )
                    if self.scene.record.now() - since_s >= RESTART_S:
                        del down_s[host.name]
                        host.start()
            await asyncio.sleep(0.005)


async def play(scene, has_trouble):
    memory = Memory(scene)
    scene.tasks.append(asyncio.create_task(memory.watch()))
    newest = 1
    for version in range(2, 2 + CHANGES):
        body = json.dumps(
            configuration(version), separators=(",", ":")
        ).encode()
        assert len(body) <= MAX_BODY_BYTES, len(body)
        result = await scene.operator.send("POST", "/config/replace", body)
        if result is None or result[0] != 200:
            raise scenes.CannotRunError(f"version {version} isn't acknowledged")
        newest = version
        await asyncio.sleep(GAP_S)
    scene.record(
        f"versions 2 to {newest} are acknowledged, of {len(body)} bytes each;"
        f" most memory so far: {memory.most_mb}"
    )
    if has_trouble:
        scene.record("all processes of the core are killed at the same moment")
        for host in scene.controls:
            host.process.kill()
        for host in scene.controls:
            host.process.wait()
    await asyncio.sleep(RECOVERY_S)
    # The operator reads back repeatedly, for longer than `contact-ms`.
    end_s = scene.record.now() + 2 * CONTACT_S
    read = None
    while scene.record.now() < end_s:
        result = await scene.operator.send("GET", "/config/get", b"", tries=3)
        if result is not None and result[0] == 200:
            read = json.loads(result[2])["version"]
            break
        scene.record("the read of the configuration isn't answered")
    scene.record(
        f"read back: {'nothing' if read is None else f'version {read}'}"
    )
    scene.record(f"killed for memory: {memory.ends}; most: {memory.most_mb}")
    if read is None:
        scene.record(
            "CONFIG: read back at the end, the configuration doesn't come"
        )
    # The ends are the platform's doing, not the script's failure.
    scene.tasks[-1].cancel()
    scene.tasks.pop()
    for host in scene.controls:
        if not host.is_running():
            host.start()
    return read != newest


scenes.run(FOLDER, play, HAS_TROUBLE)
