"""Signed messages between hosts."""

import itertools
import random

import hypothesis
from hypothesis import strategies
import testtools

from tamarack_core import failure
from tamarack_core import signing

OLD = b'{"id": "old", "secret": "00112233445566778899aabbccddeeff"}'
NEW = b'{"id": "new", "secret": "ffeeddccbbaa99887766554433221100"}'
NOW_MS = 1_000_000


def keys(*encoded):
    """Returns a keyring; the first key signs."""
    return signing.parse_keys(b'{"keys": [' + b",".join(encoded) + b"]}")


def signer(host, *encoded, seed=1):
    """Returns the signer of a host."""
    return signing.Signer(host, keys(*encoded), random.Random(seed))


class SigningTest(testtools.TestCase):
    """Only fresh messages to this host, signed by a known key, are accepted."""

    def assert_refused(self, reason, data, receiver=None, now_ms=NOW_MS):
        """Checks that a message is refused for a reason."""
        receiver = receiver or signer("b", OLD)
        self.assertEqual(failure.Failure(reason), receiver.verify(data, now_ms))

    def test_a_signed_message_is_accepted_once(self):
        receiver = signer("b", OLD)
        data = signer("a", OLD).sign("b", b"body\nmore", NOW_MS)
        self.assertEqual(b"body\nmore", receiver.verify(data, NOW_MS))
        self.assert_refused("message-replayed", data, receiver)

    def test_a_message_for_another_host_is_refused(self):
        data = signer("a", OLD).sign("c", b"body", NOW_MS)
        self.assert_refused("message-bad-signature", data)

    def test_an_unsigned_message_or_one_with_another_key_is_refused(self):
        self.assert_refused("message-unsigned", b'{"sender": 1}')
        data = signer("a", NEW).sign("b", b"body", NOW_MS)
        self.assert_refused("message-unknown-key", data)
        self.assert_refused(
            "message-bad-signature", data.replace(b"new", b"old", 1)
        )

    def test_a_late_message_is_refused(self):
        data = signer("a", OLD).sign("b", b"body", NOW_MS)
        late_ms = NOW_MS + signing.MAX_SKEW_MS + 1
        self.assert_refused("message-late", data, now_ms=late_ms)

    def test_keys_are_rotated_without_a_refusal(self):
        stages = [(OLD,), (OLD, NEW), (NEW, OLD), (NEW,)]
        for before, after in itertools.pairwise(stages):
            for sender_keys, receiver_keys in (
                (before, after),
                (after, before),
            ):
                data = signer("a", *sender_keys).sign("b", b"body", NOW_MS)
                receiver = signer("b", *receiver_keys)
                self.assertEqual(b"body", receiver.verify(data, NOW_MS))

    def test_messages_of_a_restarted_sender_are_accepted(self):
        receiver = signer("b", OLD)
        for seed in (1, 2):
            sender = signer("a", OLD, seed=seed)
            data = sender.sign("b", b"body", NOW_MS)
            self.assertEqual(b"body", receiver.verify(data, NOW_MS))

    def test_bad_key_files_are_refused(self):
        for data in (
            b"",
            b'{"keys": []}',
            b'{"keys": [' + OLD + b"," + OLD + b"]}",
            b'{"keys": [{"id": "a b", "secret": "' + b"00" * 16 + b'"}]}',
            b'{"keys": [{"id": "short", "secret": "00"}]}',
            b'{"keys": [{"id": "text", "secret": "secret"}]}',
        ):
            refused = signing.parse_keys(data)
            self.assertIsInstance(refused, failure.Failure, data)

    @hypothesis.given(strategies.lists(strategies.integers(1, 3000)))
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    def test_no_counter_passes_twice(self, counters):
        window = signing.ReplayWindow()
        seen = set()
        for counter in counters:
            is_recent = counter > max(seen, default=0) - 1024
            passed = window.accept(counter)
            self.assertEqual(counter not in seen and is_recent, passed)
            seen.add(counter)

    @hypothesis.given(strategies.binary(max_size=60), strategies.integers(0))
    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    def test_damage_anywhere_is_refused(self, body, place):
        data = bytearray(signer("a", OLD).sign("b", body, NOW_MS))
        data[place % len(data)] ^= 1
        verified = signer("b", OLD).verify(bytes(data), NOW_MS)
        self.assertIsInstance(verified, failure.Failure)
