"""Envelopes stay small enough for the links of entry hosts."""

import random
import zlib

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from tamarack_core import cookie_entry
from tamarack_core import documents
from tamarack_core import envelopes
from tamarack_core import failure
from tamarack_core import sync
from tamarack_core import timeline
from tests import cookie_host

DEPTH = 100_000
"""Nesting beyond the limit of every decoder."""

ROUTES = 2_120
"""Routes of the largest document of the users' larger deployments."""

LINK_BYTES_PER_S = 2_000_000 // 8
"""Capacity of the link of an entry host there, in bytes per second."""

RECOVERY_S = 0.1
"""Time for which a whole document may fill the link, in seconds. Callers
retransmit an opening after 0.2 s."""


def large_document(count: int = ROUTES) -> sync.DocumentUpdate:
    """Returns a whole document with many routes."""
    generator = random.Random(7)
    split = (
        documents.WeightedService("schedule", 90),
        documents.WeightedService("chimes", 10),
    )
    routes = tuple(
        sync.RouteChange(
            f"198.18.{number // 200}.{number % 200}",
            generator.choice((443, 80, 8080, 8443)),
            split if number % 3 == 0 else split[:1],
            documents.WorkKind.IDEMPOTENT,
            generator.choice((2900.0, 3000.0, 3100.0)),
        )
        for number in range(count)
    )
    return sync.DocumentUpdate(0, 73, routes, 15000.0)


def envelope(*messages: sync.Message) -> envelopes.Envelope[sync.Message]:
    """Returns an envelope from a control host."""
    sender = cookie_host.control("c1")
    return envelopes.Envelope(sender, timeline.Stamp(0, 0), messages)


def update() -> sync.SyncUpdate:
    """Returns the update that a control host sends to a starting host."""
    return sync.SyncUpdate("run", 0, 9, True, document=large_document())


class EnvelopeSizeTest(testtools.TestCase):
    """Size and form of the envelopes that an entry host receives."""

    def test_a_whole_document_fills_a_slow_link_only_briefly(self):
        data = cookie_entry.CODEC.encode(envelope(update()))
        self.assertLess(len(data), RECOVERY_S * LINK_BYTES_PER_S)

    def test_a_large_envelope_is_read_as_it_was_written(self):
        sent = envelope(update())
        data = cookie_entry.CODEC.encode(sent)
        self.assertEqual(sent, cookie_entry.CODEC.decode(data))

    def test_a_small_envelope_stays_readable_json(self):
        data = cookie_entry.CODEC.encode(
            envelope(sync.SyncRequest("run", 3, 4))
        )
        self.assertEqual(b"{", data[:1])


class EnvelopeRefusalTest(testtools.TestCase):
    """Malformed envelopes are refused."""

    def assert_refused(self, data):
        refused = cookie_entry.CODEC.decode(data)
        self.assertIsInstance(refused, failure.Failure)
        self.assertEqual("bad-envelope", refused.reason)

    def test_a_body_that_decompresses_beyond_the_limit_is_refused(self):
        zeros = bytes(envelopes.MAX_PLAIN_BYTES + 1)
        self.assert_refused(zlib.compress(zeros))

    def test_a_body_cut_short_is_refused(self):
        data = cookie_entry.CODEC.encode(envelope(update()))
        self.assert_refused(data[:-20])

    def test_a_deeply_nested_body_is_refused(self):
        deep = b"[" * DEPTH + b"]" * DEPTH
        text = cookie_entry.CODEC.encode(envelope())
        for data in (
            deep,
            b'{"later":' + deep + b"}",
            text[:-1] + b',"later":' + deep + b"}",
            text.replace(b'"messages":[]', b'"messages":' + deep),
        ):
            self.assert_refused(data)
            self.assert_refused(zlib.compress(data))

    @hypothesis.given(strategies.binary(max_size=200))
    def test_no_bytes_raise(self, data):
        self.assert_refused(b"x" + data)
        self.assert_refused(data)


class ClockTest(testtools.TestCase):
    """Stamps of other hosts advance the clock of this one."""

    def test_a_stamp_that_no_clock_can_reach_leaves_the_clock(self):
        clock = timeline.HybridClock()
        clock.tick(1_700_000_000_000)
        for stamp in (
            timeline.Stamp(10**4300 - 1, 0),
            timeline.Stamp(timeline.MAX_WALL_MS + 1, 0),
            timeline.Stamp(1_800_000_000_000, 10**4300 - 1),
        ):
            data = cookie_entry.CODEC.encode(
                msgspec.structs.replace(envelope(), stamp=stamp)
            )
            self.assertFalse(
                clock.observe(cookie_entry.CODEC.decode(data).stamp)
            )
            later = clock.tick(0)
            self.assertEqual(1_700_000_000_000, later.wall_ms)
            cookie_entry.CODEC.encode(
                msgspec.structs.replace(envelope(), stamp=later)
            )

    def test_a_stamp_ahead_of_this_host_advances_its_clock(self):
        clock = timeline.HybridClock()
        clock.tick(1_700_000_000_000)
        ahead = timeline.Stamp(1_800_000_000_000, 7)
        self.assertTrue(clock.observe(ahead))
        self.assertGreater(clock.tick(1_700_000_000_001), ahead)
