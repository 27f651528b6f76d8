"""Probes of targets, and what an entry host concludes from them."""

import testtools
from testtools import matchers

from tamarack_core import events
from tamarack_core import target_announcement
from tests import cookie_host


class ProbeTest(testtools.TestCase):
    """A host probes a target before it resets the flows of the target."""

    def start(self):
        """Returns a host with two targets, and three flows at the first.

        A third target, of another service, is the reference of the probes.
        """
        host = cookie_host.CookieHost()
        host.update(
            cookie_host.target("t-1"),
            cookie_host.target("t-2", port=81),
            cookie_host.target("t-3", port=82, service="files"),
            document=cookie_host.document(1),
        )
        host.send(70, "t-3", acknowledged=500, payload_bytes=10)
        host.send(70, "t-3", acknowledged=600, sequence=11)
        for number in range(3):
            host.send(number, "t-1", acknowledged=500, payload_bytes=10)
            host.send(number, "t-1", acknowledged=600, sequence=11)
        host.tick(0.1)
        host.send(70, "t-3", acknowledged=700, sequence=11)
        return host

    def fail_probe(self, host, name):
        """Fails both probes of a target; its reference replies in between."""
        host.complete_probe(name, is_answered=False)
        host.complete_probe("t-3", is_answered=True)
        host.complete_probe(name, is_answered=False)

    def retransmit(self, host):
        """Sends one request on the first flow and retransmits it."""
        host.send(0, "t-1", acknowledged=600, sequence=11, payload_bytes=10)
        host.tick(0.2)
        host.send(0, "t-1", acknowledged=600, sequence=11, payload_bytes=10)

    def test_one_retransmission_makes_the_host_probe(self):
        host = self.start()
        self.assertEqual([], host.probed)
        self.retransmit(host)
        self.assertEqual(["t-1"], host.probed)

    def test_probes_retry_often_enough_for_lossy_links(self):
        # The users' worst links lose one packet in forty in each direction.
        host = self.start()
        self.retransmit(host)
        host.complete_probe("t-1", is_answered=False)
        host.complete_probe("t-3", is_answered=True)
        probes = [probe for probe in host.probes if probe.target == "t-1"]
        self.assertThat(probes, matchers.HasLength(2))
        lost = 1 - (1 - 0.025) ** 2
        attempts = sum(probe.attempts for probe in probes)
        self.assertThat(lost**attempts, matchers.LessThan(1 / 5000))
        for probe in probes:
            last_s = (probe.attempts - 1) * probe.spacing_s
            self.assertThat(last_s, matchers.LessThan(probe.timeout_s - 0.1))

    def test_a_target_that_replies_keeps_its_flows(self):
        host = self.start()
        self.retransmit(host)
        host.complete_probe("t-1", is_answered=True)
        self.assertEqual([], host.resets)
        self.assertEqual(["t-1"], host.probed)

    def test_a_target_that_resets_the_probe_keeps_its_flows(self):
        # Its queue of connections may be full while it serves its flows.
        host = self.start()
        self.retransmit(host)
        host.end_probe("t-1", events.ProbeOutcome.RESET)
        host.complete_probe("t-3", is_answered=True)
        self.assertEqual([], host.resets)
        self.assertIn("t-1", {host.open(n) for n in range(20, 40)})

    def test_a_draining_target_that_refuses_new_connections_keeps_its_flows(
        self,
    ):
        # Many servers close their listener first, and then finish their flows.
        host = self.start()
        host.update(
            cookie_host.target(
                "t-1",
                sequence=9,
                phase=target_announcement.Phase.DRAINING,
            ),
            base=1,
            position=2,
        )
        self.retransmit(host)
        host.end_probe("t-1", events.ProbeOutcome.REFUSED)
        host.complete_probe("t-3", is_answered=True)
        host.end_probe("t-1", events.ProbeOutcome.REFUSED)
        self.assertEqual([], host.resets)

    def test_a_probe_that_could_not_be_sent_resets_no_flow(self):
        # Such as without a free descriptor or local port.
        host = self.start()
        self.retransmit(host)
        host.end_probe("t-1", events.ProbeOutcome.NOT_SENT)
        host.complete_probe("t-3", is_answered=True)
        self.assertEqual([], host.resets)
        self.assertIn("t-1", {host.open(n) for n in range(20, 40)})

    def test_a_target_with_active_flows_is_not_dead(self):
        # The reply to a probe may be late where a link is full.
        host = self.start()
        self.retransmit(host)
        host.send(1, "t-1", acknowledged=700, sequence=11)
        self.fail_probe(host, "t-1")
        self.assertEqual([], host.resets)

    def test_a_reference_counts_only_if_it_replies_after_the_failed_probe(self):
        # A reply from before the failed probe does not show that the link of
        # this host worked afterwards.
        host = self.start()
        self.retransmit(host)
        host.complete_probe("t-3", is_answered=True)
        host.complete_probe("t-1", is_answered=False)
        self.assertEqual(["t-1", "t-3"], host.probed)
        self.assertEqual([], host.resets)
        host.complete_probe("t-3", is_answered=True)
        self.assertEqual([], host.resets)
        host.complete_probe("t-1", is_answered=False)
        self.assertEqual(3, len(host.resets))

    def test_failed_probes_on_a_busy_link_of_this_host_reset_no_flow(self):
        # A document of 60 kB fills a link of 2 Mbit/s for 0.24 s, so that the
        # probes of all targets fail_probe.
        host = self.start()
        for _ in range(4):
            self.retransmit(host)
            host.complete_probe("t-1", is_answered=False)
            host.complete_probe("t-3", is_answered=False)
            host.tick(0.5)
        self.assertEqual([], host.resets)

    def play(self, host, seconds, outage_end_s):
        """Plays probes; until a time, no packet passes the host's link."""
        end_s = host.now_s + seconds
        running = {}
        while host.now_s < end_s:
            host.now_s += 0.01
            for probe in host.probes:
                running[probe.target] = (host.now_s, probe)
            host.probes.clear()
            for name, (sent_s, probe) in list(running.items()):
                age_s = host.now_s - sent_s
                spacing_s = probe.spacing_s
                last = min(int(age_s / spacing_s), probe.attempts - 1)
                if sent_s + last * spacing_s > outage_end_s:
                    del running[name]
                    host.complete_probe(name, is_answered=True)
                elif age_s > probe.timeout_s:
                    del running[name]
                    host.complete_probe(name, is_answered=False)
            host.handle(events.TimerFired(host.now_s, "forwarding"))

    def test_an_outage_of_this_host_before_the_reference_resets_no_flow(
        self,
    ):
        # Its link loses all packets for 0.35 s.
        host = self.start()
        outage_end_s = host.now_s + 0.35
        self.retransmit(host)
        self.play(host, 2.0, outage_end_s)
        self.assertEqual([], host.resets)

    def test_a_failed_probe_resets_all_flows_at_once(self):
        # This includes idle flows: a request that a caller sends on one later,
        # such as a report, might not be retryable.
        host = self.start()
        self.retransmit(host)
        self.fail_probe(host, "t-1")
        self.assertEqual(3, len(host.resets))
        self.assertEqual({"t-2"}, {host.open(n) for n in range(20, 40)})

    def test_the_log_says_why_a_target_is_dead_and_how_long_flows_were_idle(
        self,
    ):
        host = self.start()
        self.retransmit(host)
        host.tick(0.2)
        self.fail_probe(host, "t-1")
        entries = {
            record.entry.name: record.entry for record in reversed(host.records)
        }
        failed = entries["probe-failed"]
        self.assertEqual(("t-1", "unanswered"), (failed.target, failed.reason))
        self.assertIn("by retransmission, 0.200 s ago; 3 flows", failed.detail)
        self.assertIn("confirmed by t-3", entries["target-dead"].detail)
        self.assertIn("idle 0.5 s", entries["flow-reset"].detail)
        counters = host.node.context.counters
        self.assertEqual(1, counters["probes-sent-retransmission"])
        self.assertEqual(1, counters["probes-sent-reference"])
        self.assertEqual(1, counters["probes-sent-confirmation"])
        self.assertEqual(2, counters["probes-unanswered"])
        self.assertEqual(1, counters["probes-accepted"])

    def test_a_probe_from_before_a_restart_of_the_target_is_ignored(self):
        host = self.start()
        self.retransmit(host)
        host.complete_probe("t-1", is_answered=False)
        host.update(cookie_host.target("t-1", born_ms=2000), base=1, position=2)
        host.complete_probe("t-3", is_answered=True)
        self.assertEqual([], host.resets)
        self.assertIn("t-1", {host.open(n) for n in range(20, 40)})

    def test_a_result_from_before_a_restart_does_not_end_a_later_probe(self):
        host = self.start()
        self.retransmit(host)
        host.update(cookie_host.target("t-1", born_ms=2000), base=1, position=2)
        for _ in range(2):
            host.send(80, "t-1", acknowledged=1, payload_bytes=10)
            host.tick(0.1)
        self.assertEqual(["t-1", "t-1"], host.probed)
        host.end_probe(
            "t-1", events.ProbeOutcome.REFUSED, host.probes[0].number
        )
        host.complete_probe("t-3", is_answered=True)
        self.assertEqual([], host.resets)

    def test_a_dead_target_that_restarts_is_used_at_once(self):
        host = self.start()
        self.retransmit(host)
        self.fail_probe(host, "t-1")
        self.assertEqual({"t-2"}, {host.open(n) for n in range(20, 40)})
        host.update(cookie_host.target("t-1", born_ms=2000), base=1, position=2)
        self.assertIn("t-1", {host.open(n) for n in range(40, 60)})
        # A caller that now waits for this target makes the host probe it
        # again instead of refusing the opening.
        host.send(80, "t-1", acknowledged=1, payload_bytes=10)
        host.tick(0.6)
        host.send(80, "t-1", acknowledged=1, payload_bytes=10)
        self.assertIn("t-1", {host.open(n) for n in range(60, 80)})

    def test_a_target_that_replies_again_is_used_again(self):
        host = self.start()
        self.retransmit(host)
        self.fail_probe(host, "t-1")
        host.tick(1.0)
        self.assertEqual(3, host.probed.count("t-1"))
        host.complete_probe("t-1", is_answered=True)
        self.assertEqual({"t-1", "t-2"}, {host.open(n) for n in range(20, 40)})

    def test_a_dead_target_that_is_gone_is_no_longer_probed(self):
        # Another target may have its address by then.
        host = self.start()
        self.retransmit(host)
        self.fail_probe(host, "t-1")
        gone = cookie_host.target(
            "t-1", sequence=9, phase=target_announcement.Phase.GONE
        )
        host.update(gone, base=1, position=2)
        host.tick(0.3)
        host.probes.clear()
        host.tick(3.0)
        self.assertEqual([], host.probed)

    def test_a_suspended_host_ignores_the_result_of_its_probe(self):
        host = self.start()
        self.retransmit(host)
        host.now_s += 4.0
        self.fail_probe(host, "t-1")
        self.assertEqual([], host.resets)

    def test_a_result_from_before_a_suspension_does_not_end_a_later_probe(self):
        host = self.start()
        self.retransmit(host)
        host.now_s += 4.0
        host.tick(0.2)
        host.send(0, "t-1", acknowledged=600, sequence=11, payload_bytes=10)
        self.assertEqual(["t-1", "t-1"], host.probed)
        host.end_probe(
            "t-1", events.ProbeOutcome.REFUSED, host.probes[0].number
        )
        host.complete_probe("t-3", is_answered=True)
        self.assertEqual([], host.resets)

    def test_a_target_whose_reference_has_ended_is_probed_again(self):
        host = self.start()
        self.retransmit(host)
        host.complete_probe("t-1", is_answered=False)
        reference = host.probed[-1]
        host.update(
            cookie_host.target(
                reference, sequence=9, phase=target_announcement.Phase.GONE
            ),
            base=1,
            position=2,
        )
        host.tick(0.6)
        host.complete_probe(reference, is_answered=False)
        host.send(0, "t-1", acknowledged=600, sequence=11, payload_bytes=10)
        self.assertEqual(["t-1", reference, "t-1"], host.probed)

    def test_the_flows_of_a_target_that_ended_are_reset_at_once(self):
        host = self.start()
        host.update(
            cookie_host.target(
                "t-1", sequence=9, phase=target_announcement.Phase.GONE
            ),
            base=1,
            position=2,
        )
        host.tick(0.6)
        self.assertEqual(3, len(host.resets))

    def test_a_withdrawn_target_keeps_its_flows_while_it_replies(self):
        # The response to its withdrawal was lost, so it withdraws again before
        # it exits.
        host = self.start()
        gone = cookie_host.target(
            "t-1", sequence=9, phase=target_announcement.Phase.GONE
        )
        host.update(gone, base=1, position=2)
        for reply in range(20):
            host.tick(0.1)
            sent = host.send(0, "t-1", acknowledged=700 + reply, sequence=11)
            self.assertEqual("t-1", sent)
        self.assertEqual([], host.resets)
        host.tick(0.6)
        self.assertEqual(3, len(host.resets))

    def test_an_opening_is_refused_at_once_when_all_targets_are_dead(self):
        # An entry host that is cut off: the caller's next attempt may reach
        # another one.
        host = self.start()
        self.retransmit(host)
        for name in ("t-1", "t-2", "t-2"):
            host.open(90)
            host.tick(0.2)
            host.open(90, copy_number=1)
            host.open(91)
            host.tick(0.2)
            host.open(91, copy_number=1)
            self.fail_probe(host, name)
        self.assertEqual("reset", host.open(50))
        host.tick(0.6)
        host.complete_probe("t-2", is_answered=True)
        self.assertEqual("t-2", host.open(51))
