"""A control host is gone for good; then another one loses its disk.

A caught-up successor holds all that was acknowledged, so the group goes on,
however soon the second loss follows the first.
"""

import itertools

import testtools
from testtools import matchers

from tamarack_core import external_requests
from tests import group_network

GAPS_S = (0.0, 0.3, 1.0, 1.2, 2.0, 2.5, 3.0)
"""Times between the two losses, in seconds."""

DOWN_S = 1.0
"""Time for which the host that loses its disk is down, in seconds."""

LONG_DOWN_S = 30.0

REPLACED_S = 2.0
"""Time after a loss by which a successor is a voter, in seconds."""

RECOVERY_S = 12.0
"""Time after the return of a host in which reads are answered, in seconds."""

DOMAIN_CUT_S = 6.0
"""Time after a cut by which changes go on, in seconds; the release of a standby
takes 4 s of it."""


class Losses:
    """A settled group with one successor, and what happens to it.

    Attributes:
        network: Simulated network of the hosts.
        gone: The voter that is lost for good.
        voters: The other voters.
        successor: The host that is no voter at first.
        acknowledged: Highest document number that was acknowledged.
    """

    def __init__(self, tolerated, is_leader_lost, seed):
        """Starts the hosts, and waits until the successor has caught up."""
        self.network = group_network.GroupNetwork(
            2 * tolerated + 2, tolerated, seed
        )
        self.network.start_all()
        self.network.publish(1)
        self.network.run(5.0)
        leader = min(self.network.leaders())
        voters = self.network.voters(leader)
        followers = sorted(voters - {leader})
        self.gone = (
            leader if is_leader_lost else followers[seed % len(followers)]
        )
        self.voters = [
            host for host in [leader, *followers] if host != self.gone
        ]
        self.successor = min(set(self.network.peers) - voters)
        self.acknowledged = self.network.publish(2).number

    def remove(self):
        """Removes a voter for good, without a signal."""
        self.network.kill(self.gone)
        del self.network.peers[self.gone]

    def lose_disks(self, hosts, down_s):
        """Takes the disks of hosts, which are down for a while."""
        for host in hosts:
            self.network.kill(host, lose_disk=True)
        self.network.run(down_s)
        for host in hosts:
            self.network.start(host)

    def publish_for(self, duration_s):
        """Publishes large documents one after another for a while."""
        routes = [
            group_network.route(f"r{port}", port) for port in range(1, 200)
        ]
        end_s = self.network.now_s + duration_s
        while self.network.now_s < end_s:
            try:
                published = self.network.publish(
                    self.acknowledged + 1,
                    *routes,
                    timeout_s=end_s - self.network.now_s,
                )
            except AssertionError:
                break
            self.acknowledged = published.number
        self.network.run(max(0.0, end_s - self.network.now_s))


class LostDiskBesideSuccessorTest(testtools.TestCase):
    """Faults: a voter is gone for good; at any time after, disks are lost."""

    def check_recovery(self, losses):
        document = losses.network.read(RECOVERY_S)
        self.assertThat(
            document.number,
            matchers.GreaterThan(losses.acknowledged - 1),
        )
        losses.network.publish(1000, timeout_s=RECOVERY_S)

    def check(self, tolerated, is_leader_lost, chosen, gap_s, **options):
        """Checks one history.

        Args:
            tolerated: Number of lost hosts that the group tolerates.
            is_leader_lost: Whether the voter that is gone leads.
            chosen: Which of the hosts that are left lose their disks.
            gap_s: Time between the losses, in seconds.
            options: `down_s` and `seed`.
        """
        losses = Losses(tolerated, is_leader_lost, options.get("seed", 1))
        losses.remove()
        losses.publish_for(gap_s)
        hosts = [*losses.voters, losses.successor]
        losses.lose_disks(
            [hosts[place] for place in chosen], options.get("down_s", DOWN_S)
        )
        self.check_recovery(losses)

    def check_all(self, cases, **options):
        """Checks many histories; a failure names its case."""
        for case in cases:
            try:
                self.check(*case, **options)
            except AssertionError as error:
                raise AssertionError(f"{case}, {options}: {error}") from error

    # With a voter gone, a lost disk of another one ended the group until a
    # caught-up successor was a voter.
    def test_a_voter_that_loses_its_disk_after_any_gap_ends_no_group(self):
        for seed in (1, 2):
            self.check_all(
                itertools.product((1,), (True, False), ((0,), (1,)), GAPS_S),
                seed=seed,
            )

    # The successor was promoted beside the voter that was gone; with its disk
    # lost, two of four voters were left and had no quorum.
    def test_a_successor_that_loses_its_disk_ends_no_group(self):
        for down_s in (DOWN_S, LONG_DOWN_S):
            self.check_all(
                itertools.product((1,), (True, False), ((2,),), GAPS_S),
                down_s=down_s,
            )

    def test_a_host_that_is_back_late_ends_no_group_with_a_new_voter(self):
        self.check_all(
            itertools.product((1,), (True, False), ((0,), (1,)), (REPLACED_S,)),
            down_s=LONG_DOWN_S,
        )

    def test_five_voters_bear_two_lost_disks_beside_one_that_is_gone(self):
        self.check_all(
            itertools.product(
                (2,), (True, False), ((0, 1), (2, 3), (0, 4)), GAPS_S[::2]
            )
        )

    def test_a_voter_that_returns_with_its_disk_reverts_nothing(self):
        for is_leader_lost, gap_s in itertools.product((True, False), GAPS_S):
            losses = Losses(1, is_leader_lost, seed=3)
            peer = losses.network.peers[losses.gone]
            losses.remove()
            losses.publish_for(gap_s)
            losses.lose_disks([losses.voters[0]], DOWN_S)
            losses.network.run(2.0)
            losses.network.peers[losses.gone] = peer
            losses.network.start(losses.gone)
            self.check_recovery(losses)


