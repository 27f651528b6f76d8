"""Proxy that injects network faults."""

import random
import socket
import threading

import testtools
from testtools import matchers

from tamarack_core import peers
from tamarack_lab.proxy import faults as faults_lib
from tamarack_lab.proxy import settings as proxy_settings
from tamarack_lab.proxy import threaded_proxy

Direction = proxy_settings.Direction
Directions = proxy_settings.Directions
Fault = proxy_settings.Fault
TCP = proxy_settings.Protocol.TCP
UDP = proxy_settings.Protocol.UDP
ANY = peers.Endpoint("127.0.0.1", 0)
TIMEOUT_S = 10.0
QUIET_S = 0.2
COUNT = 400


def delays(schedule, seed=1, link="a-b", spacing_s=0.001, sender="127.0.0.1"):
    """Returns for each datagram the delays of its copies."""
    channel = faults_lib.Channel(seed, link, Direction.FORWARD)
    faults = faults_lib.FaultInjector(schedule)
    return [
        faults.datagram_delays(channel, number * spacing_s, sender)
        for number in range(COUNT)
    ]


def socket_address(endpoint):
    """Returns the socket address of an endpoint."""
    return endpoint.address, endpoint.port


class FaultInjectorTest(testtools.TestCase):
    """Decisions of the fault injector, without sockets."""

    def test_the_same_seed_gives_the_same_delays(self):
        schedule = [Fault(loss=0.3, jitter_s=0.01, duplicate=0.2, reorder=0.2)]
        self.assertEqual(delays(schedule), delays(schedule))
        self.assertNotEqual(delays(schedule), delays(schedule, seed=2))

    def test_loss_drops_about_its_fraction(self):
        lost = delays([Fault(loss=0.25)]).count([])
        self.assertThat(lost, matchers.GreaterThan(COUNT // 8))
        self.assertThat(lost, matchers.LessThan(COUNT // 2))

    def test_jitter_varies_the_delay_and_keeps_the_order(self):
        results = delays([Fault(delay_s=0.003, jitter_s=0.01)])
        arrivals = [n * 0.001 + delay for n, (delay,) in enumerate(results)]
        self.assertEqual(sorted(arrivals), arrivals)
        self.assertThat(
            len({delay for (delay,) in results}), matchers.GreaterThan(9)
        )

    def test_reordering_lets_later_datagrams_pass(self):
        results = delays([Fault(reorder=0.1, reorder_s=0.01)])
        arrivals = [n * 0.001 + delay for n, (delay,) in enumerate(results)]
        self.assertNotEqual(sorted(arrivals), arrivals)

    def test_duplication_gives_two_copies(self):
        results = delays([Fault(duplicate=1.0)])
        self.assertEqual({2}, {len(copies) for copies in results})

    def test_a_partition_holds_for_its_time_and_direction_only(self):
        schedule = [
            Fault(
                links=("a-*",),
                direction=Directions.FORWARD,
                from_s=0.1,
                until_s=0.2,
                partition=True,
            )
        ]
        results = delays(schedule)
        self.assertEqual(
            list(range(100, 200)),
            [n for n, copies in enumerate(results) if not copies],
        )
        self.assertNotIn([], delays(schedule, link="c-d"))
        back = faults_lib.Channel(1, "a-b", Direction.BACK)
        faults = faults_lib.FaultInjector(schedule)
        self.assertFalse(faults.is_partitioned(back, 0.15, ""))

    def test_a_fault_may_concern_some_senders_only(self):
        schedule = [Fault(senders=("127.0.2.*",), partition=True)]
        self.assertNotIn([], delays(schedule, sender="127.0.1.1"))
        self.assertEqual([[]] * COUNT, delays(schedule, sender="127.0.2.1"))

    def test_bad_links_are_refused_by_path(self):
        link = proxy_settings.Link("x", TCP, ANY, ANY, ANY, ANY)
        settings = proxy_settings.Settings((link,))
        error = self.assertRaises(ValueError, proxy_settings.check, settings)
        self.assertIn("$.links[0].outward", str(error))


class ProxyTest(testtools.TestCase):
    """Proxied traffic over real loopback sockets."""

    def start(self, *links, schedule=()):
        settings = proxy_settings.Settings(links, 1, schedule)
        proxy = threaded_proxy.ThreadedProxy(settings)
        proxy.start()
        self.addCleanup(proxy.close)
        return proxy

    def udp(self):
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.bind(("127.0.0.1", 0))
        bound.settimeout(TIMEOUT_S)
        self.addCleanup(bound.close)
        return bound

    def test_datagrams_pass_both_ways_for_each_sender(self):
        server, one, two = self.udp(), self.udp(), self.udp()
        proxy = self.start(self.udp_link(server))
        for client, text in ((one, b"one"), (two, b"two")):
            client.sendto(text, socket_address(proxy.endpoint("link")))
            data, source = server.recvfrom(100)
            server.sendto(data.upper(), source)
        self.assertEqual((b"ONE", b"TWO"), (one.recv(100), two.recv(100)))

    def test_a_fixed_pair_keeps_the_endpoints_that_each_side_sees(self):
        near, far, place = self.udp(), self.udp(), self.udp()
        outward = peers.Endpoint(*place.getsockname())
        place.close()
        link = proxy_settings.Link(
            "link",
            UDP,
            ANY,
            peers.Endpoint(*far.getsockname()),
            outward,
            peers.Endpoint(*near.getsockname()),
        )
        proxy = self.start(link)
        far.sendto(b"first", socket_address(outward))
        data, source = near.recvfrom(100)
        self.assertEqual(b"first", data)
        self.assertEqual(socket_address(proxy.endpoint("link")), source)
        near.sendto(b"second", source)
        self.assertEqual(
            (b"second", socket_address(outward)), far.recvfrom(100)
        )

    def test_a_one_way_partition_lets_the_other_way_pass(self):
        server, client = self.udp(), self.udp()
        proxy = self.start(self.udp_link(server))
        client.sendto(b"open", socket_address(proxy.endpoint("link")))
        _, source = server.recvfrom(100)
        proxy.set_faults(Fault(direction=Directions.FORWARD, partition=True))
        client.sendto(b"lost", socket_address(proxy.endpoint("link")))
        server.sendto(b"back", source)
        self.assertEqual(b"back", client.recv(100))
        server.settimeout(QUIET_S)
        self.assertRaises(TimeoutError, server.recv, 100)
        self.assertEqual(1, proxy.counters()["link/forward"]["lost"])

    def test_a_partition_holds_tcp_data_and_heals_without_a_reset(self):
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        to = peers.Endpoint(*server.getsockname())
        proxy = self.start(proxy_settings.Link("link", TCP, ANY, to))
        client = socket.create_connection(
            socket_address(proxy.endpoint("link")), TIMEOUT_S
        )
        self.addCleanup(client.close)
        accepted, _ = server.accept()
        self.addCleanup(accepted.close)
        proxy.set_faults(Fault(partition=True))
        client.sendall(b"held")
        accepted.settimeout(QUIET_S)
        self.assertRaises(TimeoutError, accepted.recv, 100)
        proxy.set_faults()
        accepted.settimeout(TIMEOUT_S)
        self.assertEqual(b"held", accepted.recv(100))
        client.shutdown(socket.SHUT_WR)
        self.assertEqual(b"", accepted.recv(100))

    def test_a_delayed_datagram_comes_after_a_later_one_of_another_link(self):
        server, client = self.udp(), self.udp()
        to = peers.Endpoint(*server.getsockname())
        proxy = self.start(
            proxy_settings.Link("slow", UDP, ANY, to),
            proxy_settings.Link("fast", UDP, ANY, to),
            schedule=(Fault(links=("slow",), delay_s=QUIET_S),),
        )
        client.sendto(b"slow", socket_address(proxy.endpoint("slow")))
        client.sendto(b"fast", socket_address(proxy.endpoint("fast")))
        self.assertEqual(
            (b"fast", b"slow"), (server.recv(100), server.recv(100))
        )

    def test_a_partition_from_another_address_lets_a_sender_pass(self):
        server, client = self.udp(), self.udp()
        proxy = self.start(self.udp_link(server))
        proxy.set_faults(Fault(senders=("127.0.9.9",), partition=True))
        client.sendto(b"seen", socket_address(proxy.endpoint("link")))
        self.assertEqual(b"seen", server.recv(100))
        proxy.set_faults(Fault(senders=("127.0.0.1",), partition=True))
        client.sendto(b"lost", socket_address(proxy.endpoint("link")))
        server.settimeout(QUIET_S)
        self.assertRaises(TimeoutError, server.recv, 100)

    def test_delay_and_loss_on_tcp_change_neither_data_nor_order(self):
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        to = peers.Endpoint(*server.getsockname())
        proxy = self.start(
            proxy_settings.Link("link", TCP, ANY, to),
            schedule=(Fault(loss=0.2, delay_s=0.001, jitter_s=0.005),),
        )
        client = socket.create_connection(
            socket_address(proxy.endpoint("link")), TIMEOUT_S
        )
        data = random.Random(1).randbytes(300_000)
        sending = threading.Thread(target=client.sendall, args=(data,))
        sending.start()
        accepted, _ = server.accept()
        self.addCleanup(accepted.close)
        with accepted.makefile("rb") as received:
            got = received.read(len(data))
        sending.join()
        client.close()
        self.assertTrue(data == got)

    def udp_link(self, server):
        to = peers.Endpoint(*server.getsockname())
        return proxy_settings.Link("link", UDP, ANY, to)
