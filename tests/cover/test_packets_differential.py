"""Differential fuzz tests of the core's packet code against dpkt."""

import os

import dpkt
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import testtools

from tamarack_core import failure
from tamarack_core.packets import ip
from tamarack_core.packets import reset
from tamarack_core.packets import rewrite

IS_SOAK = os.environ.get("TAMARACK_PROFILE") == "soak"
fuzz = settings(
    max_examples=5000 if IS_SOAK else 200,
    derandomize=not IS_SOAK,
    deadline=None,
)

ports = st.integers(0, 65535)
numbers = st.integers(0, 2**32 - 1)
payloads = st.binary(max_size=61)
tcp_options = st.sampled_from(
    [b"", b"\x02\x04\x05\x78", b"\x01\x01\x08\x0a" + bytes(8)]
)
ip_options = st.sampled_from([b"", b"\x94\x04\x00\x00"])
versions = st.sampled_from([4, 6])


def addresses(version):
    """Returns addresses of an IP version, in network byte order."""
    size = 4 if version == 4 else 16
    return st.binary(min_size=size, max_size=size)


def wrap(source, destination, protocol, header, options=b""):
    """Returns the bytes of an IP packet, with checksums made by dpkt."""
    if len(source) == 4:
        return bytes(
            dpkt.ip.IP(
                src=source,
                dst=destination,
                p=protocol,
                hl=5 + len(options) // 4,
                opts=options,
                data=header,
            )
        )
    return bytes(
        dpkt.ip6.IP6(
            src=source,
            dst=destination,
            nxt=protocol,
            plen=len(header),
            data=header,
        )
    )


@st.composite
def builders(draw):
    """Returns a function from endpoints to the bytes of a packet."""
    version = draw(versions)
    payload = draw(payloads)
    options = draw(ip_options) if version == 4 else b""
    if draw(st.booleans()):
        extra = draw(tcp_options)
        fields = {
            "seq": draw(numbers),
            "ack": draw(numbers),
            "flags": draw(st.integers(0, 63)),
            "win": draw(ports),
            "opts": extra,
            "off": 5 + len(extra) // 4,
        }
        protocol, make = dpkt.ip.IP_PROTO_TCP, dpkt.tcp.TCP
    else:
        fields = {"ulen": 8 + len(payload)}
        protocol, make = dpkt.ip.IP_PROTO_UDP, dpkt.udp.UDP

    def build(source, source_port, destination, destination_port):
        header = make(
            sport=source_port, dport=destination_port, data=payload, **fields
        )
        return wrap(source, destination, protocol, header, options)

    return version, build


@st.composite
def packets(draw):
    """Returns a packet with its builder and endpoints."""
    version, build = draw(builders())
    endpoints = (
        draw(addresses(version)),
        draw(ports),
        draw(addresses(version)),
        draw(ports),
    )
    new = draw(addresses(version)), draw(ports)
    return build, endpoints, new


def open_packet(data):
    """Returns the packet as parsed by dpkt."""
    return dpkt.ip.IP(data) if data[0] >> 4 == 4 else dpkt.ip6.IP6(data)


class RewriteTest(testtools.TestCase):
    """Rewriting gives the packet that dpkt would have built."""

    @fuzz
    @given(packets())
    def test_a_new_destination_gives_what_dpkt_builds(self, case):
        build, (source, source_port, *old), new = case
        packet = ip.parse(build(source, source_port, *old))
        self.assertEqual(
            build(source, source_port, *new).hex(),
            rewrite.destination(packet, *new).hex(),
        )

    @fuzz
    @given(packets())
    def test_a_new_source_gives_what_dpkt_builds(self, case):
        build, (source, source_port, *destination), new = case
        packet = ip.parse(build(source, source_port, *destination))
        self.assertEqual(
            build(*new, *destination).hex(), rewrite.source(packet, *new).hex()
        )

    @fuzz
    @given(packets())
    def test_there_and_back_gives_the_first_packet(self, case):
        build, (source, source_port, *old), new = case
        data = build(source, source_port, *old)
        there = rewrite.destination(ip.parse(data), *new)
        back = rewrite.destination(ip.parse(there), *old)
        self.assertEqual(data.hex(), back.hex())

    @fuzz
    @given(packets())
    def test_udp_without_a_checksum_stays_without(self, case):
        build, endpoints, new = case
        data = bytearray(build(*endpoints))
        packet = ip.parse(bytes(data))
        if packet.protocol != ip.PROTOCOL_UDP or packet.version != 4:
            return
        at = packet.transport + 6
        data[at : at + 2] = b"\0\0"
        found = rewrite.destination(ip.parse(bytes(data)), *new)
        self.assertEqual(b"\0\0", found[at : at + 2])


class ParseTest(testtools.TestCase):
    """The core parses the same headers as dpkt."""

    @fuzz
    @given(packets())
    def test_headers_are_read_alike(self, case):
        build, endpoints, _ = case
        self.check(build(*endpoints))

    @fuzz
    @given(packets(), st.integers(0, 200), st.integers(0, 255))
    def test_a_damaged_packet_is_refused_or_read_alike(
        self, case, position, value
    ):
        build, endpoints, _ = case
        data = bytearray(build(*endpoints))
        data[position % len(data)] = value
        if not isinstance(ip.parse(bytes(data)), failure.Failure):
            self.check(bytes(data))

    @fuzz
    @given(packets(), st.integers(0, 200))
    def test_a_cut_packet_is_refused(self, case, size):
        build, endpoints, _ = case
        data = build(*endpoints)
        cut = data[: size % len(data)]
        self.assertIsInstance(ip.parse(cut), failure.Failure)

    def check(self, data):
        packet, other = ip.parse(data), open_packet(data)
        header = other.data
        found = [
            packet.source,
            packet.destination,
            packet.source_port,
            packet.destination_port,
            data[packet.payload :],
        ]
        expected = [
            other.src,
            other.dst,
            header.sport,
            header.dport,
            bytes(header.data),
        ]
        if packet.protocol == ip.PROTOCOL_TCP:
            found += [packet.sequence, packet.acknowledgment, packet.flags]
            expected += [header.seq, header.ack, header.flags & 0xFF]
        self.assertEqual(expected, found)


class ResetTest(testtools.TestCase):
    """Resets that answer a packet."""

    @fuzz
    @given(packets())
    def test_a_reset_is_the_packet_that_dpkt_builds(self, case):
        build, endpoints, _ = case
        packet = ip.parse(build(*endpoints))
        if packet.protocol != ip.PROTOCOL_TCP:
            return
        data = reset.for_packet(packet)
        found = open_packet(data)
        header = found.data
        self.assertTrue(header.flags & dpkt.tcp.TH_RST)
        self.assertEqual(
            (packet.destination, packet.source), (found.src, found.dst)
        )
        written = header.sum
        header.sum = 0
        if packet.version == 4:
            header_sum, found.sum = found.sum, 0
        rebuilt = open_packet(bytes(found))
        self.assertEqual(rebuilt.data.sum, written)
        if packet.version == 4:
            self.assertEqual(rebuilt.sum, header_sum)