class ExposureTest(testtools.TestCase):
    """The leader says when the group can't bear another loss, and why."""

    def leader(self, network):
        name = min(network.leaders())
        return network.component_of(name, external_requests.PublishDocument)

    def test_a_silent_voter_is_named_until_it_is_replaced(self):
        losses = Losses(1, is_leader_lost=False, seed=1)
        self.assertEqual("", self.leader(losses.network).exposure)
        losses.remove()
        losses.network.run(1.0)
        leader = self.leader(losses.network)
        self.assertEqual("voter-silent-beside-standby", leader.exposure)
        self.assertEqual(0.0, leader.context.gauges["loss_tolerated"])
        losses.network.run(REPLACED_S)
        leader = self.leader(losses.network)
        self.assertEqual("", leader.exposure)
        self.assertEqual(1.0, leader.context.gauges["loss_tolerated"])

    def test_a_silent_voter_without_a_successor_stays_named(self):
        losses = Losses(1, is_leader_lost=False, seed=1)
        losses.network.kill(losses.successor)
        losses.network.run(1.0)
        losses.remove()
        losses.network.run(REPLACED_S)
        self.assertEqual("voter-silent", self.leader(losses.network).exposure)


class StandbyAvailabilityTest(testtools.TestCase):
    """Faults: a standby, or the failure domain that it shares, is cut off."""

    def test_changes_go_on_soon_without_the_standby(self):
        losses = Losses(1, is_leader_lost=False, seed=1)
        losses.network.kill(losses.successor)
        began_s = losses.network.now_s
        losses.network.publish(3, timeout_s=DOMAIN_CUT_S)
        self.assertThat(
            losses.network.now_s - began_s, matchers.LessThan(REPLACED_S)
        )

    # A majority of four hosts is three, and a domain may hold two of them.
    def test_a_domain_with_two_of_four_hosts_stops_nobody_else(self):
        for is_leader_cut, seed in itertools.product((True, False), (1, 2, 3)):
            losses = Losses(1, is_leader_cut, seed)
            cut = [losses.gone, losses.successor]
            losses.network.partition(cut, losses.voters)
            began_s = losses.network.now_s
            hosts = dict(losses.network.peers)
            for host in cut:
                del losses.network.peers[host]
            losses.network.publish(3, timeout_s=DOMAIN_CUT_S)
            self.assertThat(
                losses.network.now_s - began_s, matchers.LessThan(DOMAIN_CUT_S)
            )
            losses.network.peers.update(hosts)
            losses.network.cut.clear()
            losses.network.run(RECOVERY_S)
            for host in losses.network.peers:
                self.assertEqual(3, len(losses.network.voters(host)))
                self.assertEqual(3, losses.network.read().number)

    def test_a_standby_that_is_heard_by_nobody_delays_changes_shortly(self):
        losses = Losses(1, is_leader_lost=False, seed=2)
        for host in losses.network.peers:
            losses.network.cut.add((losses.successor, host))
        began_s = losses.network.now_s
        losses.network.publish(3, timeout_s=DOMAIN_CUT_S)
        self.assertThat(
            losses.network.now_s - began_s, matchers.LessThan(REPLACED_S)
        )
