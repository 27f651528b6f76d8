"""A heartbeat of another writer names no service, and a server's address."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import deployment as lib
import traffic

CLIENTS = 6
CALM_S = 8.0
OBSERVED_S = 12.0


def case(deployment):
    core = deployment.start_core()
    entries = [
        deployment.add("frontend", f"entry-{i + 1}", zone)
        for i, zone in enumerate(("zone-a", "zone-b"))
    ]
    for host in entries:
        host.start()
    operator = lib.Operator(deployment.record, core)
    service = (deployment.network.address(), 8080)
    document = lib.document(1, ((*service, "web"),), ["web"])
    if not operator.publish(document, 20.0):
        raise lib.CannotRunError("the first configuration is not accepted")
    traffic.wait_ready(entries)
    servers = [
        traffic.Server(
            deployment,
            core,
            "web",
            zone,
            deployment.network.address(),
            8080,
            f"i-{0x7f3a9100 + i:08x}",
        )
        for i, zone in enumerate(("zone-a", "zone-b", "zone-c"))
    ]
    time.sleep(3.0)
    clients = [
        traffic.Client(
            deployment,
            deployment.network.address(),
            entries,
            service,
            f"c{i}",
        )
        for i in range(CLIENTS)
    ]
    opened = [client for client in clients if client.open()]
    if len(opened) < CLIENTS:
        raise lib.CannotRunError("flows don't open")
    end_s = time.monotonic() + CALM_S
    while time.monotonic() < end_s:
        for client in opened:
            if client.request() is None:
                raise lib.CannotRunError("requests fail on a calm day")
        time.sleep(0.5)
    if lib.TROUBLE:
        victim = next(s for s in servers if s.name == opened[0].server)
        beat = victim.heartbeat() | {
            "service": "no-such-service",
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        answer = lib.http_call(
            "POST",
            core[0].address,
            lib.CONTROL_PORT,
            "/instances/x-0badc0de/heartbeat",
            beat,
        )
        deployment.record(f"another writer: {beat} -> {answer and answer[0]}")
    end_s = time.monotonic() + OBSERVED_S
    while time.monotonic() < end_s:
        for client in opened:
            if client.is_open:
                client.request()
        time.sleep(0.5)
    broken = [
        client.name
        for client in opened
        for _, was_open, by_server in client.resets
        if was_open and not by_server
    ]
    deployment.record(
        f"open flows to live servers that the system reset: {broken};"
        f" servers alive: {[s.name for s in servers if s.is_alive]}"
    )
    return bool(broken)


lib.run(pathlib.Path(__file__).resolve().parent, case)
