"""Connections that probes cost the targets when a failure domain is cut off.

On agtag-visitas-large trouble-1, 195 entry hosts connected 9,500 times to the
targets of a domain whose links were restored, one by one; half of all new
connections to targets were probes.
"""

import msgspec
import testtools
from testtools import matchers

from tamarack_core import target_announcement
from tamarack_core.internal.cookie import failure_detector
from tamarack_core.internal.cookie import target_probes
from tests import cookie_host

CUT, OTHER = "cut", "other"
TARGETS = 20


class HostCase(testtools.TestCase):
    """Base of tests with a host before a failure domain of 20 targets."""

    def setUp(self):
        super().setUp()
        self.host = cookie_host.CookieHost()
        self.names = [f"b-{number}" for number in range(TARGETS)]
        self.known = [
            msgspec.structs.replace(
                cookie_host.target(name, port=100 + number), domain=CUT
            )
            for number, name in enumerate(self.names)
        ]
        reference = msgspec.structs.replace(
            cookie_host.target("a-0", port=99, service="other"), domain=OTHER
        )
        self.host.update(
            reference, *self.known, document=cookie_host.document(1)
        )
        for number, name in enumerate(self.names):
            self.host.send(number, name, acknowledged=500, payload_bytes=10)
            self.host.send(number, name, acknowledged=600, sequence=11)
        self.host.send(90, "a-0", acknowledged=500, payload_bytes=10)
        self.host.send(90, "a-0", acknowledged=600, sequence=11)
        self.answered = 0

    def run_for(self, seconds, *, silent=()):
        """Runs the host; targets answer probes unless they are silent."""
        end_s = self.host.now_s + seconds
        while self.host.now_s < end_s:
            self.host.tick(0.1)
            self.complete(silent)

    def complete(self, silent):
        """Completes the probes that were sent, and those sent meanwhile."""
        while self.host.probes:
            sent, self.host.probes = self.host.probes, []
            for probe in sorted(sent, key=lambda p: p.target not in silent):
                is_answered = probe.target not in silent
                self.answered += is_answered
                self.host.complete_probe(probe.target, is_answered=is_answered)

    def stall(self, name):
        """Sends a request and its copy on the flow of a target."""
        number = self.names.index(name)
        for _ in range(2):
            self.host.send(
                number, name, acknowledged=600, sequence=11, payload_bytes=10
            )
            self.host.tick(0.2)

    def dead(self):
        """Returns the names of the targets that are dead to the host."""
        latest = {
            record.entry.target: record.entry.name
            for record in self.host.records
            if record.entry.name in ("target-dead", "target-alive")
        }
        return {name for name in latest if latest[name] == "target-dead"}


class DomainCutTest(HostCase):
    """Fault: the failure domain is cut off for five seconds."""

    def cut_off(self):
        """Cuts the domain off; all its targets are found dead."""
        self.host.tick(0.6)
        self.stall("b-0")
        self.run_for(5.0, silent=self.names)
        self.assertEqual(set(self.names), self.dead())

    def test_a_domain_that_returns_costs_a_few_connections(self):
        self.cut_off()
        self.answered = 0
        self.run_for(1.0)
        self.assertEqual(set(), self.dead())
        self.assertThat(
            self.answered, matchers.LessThan(2 * target_probes.DOMAIN_PROBES)
        )

    def test_few_targets_are_probed_while_the_domain_is_cut_off(self):
        self.cut_off()
        self.host.probes.clear()
        probed = 0
        for _ in range(40):
            self.host.tick(0.1)
            probed += len(self.host.probes)
            self.complete(self.names)
        intervals = 4.0 / target_probes.RECOVERY_INTERVAL_S
        self.assertThat(
            probed,
            matchers.LessThan(
                (intervals + 1) * target_probes.DOMAIN_PROBES + 1
            ),
        )

    def test_each_target_gets_its_turn_to_be_probed(self):
        # The first ones may have crashed while the domain was cut off.
        self.cut_off()
        crashed = self.names[:8]
        overdue = [
            target_announcement.KnownTarget(known, True)
            for known in self.known[:8]
        ]
        self.host.update(*overdue, base=1, position=2)
        self.run_for(4.0, silent=crashed)
        self.assertEqual(set(crashed), self.dead())

    def test_failed_probes_of_one_moment_share_a_reference(self):
        self.host.tick(0.6)
        self.stall("b-0")
        self.run_for(2.0, silent=self.names)
        self.assertThat(self.answered, matchers.LessThan(4))


class OverdueTest(HostCase):
    """Fault: control hosts are cut off from one another for six seconds.

    Announcements that reach one side are overdue at the other.
    """

    def test_overdue_targets_that_reply_are_seldom_probed(self):
        overdue = [
            target_announcement.KnownTarget(known, True) for known in self.known
        ]
        self.host.update(*overdue, base=1, position=2)
        self.run_for(6.0)
        interval_s = failure_detector.OVERDUE_REPLY_S
        self.assertThat(
            self.answered,
            matchers.LessThan(TARGETS * (6.0 / interval_s + 1) + 1),
        )
        self.assertEqual(set(), self.dead())


class CrashTest(HostCase):
    """Fault: three of twenty targets crash, and return one by one."""

    def test_targets_that_crashed_are_each_probed(self):
        self.host.tick(0.6)
        crashed = self.names[:3]
        for name in crashed:
            self.stall(name)
        self.run_for(2.0, silent=crashed)
        self.assertEqual(set(crashed), self.dead())
        self.run_for(1.0, silent=crashed[1:])
        self.assertEqual(set(crashed[1:]), self.dead())
