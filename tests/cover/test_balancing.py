"""Choice of a target."""

import random

import testtools

from tamarack_core import configuration
from tamarack_core import requests
from tamarack_core.internal.balancing import chooser as chooser_lib
from tamarack_core.internal.balancing import health as health_lib
from tamarack_core.internal.balancing import load_table as load_table_lib
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.limits import quota_limiter
from tamarack_core.internal.targets import lease_table
from tamarack_lab.experiments import simulated_network
from tamarack_lab.experiments import workloads

NOW_S = 100.0


def port(
    name: str = "report", weights: configuration.Weights | None = None
) -> lookup.ServicePort:
    """Returns a service port of agenda."""
    return lookup.ServicePort(
        "agenda",
        name,
        workloads.AGENDA.classes[name],
        weights or configuration.Weights(1.0, 1.0),
        b"\x0a\x09\x00\x01",
        444,
        8444,
    )


def address(number: int) -> bytes:
    """Returns the packed address of a target."""
    return bytes((10, 20, 0, number))


class BalancingTest(testtools.TestCase):
    """One host with targets whose leases are valid."""

    def setUp(self):
        super().setUp()
        self.table = lease_table.TargetLeaseTable()
        self.load_table = load_table_lib.LoadTable()
        self.chooser = chooser_lib.BalancingChooser(
            simulated_network.context("entry", "a", 1),
            configuration_store.ConfigurationStore(),
            self.table,
            self.load_table,
            quota_limiter.QuotaLimiter(),
        )
        for number in range(1, 8):
            self.announce(number)
            self.chooser.slow_start.started[address(number)] = (0, 0.0)
        self.random = random.Random(1)

    def announce(self, number, **changes):
        """Announces a target."""
        announcement = requests.Announce(
            "agenda", f"10.20.0.{number}", "a", slots=2, **changes
        )
        target = lease_table.TargetLease(
            announcement, 1, "entry", lease_table.NEVER_S
        )
        self.table.put(target)

    def choose(self, opened=None):
        """Returns the target that takes a new flow."""
        opening = target_choice.Opening(
            self.random.randbytes(13), opened or port()
        )
        choice = self.chooser.choose(NOW_S, opening)
        if isinstance(choice, target_choice.Refusal):
            return choice.verdict.reason
        return choice.target[-1]

    def observe(self, number, progress, elapsed_s=0.001):
        """Passes an observation of a flow to the chooser."""
        self.chooser.observe(
            NOW_S,
            target_choice.Observation(
                progress, address(number), port(), elapsed_s
            ),
        )

    def test_flows_without_an_end_spread_evenly(self):
        chosen = [self.choose() for _ in range(70)]
        self.assertEqual({10}, {chosen.count(n) for n in range(1, 8)})

    def test_work_that_another_host_reports_counts(self):
        work = [
            (address(n), load_table_lib.ReportedLoad(2.0, 0.0))
            for n in range(1, 7)
        ]
        self.load_table.apply_report("other", work)
        self.assertEqual(7, self.choose())
        self.load_table.apply_report(
            "other", [(address(3), load_table_lib.ReportedLoad(0.0, 0.0))]
        )
        self.assertEqual(3, self.choose())

    def test_an_ended_flow_frees_its_work(self):
        for _ in range(7):
            self.choose()
        self.observe(4, target_choice.Progress.CLOSED)
        self.assertEqual(4, self.choose())

    def test_a_service_that_weighs_broken_flows_keeps_default_targets(self):
        settled = configuration.Weights(broken_flows=9.0, imbalance=1.0)
        chosen = [self.choose(port(weights=settled)) for _ in range(70)]
        self.assertNotEqual({10}, {chosen.count(n) for n in range(1, 8)})

    def test_held_connections_end_at_the_announced_number(self):
        self.table = lease_table.TargetLeaseTable()
        self.chooser.targets = self.table
        self.announce(1, connections=2)
        chosen = [self.choose(port("route")) for _ in range(3)]
        self.assertEqual([1, 1, "connections-full"], chosen)

    def test_a_cold_target_takes_less_than_its_even_share(self):
        self.chooser.slow_start.started[address(1)] = (0, NOW_S)
        chosen = [self.choose() for _ in range(70)]
        self.assertTrue(0 < chosen.count(1) < 5, chosen.count(1))

    def test_a_slow_handshake_lowers_the_share(self):
        for number in range(1, 8):
            elapsed_s = 0.5 if number == 1 else 0.001
            self.observe(number, target_choice.Progress.ESTABLISHED, elapsed_s)
        chosen = [self.choose() for _ in range(70)]
        self.assertTrue(0 < chosen.count(1) < 5, chosen.count(1))

    def test_a_health_endpoint_is_outweighed_by_a_handshake(self):
        self.announce(1, healthy=False)
        self.observe(1, target_choice.Progress.ESTABLISHED)
        chosen = [self.choose() for _ in range(70)]
        self.assertEqual(10, chosen.count(1))

    def test_a_bad_health_endpoint_alone_never_takes_a_target_out(self):
        self.announce(1, healthy=False)
        chosen = [self.choose() for _ in range(70)]
        self.assertTrue(0 < chosen.count(1) < 10, chosen.count(1))

    def test_an_unresponsive_target_is_ejected(self):
        for _ in range(health_lib.FAILURES_TO_EJECT):
            self.observe(1, target_choice.Progress.UNRESPONSIVE)
        self.assertNotIn(1, [self.choose() for _ in range(70)])

    def test_retries_are_a_fraction_of_the_openings(self):
        self.assertTrue(self.chooser.may_retry(NOW_S, port()))
        self.assertFalse(self.chooser.may_retry(NOW_S, port()))
        for _ in range(20):
            self.choose()
        allowed = sum(self.chooser.may_retry(NOW_S, port()) for _ in range(9))
        self.assertEqual(2, allowed)

    def test_there_are_no_retries_while_openings_are_shed(self):
        self.chooser.load_shedder.shed_s["agenda"] = NOW_S - 1.0
        self.assertFalse(self.chooser.may_retry(NOW_S, port()))

    def test_a_reused_flow_keeps_its_target(self):
        for number in range(1, 8):
            opening = target_choice.Opening(b"flow", port(), address(number))
            choice = self.chooser.choose(NOW_S, opening)
            self.assertEqual(address(number), choice.target)


