"""One odd announcement to an entry host affects no other target and no flow.

Seen by operators of a similar system: an entry of another writer with a number
too large ended the hosts that read the list, or kept them from following it.
"""

import random

import msgspec
import testtools
from testtools import matchers

from tamarack_core import configuration
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import refusal
from tamarack_core import requests
from tamarack_core.internal.balancing import chooser as chooser_lib
from tamarack_core.internal.balancing import load_table as load_table_lib
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.limits import quota_limiter
from tamarack_core.internal.targets import announcement_validator
from tamarack_core.internal.targets import lease_aggregator
from tamarack_core.internal.targets import lease_table
from tamarack_core.messages import targets as target_messages
from tamarack_lab.experiments import simulated_network
from tamarack_lab.experiments import workloads
from tests import fake_hosts
from tests.cover import test_balancing

HUGE = 10**400
NOW_S = 100.0

GOOD = requests.Announce("agenda", "10.20.0.1", "a", slots=2)
OTHER = msgspec.structs.replace(GOOD, address="10.20.0.2")

ODD_CHANGES = (
    {"slots": HUGE},
    {"slots": 1 << 62},
    {"slots": 0},
    {"connections": HUGE},
    {"connections": 0},
    {"incarnation": HUGE},
    {"incarnation": 1 << 64},
    {"lease_s": float("nan")},
    {"lease_s": float("inf")},
    {"lease_s": 1e308},
    {"domain": "d" * 100_000},
    {"address": "10.20.0.256"},
    {"address": "target.example"},
    {"address": "10.20.0.2/24"},
)
"""Changes of an announcement, each odd by itself."""

VALID_CHANGES = (
    {"slots": 1},
    {"slots": 1_000_000},
    {"connections": 1_000_000_000},
    {"incarnation": (1 << 63) - 1},
    {"incarnation": -1},
    {"lease_s": 60.0},
    {"load": 1e308},
)
"""Changes of an announcement, all of them valid."""


class OddLeaseTest(testtools.TestCase):
    """An entry host alone, with two targets."""

    def setUp(self):
        super().setUp()
        context = simulated_network.context("entry", "a", 1)
        store = configuration_store.ConfigurationStore()
        services = {"agenda": workloads.AGENDA, "informe": workloads.INFORME}
        document = configuration.Configuration(services)
        store.put(configuration.VersionedConfiguration(1, document), 0)
        self.table = lease_table.TargetLeaseTable()
        aggregator = lease_aggregator.LeaseAggregator(
            context, self.table, tuple
        )
        validator = announcement_validator.AnnouncementValidator(
            context, store, aggregator
        )
        self.node = reducer.Node(context, (aggregator, validator))
        self.chooser = chooser_lib.BalancingChooser(
            context,
            store,
            self.table,
            load_table_lib.LoadTable(),
            quota_limiter.QuotaLimiter(),
        )
        self.random = random.Random(1)
        self.announce(GOOD)

    def announce(self, announcement):
        """Announces a target; returns the response."""
        [response] = [
            effect.response
            for effect in reducer.reduce(
                self.node, events.RequestArrived(NOW_S, 1, announcement)
            )
            if isinstance(effect, effects.Respond)
        ]
        return response

    def deliver(self, message):
        """Delivers a message of another host; returns the effects."""
        other = fake_hosts.peer("other")
        return reducer.reduce(
            self.node, events.MessageArrived(NOW_S, other, message)
        )

    def chosen(self):
        """Returns the targets that new flows are sent to."""
        found = set()
        for _ in range(20):
            opening = target_choice.Opening(
                self.random.randbytes(13), test_balancing.port()
            )
            found.add(self.chooser.choose(NOW_S, opening).target[-1])
        return found

    def test_an_odd_announcement_is_refused_and_flows_are_placed(self):
        for changes in ODD_CHANGES:
            odd = msgspec.structs.replace(OTHER, **changes)
            response = self.announce(odd)
            self.assertIsInstance(response, refusal.Refused, repr(changes)[:80])
            self.assertThat(len(response.detail), matchers.LessThan(1024))
            self.assertEqual({1}, self.chosen())

    def test_an_announcement_with_unusual_values_is_accepted(self):
        for number, changes in enumerate(VALID_CHANGES, 2):
            unusual = msgspec.structs.replace(
                OTHER, **{"address": f"10.20.0.{number}", **changes}
            )
            response = self.announce(unusual)
            self.assertIsInstance(response, requests.Announced, repr(changes))
        self.chosen()

    def test_an_odd_target_of_another_host_is_skipped(self):
        for changes in ODD_CHANGES:
            odd = msgspec.structs.replace(OTHER, **changes)
            for message in (
                target_messages.TargetForwarded(odd),
                target_messages.TargetChanged(odd, 1),
            ):
                result = self.deliver(message)
                skipped = [
                    effect.entry.reason
                    for effect in result
                    if isinstance(effect, effects.Record)
                    and effect.entry.name == "targets-skipped"
                ]
                self.assertEqual(1, len(skipped), repr(changes)[:80])
                self.assertThat(skipped[0], matchers.StartsWith("bad-"))
                self.assertEqual({1}, self.chosen())

    def test_a_skipped_change_is_acknowledged_and_not_sent_again(self):
        odd = msgspec.structs.replace(OTHER, slots=HUGE)
        result = self.deliver(target_messages.TargetChanged(odd, 7))
        received = target_messages.TargetReceived(odd.address, 7)
        sent = [
            effect.message
            for effect in result
            if isinstance(effect, effects.SendMessage)
        ]
        self.assertEqual([received], sent)
