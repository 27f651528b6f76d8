"""Order of the starts of a target whose clock is set back between them."""

import testtools

from tamarack_core import target_announcement
from tamarack_core.internal.cookie import target_table
from tests import cookie_host
from tests.cover import test_target_registry

READY = target_announcement.Phase.READY
DRAINING = target_announcement.Phase.DRAINING


class ClockStepTest(testtools.TestCase):
    """A target restarts under its name after its clock was set back.

    The first start is born at 5000, the second one, which is later, at 3000.
    """

    def setUp(self):
        super().setUp()
        self.held = test_target_registry.registry()
        self.held.announce(1.0, cookie_host.target("t-1", born_ms=5000))

    def target(self, sequence, phase=READY, **changes):
        """Returns an announcement of the second start."""
        return cookie_host.target(
            "t-1", born_ms=3000, sequence=sequence, phase=phase, **changes
        )

    def announce(self, seconds, phase=READY):
        """Announces the second start each interval from 2 s on."""
        for number in range(
            1, int(seconds / test_target_registry.INTERVAL_S) + 1
        ):
            now_s = 2.0 + number * test_target_registry.INTERVAL_S
            self.held.announce(now_s, self.target(number, phase))
            self.held.check_overdue(now_s)

    @property
    def known(self):
        """The target as the registry holds it."""
        return self.held.records["t-1"].target

    # Announcements of the second start were acknowledged and dropped, so the
    # first one got openings after the target had announced that it drains.
    def test_a_restart_with_an_earlier_start_time_can_drain(self):
        self.announce(12.0)
        self.assertEqual((3000, READY), (self.known.born_ms, self.known.phase))
        self.held.announce(15.0, self.target(20, DRAINING))
        self.assertEqual(
            (3000, DRAINING), (self.known.born_ms, self.known.phase)
        )

    def test_a_restart_that_drains_soon_gets_no_openings(self):
        self.held.announce(2.5, self.target(1))
        self.assertTrue(self.held.announce(2.7, self.target(2, DRAINING)))
        self.assertIs(DRAINING, self.known.phase)

    def test_a_late_drain_of_an_earlier_start_pauses_a_live_target(self):
        self.held.announce(1.5, self.target(9, DRAINING))
        self.assertIs(DRAINING, self.known.phase)
        live = cookie_host.target("t-1", born_ms=5000, sequence=2)
        self.held.announce(2.2, live)
        self.assertEqual((5000, READY), (self.known.born_ms, self.known.phase))

    def test_late_announcements_of_an_earlier_start_replace_no_live_one(self):
        for number in range(2, 12):
            now_s = number * test_target_registry.INTERVAL_S
            live = cookie_host.target("t-1", born_ms=5000, sequence=number)
            self.held.announce(now_s, live)
            self.held.announce(now_s + 0.1, self.target(number))
        self.assertEqual(5000, self.known.born_ms)

    def test_announcements_that_arrive_together_prove_no_restart(self):
        self.held.check_overdue(9.0)
        for number in range(1, 9):
            self.held.announce(9.0 + number / 100, self.target(number))
        self.assertEqual(5000, self.known.born_ms)

    def test_a_target_that_was_withdrawn_is_not_back(self):
        self.held.withdraw(1.5, "t-1", 5000)
        self.announce(12.0)
        self.assertIs(test_target_registry.GONE, self.known.phase)

    def test_all_hosts_learn_the_order_of_the_starts(self):
        other, entry = (
            test_target_registry.registry(),
            target_table.TargetTable(),
        )
        test_target_registry.exchange(self.held, other, 0)
        for known in self.held.changes_since(1.0, 0):
            entry.put(1.0, known)
        self.announce(12.0)
        test_target_registry.exchange(other, self.held, 0)
        test_target_registry.exchange(self.held, other, 0)
        for known in self.held.changes_since(14.0, 0):
            entry.put(14.0, known)
        other.announce(15.0, self.target(20, DRAINING))
        for found in (other.records["t-1"], entry.by_name["t-1"]):
            self.assertEqual(3000, found.target.born_ms)
        self.assertIs(DRAINING, other.records["t-1"].target.phase)
        restarted = test_target_registry.registry()
        restarted.restore(0.0, other.encode(15.0))
        late = cookie_host.target("t-1", born_ms=5000, sequence=99)
        restarted.announce(0.1, late)
        self.assertEqual(3000, restarted.records["t-1"].target.born_ms)

    def test_a_start_time_ahead_displaces_a_live_target_for_seconds_only(self):
        ahead = cookie_host.target(
            "t-1", born_ms=9_000_000, port=test_target_registry.NEW_PORT
        )
        self.held.announce(2.0, ahead)
        for number in range(2, 7):
            now_s = 2.0 + (number - 1) * test_target_registry.INTERVAL_S
            live = cookie_host.target("t-1", born_ms=5000, sequence=number)
            self.held.announce(now_s, live)
            self.held.check_overdue(now_s)
        self.assertEqual(5000, self.known.born_ms)
        self.assertEqual(
            test_target_registry.OLD_PORT, self.known.endpoint.port
        )

    def test_the_next_start_with_a_right_clock_replaces_it(self):
        self.announce(12.0)
        self.held.announce(15.0, cookie_host.target("t-1", born_ms=9000))
        self.assertEqual(9000, self.known.born_ms)

    def test_a_withdrawal_of_the_restarted_target_ends_it(self):
        self.announce(12.0)
        self.held.withdraw(15.0, "t-1", 5000)
        self.assertIs(READY, self.known.phase)
        self.held.withdraw(15.0, "t-1", 3000)
        self.assertIs(test_target_registry.GONE, self.known.phase)
