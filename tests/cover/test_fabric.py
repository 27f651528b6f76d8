"""Forwarding decisions of the simulated fabric."""

import ipaddress

import testtools

from tamarack_core import peers
from tamarack_core.packets import geneve
from tamarack_lab import fabric
from tamarack_lab.tcp import segment as segments

ENTRIES = tuple(peers.Endpoint("127.0.0.1", port) for port in (1, 2, 3))
OTHERS = (peers.Endpoint("127.0.0.1", 9),)
CALLER = peers.Endpoint("127.0.0.1", 100)
TARGET = peers.Endpoint("127.0.0.1", 200)
PACKETS = 300


def socket_address(endpoint):
    """Returns the socket address of an endpoint."""
    return endpoint.address, endpoint.port


def datagram(source, destination):
    """Returns a datagram with a packet between two addresses."""
    packed = [ipaddress.ip_address(a).packed for a in (source, destination)]
    segment = segments.Segment(packed[0], 1, packed[1], 2, 0, 0, segments.ACK)
    return geneve.encapsulate(segments.encode(segment))


def build_table(seed):
    """Returns a table with two failure domains."""
    return fabric.build_table(
        fabric.Settings(
            listen=CALLER,
            seed=seed,
            domains={"a": ENTRIES, "b": OTHERS},
            services=(
                fabric.Service("10.9.0.1"),
                fabric.Service("10.9.0.2", ("b",)),
            ),
            routes=(
                fabric.Route("10.7.0.0/16", CALLER, "a"),
                fabric.Route("10.1.0.0/16", TARGET, "a"),
                fabric.Route("10.1.5.1/32", OTHERS[0], "b"),
            ),
        )
    )


class FabricTest(testtools.TestCase):
    """Forwarding between callers, entry hosts and targets."""

    def setUp(self):
        super().setUp()
        self.table = build_table(seed=1)

    def forward(self, source, destination, sender):
        return self.table.forward(
            datagram(source, destination), socket_address(sender)
        )

    def test_a_callers_packets_reach_every_entry_host_of_its_domain(self):
        receivers = {
            self.forward("10.7.0.1", "10.9.0.1", CALLER) for _ in range(PACKETS)
        }
        self.assertEqual(
            {socket_address(entry) for entry in ENTRIES}, receivers
        )

    def test_a_targets_replies_reach_every_entry_host_of_its_domain(self):
        receivers = {
            self.forward("10.1.0.1", "10.7.0.1", TARGET) for _ in range(PACKETS)
        }
        self.assertEqual(
            {socket_address(entry) for entry in ENTRIES}, receivers
        )

    def test_a_service_may_be_bound_to_a_domain(self):
        receiver = self.forward("10.7.0.1", "10.9.0.2", CALLER)
        self.assertEqual(socket_address(OTHERS[0]), receiver)

    def test_packets_of_an_entry_host_go_to_the_longest_prefix(self):
        self.assertEqual(
            [
                socket_address(TARGET),
                socket_address(OTHERS[0]),
                socket_address(CALLER),
            ],
            [
                self.forward("10.7.0.1", destination, ENTRIES[0])
                for destination in ("10.1.0.1", "10.1.5.1", "10.7.9.9")
            ],
        )

    def test_a_withdrawn_entry_host_may_send_but_gets_nothing(self):
        self.table.set_entry_hosts("a", ENTRIES[1:])
        receivers = {
            self.forward("10.7.0.1", "10.9.0.1", CALLER) for _ in range(PACKETS)
        }
        self.assertNotIn(socket_address(ENTRIES[0]), receivers)
        self.assertEqual(
            socket_address(TARGET),
            self.forward("10.7.0.1", "10.1.0.1", ENTRIES[0]),
        )

    def test_a_new_entry_host_may_send_before_it_gets_packets(self):
        new = peers.Endpoint("127.0.0.1", 77)
        self.assertEqual(None, self.forward("10.1.0.1", "10.200.0.1", new))
        self.table.add_known_host(new)
        self.assertEqual(
            socket_address(CALLER), self.forward("10.9.0.1", "10.7.0.1", new)
        )

    def test_undeliverable_packets_are_counted_by_reason(self):
        self.forward("10.7.0.1", "10.200.0.1", CALLER)
        self.forward("10.200.0.1", "10.9.0.1", CALLER)
        self.forward("10.7.0.1", "10.200.0.1", ENTRIES[0])
        self.table.set_entry_hosts("a", ())
        self.forward("10.7.0.1", "10.9.0.1", CALLER)
        self.table.forward(b"", socket_address(CALLER))
        self.table.forward(geneve.encapsulate(b"\x45"), socket_address(CALLER))
        self.assertEqual(
            {
                "no-route": 2,
                "unknown-source": 1,
                "no-entry-host": 1,
                "geneve-truncated": 1,
                "ip-truncated": 1,
            },
            dict(self.table.counters),
        )

    def test_the_same_seed_gives_the_same_choices(self):
        def choices(seed):
            self.table = build_table(seed)
            return [
                self.forward("10.7.0.1", "10.9.0.1", CALLER)
                for _ in range(PACKETS)
            ]

        self.assertEqual(choices(1), choices(1))
        self.assertNotEqual(choices(1), choices(2))
