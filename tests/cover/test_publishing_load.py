"""Load: thousands of targets announce themselves at once at a control host."""

import testtools

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import sync
from tamarack_core.internal.registry import publisher as publishers
from tamarack_core.internal.registry import target_registry
from tests import cookie_host

FOLLOWERS = 60
OWN = cookie_host.control("c1")


class PublishingLoadTest(testtools.TestCase):
    """What a control host sends while much changes."""

    def setUp(self):
        super().setUp()
        self.now_s = 10.0
        self.registry = target_registry.TargetRegistry(1.2)
        context = context_lib.Context(OWN, 1)
        self.publisher = publishers.Publisher(context, self.registry)
        for number in range(FOLLOWERS):
            self.ask(cookie_host.control(f"entry-{number}"))
        self.sent = []
        self.timers = 0

    def ask(self, sender, position=0):
        """Lets a host ask; returns the answer."""
        request = sync.SyncRequest(self.publisher.run, position, 0)
        found = self.publisher.handle_request(
            events.MessageArrived(self.now_s, sender, request)
        )
        return found[0].message

    def take(self, found):
        """Carries effects out."""
        for effect in found:
            if isinstance(effect, effects.SendMessage):
                self.sent.append(effect)
            if isinstance(effect, effects.StartTimer):
                self.timers += 1

    def announce(self, number):
        """Lets a target announce itself."""
        target = cookie_host.target(f"t-{number}", port=1000 + number)
        if self.registry.put(self.now_s, target):
            self.take(self.publisher.push(self.now_s))

    def fire(self):
        """Lets the timer of the publisher run out."""
        self.now_s += publishers.PUSH_INTERVAL_S
        event = events.TimerFired(self.now_s, publishers.TIMER)
        self.take(self.publisher.handle_timer(event))

    def test_the_first_change_is_pushed_at_once(self):
        self.announce(1)
        self.assertEqual(FOLLOWERS, len(self.sent))
        self.assertEqual(0, self.timers)

    def test_changes_that_follow_are_pushed_together(self):
        for number in range(500):
            self.announce(number)
        self.assertEqual(FOLLOWERS, len(self.sent))
        self.assertEqual(1, self.timers)
        self.fire()
        self.assertEqual(2 * FOLLOWERS, len(self.sent))
        names = {known.target.name for known in self.sent[-1].message.targets}
        self.assertEqual({f"t-{number}" for number in range(1, 500)}, names)
        # Nothing is left, so that nothing waits.
        self.assertEqual(1, self.timers)
        self.now_s += 1.0
        self.announce(500)
        self.assertEqual(3 * FOLLOWERS, len(self.sent))

    def test_a_change_costs_no_look_at_all_targets(self):
        for number in range(3000):
            self.registry.put(self.now_s, cookie_host.target(f"t-{number}"))
        for number in range(3000):
            target = cookie_host.target(f"u-{number}", port=2000 + number)
            self.registry.put(self.now_s, target)
        position = self.registry.position
        self.registry.put(self.now_s, cookie_host.target("t-new", port=9999))
        looked = CountingDict(self.registry.records)
        self.registry.records = looked
        found = self.registry.changes_since(position)
        self.assertEqual(["t-new"], [known.target.name for known in found])
        self.assertLess(looked.seen, 5)

    def test_the_changes_since_any_position_are_those_after_it(self):
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
            found = self.registry.changes_since(position)
            self.assertEqual(expected, {known.target.name for known in found})


class CountingDict(dict):
    """A dict that counts the values that are looked at."""

    seen = 0

    def values(self):
        return CountingValues(self)


class CountingValues:
    """Values of a dict, counted as they are looked at."""

    def __init__(self, counted):
        self.counted = counted

    def __reversed__(self):
        """Yields the values, the last one first."""
        for name in reversed(self.counted):
            self.counted.seen += 1
            yield self.counted[name]

    def __iter__(self):
        """Yields the values in their order."""
        return reversed(list(reversed(self)))
