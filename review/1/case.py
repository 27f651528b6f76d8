"""A control host is down for seconds; meanwhile another one loses its disk."""

import pathlib
import sys
import time
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import deployment as lib

ROUTES = (("127.0.0.101", 8080, "web"),)
DOWN_S = 3.5
DISK_LOST_AT_S = 2.0
DISK_BACK_S = 1.0
OBSERVED_S = 50.0
READ_BACK_S = 20.0


def find_leader(operator, document):
    """Publishes a configuration; returns the host that takes it itself."""
    for host in operator.hosts:
        answer = lib.http_call(
            "POST", host.address, lib.CONTROL_PORT, "/config/replace", document
        )
        if answer is not None and answer[0] == 307:
            location = urllib.parse.urlsplit(answer[1]["Location"])
            return next(
                other
                for other in operator.hosts
                if other.address == location.hostname
            )
        if answer is not None and answer[0] == 200:
            return host
    raise lib.CannotRunError("no control host takes a configuration")


def case(deployment):
    core = deployment.start_core(4)
    operator = lib.Operator(deployment.record, core)
    if not operator.publish(lib.document(1, ROUTES, ["web"]), 20.0):
        raise lib.CannotRunError("the first configuration is not accepted")
    time.sleep(10.0)
    leader = find_leader(operator, lib.document(2, ROUTES, ["web"]))
    if not operator.publish(lib.document(3, ROUTES, ["web"]), 20.0):
        raise lib.CannotRunError("version 3 is not accepted")
    down, wiped = [host for host in core[:3] if host is not leader][:2]
    deployment.record(
        f"orders go to {leader.name}; {down.name} will be down,"
        f" {wiped.name} will lose its disk"
    )
    time.sleep(2.0)

    started_s = time.monotonic()
    down.kill()
    time.sleep(DISK_LOST_AT_S)
    if lib.TROUBLE:
        wiped.kill()
        wiped.wipe_disk()
        wiped.bootstrap = False
        time.sleep(DISK_BACK_S)
        wiped.start()
    time.sleep(max(0.0, started_s + DOWN_S - time.monotonic()))
    down.bootstrap = False
    down.start()

    end_s = time.monotonic() + OBSERVED_S
    newest = None
    while time.monotonic() < end_s:
        for host in core:
            version = operator.read(host)
            if version is not None and end_s - time.monotonic() < READ_BACK_S:
                newest = max(newest or 0, version)
        time.sleep(0.5)
    deployment.record(f"newest version in the last {READ_BACK_S} s: {newest}")
    return newest is None or newest < 3


lib.run(pathlib.Path(__file__).resolve().parent, case)
