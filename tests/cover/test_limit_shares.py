"""Rules that keep two coordinators from leasing out the same quota."""

import testtools

from tamarack_core import configuration
from tamarack_core import effects
from tamarack_core import events
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.limits import ledger as ledger_lib
from tamarack_core.internal.limits import quota_coordinator
from tamarack_core.internal.limits import quota_lease_manager
from tamarack_core.internal.limits import quota_limiter
from tamarack_core.messages import limits
from tamarack_lab.experiments import limit_plans
from tamarack_lab.experiments import simulated_network

LIMIT = "informe/certificate/concurrent"
START_S = 100.0


class LedgerTest(testtools.TestCase):
    """One limit of ten connections."""

    def lease(self, ledger, name, held, used, wanted):
        """Sets the demand of a holder and returns the amount leased to it."""
        ledger.demands[name] = ledger_lib.Demand(used, wanted)
        return ledger.lease(0.0, name, held, 4.0)

    def test_a_reduced_lease_counts_in_full_until_the_holder_confirms(self):
        ledger = ledger_lib.Ledger(10.0, True)
        self.assertEqual(10.0, self.lease(ledger, "a", 0.0, 0.0, 10.0))
        ledger.demands["b"] = ledger_lib.Demand(0.0, 10.0)
        self.assertEqual(5.0, self.lease(ledger, "a", 10.0, 0.0, 10.0))
        self.assertEqual(0.0, self.lease(ledger, "b", 0.0, 0.0, 10.0))
        self.assertEqual(5.0, self.lease(ledger, "a", 5.0, 0.0, 10.0))
        self.assertEqual(5.0, self.lease(ledger, "b", 0.0, 0.0, 10.0))

    def test_whole_units_are_all_leased_out(self):
        ledger = ledger_lib.Ledger(10.0, True)
        for name in "abc":
            ledger.demands[name] = ledger_lib.Demand(0.0, 9.0)
        amounts = [self.lease(ledger, name, 0.0, 0.0, 9.0) for name in "abc"]
        self.assertEqual([4.0, 3.0, 3.0], amounts)

    def test_quota_returns_after_the_end_of_its_lease(self):
        ledger = ledger_lib.Ledger(10.0, True)
        self.lease(ledger, "a", 0.0, 0.0, 10.0)
        self.assertEqual(10.0, ledger.outstanding(3.9))
        self.assertEqual(0.0, ledger.outstanding(4.1))


class QuotaCoordinatorTest(testtools.TestCase):
    """A coordinator of one or three configured hosts."""

    def test_a_promise_lasts_from_the_echoed_time_on(self):
        coordinator = quota_coordinator.QuotaCoordinator(3)
        late_s = START_S + quota_coordinator.PROMISE_S + 1.0
        for host in ("a", "b"):
            request = limits.QuotaRequest(1, START_S, ())
            coordinator.respond(late_s, host, request, {})
        self.assertFalse(coordinator.is_coordinator(late_s))
        for host in ("a", "b"):
            request = limits.QuotaRequest(2, late_s, ())
            coordinator.respond(late_s, host, request, {})
        self.assertTrue(coordinator.is_coordinator(late_s))

    def test_a_late_request_gets_no_response(self):
        coordinator = quota_coordinator.QuotaCoordinator(1)
        coordinator.respond(START_S, "a", limits.QuotaRequest(2, -1.0, ()), {})
        late = coordinator.respond(
            START_S, "a", limits.QuotaRequest(1, START_S, ()), {}
        )
        self.assertEqual("late-request", late.reason)


class QuotaLeaseManagerTest(testtools.TestCase):
    """A host whose coordinator the test sets by its live members."""

    def setUp(self):
        super().setUp()
        config_store = configuration_store.ConfigurationStore()
        plan = next(
            plan
            for plan in limit_plans.plans()
            if plan.name == "limit-host-death"
        )
        services = {"informe": plan.services[0].settings}
        document = configuration.Configuration(services)
        config_store.put(configuration.VersionedConfiguration(1, document), 0)
        self.limiter = quota_limiter.QuotaLimiter()
        self.live = ()
        own = simulated_network.context("e0", "a", 1)
        self.manager = quota_lease_manager.QuotaLeaseManager(
            own, config_store, self.limiter, lambda: self.live, 3
        )
        # Hosts by rising weight as coordinators, the host under test first.
        peers = [
            simulated_network.context(f"e{n}", "a", n).host
            for n in range(2, 60)
        ]
        self.first = next(peer for peer in peers if self.is_above(peer))
        self.second = next(
            peer
            for peer in peers
            if peer != self.first and self.is_above(self.first, peer)
        )
        self.live = (self.first,)
        self.manager.handle_started(events.Started(START_S, 1))

    def is_above(self, *others):
        """Returns whether the last of the others would be the coordinator."""
        self.live = others
        return self.manager._choose_coordinator() == others[-1]

    def request(self, now_s):
        """Fires the timer and returns the receivers of the requests."""
        result = self.manager.handle_timer(
            events.TimerFired(now_s, quota_lease_manager.TIMER)
        )
        return [
            effect.peer.host
            for effect in result
            if isinstance(effect, effects.SendMessage)
        ]

    def respond(self, number, amount):
        """Delivers a response of the coordinator to the host."""
        response = limits.QuotaResponse(
            number, 1.0, True, (limits.QuotaLease(LIMIT, amount),)
        )
        self.manager.handle_response(
            events.MessageArrived(START_S, self.first, response)
        )

    def test_a_started_host_waits_out_promises_of_its_earlier_process(self):
        self.assertEqual([], self.request(START_S + 1.0))
        later_s = START_S + quota_coordinator.PROMISE_S
        self.assertEqual([self.first.host], self.request(later_s))

    def test_a_promise_ends_before_another_coordinator_is_queried(self):
        at_s = START_S + quota_coordinator.PROMISE_S
        self.request(at_s)
        self.live = (self.first, self.second)
        self.assertEqual([], self.request(at_s + 1.0))
        at_s += quota_coordinator.PROMISE_S
        self.assertEqual([self.second.host], self.request(at_s))

    def test_a_response_to_an_earlier_request_is_ignored(self):
        at_s = START_S + quota_coordinator.PROMISE_S
        self.request(at_s)
        self.request(at_s + 1.0)
        self.respond(self.manager.number - 1, 7.0)
        self.assertEqual(0.0, self.limiter.usage(LIMIT).valid_quota(at_s + 1.0))
        self.respond(self.manager.number, 5.0)
        self.assertEqual(5.0, self.limiter.usage(LIMIT).valid_quota(at_s + 1.0))
        end_s = at_s + 1.0 + quota_coordinator.LEASE_S
        self.assertEqual(0.0, self.limiter.usage(LIMIT).valid_quota(end_s))
