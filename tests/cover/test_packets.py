"""Codecs of packets."""

from hypothesis import given
from hypothesis import strategies as st
import testtools
from testtools import matchers

from tamarack_core import failure
from tamarack_core.packets import checksum
from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tamarack_core.packets import rewrite
from tamarack_lab.bench import traffic

MAX_PACKET_BYTES = 200


class GeneveTest(testtools.TestCase):
    """Encapsulation between fabric and hosts."""

    @given(st.binary(max_size=MAX_PACKET_BYTES))
    def test_any_bytes_decode_or_give_a_named_failure(self, data: bytes):
        result = geneve.decapsulate(data)
        if isinstance(result, failure.Failure):
            self.assertThat(result.reason, matchers.StartsWith("geneve-"))

    @given(st.binary(min_size=1), st.integers(0, 2**32 - 1))
    def test_a_packet_for_another_host_keeps_its_hop_count(self, packet, hops):
        result = geneve.decapsulate(geneve.encapsulate_hop(packet, hops))
        self.assertEqual(geneve.Decapsulated(packet, hops), result)

    def test_an_unknown_critical_option_is_refused(self):
        datagram = bytes.fromhex("0100080000000000") + b"\x00\x01\x80\x00"
        result = geneve.decapsulate(datagram + b"\x45")
        self.assertEqual(failure.Failure("geneve-critical-option"), result)


class IpTest(testtools.TestCase):
    """Headers of inner packets."""

    @given(st.binary(max_size=MAX_PACKET_BYTES))
    def test_any_bytes_parse_or_give_a_failure(self, data: bytes):
        result = ip.parse(data)
        self.assertIsInstance(result, ip.Packet | failure.Failure)


class RewriteTest(testtools.TestCase):
    """Address rewriting."""

    @given(
        st.integers(0, 2**32 - 1),
        st.integers(1, 2**16 - 1),
        st.binary(max_size=50),
    )
    def test_both_checksums_are_right_after_each_rewrite(
        self, address, port, payload
    ):
        packet = ip.parse(
            traffic.tcp_packet(
                b"\x0a\x07\x00\x01",
                5000,
                b"\x0a\x09\x00\x01",
                80,
                ip.TCP_ACK,
                7,
                payload,
            )
        )
        new = address.to_bytes(4, "big")
        for change in (rewrite.destination, rewrite.source):
            data = change(packet, new, port)
            self.assertEqual(0, checksum.of(data[:20]))
            pseudo = checksum.pseudo_header(
                data[12:16], data[16:20], ip.PROTOCOL_TCP, len(data) - 20
            )
            self.assertEqual(0, checksum.of(pseudo + data[20:]))

    @given(st.binary(max_size=50), st.integers(0, 255), st.integers(0, 200))
    def test_the_fast_parser_agrees_with_the_general_one(
        self, payload, value, position
    ):
        data = bytearray(
            traffic.tcp_packet(
                b"\x0a\x07\x00\x01",
                5000,
                b"\x0a\x09\x00\x01",
                80,
                ip.TCP_ACK,
                7,
                payload,
            )
        )
        data[position % len(data)] = value
        fast, general = ip.parse(bytes(data)), ip.parse_general(bytes(data))
        if isinstance(general, failure.Failure):
            self.assertEqual(general, fast)
            return
        names = set(ip.Packet.__slots__) - {"is_plain_tcp4"}
        self.assertEqual(
            {name: getattr(general, name) for name in names},
            {name: getattr(fast, name) for name in names},
        )


class ChecksumTest(testtools.TestCase):
    """Internet checksum."""

    @given(
        st.binary(min_size=8, max_size=40), st.binary(min_size=4, max_size=4)
    )
    def test_an_incremental_update_equals_a_full_sum(self, data, new):
        data = b"\x01\x00" + data
        changed = data[:4] + new + data[8:]
        added = checksum.difference(data[4:8], new)
        adjusted = checksum.adjust(checksum.of(data), added)
        self.assertEqual(checksum.of(changed), adjusted)
