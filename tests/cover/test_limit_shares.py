"""Rules that keep two keepers from leasing out the same share."""

import testtools

from tamarack_core import configuration
from tamarack_core import effects
from tamarack_core import events
from tamarack_core.internal.distribution import holder
from tamarack_core.internal.limits import gate as gate_lib
from tamarack_core.internal.limits import keeper as keeper_lib
from tamarack_core.internal.limits import ledger as ledger_lib
from tamarack_core.internal.limits import sharing
from tamarack_core.messages import limits
from tamarack_lab.experiments import limit_plans
from tamarack_lab.experiments import network

LIMIT = "informe/certificate/concurrent"
START_S = 100.0


class LedgerTest(testtools.TestCase):
    """One limit of ten connections."""

    def lease(self, ledger, name, held, used, wanted):
        """Leases a share out."""
        ledger.needs[name] = ledger_lib.Need(used, wanted)
        return ledger.lease(0.0, name, held, 4.0)

    def test_what_a_holder_gives_back_counts_until_it_says_so(self):
        ledger = ledger_lib.Ledger(10.0, True)
        self.assertEqual(10.0, self.lease(ledger, "a", 0.0, 0.0, 10.0))
        ledger.needs["b"] = ledger_lib.Need(0.0, 10.0)
        self.assertEqual(5.0, self.lease(ledger, "a", 10.0, 0.0, 10.0))
        self.assertEqual(0.0, self.lease(ledger, "b", 0.0, 0.0, 10.0))
        self.assertEqual(5.0, self.lease(ledger, "a", 5.0, 0.0, 10.0))
        self.assertEqual(5.0, self.lease(ledger, "b", 0.0, 0.0, 10.0))

    def test_whole_units_are_all_given_out(self):
        ledger = ledger_lib.Ledger(10.0, True)
        for name in "abc":
            ledger.needs[name] = ledger_lib.Need(0.0, 9.0)
        shares = [self.lease(ledger, name, 0.0, 0.0, 9.0) for name in "abc"]
        self.assertEqual([4.0, 3.0, 3.0], shares)

    def test_a_share_comes_back_after_its_lease(self):
        ledger = ledger_lib.Ledger(10.0, True)
        self.lease(ledger, "a", 0.0, 0.0, 10.0)
        self.assertEqual(10.0, ledger.outstanding(3.9))
        self.assertEqual(0.0, ledger.outstanding(4.1))


class KeeperTest(testtools.TestCase):
    """A keeper of a roster of three hosts."""

    def test_a_promise_lasts_from_the_echoed_time_on(self):
        keeper = keeper_lib.Keeper(3)
        late_s = START_S + keeper_lib.PROMISE_S + 1.0
        for host in ("a", "b"):
            request = limits.ShareRequest(1, START_S, ())
            keeper.respond(late_s, host, request, {})
        self.assertFalse(keeper.is_keeper(late_s))
        for host in ("a", "b"):
            request = limits.ShareRequest(2, late_s, ())
            keeper.respond(late_s, host, request, {})
        self.assertTrue(keeper.is_keeper(late_s))

    def test_a_late_request_gets_no_answer(self):
        keeper = keeper_lib.Keeper(1)
        keeper.respond(START_S, "a", limits.ShareRequest(2, -1.0, ()), {})
        late = keeper.respond(
            START_S, "a", limits.ShareRequest(1, START_S, ()), {}
        )
        self.assertEqual("late-request", late.reason)


class SharingTest(testtools.TestCase):
    """A host whose keeper the test sets by the view of the members."""

    def setUp(self):
        super().setUp()
        held = holder.Holder()
        plan = next(
            plan
            for plan in limit_plans.plans()
            if plan.name == "limit-host-death"
        )
        services = {"informe": plan.services[0].settings}
        document = configuration.Configuration(services)
        held.put(configuration.Numbered(1, document), 0)
        self.gate = gate_lib.Gate()
        self.live = ()
        own = network.context("e0", "a", 1)
        self.part = sharing.Sharing(own, held, self.gate, lambda: self.live, 3)
        # Names by rising weight as keepers, the own host first.
        peers = [network.context(f"e{n}", "a", n).host for n in range(2, 60)]
        self.first = next(peer for peer in peers if self.is_above(peer))
        self.second = next(
            peer
            for peer in peers
            if peer != self.first and self.is_above(self.first, peer)
        )
        self.live = (self.first,)
        self.part.handle_started(events.Started(START_S, 1))

    def is_above(self, *others):
        """Returns whether the last of the others would be the keeper."""
        self.live = others
        return self.part._choose_keeper() == others[-1]

    def request(self, now_s):
        """Returns the receivers of the requests that a timer sends."""
        found = self.part.handle_timer(events.TimerFired(now_s, sharing.TIMER))
        return [
            effect.peer.host
            for effect in found
            if isinstance(effect, effects.SendMessage)
        ]

    def answer(self, number, amount):
        """Hands the host an answer of its keeper."""
        response = limits.ShareResponse(
            number, 1.0, True, (limits.Share(LIMIT, amount),)
        )
        self.part.handle_response(
            events.MessageArrived(START_S, self.first, response)
        )

    def test_a_host_that_starts_waits_for_promises_of_its_past(self):
        self.assertEqual([], self.request(START_S + 1.0))
        later_s = START_S + keeper_lib.PROMISE_S
        self.assertEqual([self.first.host], self.request(later_s))

    def test_a_promise_ends_before_another_keeper_is_asked(self):
        at_s = START_S + keeper_lib.PROMISE_S
        self.request(at_s)
        self.live = (self.first, self.second)
        self.assertEqual([], self.request(at_s + 1.0))
        at_s += keeper_lib.PROMISE_S
        self.assertEqual([self.second.host], self.request(at_s))

    def test_an_answer_to_an_earlier_request_is_ignored(self):
        at_s = START_S + keeper_lib.PROMISE_S
        self.request(at_s)
        self.request(at_s + 1.0)
        self.answer(self.part.number - 1, 7.0)
        self.assertEqual(0.0, self.gate.usage(LIMIT).valid_share(at_s + 1.0))
        self.answer(self.part.number, 5.0)
        self.assertEqual(5.0, self.gate.usage(LIMIT).valid_share(at_s + 1.0))
        end_s = at_s + 1.0 + keeper_lib.LEASE_S
        self.assertEqual(0.0, self.gate.usage(LIMIT).valid_share(end_s))
