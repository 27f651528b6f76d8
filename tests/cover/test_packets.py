"""Codecs of packets."""

from hypothesis import given
from hypothesis import strategies as st
import testtools
from testtools import matchers

from tamarack_core import failure
from tamarack_core.packets import checksum
from tamarack_core.packets import geneve
from tamarack_core.packets import ip

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
