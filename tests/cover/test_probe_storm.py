"""Many entry hosts probe a target that serves at the same moment."""

import msgspec
import testtools

from tamarack_core import events
from tests import cookie_host

HOSTS = 60
DEAD = 15
DOMAIN = "b"
SOUND = "b-sound"
REFERENCE = "a-0"
LISTEN_QUEUE = 48
"""Connections that a target can have waiting; it resets the ones beyond."""


def target(name, port, domain):
    """Returns a target of a failure domain."""
    announced = cookie_host.target(name, port=port)
    return msgspec.structs.replace(announced, domain=domain)


class ProbeStormTest(testtools.TestCase):
    """Most targets of a domain fall silent, and 60 hosts probe the others."""

    def setUp(self):
        super().setUp()
        self.dead = [f"b-{number}" for number in range(DEAD)]
        self.hosts = [self.start(seed) for seed in range(HOSTS)]

    def start(self, seed):
        """Returns a host with one flow at each target."""
        host = cookie_host.CookieHost(seed)
        names = [*self.dead, SOUND]
        host.update(
            target(REFERENCE, 90, "a"),
            *(target(name, 100 + n, DOMAIN) for n, name in enumerate(names)),
            document=cookie_host.document(1),
        )
        for number, name in enumerate([*names, REFERENCE]):
            host.send(number, name, acknowledged=500, payload_bytes=10)
            host.send(number, name, acknowledged=600, sequence=11)
        host.tick(1.0)
        return host

    def end_probes(self):
        """Ends the probes of all hosts; the sound target's queue may be full.

        Returns:
            The number of probes that the sound target reset.
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
                    outcome = events.ProbeOutcome.RESET
            host.end_probe(name, outcome)
        return max(queued - LISTEN_QUEUE, 0)

    def test_a_target_whose_queue_is_full_of_probes_keeps_its_flows(self):
        for host in self.hosts:
            for _ in range(2):
                host.send(
                    0, "b-0", acknowledged=600, sequence=11, payload_bytes=10
                )
                host.tick(0.2)
        refused = 0
        for _ in range(8):
            refused += self.end_probes()
            for host in self.hosts:
                host.tick(0.25)
        self.assertEqual(HOSTS - LISTEN_QUEUE, refused)
        reset = {
            record.entry.target
            for host in self.hosts
            for record in host.records
            if record.entry.name == "flow-reset"
        }
        self.assertEqual(set(self.dead), reset)
