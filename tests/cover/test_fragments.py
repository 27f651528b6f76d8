"""Envelopes split into datagrams, some of them lost or forged."""

import hypothesis
from hypothesis import strategies
import testtools

from tamarack_core import cookie_entry
from tamarack_core import fragments
from tests.cover import test_envelopes


class FragmentTest(testtools.TestCase):
    """Reassembly gives the split data or nothing."""

    def split(self, size, first=5):
        data = bytes(number % 251 for number in range(size))
        return data, fragments.Fragmenter(first).split(data)

    def test_a_whole_document_of_the_largest_deployment_fits(self):
        data = cookie_entry.CODEC.encode(
            test_envelopes.envelope(test_envelopes.update())
        )
        self.assertLessEqual(len(data), fragments.MAX_BYTES)

    @hypothesis.given(
        size=strategies.integers(1, fragments.MAX_BYTES),
        order=strategies.randoms(use_true_random=False),
    )
    def test_fragments_in_any_order_and_twice_join_once(self, size, order):
        data, pieces = self.split(size)
        self.assertTrue(
            all(len(piece) <= fragments.DATAGRAM_BYTES for piece in pieces)
        )
        sent = pieces[:-1] + pieces
        order.shuffle(sent)
        reassembler = fragments.Reassembler()
        joined = [found for found in map(reassembler.reassemble, sent) if found]
        self.assertIn(data, joined)
        self.assertEqual({data}, set(joined))

    def test_a_lost_fragment_gives_no_data_and_bounded_memory(self):
        reassembler = fragments.Reassembler()
        for first in range(3 * fragments.MAX_UNFINISHED):
            _, pieces = self.split(5000, first)
            for piece in pieces[1:]:
                self.assertIsNone(reassembler.reassemble(piece))
        self.assertEqual(fragments.MAX_UNFINISHED, len(reassembler.unfinished))

    @hypothesis.given(strategies.binary(max_size=60))
    def test_forged_fragments_raise_nothing(self, data):
        reassembler = fragments.Reassembler()
        reassembler.reassemble(bytes([fragments.MARKER]) + data)
        reassembler.reassemble(data)