class EjectionTest(testtools.TestCase):
    """Ejection and readmission of targets."""

    def fail(self, health, number, times=health_lib.FAILURES_TO_EJECT):
        """Records failed openings at a target."""
        for _ in range(times):
            health.record_failure(NOW_S, address(number))

    def test_the_ejected_share_is_capped(self):
        health = health_lib.PassiveHealth()
        targets = [address(number) for number in range(1, 8)]
        for number in range(1, 8):
            self.fail(health, number)
        left = health.eligible(NOW_S, targets)
        self.assertEqual(
            7 - int(health_lib.MAX_EJECTED_FRACTION * 7), len(left)
        )

    def test_the_last_target_is_never_ejected(self):
        health = health_lib.PassiveHealth()
        self.fail(health, 1)
        self.assertEqual([address(1)], health.eligible(NOW_S, [address(1)]))

    def test_each_further_ejection_lasts_twice_as_long(self):
        health = health_lib.PassiveHealth()
        self.fail(health, 1)
        later_s = NOW_S + health_lib.EJECTION_S + 0.1
        targets = [address(1), address(2), address(3)]
        self.assertEqual(targets, health.eligible(later_s, targets))
        health.record_failure(later_s, address(1))
        later_s += health_lib.EJECTION_S + 0.1
        self.assertNotIn(address(1), health.eligible(later_s, targets))
        health.record_handshake(later_s, address(1), 0.001)
        self.assertEqual(targets, health.eligible(later_s, targets))
