"""A control host counts a target as gone only if something proves it."""

import itertools

import hypothesis
from hypothesis import strategies
import testtools

from tamarack_core import target_announcement
from tamarack_core.internal.cookie import target_table
from tamarack_core.internal.registry import target_registry
from tests import cookie_host

READY = target_announcement.Phase.READY
DRAINING = target_announcement.Phase.DRAINING
GONE = target_announcement.Phase.GONE
INTERVAL_S = 1.2
OLD_PORT, NEW_PORT = 80, 81


def registry(services=("web",)):
    """Returns an empty registry that knows services."""
    held = target_registry.TargetRegistry(INTERVAL_S)
    held.set_services(0.0, services)
    return held


def is_gone(held, name):
    """Returns whether a registry holds a target as gone; None if unknown."""
    record = held.records.get(name)
    return None if record is None else record.target.phase is GONE


def exchange(source, receiver, position):
    """Sends the changes after a position to another registry."""
    for known in source.changes_since(position):
        receiver.put(1.0, known.target)


class Group:
    """Three control hosts and the starts of targets that they learn of.

    Attributes:
        hosts: Their registries.
        starts: Name and place of the target of each start.
        withdrawn: The starts that were withdrawn.
    """

    def __init__(self, starts):
        """Creates hosts that know no target."""
        self.hosts = [registry() for _ in range(3)]
        self.starts = starts
        self.withdrawn = set()

    def announce(self, host, start):
        """Announces a start to a host."""
        name, place = self.starts[start]
        target = cookie_host.target(
            f"t-{name}", born_ms=start, port=OLD_PORT + place
        )
        self.hosts[host].put(1.0, target)

    def withdraw(self, host, start):
        """Withdraws a start at a host."""
        self.hosts[host].withdraw(1.0, f"t-{self.starts[start][0]}", start)
        self.withdrawn.add(start)

    def exchange_with_next(self, host, offset):
        """Sends all that a host knows to another host."""
        exchange(self.hosts[host], self.hosts[(host + offset + 1) % 3], 0)

    def exchange_all(self):
        """Sends all that each host knows to the others until all know it."""
        for _ in range(3):
            for source, receiver in itertools.permutations(self.hosts, 2):
                exchange(source, receiver, 0)


class EndpointTest(testtools.TestCase):
    """Targets that were announced at the same endpoint."""

    def test_a_target_that_moved_is_not_ended_by_another_at_its_old_place(self):
        held = registry()
        held.put(1.0, cookie_host.target("t-1", born_ms=1, port=OLD_PORT))
        held.put(1.0, cookie_host.target("t-1", born_ms=2, port=NEW_PORT))
        held.put(1.0, cookie_host.target("t-2", born_ms=3, port=OLD_PORT))
        self.assertFalse(is_gone(held, "t-1"))
        self.assertFalse(is_gone(held, "t-2"))

    def test_a_target_that_moved_back_is_known_at_its_old_endpoint(self):
        held = registry()
        for born_ms, port in ((1, OLD_PORT), (2, NEW_PORT), (3, OLD_PORT)):
            held.put(1.0, cookie_host.target("t-1", born_ms=born_ms, port=port))
        held.put(1.0, cookie_host.target("t-2", born_ms=4, port=OLD_PORT))
        self.assertTrue(is_gone(held, "t-1"))

    def test_equal_start_times_at_an_endpoint_end_neither_target(self):
        # Otherwise each control host ends the one that it learned first, and
        # both ends spread.
        names = ("t-1", "t-2")
        hosts = [registry(), registry()]
        for host, order in zip(hosts, (names, names[::-1]), strict=True):
            for name in order:
                host.put(1.0, cookie_host.target(name, port=OLD_PORT))
        exchange(hosts[0], hosts[1], 0)
        exchange(hosts[1], hosts[0], 0)
        for host in hosts:
            self.assertEqual([False] * 2, [is_gone(host, n) for n in names])

    def test_a_delayed_announcement_takes_no_place_of_a_live_target(self):
        held = registry()
        held.put(1.0, cookie_host.target("t-2", born_ms=2, port=OLD_PORT))
        held.put(2.0, cookie_host.target("t-1", born_ms=1, port=OLD_PORT))
        self.assertTrue(is_gone(held, "t-1"))
        self.assertFalse(is_gone(held, "t-2"))

    def test_a_target_that_has_ended_ends_no_other_at_its_place(self):
        # The clock of the first one was ahead.
        held, other = registry(), registry()
        for host in (held, other):
            host.put(1.0, cookie_host.target("t-2", born_ms=2, port=OLD_PORT))
        held.withdraw(1.0, "t-2", 2)
        held.put(2.0, cookie_host.target("t-1", born_ms=1, port=OLD_PORT))
        self.assertFalse(is_gone(held, "t-1"))
        exchange(held, other, 0)
        exchange(other, held, 0)
        for host in (held, other):
            self.assertFalse(is_gone(host, "t-1"))

    def test_a_silent_target_ends_no_other_at_its_place(self):
        held, other = registry(), registry()
        for host in (held, other):
            host.put(1.0, cookie_host.target("t-2", born_ms=2, port=OLD_PORT))
            host.check_overdue(9.0)
        held.put(9.0, cookie_host.target("t-1", born_ms=1, port=OLD_PORT))
        self.assertFalse(is_gone(held, "t-1"))
        (silent,) = other.changes_since(0)
        held.put(9.0, silent.target, 2 * held.overdue_after_s)
        self.assertFalse(is_gone(held, "t-1"))

    @hypothesis.settings(deadline=None, max_examples=300)
    @hypothesis.given(
        # Each start has a name and an endpoint; its time is its index.
        starts=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3), strategies.integers(0, 2)
            ),
            min_size=1,
            max_size=8,
        ),
        data=strategies.data(),
    )
    def test_hosts_agree_on_the_ended_targets_in_any_order(self, starts, data):
        group = Group(starts)
        numbers = strategies.integers(0, len(starts) - 1)
        host_numbers = strategies.integers(0, 2)
        steps = (group.announce, group.withdraw, group.exchange_with_next)
        step = strategies.tuples(
            strategies.sampled_from(steps), host_numbers, numbers
        )
        for take, host, start in data.draw(strategies.lists(step, max_size=30)):
            take(host, start)
        for start in range(len(starts)):
            group.announce(data.draw(host_numbers), start)
        group.exchange_all()
        last_of_name = {name: start for start, (name, _) in enumerate(starts)}
        last_at = {place: start for start, (_, place) in enumerate(starts)}
        for name, start in last_of_name.items():
            states = {is_gone(host, f"t-{name}") for host in group.hosts}
            self.assertEqual(1, len(states), starts)
            is_last = last_at[starts[start][1]] == start
            if is_last and start not in group.withdrawn:
                self.assertEqual({False}, states)


