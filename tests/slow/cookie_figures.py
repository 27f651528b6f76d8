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
from tamarack_core import flow_packets
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
FLOW_TARGETS = (10, 1_000, 82_000)
DEAD_TARGETS = (500, 6_800)
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


def print_flows(count):
    """Prints memory and time of all flows that a host tracks."""
    table = target_table.TargetTable()
    for number in range(count):
        table.put(0.0, target_announcement.KnownTarget(target(number)))
    entries = list(table.by_name.values())
    flows = [
        ((number, 40_000, 1, 443), entries[number % count])
        for number in range(flow_tracker.MAX_FLOWS)
    ]
    packets = [
        flow_packets.FlowPacket(
            key, False, False, False, entry.tag, 0, at * 10, at, 10, b""
        )
        for at in (1, 2)
        for key, entry in flows
    ]

    def build():
        tracker = flow_tracker.FlowTracker()
        for entry in entries:
            tracker.activity_of(entry)
        return tracker

    def fill():
        tracker = build()
        for key, entry in flows:
            tracker.observe_opening(1.0, key, entry)
        return tracker

    _, _, empty = measure(build)
    tracker, _, kept = measure(fill)
    tracker = build()
    took_s = []
    began_s = time.process_time()
    for key, entry in flows:
        tracker.observe_opening(1.0, key, entry)
    took_s.append(time.process_time() - began_s)
    began_s = time.process_time()
    for number, packet in enumerate(packets):
        entry = flows[number % len(flows)][1]
        tracker.observe_packet(1.1, entry, packet)
    took_s.append((time.process_time() - began_s) / 2)
    began_s = time.process_time()
    for key, _ in flows:
        tracker.remove_flow(key)
    took_s.append(time.process_time() - began_s)
    opened, sent, removed = (each / len(flows) * 1e6 for each in took_s)
    print(
        f"{len(flows)} flows to {count} targets:"
        f" {(kept - empty) / len(flows):.0f} B kept each,"
        f" {(kept - empty) / 1e6:.1f} MB in all beside"
        f" {empty / 1e6:.1f} MB for the activity of the targets;"
        f" {opened:.2f} us to open, {sent:.2f} us a packet,"
        f" {removed:.2f} us to remove each"
    )


def probe_time(host, name, *, is_answered):
    """Returns the CPU seconds that a host takes for the result of a probe."""
    began_s = time.process_time()
    host.complete_probe(name, is_answered=is_answered)
    return time.process_time() - began_s


def probe_times(host, targets):
    """Returns the CPU seconds for the failed probe of each target."""
    return [probe_time(host, each.name, is_answered=False) for each in targets]


def print_dead_domain(count):
    """Prints how long a host finds targets of a domain dead.

    It knows 82,000 targets of 12 domains, and tracks 50,000 flows: one at
    each of the dead targets, and the others elsewhere.
    """
    host = cookie_host.CookieHost()
    known = [target(number) for number in range(TARGETS[-1])]
    host.update(*known, document=cookie_host.document(1))
    dead = [each for each in known if each.domain == "domain-0"][:count]
    others = [each for each in known if each.domain != "domain-0"]
    elsewhere = [
        others[number % len(others)]
        for number in range(flow_tracker.MAX_FLOWS - count)
    ]
    by_name = host.node.datagram_handler.__self__.targets.by_name
    for number, each in enumerate([*elsewhere, *dead]):
        key = cookie_host.flow(number)
        host.tracker.observe_opening(host.now_s, key, by_name[each.name])
        packet = flow_packets.FlowPacket(
            key, False, False, False, 0, 0, 1, 1, 0, b""
        )
        host.tracker.observe_packet(host.now_s, by_name[each.name], packet)
    reference = others[0].name
    host.tracker.observe_reply(host.now_s, by_name[reference])
    host.tick(0.1)
    for _ in range(2):
        host.send(len(elsewhere), dead[0].name, payload_bytes=10)
        host.tick(0.1)
    host.complete_probe(dead[0].name, is_answered=False)
    first_s = probe_time(host, reference, is_answered=True)
    host.complete_probe(dead[0].name, is_answered=False)
    host.now_s += target_probes.TIMEOUT_S
    waiting, late = dead[1 : count // 2], dead[count // 2 :]
    waited_s = probe_times(host, waiting)
    replied_s = probe_time(host, reference, is_answered=True)
    late_s = probe_times(host, late)
    again_s = probe_times(host, dead[1:])
    print(
        f"{len(host.resets)} dead targets: the first {first_s:.3f} s;"
        f" {len(waiting)} failures {sum(waited_s):.3f} s and the reply of their"
        f" reference {replied_s:.3f} s; {len(late)} failures after it"
        f" {sum(late_s):.3f} s; {len(again_s)} second failures"
        f" {sum(again_s):.3f} s, at most {max(again_s):.3f} s each"
    )


def main():
    """Prints all figures."""
    for count in TARGETS:
        print_targets(count)
    for count in ROUTES:
        print_routes(count)
    for count in CANDIDATES:
        print_choice(count)
    for count in FLOW_TARGETS:
        print_flows(count)
    for count in DEAD_TARGETS:
        print_dead_domain(count)


if __name__ == "__main__":
    main()
