"""Prints costs of entry hosts that forward by cookies.

Run it as `python -m tests.slow.cookie_figures`; seeds are fixed.
`docs/CAPACITY.md` has its output.
"""

import collections
import random
import time
import tracemalloc

from tamarack_core import cookie_entry
from tamarack_core import envelopes
from tamarack_core import peers
from tamarack_core import sync
from tamarack_core import target_announcement
from tamarack_core import timeline
from tamarack_core.internal.cookie import flow_tracker
from tamarack_core.internal.cookie import routes
from tamarack_core.internal.cookie import target_choice
from tamarack_core.internal.cookie import target_probes
from tamarack_core.internal.cookie import target_table
from tests import cookie_host
from tests.cover import test_envelopes

TARGETS = (1_000, 10_000, 82_000)
ROUTES = (2_000, 16_000)
CANDIDATES = (10, 75, 1_000)
CHOICES = 200
SENDER = cookie_host.control("c1")


def target(number):
    """Returns an announcement with a name as the platform gives it."""
    generator = random.Random(number)
    return target_announcement.Announcement(
        name=f"i-{generator.getrandbits(40):010x}",
        born_ms=1_786_473_460_000 + number,
        sequence=number % 50,
        service=f"service-{number % 700}",
        endpoint=peers.Endpoint(
            f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 8080
        ),
        domain=f"domain-{number % 12}",
        slots=2,
        phase=target_announcement.Phase.READY,
    )


def measure(call):
    """Returns the result of a call, its CPU seconds and the bytes it keeps."""
    tracemalloc.start()
    result = call()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began_s = time.process_time()
    call()
    return result, time.process_time() - began_s, kept


def wire_bytes(update):
    """Returns the encoded size of an update to an entry host."""
    envelope = envelopes.Envelope(SENDER, timeline.Stamp(0, 0), (update,))
    return len(cookie_entry.CODEC.encode(envelope))


def print_targets(count):
    """Prints memory, time and traffic of a number of targets."""
    known = tuple(
        target_announcement.KnownTarget(target(n)) for n in range(count)
    )

    def build():
        table = target_table.TargetTable()
        for item in known:
            table.put(0.0, item)
        return table

    _, took_s, kept = measure(build)
    size = wire_bytes(sync.SyncUpdate("run", 0, count, True, known))
    print(
        f"{count} targets: {kept / count:.0f} B kept and"
        f" {took_s / count * 1e6:.1f} us to learn each, {size / count:.1f} B"
        f" on the wire each, {size / 1000:.0f} kB in all"
    )


def print_routes(count):
    """Prints memory, time and traffic of a number of routes."""
    document = test_envelopes.large_document(count)

    def build():
        table = routes.RouteTable()
        table.put(0.0, document)
        return table

    _, took_s, kept = measure(build)
    size = wire_bytes(sync.SyncUpdate("run", 0, 1, True, document=document))
    print(
        f"{count} routes: {kept / count:.0f} B kept and"
        f" {took_s / count * 1e6:.1f} us to learn each, {size / count:.1f} B"
        f" on the wire each, {size / 1000:.0f} kB in all"
    )


def print_choice(count):
    """Prints the time of a choice among a number of targets."""
    table = target_table.TargetTable()
    for number in range(count):
        table.put(0.0, target_announcement.KnownTarget(target(number * 700)))
    candidates = list(table.by_name.values())
    tracker, probes = (
        flow_tracker.FlowTracker(),
        target_probes.TargetProbes(collections.Counter()),
    )
    generator = random.Random(1)
    began_s = time.process_time()
    for _ in range(CHOICES):
        target_choice.choose(candidates, tracker, probes, 1.0, (), generator)
    took_s = time.process_time() - began_s
    print(f"choice among {count}: {took_s / CHOICES * 1e6:.0f} us")


def main():
    """Prints all figures."""
    for count in TARGETS:
        print_targets(count)
    for count in ROUTES:
        print_routes(count)
    for count in CANDIDATES:
        print_choice(count)


if __name__ == "__main__":
    main()
