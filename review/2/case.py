"""A control host is replaced as planned; then another one loses its disk."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import deployment as lib

ROUTES = (("127.0.0.101", 8080, "web"),)
SUCCESSOR_S = 10.0
DISK_LOST_AFTER_S = 0.5
DOWN_S = 1.0
OBSERVED_S = 50.0
READ_BACK_S = 20.0


def case(deployment):
    first, second, third = deployment.start_core()
    operator = lib.Operator(deployment.record, [first, second, third])
    if not operator.publish(lib.document(1, ROUTES, ["web"]), 20.0):
        raise lib.CannotRunError("the first configuration is not accepted")

    # Planned work: the successor first, then SIGTERM to the old machine.
    successor = deployment.add(
        "control", "core-4", third.zone, bootstrap=False
    )
    successor.start()
    time.sleep(SUCCESSOR_S)
    third.terminate()
    operator.hosts = [first, second, successor]
    if not operator.publish(lib.document(2, ROUTES, ["web"]), 20.0):
        raise lib.CannotRunError("version 2 is not accepted")

    time.sleep(DISK_LOST_AFTER_S)
    if lib.TROUBLE:
        first.kill()
        first.wipe_disk()
        first.bootstrap = False
        time.sleep(DOWN_S)
        first.start()

    end_s = time.monotonic() + OBSERVED_S
    newest = None
    while time.monotonic() < end_s:
        for host in operator.hosts:
            version = operator.read(host)
            if version is not None and end_s - time.monotonic() < READ_BACK_S:
                newest = max(newest or 0, version)
        time.sleep(0.5)
    deployment.record(f"newest version in the last {READ_BACK_S} s: {newest}")
    return newest is None or newest < 2


lib.run(pathlib.Path(__file__).resolve().parent, case)
