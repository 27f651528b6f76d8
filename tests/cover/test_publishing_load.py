"""Load: thousands of targets announce themselves at once to a control host.

Changes must be pushed in batches, and each must cost the same however many
targets are registered.
"""

import testtools

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import sync
from tamarack_core.internal.registry import publisher as publishers
from tamarack_core.internal.registry import target_registry
from tests import cookie_host

SUBSCRIBERS = 60
OWN = cookie_host.control("c1")


class PublishingLoadTest(testtools.TestCase):
    """What a control host pushes while many targets change."""

    def setUp(self):
        super().setUp()
        self.now_s = 10.0
        self.registry = target_registry.TargetRegistry(1.2)
        context = context_lib.Context(OWN, 1)
        self.publisher = publishers.Publisher(context, self.registry)
        for number in range(SUBSCRIBERS):
            self.request_sync(cookie_host.control(f"entry-{number}"))
        self.sent = []
        self.timers = 0

    def request_sync(self, sender, position=0):
        """Sends the sync request of a host; returns the response."""
        request = sync.SyncRequest(self.publisher.run, position, 0)
        result = self.publisher.handle_request(
            events.MessageArrived(self.now_s, sender, request)
        )
        return result[0].message

    def record_effects(self, result):
        """Records the messages and timers among the effects."""
        for effect in result:
            if isinstance(effect, effects.SendMessage):
                self.sent.append(effect)
            if isinstance(effect, effects.StartTimer):
                self.timers += 1

    def announce(self, number):
        """Stores an announcement of a target and pushes the change."""
        target = cookie_host.target(f"t-{number}", port=1000 + number)
        if self.registry.put(self.now_s, target):
            self.record_effects(self.publisher.push(self.now_s))

    def fire_timer(self):
        """Fires the timer of the publisher."""
        self.now_s += publishers.PUSH_INTERVAL_S
        event = events.TimerFired(self.now_s, publishers.TIMER)
        self.record_effects(self.publisher.handle_timer(event))

    def test_the_first_change_is_pushed_at_once(self):
        self.announce(1)
        self.assertEqual(SUBSCRIBERS, len(self.sent))
        self.assertEqual(0, self.timers)

    def test_later_changes_are_pushed_together(self):
        for number in range(500):
            self.announce(number)
        self.assertEqual(SUBSCRIBERS, len(self.sent))
        self.assertEqual(1, self.timers)
        self.fire_timer()
        self.assertEqual(2 * SUBSCRIBERS, len(self.sent))
        names = {known.target.name for known in self.sent[-1].message.targets}
        self.assertEqual({f"t-{number}" for number in range(1, 500)}, names)
        # Nothing is left to push, so that no new timer was started.
        self.assertEqual(1, self.timers)
        self.now_s += 1.0
        self.announce(500)
        self.assertEqual(3 * SUBSCRIBERS, len(self.sent))

    def test_listing_a_change_does_not_scan_all_targets(self):
        for number in range(3000):
            self.registry.put(self.now_s, cookie_host.target(f"t-{number}"))
        for number in range(3000):
            target = cookie_host.target(f"u-{number}", port=2000 + number)
            self.registry.put(self.now_s, target)
        position = self.registry.position
        self.registry.put(self.now_s, cookie_host.target("t-new", port=9999))
        counted_records = CountingDict(self.registry.records)
        self.registry.records = counted_records
        result = self.registry.changes_since(self.now_s, position)
        self.assertEqual(["t-new"], [known.target.name for known in result])
        self.assertLess(counted_records.read_count, 5)

    def test_changes_since_a_position_are_those_after_it(self):
        for number in range(40):
            name = f"t-{number % 13}"
            target = cookie_host.target(
                name, port=1000 + number % 13, slots=1 + number
            )
            self.registry.put(self.now_s, target)
        for position in range(self.registry.position + 1):
            expected = {
                record.target.name
                for record in self.registry.records.values()
                if record.changed_position > position
            }
            result = self.registry.changes_since(self.now_s, position)
            self.assertEqual(expected, {known.target.name for known in result})


class CountingDict(dict):
    """Dict that counts how many of its values are read."""

    read_count = 0

    def values(self):
        return CountingValues(self)


class CountingValues:
    """View of the values of a dict that counts each one it yields."""

    def __init__(self, counted):
        self.counted = counted

    def __reversed__(self):
        """Yields the values, the last one first."""
        for name in reversed(self.counted):
            self.counted.read_count += 1
            yield self.counted[name]

    def __iter__(self):
        """Yields the values in their order."""
        return reversed(list(reversed(self)))
