"""Many entry hosts probe a target that serves at the same moment."""

import msgspec
import testtools
from testtools import matchers

from tamarack_core import events
from tamarack_core import sync
from tests import cookie_host

HOSTS = 60
MANY_HOSTS = 100
DEAD = 15
DOMAIN = "b"
SOUND = "b-sound"
REFERENCE = "a-0"
LISTEN_QUEUE = 48
"""Connections that a target can have waiting; it resets the ones beyond."""

BURST_S = 0.015
"""Time in which a target can't work off its queue, in seconds."""


def target(name, port, domain):
    """Returns a target of a failure domain."""
    announced = cookie_host.target(name, port=port)
    return msgspec.structs.replace(announced, domain=domain)


class ProbeStormTest(testtools.TestCase):
    """Most targets of a domain fall silent, and 60 hosts probe the others."""

    def setUp(self):
        super().setUp()
        self.dead = [f"b-{number}" for number in range(DEAD)]
        self.hosts = []

    def start(self, seed, entry_hosts=0):
        """Returns a host with one flow at each target."""
        host = cookie_host.CookieHost(seed)
        names = [*self.dead, SOUND]
        host.update(
            target(REFERENCE, 90, "a"),
            *(target(name, 100 + n, DOMAIN) for n, name in enumerate(names)),
            document=cookie_host.document(1),
            entry_hosts=entry_hosts,
        )
        for number, name in enumerate([*names, REFERENCE]):
            host.send(number, name, acknowledged=500, payload_bytes=10)
            host.send(number, name, acknowledged=600, sequence=11)
        host.tick(1.0)
        return host

    def end_probes(self, overflow=events.ProbeOutcome.RESET):
        """Ends the probes of all hosts; the sound target's queue may be full.

        Args:
            overflow: What a probe finds that exceeds the queue.

        Returns:
            The number of probes that exceeded the queue of the sound target.
        """
        sent = [
            (host, probe.target) for host in self.hosts for probe in host.probes
        ]
        queued = 0
        for host in self.hosts:
            host.probes.clear()
        for host, name in sorted(sent, key=lambda item: item[1] == REFERENCE):
            outcome = events.ProbeOutcome.ACCEPTED
            if name in self.dead:
                outcome = events.ProbeOutcome.UNANSWERED
            elif name == SOUND:
                queued += 1
                if queued > LISTEN_QUEUE:
                    outcome = overflow
            host.end_probe(name, outcome)
        return max(queued - LISTEN_QUEUE, 0)

    def stall(self, host):
        """Sends a request and its copy to the first dead target."""
        for _ in range(2):
            host.send(0, "b-0", acknowledged=600, sequence=11, payload_bytes=10)
            host.tick(0.2)

    def test_a_target_whose_queue_is_full_of_probes_keeps_its_flows(self):
        self.hosts = [self.start(seed) for seed in range(HOSTS)]
        for host in self.hosts:
            self.stall(host)
        refused = 0
        for _ in range(8):
            refused += self.end_probes()
            for host in self.hosts:
                host.tick(0.25)
        self.assertEqual(HOSTS - LISTEN_QUEUE, refused)
        self.assertEqual(set(self.dead), self.reset_targets())

    def reset_targets(self):
        """Returns the targets of which a host has reset flows."""
        return {
            record.entry.target
            for host in self.hosts
            for record in host.records
            if record.entry.name == "flow-reset"
        }

    def test_a_target_whose_full_queue_drops_probes_keeps_its_flows(self):
        # Linux does so unless tcp_abort_on_overflow is set.
        self.hosts = [self.start(seed) for seed in range(HOSTS)]
        for host in self.hosts:
            self.stall(host)
        for _ in range(8):
            self.end_probes(events.ProbeOutcome.UNANSWERED)
            for host in self.hosts:
                host.tick(0.25)
        self.assertEqual(set(self.dead), self.reset_targets())

    def probe_times_s(self, host):
        """Returns when the host probes the sound target, in seconds."""
        return [
            host.now_s + probe.delay_s
            for probe in host.probes
            if probe.target == SOUND
        ]

    def assert_spread(self, times_s):
        """Asserts that each host probes, and that no burst fills the queue."""
        self.assertEqual(MANY_HOSTS, len(times_s))
        densest = max(
            sum(start_s <= time_s < start_s + BURST_S for time_s in times_s)
            for start_s in times_s
        )
        self.assertThat(densest, matchers.LessThan(LISTEN_QUEUE))

    def test_the_neighbors_of_a_dead_target_are_not_probed_in_one_burst(self):
        times_s = []
        for seed in range(MANY_HOSTS):
            host = self.start(seed, MANY_HOSTS)
            self.stall(host)
            host.end_probe("b-0", events.ProbeOutcome.UNANSWERED)
            host.end_probe(REFERENCE, events.ProbeOutcome.ACCEPTED)
            times_s += self.probe_times_s(host)
        self.assert_spread(times_s)

    def test_a_reported_target_is_not_probed_in_one_burst(self):
        times_s = []
        for seed in range(MANY_HOSTS):
            host = self.start(seed, MANY_HOSTS)
            suspects = sync.SuspectTargets((SOUND,))
            sender = cookie_host.control("c1")
            host.handle(events.MessageArrived(host.now_s, sender, suspects))
            times_s += self.probe_times_s(host)
        self.assert_spread(times_s)

    def test_a_waiting_probe_gives_way_to_one_that_is_due_at_once(self):
        # Otherwise callers would wait for the spread of many hosts.
        host = self.start(1, 12_000)
        self.stall(host)
        host.end_probe("b-0", events.ProbeOutcome.UNANSWERED)
        host.end_probe(REFERENCE, events.ProbeOutcome.ACCEPTED)
        host.probes.clear()
        for _ in range(2):
            host.send(
                DEAD, SOUND, acknowledged=600, sequence=11, payload_bytes=10
            )
            host.tick(0.2)
        delays_s = [
            probe.delay_s for probe in host.probes if probe.target == SOUND
        ]
        self.assertEqual([0.0], delays_s)

    def test_the_result_of_a_replaced_probe_is_ignored(self):
        host = self.start(1, 12_000)
        self.stall(host)
        host.end_probe("b-0", events.ProbeOutcome.UNANSWERED)
        host.end_probe(REFERENCE, events.ProbeOutcome.ACCEPTED)
        replaced = host.probe_numbers[SOUND]
        for _ in range(2):
            host.send(
                DEAD, SOUND, acknowledged=600, sequence=11, payload_bytes=10
            )
            host.tick(0.2)
        host.handle(
            events.TargetProbed(
                host.now_s, SOUND, events.ProbeOutcome.UNANSWERED, replaced
            )
        )
        self.assertNotIn(
            "probe-failed",
            [
                record.entry.name
                for record in host.records
                if record.entry.target == SOUND
            ],
        )