class UnknownServiceTest(testtools.TestCase):
    """Announcements whose service is in no document that this host holds."""

    def phase(self, held, name):
        """Returns the phase in which a registry holds a target."""
        return held.records[name].target.phase

    def live(self):
        """Returns a registry with one live target, t-1."""
        held = registry()
        held.put(1.0, cookie_host.target("t-1", born_ms=1))
        return held

    # One heartbeat of another writer ended the live target at its endpoint.
    def test_an_unknown_service_ends_no_live_target_at_its_endpoint(self):
        held = self.live()
        odd = cookie_host.target("x", service="none", born_ms=9)
        held.put(2.0, odd)
        self.assertIs(READY, self.phase(held, "t-1"))
        held.put(2.2, cookie_host.target("t-1", born_ms=1, sequence=2))
        self.assertIs(READY, self.phase(held, "t-1"))
        other = registry()
        exchange(held, other, 0)
        other.put(2.2, odd)
        self.assertIs(READY, self.phase(other, "t-1"))

    def test_an_unknown_service_ends_no_target_that_is_announced_later(self):
        held = registry()
        held.put(2.0, cookie_host.target("x", service="none", born_ms=9))
        held.put(2.2, cookie_host.target("t-1", born_ms=1))
        self.assertIs(READY, self.phase(held, "t-1"))

    def test_an_unknown_service_ends_no_restored_target(self):
        held = self.live()
        held.put(2.0, cookie_host.target("x", service="none", born_ms=9))
        restarted = registry()
        restarted.restore(0.0, held.encode())
        self.assertIs(READY, self.phase(restarted, "t-1"))

    def test_an_unknown_service_takes_no_name_of_a_live_target(self):
        for born_ms, phase in itertools.product((1, 9), (READY, DRAINING)):
            held = self.live()
            odd = cookie_host.target(
                "t-1",
                service="none",
                born_ms=born_ms,
                sequence=99,
                phase=phase,
            )
            self.assertFalse(held.put(2.0, odd))
            held.put(2.2, cookie_host.target("t-1", born_ms=1, sequence=2))
            self.assertEqual("web", held.records["t-1"].target.service)
            self.assertEqual((1, 2), held.records["t-1"].target.order)
            self.assertIs(READY, self.phase(held, "t-1"))

    def test_a_target_takes_its_place_once_its_service_is_known(self):
        for name in ("t-1", "t-2"):
            held = self.live()
            held.put(2.0, cookie_host.target(name, service="new", born_ms=9))
            held.set_services(2.5, ("web", "new"))
            live = [
                record.target.name + " " + record.target.service
                for record in held.records.values()
                if record.target.phase is READY
            ]
            self.assertEqual([f"{name} new"], live)

    def test_a_withdrawn_target_is_not_back_once_its_service_is_known(self):
        for born_ms in (9, None):
            held = self.live()
            held.put(2.0, cookie_host.target("t-1", service="new", born_ms=9))
            held.withdraw(2.2, "t-1", born_ms)
            held.set_services(2.5, ("web", "new"))
            self.assertIsNot(READY, self.phase(held, "t-1"))

    def test_a_target_that_is_known_before_its_service_is_kept(self):
        held = registry(())
        held.put(1.0, cookie_host.target("t-1", born_ms=1))
        held.put(1.2, cookie_host.target("t-2", born_ms=2))
        self.assertIs(READY, self.phase(held, "t-1"))
        held.set_services(1.5, ("web",))
        self.assertIs(GONE, self.phase(held, "t-1"))
        self.assertIs(READY, self.phase(held, "t-2"))

    @hypothesis.settings(deadline=None, max_examples=300)
    @hypothesis.given(
        starts=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3), strategies.integers(0, 2)
            ),
            min_size=1,
            max_size=8,
        ),
        data=strategies.data(),
    )
    def test_other_writers_change_nothing_in_any_order(self, starts, data):
        with_odd, without = registry(), registry()
        order = data.draw(strategies.permutations(range(len(starts))))
        for born_ms in order:
            name, place = starts[born_ms]
            is_odd = data.draw(strategies.booleans())
            target = cookie_host.target(
                f"t-{name}",
                service="none" if is_odd else "web",
                born_ms=born_ms,
                port=OLD_PORT + place,
            )
            with_odd.put(1.0, target)
            if not is_odd:
                without.put(1.0, target)
        expected, found = (
            {
                name: record.target
                for name, record in held.records.items()
                if record.target.service == "web"
            }
            for held in (without, with_odd)
        )
        self.assertEqual(expected, found)


