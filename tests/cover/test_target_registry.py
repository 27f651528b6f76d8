"""A control host counts a target as gone only if something proves it."""

import itertools

import hypothesis
from hypothesis import strategies
import testtools

from tamarack_core import target_announcement
from tamarack_core.internal.registry import target_registry
from tests import cookie_host

GONE = target_announcement.Phase.GONE
INTERVAL_S = 1.2
OLD_PORT, NEW_PORT = 80, 81
STARTS = strategies.lists(
    strategies.tuples(strategies.integers(0, 3), strategies.integers(0, 2)),
    min_size=1,
    max_size=8,
)
"""Names and endpoints of starts of targets; the time of each is its index."""


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
    for known in source.changes_since(1.0, position):
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
        (silent,) = other.changes_since(9.0, 0)
        held.put(9.0, silent.target, 2 * held.overdue_after_s)
        self.assertFalse(is_gone(held, "t-1"))

    @hypothesis.settings(deadline=None, max_examples=300)
    @hypothesis.given(
        starts=STARTS,
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


class SilenceTest(testtools.TestCase):
    """Targets whose announcements reach no control host."""

    def phases(self, held, seconds):
        """Checks a registry once a second; returns the phases it sends."""
        phases = set()
        for now_s in range(2, 2 + seconds):
            held.check_overdue(float(now_s))
            known = held.changes_since(float(now_s), 0)
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
