"""Prints the figures of docs/design/routing.md.

Run it as `python -m tests.slow.routing_figures`; seeds are fixed.
"""

import hashlib
import sys
import zlib

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import failure
from tamarack_core.internal.entry import flow_records
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.flows import ownership
from tamarack_core.internal.flows import placement
from tamarack_core.internal.flows import table
from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tamarack_core.packets import rewrite
from tests.slow import routing_network

FLOWS = 400
SEED = 11
FLOWS_PER_OWNER = 66_000
RATE_PER_HOST = 2000
HOSTS = 4


class HashPath:
    """Stateless data path that hashes flows over the ready targets."""

    def __init__(self, held, ready, pick):
        self.held = held
        self.ready = ready
        self.pick = pick

    def handlers(self):
        return {events.DatagramArrived: self.handle_datagram}

    def handle_datagram(self, event):
        packet = ip.parse(geneve.decapsulate(event.data).packet)
        assert not isinstance(packet, failure.Failure)
        port = self.held.lookup.find_inbound(packet)
        if port is None:
            port = self.held.lookup.find_outbound(packet)
            data = rewrite.source(packet, port.address, port.port)
        else:
            ready = self.ready[port.service]
            target = self.pick(lookup.flow_key(packet), ready)
            data = rewrite.destination(packet, target, port.target_port)
        return [effects.SendDatagram(None, geneve.encapsulate(data))]


def modulo(key, ready):
    """Returns the target at the hash modulo the number of targets."""
    return ready[zlib.crc32(key) % len(ready)]


def rendezvous(key, ready):
    """Returns the target with the highest random weight."""
    return max(
        ready,
        key=lambda target: hashlib.blake2b(
            key + target, digest_size=8
        ).digest(),
    )


def drain(network):
    """Drains one target of each service; it keeps its open flows."""
    for targets in network.ready.values():
        targets.pop(0)
    network.run(20.0)


def one_death(network):
    """Kills one host."""
    network.kill(network.live()[2])
    network.run(20.0)


def two_deaths(network):
    """Kills two hosts 10 s apart."""
    network.kill(network.live()[2])
    network.run(10.0)
    network.kill(network.live()[2])
    network.run(20.0)


def replacement(network):
    """Replaces all hosts, one after the other."""
    old = network.live()
    for number, leaving in enumerate(old):
        network.start(network.peers[len(old) + number])
        network.run(4.0)
        network.stop(leaving)
        network.run(8.0)


def network_factory(name, pick, spray):
    """Returns a factory of networks with one routing scheme."""

    def make():
        if name.startswith("owner"):
            backups = 2 if name.endswith("2") else 1
            ownership.ORDER_HOSTS = backups + 1
            flow_records.backups_at_opening = (
                (lambda port: 1) if backups == 1 else _AT_OPENING
            )
            return routing_network.Network(SEED, spray=spray)
        network = routing_network.Network(SEED, spray=spray)
        for peer in network.live():
            path = network.paths[peer.host]
            hashed = HashPath(path.config_store, network.ready, pick)
            network.nodes[peer.host].datagram_handler = hashed.handle_datagram
        return network

    return make


_AT_OPENING = flow_records.backups_at_opening


def show_schemes():
    """Prints broken flows and extra hops of each routing scheme."""
    print("way | fabric | silent | event | broken | extra hops a packet")
    schemes = (
        ("modulo", modulo),
        ("rendezvous", rendezvous),
        ("owner-1", None),
        ("owner-2", None),
    )
    chosen = [scheme for scheme in schemes if scheme[0] in sys.argv] or schemes
    for name, pick in chosen:
        for event in (drain, one_death, two_deaths, replacement):
            if pick and event is replacement:
                continue
            for spray in (True, False):
                for is_idle in (False, True):
                    show_run(name, pick, event, spray, is_idle)


def show_run(name, pick, event, spray, is_idle):
    """Runs one scenario and prints a row of the table."""
    network = network_factory(name, pick, spray)()
    network.open_many(FLOWS)
    network.run(25.0)
    hops, packets = network.counter("extra-hops"), network.packets
    network.run(20.0)
    hops = network.counter("extra-hops") - hops
    ratio = hops / (network.packets - packets)
    if is_idle:
        network.pause_callers()
    event(network)
    network.resume_callers()
    broken = FLOWS - network.count("open")
    fabric = "spray" if spray else "affinity"
    print(
        f"{name} | {fabric} | {is_idle} | {event.__name__} | {broken} |"
        f" {ratio:.3f} | doubled {len(network.flows_at_several_targets())}"
    )


def fill(network):
    """Stores flows that were opened 100 s ago at their hosts."""
    hosts = network.live()
    number = 0
    for service in routing_network.SERVICES.values():
        port = 80
        tail = ip.pack_address(service.addresses[0]) + bytes((0, port, 6))
        path = network.paths[hosts[0].host]
        for _ in range(FLOWS_PER_OWNER * HOSTS // 2):
            number += 1
            key = (0x0A800000 + number).to_bytes(4, "big") + b"\x20\x00" + tail
            service_port = path.config_store.lookup.find_key(key)
            order = path.router.entry_hosts.order(service_port, key)
            target = bytes((10, 1 + (tail[3] == 2), 0, 1 + number % 4))
            for peer in order:
                store(network, network.paths[peer.host], key, target, order)


def store(network, path, key, target, order):
    """Stores one flow at one host."""
    slot = path.records.learn(network.now_s, key, target)
    path.records.table.opened_s[slot] = network.now_s - 100
    path.records.table.seen_s[slot] = int(network.now_s)
    if path.router.entry_hosts.is_self(order[0]):
        port = path.config_store.lookup.find_key(key)
        path.records.take_over(network.now_s, slot, port)
        path.records.table.placed[slot] = placement.pack(order[1:])
    else:
        path.records.table.flags[slot] |= table.BACKUP


def show_control():
    """Prints control bytes at a load of RATE_PER_HOST new flows a second."""
    ownership.ORDER_HOSTS = 3
    flow_records.backups_at_opening = _AT_OPENING
    network = routing_network.Network(SEED, hosts=HOSTS)
    fill(network)
    flow_counts = [
        len(network.paths[p.host].records.table) for p in network.live()
    ]
    print("held a host", flow_counts)
    network.run(15.0)
    total = RATE_PER_HOST * HOSTS
    first = network.now_s

    def open_next(number):
        flow = network.open(number, "schedule-svc", "edits")
        network.after(1.5, flow.close)
        if network.now_s < first + 6.0:
            network.after(1 / total, lambda: open_next(number + 1))

    open_next(0)
    for second in range(6):
        show_second(network, f"opening {second}")
    network.run(10.0)
    network.kill(network.live()[1])
    for second in range(20):
        show_second(network, f"after a death {second}")


def show_second(network, label):
    """Prints the control bytes of one second."""
    before, count = network.control_bytes, len(network.all_flows)
    network.run(1.0)
    sent = network.control_bytes - before
    print(
        f"{label}: {sent / len(network.live()):.0f} bytes a host,"
        f" {len(network.all_flows) - count} new flows,"
        f" {network.counter('extra-hops')} hops so far"
    )


if __name__ == "__main__":
    if "control" in sys.argv:
        show_control()
    else:
        show_schemes()
