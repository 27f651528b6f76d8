"""Announcements whose service is in no document that a control host holds."""

import itertools

import hypothesis
from hypothesis import strategies
import testtools

from tamarack_core import target_announcement
from tests import cookie_host
from tests.cover import test_target_registry

READY = target_announcement.Phase.READY
DRAINING = target_announcement.Phase.DRAINING


class UnknownServiceTest(testtools.TestCase):
    """Announcements whose service is in no document that this host holds."""

    def phase(self, held, name):
        """Returns the phase in which a registry holds a target."""
        return held.records[name].target.phase

    def live(self):
        """Returns a registry with one live target, t-1."""
        held = test_target_registry.registry()
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
        other = test_target_registry.registry()
        test_target_registry.exchange(held, other, 0)
        other.put(2.2, odd)
        self.assertIs(READY, self.phase(other, "t-1"))

    def test_an_unknown_service_ends_no_target_that_is_announced_later(self):
        held = test_target_registry.registry()
        held.put(2.0, cookie_host.target("x", service="none", born_ms=9))
        held.put(2.2, cookie_host.target("t-1", born_ms=1))
        self.assertIs(READY, self.phase(held, "t-1"))

    def test_an_unknown_service_ends_no_restored_target(self):
        held = self.live()
        held.put(2.0, cookie_host.target("x", service="none", born_ms=9))
        restarted = test_target_registry.registry()
        restarted.restore(0.0, held.encode(2.0))
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
        held = test_target_registry.registry(())
        held.put(1.0, cookie_host.target("t-1", born_ms=1))
        held.put(1.2, cookie_host.target("t-2", born_ms=2))
        self.assertIs(READY, self.phase(held, "t-1"))
        held.set_services(1.5, ("web",))
        self.assertIs(test_target_registry.GONE, self.phase(held, "t-1"))
        self.assertIs(READY, self.phase(held, "t-2"))

    @hypothesis.settings(deadline=None, max_examples=300)
    @hypothesis.given(
        starts=test_target_registry.STARTS,
        data=strategies.data(),
    )
    def test_other_writers_change_nothing_in_any_order(self, starts, data):
        with_odd, without = (
            test_target_registry.registry(),
            test_target_registry.registry(),
        )
        order = data.draw(strategies.permutations(range(len(starts))))
        for born_ms in order:
            name, place = starts[born_ms]
            is_odd = data.draw(strategies.booleans())
            target = cookie_host.target(
                f"t-{name}",
                service="none" if is_odd else "web",
                born_ms=born_ms,
                port=test_target_registry.OLD_PORT + place,
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