class ClockStepTest(testtools.TestCase):
    """A target restarts under its name after its clock was set back.

    The first start is born at 5000, the second one, which is later, at 3000.
    """

    def setUp(self):
        super().setUp()
        self.held = registry()
        self.held.announce(1.0, cookie_host.target("t-1", born_ms=5000))

    def target(self, sequence, phase=READY, **changes):
        """Returns an announcement of the second start."""
        return cookie_host.target(
            "t-1", born_ms=3000, sequence=sequence, phase=phase, **changes
        )

    def announce(self, seconds, phase=READY):
        """Announces the second start each interval from 2 s on."""
        for number in range(1, int(seconds / INTERVAL_S) + 1):
            now_s = 2.0 + number * INTERVAL_S
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
            now_s = number * INTERVAL_S
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
        self.assertIs(GONE, self.known.phase)

    def test_all_hosts_learn_the_order_of_the_starts(self):
        other, entry = registry(), target_table.TargetTable()
        exchange(self.held, other, 0)
        for known in self.held.changes_since(0):
            entry.put(1.0, known)
        self.announce(12.0)
        exchange(other, self.held, 0)
        exchange(self.held, other, 0)
        for known in self.held.changes_since(0):
            entry.put(14.0, known)
        other.announce(15.0, self.target(20, DRAINING))
        for found in (other.records["t-1"], entry.by_name["t-1"]):
            self.assertEqual(3000, found.target.born_ms)
        self.assertIs(DRAINING, other.records["t-1"].target.phase)
        restarted = registry()
        restarted.restore(0.0, other.encode())
        late = cookie_host.target("t-1", born_ms=5000, sequence=99)
        restarted.announce(0.1, late)
        self.assertEqual(3000, restarted.records["t-1"].target.born_ms)

    def test_a_start_time_ahead_displaces_a_live_target_for_seconds_only(self):
        ahead = cookie_host.target("t-1", born_ms=9_000_000, port=NEW_PORT)
        self.held.announce(2.0, ahead)
        for number in range(2, 7):
            now_s = 2.0 + (number - 1) * INTERVAL_S
            live = cookie_host.target("t-1", born_ms=5000, sequence=number)
            self.held.announce(now_s, live)
            self.held.check_overdue(now_s)
        self.assertEqual(5000, self.known.born_ms)
        self.assertEqual(OLD_PORT, self.known.endpoint.port)

    def test_the_next_start_with_a_right_clock_replaces_it(self):
        self.announce(12.0)
        self.held.announce(15.0, cookie_host.target("t-1", born_ms=9000))
        self.assertEqual(9000, self.known.born_ms)

    def test_a_withdrawal_of_the_restarted_target_ends_it(self):
        self.announce(12.0)
        self.held.withdraw(15.0, "t-1", 5000)
        self.assertIs(READY, self.known.phase)
        self.held.withdraw(15.0, "t-1", 3000)
        self.assertIs(GONE, self.known.phase)


