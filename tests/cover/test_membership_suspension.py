"""A host of tamarackd is suspended, and resumes before it reads its socket."""

import random

import testtools

from tamarack_core import peers
from tamarack_core.internal.membership import swim_protocol
from tamarack_core.messages import membership


def peer(number):
    """Returns the peer with a number."""
    endpoint = peers.Endpoint(f"10.0.0.{number}", 7000)
    return peers.Peer(f"h{number}", "d", endpoint, endpoint)


def update(of, state):
    """Returns an update about a peer."""
    return membership.Update(of.host, of.control, of.data, 1, state)


class SuspensionTest(testtools.TestCase):
    """The host has heard a suspicion that the suspect refutes meanwhile."""

    def start(self, state):
        """Returns the protocol of a host that hears a state of the suspect."""
        own, suspect, other = peer(1), peer(2), peer(3)
        swim = swim_protocol.SwimProtocol(own, (), random.Random(1))
        swim.start(0.0, 1)
        for now_s, heard in ((0.0, membership.State.ALIVE), (1.0, state)):
            news = (
                update(other, membership.State.ALIVE),
                update(suspect, heard),
            )
            probe = membership.Probe(1, 0, news)
            swim.handle_message(now_s, other, probe)
        return swim

    def test_a_suspended_host_finds_no_member_dead_when_it_resumes(self):
        own, suspect, other = peer(1), peer(2), peer(3)
        swim = swim_protocol.SwimProtocol(own, (), random.Random(1))
        swim.start(0.0, 1)
        for now_s, state in (
            (0.0, membership.State.ALIVE),
            (1.0, membership.State.SUSPECT),
        ):
            news = (
                update(other, membership.State.ALIVE),
                update(suspect, state),
            )
            probe = membership.Probe(1, 0, news)
            swim.handle_message(now_s, other, probe)
        swim.handle_timer(20.0, swim_protocol.PROBE_TIMER)
        state = swim.view.members[suspect.host].state
        self.assertNotEqual(membership.State.DEAD, state)

    def test_a_suspended_host_suspects_no_member_when_it_resumes(self):
        # The reply to its last probe may not be read yet.
        swim = self.start(membership.State.ALIVE)
        swim.handle_timer(1.0, swim_protocol.PROBE_TIMER)
        swim.handle_timer(20.0, swim_protocol.PROBE_TIMER)
        states = {member.state for member in swim.view.members.values()}
        self.assertEqual({membership.State.ALIVE}, states)

    def test_a_suspect_that_stays_silent_is_dead_after_a_suspension(self):
        swim = self.start(membership.State.SUSPECT)
        for now_s in range(20, 30):
            swim.handle_timer(float(now_s), swim_protocol.PROBE_TIMER)
        state = swim.view.members["h2"].state
        self.assertEqual(membership.State.DEAD, state)