class SilenceTest(testtools.TestCase):
    """Targets whose announcements reach no control host."""

    def phases(self, held, seconds):
        """Checks a registry once a second; returns the phases it sends."""
        phases = set()
        for now_s in range(2, 2 + seconds):
            held.check_overdue(float(now_s))
            known = held.changes_since(0)
            phases |= {item.target.phase for item in known}
        return phases

    def test_silence_alone_ends_no_target(self):
        # The target may be cut off from the control hosts, and still serve.
        held = registry()
        held.put(1.0, cookie_host.target("t-1"))
        self.assertEqual(
            {target_announcement.Phase.READY}, self.phases(held, 600)
        )

    def test_nothing_is_kept_of_a_target_that_stays_silent(self):
        held = registry()
        held.put(1.0, cookie_host.target("t-1"))
        self.phases(held, 600)
        self.assertEqual({}, held.records)
        held.put(700.0, cookie_host.target("t-1", sequence=9))
        self.assertFalse(is_gone(held, "t-1"))
        self.assertFalse(held.records["t-1"].is_overdue)


class WithdrawalTest(testtools.TestCase):
    """Withdrawals may be late, and may come without a start time."""

    def phase(self, held):
        """Returns the phase in which a registry holds the target."""
        return held.records["t-1"].target.phase

    def test_a_withdrawal_without_a_start_time_ends_a_draining_target(self):
        held = registry()
        draining = target_announcement.Phase.DRAINING
        held.put(1.0, cookie_host.target("t-1", phase=draining))
        self.assertTrue(held.withdraw(1.0, "t-1", None))
        self.assertIs(GONE, self.phase(held))

    def test_a_withdrawal_without_a_start_time_ends_no_ready_target(self):
        # It may be a late one of an earlier start under the same name.
        held = registry()
        held.put(1.0, cookie_host.target("t-1", born_ms=2))
        self.assertTrue(held.withdraw(1.0, "t-1", None))
        self.assertIs(target_announcement.Phase.DRAINING, self.phase(held))
        held.put(2.0, cookie_host.target("t-1", born_ms=2, sequence=2))
        self.assertIs(target_announcement.Phase.READY, self.phase(held))

    def test_a_withdrawal_without_a_start_time_outlasts_older_news(self):
        held, other = registry(), registry()
        for host in (held, other):
            host.put(1.0, cookie_host.target("t-1", born_ms=2))
        held.withdraw(1.0, "t-1", None)
        exchange(other, held, 0)
        exchange(held, other, 0)
        for host in (held, other):
            self.assertIs(target_announcement.Phase.DRAINING, self.phase(host))

    def test_a_late_withdrawal_of_an_earlier_start_changes_nothing(self):
        held = registry()
        held.put(1.0, cookie_host.target("t-1", born_ms=1))
        held.put(1.0, cookie_host.target("t-1", born_ms=2))
        self.assertFalse(held.withdraw(1.0, "t-1", 1))
        self.assertIs(target_announcement.Phase.READY, self.phase(held))

    def test_a_withdrawal_of_a_start_yet_unknown_does_not_end_that_start(self):
        # The record of the earlier start ends; the later one is announced to
        # another control host and decides for itself.
        held = registry()
        held.put(1.0, cookie_host.target("t-1", born_ms=1))
        held.withdraw(1.0, "t-1", 2)
        held.put(2.0, cookie_host.target("t-1", born_ms=2))
        self.assertIs(target_announcement.Phase.READY, self.phase(held))

    def test_an_announcement_without_a_start_time_ends_no_other(self):
        held = registry()
        held.put(1.0, cookie_host.target("t-1", born_ms=2, sequence=3))
        held.put(2.0, cookie_host.target("t-1", born_ms=0, sequence=9))
        held.put(2.0, cookie_host.target("t-2", born_ms=0))
        self.assertEqual((2, 3), held.records["t-1"].target.order)
        self.assertIs(target_announcement.Phase.READY, self.phase(held))

    def test_the_end_of_an_earlier_start_does_not_reach_the_later_one(self):
        held, other = registry(), registry()
        other.put(1.0, cookie_host.target("t-1", born_ms=1))
        other.withdraw(1.0, "t-1", 1)
        held.put(1.0, cookie_host.target("t-1", born_ms=2))
        exchange(other, held, 0)
        self.assertIs(target_announcement.Phase.READY, self.phase(held))
